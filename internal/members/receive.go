package members

import (
	"fmt"
	"slices"

	"ravenlink/internal/post"
)

// Receive handles a message of another member.
func (d *Detector) Receive(now int64, from string, m Msg) []post.PeerMessage[Msg] {
	d.ensureStarted(now)
	p := d.byName[from]
	switch {
	case p == nil || p == d.self:
		d.counts.Unlisted++
		return nil
	case m.Incarnation == 0 || m.Folder == 0 || m.Heartbeat == 0 || len(m.Updates) > maxUpdates || len(m.Queried) > maxUpdates,
		p.Incarnation > 0 && p.Folder == m.Folder && m.Incarnation > p.Incarnation+maxIncarnationJump:
		d.counts.Invalid++
		return nil
	}
	if !d.acceptStart(now, p, start{m.Folder, m.Incarnation}) {
		d.counts.Stale++ // tell it: it may run on an older copy of its folder
		return []post.PeerMessage[Msg]{d.reply(p, []Update{d.updateOn(now, p)})}
	}
	if m.Flags&flagLeaving != 0 {
		d.transition(now, p, leftAnnounced, start{})
		return nil
	}
	p.monitored = m.Flags&flagMonitored != 0
	var messages []post.PeerMessage[Msg]
	if m.Heartbeat < p.heartbeat { // late, or from an older copy of its folder: tell it
		messages = append(messages, d.reply(p, []Update{d.updateOn(now, p)}))
	}
	d.recordHeartbeat(now, p, m.Heartbeat, now)
	for _, u := range m.Updates {
		d.applyUpdate(now, p, u)
	}
	return append(messages, d.replies(now, p, m)...)
}

// acceptStart records a new start of p and reports whether s is its current one and p has not left in it.
func (d *Detector) acceptStart(now int64, p *peer, s start) bool {
	if s.folder == p.Folder {
		if s.incarnation > p.Incarnation {
			d.transition(now, p, started, s)
		}
		return s.incarnation == p.Incarnation && p.State != Left
	}
	for _, old := range p.pastStarts {
		if old.folder == s.folder && s.incarnation <= old.incarnation {
			return false
		}
	}
	d.transition(now, p, started, s)
	return true
}

// recordHeartbeat records a heartbeat of p's current incarnation, sent at about the time at.
func (d *Detector) recordHeartbeat(now int64, p *peer, heartbeat uint64, at int64) bool {
	if heartbeat <= p.heartbeat || p.State == Left {
		return false
	}
	p.heartbeat, p.suspectedBy = heartbeat, nil
	p.heardAt = max(p.heardAt, min(at, now))
	if now-p.heardAt < d.timing.ProbeAfter {
		p.probedSince, p.pingedAt = 0, 0
	}
	if p.State == Alive || now-p.heardAt >= d.timing.SuspectAfter {
		return true
	}
	p.sendsLeft = max(p.sendsLeft, 1)
	switch {
	case p.recoveringSince == 0:
		p.recoveringSince = now
	case now-p.recoveringSince >= int64(d.timing.RecoveryBeats)*d.timing.HeartbeatInterval<<p.flaps:
		if p.State == Dead && p.wasAlive {
			p.flaps, p.flappedAt = min(p.flaps+1, maxFlaps), now
		}
		p.recoveringSince, p.wasAlive = 0, true
		d.transition(now, p, recovered, start{})
	}
	return true
}

// applyUpdate applies what from reports about another member.
func (d *Detector) applyUpdate(now int64, from *peer, u Update) {
	q := d.byID[u.Member]
	switch {
	case q == nil:
		d.counts.Unlisted++
		return
	case u.Incarnation == 0 || u.Folder == 0 || u.Claim > claimLeft || u.Incarnation > q.Incarnation+maxIncarnationJump && q.Folder == u.Folder:
		d.counts.Invalid++
		return
	case q == d.self:
		d.handleOwnUpdate(now, u)
		return
	case q == from:
		return
	}
	if !d.acceptStart(now, q, start{u.Folder, u.Incarnation}) {
		return
	}
	if u.Claim == claimLeft {
		d.transition(now, q, leftAnnounced, start{})
		return
	}
	d.recordHeartbeat(now, q, u.Heartbeat, now-int64(u.Age)*1000)
	if u.Claim == claimHeard || u.Heartbeat < q.heartbeat || now-q.heardAt < d.timing.ProbeAfter || slices.Contains(q.suspectedBy, from.Name) {
		return
	}
	if len(q.suspectedBy) < maxSuspectedBy {
		q.suspectedBy = append(q.suspectedBy, from.Name)
	}
	if q.probedSince == 0 && q.State != Dead {
		q.probedSince = now // probe it ourselves
	}
	if u.Claim == claimDead && now-q.heardAt >= d.timing.SuspectAfter { // confirmed elsewhere: the time to confirm starts here at once
		d.transition(now, q, unresponsive, start{})
	}
}

// handleOwnUpdate handles an update on this sender. If the fleet knows a later start on this folder, ours is an older copy of it, and we
// continue with an incarnation above that start.
func (d *Detector) handleOwnUpdate(now int64, u Update) {
	if d.leaving || u.Folder != d.self.Folder || u.Incarnation < d.self.Incarnation ||
		u.Incarnation == d.self.Incarnation && u.Claim != claimLeft && u.Heartbeat <= d.self.heartbeat {
		return
	}
	d.counts.StaleCopy++
	heartbeat := d.self.heartbeat
	d.transition(now, d.self, started, start{u.Folder, u.Incarnation + 1})
	d.self.heartbeat = max(heartbeat, 1)
}

// replies answers the requests in m.
func (d *Detector) replies(now int64, p *peer, m Msg) []post.PeerMessage[Msg] {
	var updates []Update
	for _, id := range m.Queried {
		q := d.byID[id]
		if q == nil || q == d.self || q == p {
			continue
		}
		if q.Incarnation > 0 {
			updates = append(updates, d.updateOn(now, q))
		}
		if q.State == Alive && q.probedSince == 0 && now-q.heardAt >= d.timing.ProbeAfter {
			q.probedSince = now
		}
	}
	var messages []post.PeerMessage[Msg]
	if len(updates) > 0 || m.Flags&flagReply != 0 {
		messages = append(messages, d.reply(p, updates))
	}
	if m.Flags&flagFullList != 0 && (p.fullListAt == 0 || now-p.fullListAt >= fullListGap) {
		p.fullListAt = now
		messages = append(messages, d.fullList(now, p)...)
	}
	return messages
}

func (d *Detector) reply(p *peer, updates []Update) post.PeerMessage[Msg] {
	d.self.heartbeat++ // so that it is newer than what the requester has learned through others
	m := d.ownHeartbeat()
	m.Updates = updates
	if slices.Contains(d.monitors(), p) {
		m.Flags = flagMonitored
	}
	return post.PeerMessage[Msg]{To: p.Name, Slot: "answer", Msg: m}
}

func (d *Detector) fullList(now int64, to *peer) []post.PeerMessage[Msg] {
	var updates []Update
	for _, q := range d.peers {
		if q != to && q.Incarnation > 0 {
			updates = append(updates, d.updateOn(now, q))
		}
	}
	var messages []post.PeerMessage[Msg]
	for i, part := range slices.Collect(slices.Chunk(updates, fullListChunk)) {
		m := d.reply(to, part)
		m.Slot = fmt.Sprintf("whole/%d", i)
		messages = append(messages, m)
	}
	return messages
}

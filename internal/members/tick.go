package members

import (
	"slices"

	"ravenlink/internal/post"
)

// Tick advances time and returns the messages to send. Call it at least once per heartbeat interval.
func (d *Detector) Tick(now int64) []post.PeerMessage[Msg] {
	d.ensureStarted(now)
	d.compensatePause(now)
	d.lastTick = now
	if now < d.nextHeartbeat || d.leaving {
		return nil
	}
	d.nextHeartbeat = max(d.nextHeartbeat+d.timing.HeartbeatInterval, now+d.timing.HeartbeatInterval/2)
	d.self.heartbeat++
	for _, p := range d.peers {
		d.checkTimeouts(now, p)
	}
	o := outbox{to: map[*peer]int{}}
	for _, w := range d.monitors() {
		o.msg(d, w).Flags |= flagMonitored
	}
	d.sendRoundRobin(now, &o)
	d.probeSilent(now, &o)
	d.piggyback(now, &o)
	return o.messages
}

// compensatePause shifts timeouts after a pause of this process, so that the pause does not count as silence of others.
func (d *Detector) compensatePause(now int64) {
	gap := now - d.lastTick - d.timing.HeartbeatInterval
	if gap < d.timing.HeartbeatInterval {
		return
	}
	for _, p := range d.peers {
		p.heardAt = min(now, p.heardAt+gap)
		if p.probedSince > 0 {
			p.probedSince = min(now, p.probedSince+gap)
		}
		if p.State == Suspect {
			p.Since = min(now, p.Since+gap)
		}
	}
}

// checkTimeouts applies the state changes that are due to time alone.
func (d *Detector) checkTimeouts(now int64, p *peer) {
	if p.flaps > 0 && now-p.flappedAt >= flapDecay {
		p.flaps, p.flappedAt = p.flaps-1, now
	}
	silence := now - p.heardAt
	if p.recoveringSince > 0 && silence >= d.timing.SuspectAfter {
		p.recoveringSince = 0
	}
	switch p.State {
	case Alive:
		if p.probedSince == 0 && (p.monitored && silence >= d.timing.ProbeAfter || p.pingedAt > 0 && now-p.pingedAt >= d.timing.ProbeAfter) {
			p.probedSince = now
		}
		if p.probedSince > 0 && now-p.probedSince >= d.timing.SuspectAfter-d.timing.ProbeAfter && silence >= d.timing.SuspectAfter {
			d.transition(now, p, unresponsive, start{})
		}
	case Suspect:
		if p.probedSince == 0 {
			p.probedSince = now
		}
		if now-p.Since >= d.timing.ConfirmAfter && silence >= d.timing.SuspectAfter &&
			(1+len(p.suspectedBy) >= d.quorumFor(p) || silence >= d.timing.MaxSilence) {
			d.transition(now, p, confirmed, start{})
			p.probedSince = 0
		}
	}
}

// quorumFor returns how many members must have probed p in vain.
func (d *Detector) quorumFor(p *peer) int {
	n := 1
	for _, q := range d.peers {
		if q != p && q.State == Alive {
			n++
		}
	}
	return min(n, d.timing.Quorum)
}

// monitors returns the first members on the ring that are alive or suspect.
func (d *Detector) monitors() []*peer {
	var ws []*peer
	for _, p := range d.ring {
		if len(ws) == d.timing.Watchers {
			break
		}
		if p.State == Alive || p.State == Suspect {
			ws = append(ws, p)
		}
	}
	return ws
}

// outbox collects one message per member.
type outbox struct {
	messages []post.PeerMessage[Msg]
	to       map[*peer]int
}

func (o *outbox) msg(f *Detector, p *peer) *Msg {
	i, ok := o.to[p]
	if !ok {
		i = len(o.messages)
		o.to[p] = i
		o.messages = append(o.messages, post.PeerMessage[Msg]{To: p.Name, Slot: "beat", Msg: f.ownHeartbeat()})
	}
	return &o.messages[i].Msg
}

// sendRoundRobin sends heartbeats to the next members of the list, including dead ones, and fills the messages with updates. Half of them
// are on members that changed recently, for receivers that no earlier message about the change has reached.
func (d *Detector) sendRoundRobin(now int64, o *outbox) {
	n := len(d.peers)
	for i := 0; i < min(d.timing.RoundRobin, n); i++ {
		d.roundRobin = (d.roundRobin + 1) % n
		p := d.peers[d.roundRobin]
		if p.State == Left {
			continue
		}
		m := o.msg(d, p)
		m.Flags |= flagReply
		if p.pingedAt == 0 {
			p.pingedAt = now
		}
		if p.Incarnation == 0 || p.State == Dead {
			m.Flags |= flagFullList
		}
		for k := 0; k < n && len(m.Updates) < d.timing.MaxUpdates/2; k++ {
			d.recentCursor = (d.recentCursor + 1) % n
			if q := d.peers[d.recentCursor]; q != p && q.Incarnation > 0 && now-q.Since < recentWindow {
				m.Updates = append(m.Updates, d.updateOn(now, q))
			}
		}
		for k := 0; k < n && len(m.Updates) < d.timing.MaxUpdates; k++ {
			d.fillCursor = (d.fillCursor + 1) % n
			if q := d.peers[d.fillCursor]; q != p && q.Incarnation > 0 && now-q.heardAt < d.timing.MaxSilence {
				m.Updates = append(m.Updates, d.updateOn(now, q))
			}
		}
	}
}

// probeSilent pings the members in question. Helpers are asked only after that had its time: if a question caused others to ask at once,
// the questions would never end.
func (d *Detector) probeSilent(now int64, o *outbox) {
	n := 0
	for _, p := range d.peers {
		if n == maxProbes {
			return
		}
		if p.State == Left || p.probedSince == 0 && p.recoveringSince == 0 {
			continue
		}
		n++
		o.msg(d, p).Flags |= flagReply
		if p.recoveringSince > 0 || now-p.probedSince >= d.timing.HeartbeatInterval*3/4 {
			d.probeIndirectly(p, o)
		}
	}
}

// probeIndirectly asks some of the members that should receive every heartbeat of p about it, in rotation.
func (d *Detector) probeIndirectly(p *peer, o *outbox) {
	at := slices.Index(d.ring, p)
	var ws []*peer
	for i := 1; i < len(d.ring) && len(ws) < d.timing.Watchers; i++ {
		if w := d.ring[(at+i)%len(d.ring)]; w.State == Alive {
			ws = append(ws, w)
		}
	}
	for range min(helpersPerProbe, len(ws)) {
		d.helperCursor++
		m := o.msg(d, ws[d.helperCursor%len(ws)])
		if len(m.Queried) < maxProbes {
			m.Queried = append(m.Queried, p.id)
		}
	}
}

// piggyback adds changes and current suspicions to the messages that are sent anyway.
func (d *Detector) piggyback(now int64, o *outbox) {
	for _, p := range d.peers {
		if p.sendsLeft == 0 && p.State != Suspect || p.Incarnation == 0 {
			continue
		}
		u := d.updateOn(now, p)
		for i := range o.messages {
			m := &o.messages[i]
			if m.To == p.Name || len(m.Msg.Updates) >= max(d.timing.MaxUpdates, 2*updateCopies) {
				continue
			}
			m.Msg.Updates = append(m.Msg.Updates, u)
		}
		p.sendsLeft = max(0, p.sendsLeft-1)
	}
}

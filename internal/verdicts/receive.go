package verdicts

import (
	"slices"

	"ravenlink/internal/post"
)

// Receive handles a peer message and returns the facts that it added or withdrew, and the messages to send.
func (t *Table) Receive(now int64, from string, m Msg) (changes []Fact, messages []post.PeerMessage[Msg]) {
	return t.ReceiveWithin(now, -1, from, m)
}

// ReceiveWithin is Receive for a link that bounds the age of the message to maxTransit µs; -1 if it does not. That bound dates facts of a
// sender whose clock is not known yet. If it is, the timestamps date them and also count the time before the message reached the link.
func (t *Table) ReceiveWithin(now, maxTransit int64, from string, m Msg) (changes []Fact, messages []post.PeerMessage[Msg]) {
	t.start(now)
	p := t.peers[from]
	switch {
	case p == nil:
		t.counts.Unlisted++
		return nil, nil
	case m.Incarnation == 0 || m.SentAt < 0 || m.Echo < 0 || len(m.Facts) > maxFacts || len(m.Digest) > 1 && len(m.Digest) != buckets:
		t.counts.Invalid++
		return nil, nil
	case m.Incarnation < p.clock.incarnation:
		return nil, nil // late message of an earlier process
	}
	t.refill(now)
	transit := p.clock.update(now, t.incarnation, m)
	if transit < 0 {
		transit = maxTransit
	}
	if transit < 0 && len(m.Facts) > 0 {
		t.counts.Undated++
		if p.resendRequestedAt > 0 && now-p.resendRequestedAt < t.timing.GossipInterval {
			return nil, nil
		}
		p.resendRequestedAt = now
		return nil, []post.PeerMessage[Msg]{t.newMessage(now, from, "answer", Msg{Flags: flagEcho | flagResend})}
	}
	p.incarnation = max(p.incarnation, m.Incarnation)
	var toForward []*record
	for _, w := range m.Facts {
		r := t.accept(now, transit, w)
		if r == nil {
			continue
		}
		changes = append(changes, r.factAt(now))
		if t.corroborated(now, r) && !r.Withdrawn {
			r.sendsLeft = 0
			continue
		}
		toForward = append(toForward, r)
	}
	switch {
	case len(toForward) == 0:
	case m.Flags&flagLast == 0 && len(toForward) <= fanout:
		messages = t.sendNow(now, toForward)
	default: // part of a table from an exchange, not news: each fact is sent once more
		for _, r := range toForward {
			r.sendsLeft = 1
		}
	}
	return changes, append(messages, t.reply(now, p, m)...)
}

// accept stores one fact that was in transit for at most the given time.
func (t *Table) accept(now, transit int64, w wireFact) *record {
	f := w.fact()
	switch {
	case f.Kind.MaxAge() == 0:
		t.counts.Unknown++
		return nil
	case !f.valid():
		t.counts.Invalid++
		return nil
	case f.Origin == t.self && (f.Incarnation > t.incarnation || f.Incarnation == t.incarnation && f.Version > t.version):
		t.counts.Future++
		return nil
	case f.Origin != t.self && t.peers[f.Origin] == nil:
		t.counts.Unlisted++
		return nil
	case f.Origin != t.self && t.peers[f.Origin].incarnation > 0 && f.Incarnation > t.peers[f.Origin].incarnation:
		t.counts.Future++
		return nil
	}
	e := entry{Fact: f, latestSeen: now - f.Age, earliestSeen: now - transit - f.Age - f.Slack}
	e.Age, e.Slack = 0, 0
	if old := t.find(f.key()); old != nil && compareVersions(old.Fact, e.Fact) == 0 {
		old.sendsLeft = max(0, old.sendsLeft-1) // others forward it as well
	}
	return t.put(now, e)
}

// reply answers the requests in m.
func (t *Table) reply(now int64, p *peer, m Msg) []post.PeerMessage[Msg] {
	if m.Flags&(flagInSync|flagLast) != 0 {
		t.syncedWith[p.name] = true
	}
	switch {
	case t.tokens < -float64(t.bounds.BytesPerSec): // already in debt by a second's budget: the peer will ask again, and ask others
		return nil
	case m.Flags&flagResend != 0:
		return t.resend(now, p)
	case len(m.Digest) == 1:
		if slices.Equal(m.Digest, t.rootDigest(now)) {
			return []post.PeerMessage[Msg]{t.newMessage(now, p.name, "answer", Msg{Flags: flagInSync})}
		}
		return []post.PeerMessage[Msg]{t.newMessage(now, p.name, "parts", Msg{Digest: t.digest(now)})}
	case len(m.Digest) == buckets:
		var want uint32
		for i, d := range t.digest(now) {
			if d != m.Digest[i] {
				want |= 1 << i
			}
		}
		return t.delta(now, p.name, want, nil, want)
	case m.WantBuckets != 0:
		known := map[uint32]bool{}
		for _, w := range m.Facts {
			f := w.fact()
			known[entry{Fact: f, earliestSeen: -f.Slack}.fingerprint()] = true
		}
		return t.delta(now, p.name, m.WantBuckets, known, 0)
	case m.Flags&flagEcho != 0:
		return []post.PeerMessage[Msg]{t.newMessage(now, p.name, "answer", Msg{})}
	}
	return nil
}

// resend sends recent facts to a peer that could not date them.
func (t *Table) resend(now int64, p *peer) []post.PeerMessage[Msg] {
	var facts []wireFact
	bytes := headerSize
	t.forEach(now, func(r *record) {
		if w := pack(r.factAt(now)); now-r.latestSeen < maxResendAge && bytes+w.size() <= t.bounds.MaxBytes {
			bytes += w.size()
			facts = append(facts, w)
		}
	})
	return []post.PeerMessage[Msg]{t.newMessage(now, p.name, "again", Msg{Facts: facts})}
}

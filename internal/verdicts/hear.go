package verdicts

import (
	"slices"

	"ravenlink/internal/post"
)

// Heard takes in a letter: news are the facts that came in, or were withdrawn, by it.
func (t *Table) Heard(now int64, from string, m Msg) (news []Fact, letters []post.Letter[Msg]) {
	return t.HeardWithin(now, -1, from, m)
}

// HeardWithin is Heard where the link itself bounds the letter's age, in µs; -1 where it does not. That dates facts of a sender whose clock
// is not known yet; where it is, the stamps do, which also count what passed before the letter came to the link.
func (t *Table) HeardWithin(now, most int64, from string, m Msg) (news []Fact, letters []post.Letter[Msg]) {
	t.begin(now)
	p := t.peers[from]
	switch {
	case p == nil:
		t.counts.Unlisted++
		return nil, nil
	case m.Incarnation == 0 || m.Stamp < 0 || m.Echo < 0 || len(m.Facts) > maxFacts || len(m.Digest) > 1 && len(m.Digest) != buckets:
		t.counts.Absurd++
		return nil, nil
	case m.Incarnation < p.clock.incarnation:
		return nil, nil // a late letter of a process that is no more
	}
	t.refill(now)
	travel := p.clock.hear(now, t.incarnation, m)
	if travel < 0 {
		travel = most
	}
	if travel < 0 && len(m.Facts) > 0 {
		t.counts.Undated++
		if p.again > 0 && now-p.again < t.t.Hot {
			return nil, nil
		}
		p.again = now
		return nil, []post.Letter[Msg]{t.letter(now, from, "answer", Msg{Flags: flagEcho | flagAgain})}
	}
	p.incarnation = max(p.incarnation, m.Incarnation)
	var fresh []*held
	for _, w := range m.Facts {
		h := t.take(now, travel, w)
		if h == nil {
			continue
		}
		news = append(news, h.at(now))
		if t.echoed(now, h) && !h.Withdrawn {
			h.copies = 0
			continue
		}
		fresh = append(fresh, h)
	}
	switch {
	case len(fresh) == 0:
	case m.Flags&flagLast == 0 && len(fresh) <= fanout:
		letters = t.atOnce(now, fresh)
	default: // a whole part of a table is no rumour
		for _, h := range fresh {
			h.copies = 1
		}
	}
	return news, append(letters, t.answer(now, p, m)...)
}

// take takes in one fact that travelled at most so long.
func (t *Table) take(now, travel int64, w wire) *held {
	f := w.fact()
	switch {
	case f.Kind.Greatest() == 0:
		t.counts.Unknown++
		return nil
	case !f.sane():
		t.counts.Absurd++
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
	e := entry{Fact: f, seen: now - f.Age, surely: now - travel - f.Age - f.Slack}
	e.Age, e.Slack = 0, 0
	if old := t.find(f.key()); old != nil && newer(old.Fact, e.Fact) == 0 {
		old.copies = max(0, old.copies-1) // others pass it on as well
	}
	return t.put(now, e)
}

// answer what m asks for.
func (t *Table) answer(now int64, p *peer, m Msg) []post.Letter[Msg] {
	if m.Flags&(flagSame|flagLast) != 0 {
		t.learnt[p.name] = true
	}
	switch {
	case t.tokens < -float64(t.room.Rate): // a second in debt already: whoever asks will ask again, and another one
		return nil
	case m.Flags&flagAgain != 0:
		return t.again(now, p)
	case len(m.Digest) == 1:
		if slices.Equal(m.Digest, t.root(now)) {
			return []post.Letter[Msg]{t.letter(now, p.name, "answer", Msg{Flags: flagSame})}
		}
		return []post.Letter[Msg]{t.letter(now, p.name, "parts", Msg{Digest: t.digest(now)})}
	case len(m.Digest) == buckets:
		var want uint32
		for i, d := range t.digest(now) {
			if d != m.Digest[i] {
				want |= 1 << i
			}
		}
		return t.delta(now, p.name, want, nil, want)
	case m.Want != 0:
		had := map[uint32]bool{}
		for _, w := range m.Facts {
			f := w.fact()
			had[entry{Fact: f, surely: -f.Slack}.mark()] = true
		}
		return t.delta(now, p.name, m.Want, had, 0)
	case m.Flags&flagEcho != 0:
		return []post.Letter[Msg]{t.letter(now, p.name, "answer", Msg{})}
	}
	return nil
}

// again sends what is young to one who could not date it.
func (t *Table) again(now int64, p *peer) []post.Letter[Msg] {
	var facts []wire
	bytes := head
	t.each(now, func(h *held) {
		if w := pack(h.at(now)); now-h.seen < freshHear && bytes+w.size() <= t.room.Letter {
			bytes += w.size()
			facts = append(facts, w)
		}
	})
	return []post.Letter[Msg]{t.letter(now, p.name, "again", Msg{Facts: facts})}
}

package members

import (
	"slices"

	"ravenlink/internal/post"
)

// Tick lets time pass. Call it at least once a beat; what it returns is to be sent.
func (f *Fleet) Tick(now int64) []post.Letter[Msg] {
	f.begin(now)
	f.paused(now)
	f.last = now
	if now < f.next || f.leaving {
		return nil
	}
	f.next = max(f.next+f.t.Beat, now+f.t.Beat/2)
	f.self.beat++
	for _, p := range f.peers {
		f.review(now, p)
	}
	o := outbox{to: map[*peer]int{}}
	for _, w := range f.watchers() {
		o.msg(f, w).Flags |= flagWatch
	}
	f.inTurn(now, &o)
	f.questions(now, &o)
	f.hot(now, &o)
	return o.letters
}

// paused: a pause of our own is not the others' silence.
func (f *Fleet) paused(now int64) {
	gap := now - f.last - f.t.Beat
	if gap < f.t.Beat {
		return
	}
	for _, p := range f.peers {
		p.heard = min(now, p.heard+gap)
		if p.asked > 0 {
			p.asked = min(now, p.asked+gap)
		}
		if p.State == Doubted {
			p.Since = min(now, p.Since+gap)
		}
	}
}

// review finds what time alone has changed.
func (f *Fleet) review(now int64, p *peer) {
	if p.flaps > 0 && now-p.flapped >= flapFade {
		p.flaps, p.flapped = p.flaps-1, now
	}
	silence := now - p.heard
	if p.base > 0 && silence >= f.t.Doubt {
		p.base = 0
	}
	switch p.State {
	case Alive:
		if p.asked == 0 && (p.watched && silence >= f.t.Ask || p.pinged > 0 && now-p.pinged >= f.t.Ask) {
			p.asked = now
		}
		if p.asked > 0 && now-p.asked >= f.t.Doubt-f.t.Ask && silence >= f.t.Doubt {
			f.step(now, p, silent, start{})
		}
	case Doubted:
		if p.asked == 0 {
			p.asked = now
		}
		if now-p.Since >= f.t.Confirm && silence >= f.t.Doubt && (1+len(p.doubters) >= f.need(p) || silence >= f.t.Silence) {
			f.step(now, p, agreed, start{})
			p.asked = 0
		}
	}
}

// need is how many have to have asked for p in vain.
func (f *Fleet) need(p *peer) int {
	n := 1
	for _, q := range f.peers {
		if q != p && q.State == Alive {
			n++
		}
	}
	return min(n, f.t.Agree)
}

// watchers are the first on the ring that may hear.
func (f *Fleet) watchers() []*peer {
	var ws []*peer
	for _, p := range f.ring {
		if len(ws) == f.t.Watchers {
			break
		}
		if p.State == Alive || p.State == Doubted {
			ws = append(ws, p)
		}
	}
	return ws
}

// outbox gathers one letter a member.
type outbox struct {
	letters []post.Letter[Msg]
	to      map[*peer]int
}

func (o *outbox) msg(f *Fleet, p *peer) *Msg {
	i, ok := o.to[p]
	if !ok {
		i = len(o.letters)
		o.to[p] = i
		o.letters = append(o.letters, post.Letter[Msg]{To: p.Name, Slot: "beat", Msg: f.own()})
	}
	return &o.letters[i].Msg
}

// inTurn beats to the next ones of the list, those gone among them, and fills their letters with words: half of them on
// members that changed lately, for those whom no letter on that has reached.
func (f *Fleet) inTurn(now int64, o *outbox) {
	n := len(f.peers)
	for i := 0; i < min(f.t.Turns, n); i++ {
		f.turn = (f.turn + 1) % n
		p := f.peers[f.turn]
		if p.State == Left {
			continue
		}
		m := o.msg(f, p)
		m.Flags |= flagAnswer
		if p.pinged == 0 {
			p.pinged = now
		}
		if p.Incarnation == 0 || p.State == Gone {
			m.Flags |= flagWhole
		}
		for k := 0; k < n && len(m.Words) < f.t.Words/2; k++ {
			f.late = (f.late + 1) % n
			if q := f.peers[f.late]; q != p && q.Incarnation > 0 && now-q.Since < lately {
				m.Words = append(m.Words, f.word(now, q))
			}
		}
		for k := 0; k < n && len(m.Words) < f.t.Words; k++ {
			f.fill = (f.fill + 1) % n
			if q := f.peers[f.fill]; q != p && q.Incarnation > 0 && now-q.heard < f.t.Silence {
				m.Words = append(m.Words, f.word(now, q))
			}
		}
	}
}

// questions: those in question are asked themselves. Others are asked about them only once that had its time: a question that makes
// others ask at once goes on for ever.
func (f *Fleet) questions(now int64, o *outbox) {
	n := 0
	for _, p := range f.peers {
		if n == probes {
			return
		}
		if p.State == Left || p.asked == 0 && p.base == 0 {
			continue
		}
		n++
		o.msg(f, p).Flags |= flagAnswer
		if p.base > 0 || now-p.asked >= f.t.Beat*3/4 {
			f.askers(p, o)
		}
	}
}

// askers: some of those who should hear every beat of p, by turns, are asked about it.
func (f *Fleet) askers(p *peer, o *outbox) {
	at := slices.Index(f.ring, p)
	var ws []*peer
	for i := 1; i < len(f.ring) && len(ws) < f.t.Watchers; i++ {
		if w := f.ring[(at+i)%len(f.ring)]; w.State == Alive {
			ws = append(ws, w)
		}
	}
	for range min(asks, len(ws)) {
		f.asking++
		m := o.msg(f, ws[f.asking%len(ws)])
		if len(m.Asked) < probes {
			m.Asked = append(m.Asked, p.id)
		}
	}
}

// hot puts changes, and doubts that stand, into the letters that go out anyway.
func (f *Fleet) hot(now int64, o *outbox) {
	for _, p := range f.peers {
		if p.hot == 0 && p.State != Doubted || p.Incarnation == 0 {
			continue
		}
		w := f.word(now, p)
		for i := range o.letters {
			l := &o.letters[i]
			if l.To == p.Name || len(l.Msg.Words) >= max(f.t.Words, 2*copies) {
				continue
			}
			l.Msg.Words = append(l.Msg.Words, w)
		}
		p.hot = max(0, p.hot-1)
	}
}

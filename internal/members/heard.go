package members

import (
	"fmt"
	"slices"

	"ravenlink/internal/post"
)

// Heard takes in a letter of another member.
func (f *Fleet) Heard(now int64, from string, m Msg) []post.Letter[Msg] {
	f.begin(now)
	p := f.byName[from]
	switch {
	case p == nil || p == f.self:
		f.counts.Unlisted++
		return nil
	case m.Incarnation == 0 || m.Folder == 0 || m.Beat == 0 || len(m.Words) > mostWords || len(m.Asked) > mostWords,
		p.Incarnation > 0 && p.Folder == m.Folder && m.Incarnation > p.Incarnation+leap:
		f.counts.Absurd++
		return nil
	}
	if !f.current(now, p, start{m.Folder, m.Incarnation}) {
		f.counts.Stale++ // it may run on an older copy of its folder: it has to know
		return []post.Letter[Msg]{f.reply(p, []Word{f.word(now, p)})}
	}
	if m.Flags&flagLeaves != 0 {
		f.step(now, p, told, start{})
		return nil
	}
	p.watched = m.Flags&flagWatch != 0
	var letters []post.Letter[Msg]
	if m.Beat < p.beat { // late, or of an older copy of its folder, which has to know
		letters = append(letters, f.reply(p, []Word{f.word(now, p)}))
	}
	f.evidence(now, p, m.Beat, now)
	for _, w := range m.Words {
		f.take(now, p, w)
	}
	return append(letters, f.answers(now, p, m)...)
}

// current takes in which start of p is spoken of; false for one that is over.
func (f *Fleet) current(now int64, p *peer, s start) bool {
	if s.folder == p.Folder {
		if s.incarnation > p.Incarnation {
			f.step(now, p, started, s)
		}
		return s.incarnation == p.Incarnation && p.State != Left
	}
	for _, old := range p.past {
		if old.folder == s.folder && s.incarnation <= old.incarnation {
			return false
		}
	}
	f.step(now, p, started, s)
	return true
}

// evidence is that p sent this beat of its present incarnation, at about the time at.
func (f *Fleet) evidence(now int64, p *peer, beat uint64, at int64) bool {
	if beat <= p.beat || p.State == Left {
		return false
	}
	p.beat, p.doubters = beat, nil
	p.heard = max(p.heard, min(at, now))
	if now-p.heard < f.t.Ask {
		p.asked, p.pinged = 0, 0
	}
	if p.State == Alive || now-p.heard >= f.t.Doubt {
		return true
	}
	p.hot = max(p.hot, 1)
	switch {
	case p.base == 0:
		p.base = now
	case now-p.base >= int64(f.t.Returns)*f.t.Beat<<p.flaps:
		if p.State == Gone && p.lived {
			p.flaps, p.flapped = min(p.flaps+1, flapsMost), now
		}
		p.base, p.lived = 0, true
		f.step(now, p, steady, start{})
	}
	return true
}

// take takes in what from says of another.
func (f *Fleet) take(now int64, from *peer, w Word) {
	q := f.byID[w.Member]
	switch {
	case q == nil:
		f.counts.Unlisted++
		return
	case w.Incarnation == 0 || w.Folder == 0 || w.Said > saidLeft || w.Incarnation > q.Incarnation+leap && q.Folder == w.Folder:
		f.counts.Absurd++
		return
	case q == f.self:
		f.ofSelf(now, w)
		return
	case q == from:
		return
	}
	if !f.current(now, q, start{w.Folder, w.Incarnation}) {
		return
	}
	if w.Said == saidLeft {
		f.step(now, q, told, start{})
		return
	}
	f.evidence(now, q, w.Beat, now-int64(w.Age)*1000)
	if w.Said == saidHeard || w.Beat < q.beat || now-q.heard < f.t.Ask || slices.Contains(q.doubters, from.Name) {
		return
	}
	if len(q.doubters) < doubtersN {
		q.doubters = append(q.doubters, from.Name)
	}
	if q.asked == 0 && q.State != Gone {
		q.asked = now // see for ourselves
	}
	if w.Said == saidGone && now-q.heard >= f.t.Doubt { // that was agreed on elsewhere: here the time to confirm begins at once
		f.step(now, q, silent, start{})
	}
}

// ofSelf: the fleet knows of a later start on this very folder than ours, so ours is an older copy of it: go past that start.
func (f *Fleet) ofSelf(now int64, w Word) {
	if f.leaving || w.Folder != f.self.Folder || w.Incarnation < f.self.Incarnation ||
		w.Incarnation == f.self.Incarnation && w.Said != saidLeft && w.Beat <= f.self.beat {
		return
	}
	f.counts.Twin++
	beat := f.self.beat
	f.step(now, f.self, started, start{w.Folder, w.Incarnation + 1})
	f.self.beat = max(beat, 1)
}

// answers to what m wants to know.
func (f *Fleet) answers(now int64, p *peer, m Msg) []post.Letter[Msg] {
	var words []Word
	for _, id := range m.Asked {
		q := f.byID[id]
		if q == nil || q == f.self || q == p {
			continue
		}
		if q.Incarnation > 0 {
			words = append(words, f.word(now, q))
		}
		if q.State == Alive && q.asked == 0 && now-q.heard >= f.t.Ask {
			q.asked = now
		}
	}
	var letters []post.Letter[Msg]
	if len(words) > 0 || m.Flags&flagAnswer != 0 {
		letters = append(letters, f.reply(p, words))
	}
	if m.Flags&flagWhole != 0 && (p.whole == 0 || now-p.whole >= wholeGap) {
		p.whole = now
		letters = append(letters, f.wholeList(now, p)...)
	}
	return letters
}

func (f *Fleet) reply(p *peer, words []Word) post.Letter[Msg] {
	f.self.beat++ // so that it counts as newer than what the asker has by way of others
	m := f.own()
	m.Words = words
	if slices.Contains(f.watchers(), p) {
		m.Flags = flagWatch
	}
	return post.Letter[Msg]{To: p.Name, Slot: "answer", Msg: m}
}

func (f *Fleet) wholeList(now int64, to *peer) []post.Letter[Msg] {
	var words []Word
	for _, q := range f.peers {
		if q != to && q.Incarnation > 0 {
			words = append(words, f.word(now, q))
		}
	}
	var letters []post.Letter[Msg]
	for i, part := range slices.Collect(slices.Chunk(words, wholeMost)) {
		l := f.reply(to, part)
		l.Slot = fmt.Sprintf("whole/%d", i)
		letters = append(letters, l)
	}
	return letters
}

package verdicts

import (
	"slices"
	"strconv"

	"ravenlink/internal/post"
)

// letter to one other, its bytes counted against the rate.
func (t *Table) letter(now int64, to, slot string, m Msg) post.Letter[Msg] {
	m.Incarnation, m.Stamp = t.incarnation, now
	t.peers[to].clock.echo(now, &m)
	bytes := m.size()
	t.tokens -= float64(bytes)
	t.counts.Bytes += uint64(bytes)
	return post.Letter[Msg]{To: to, Slot: slot, Msg: m}
}

// numbered slots: letters of facts must not take one another's place too soon.
func (t *Table) numbered(kind string) string {
	t.letterNo++
	return kind + strconv.FormatUint(t.letterNo%32, 10)
}

func (t *Table) refill(now int64) {
	rate := float64(t.room.Rate)
	t.tokens = min(t.tokens+rate*float64(now-t.filled)/1e6, burst*rate)
	t.filled = now
}

// next names up to n of those who are told, in turn.
func (t *Table) next(n int) []string {
	var to []string
	for i := 0; i < len(t.told) && len(to) < n; i++ {
		t.turn = (t.turn + 1) % len(t.told)
		if name := t.told[t.turn]; t.peers[name] != nil {
			to = append(to, name)
		}
	}
	return to
}

// atOnce sends what is new to a few; without bytes left it waits for its round.
func (t *Table) atOnce(now int64, hs []*held) []post.Letter[Msg] {
	t.refill(now)
	if t.tokens <= 0 || len(t.told) == 0 {
		return nil
	}
	var facts []wire
	for _, h := range hs {
		facts = append(facts, pack(h.at(now)))
		h.copies--
	}
	var letters []post.Letter[Msg]
	slot := t.numbered("new/")
	for _, to := range t.next(fanout) {
		letters = append(letters, t.letter(now, to, slot, Msg{Facts: facts}))
	}
	return letters
}

// Tick lets time pass: facts go by their age, hot ones go out, and now and then all is compared with another.
func (t *Table) Tick(now int64) []post.Letter[Msg] {
	t.begin(now)
	if now < t.nextHot {
		return nil
	}
	t.nextHot = max(t.nextHot+t.t.Hot, now+t.t.Hot/2)
	t.refill(now)
	t.sweep(func(h *held) bool { return !h.over(now) })
	letters := t.round(now)
	if t.tokens > 0 && !t.Learning(now) {
		letters = append(letters, t.acquaint(now)...)
		letters = append(letters, t.makeUp(now)...)
	}
	every := t.t.Exchange
	if t.Learning(now) {
		every /= 4
	}
	if now < t.nextComp || t.tokens <= 0 {
		return letters
	}
	t.nextComp = now + every
	n := 1
	if t.Learning(now) {
		n = learnFrom
	}
	for _, to := range t.next(n) {
		letters = append(letters, t.compare(now, to))
	}
	return letters
}

func (t *Table) compare(now int64, to string) post.Letter[Msg] {
	return t.letter(now, to, "digest", Msg{Flags: flagEcho, Digest: t.root(now)})
}

// makeUp compares with a few who were gone and are back, without waiting for their turn.
func (t *Table) makeUp(now int64) (letters []post.Letter[Msg]) {
	for _, name := range t.told {
		if p := t.peers[name]; p != nil && p.missed && len(letters) < learnFrom {
			p.missed = false
			letters = append(letters, t.compare(now, name))
		}
	}
	return letters
}

// round sends the newest of what is hot to a few.
func (t *Table) round(now int64) []post.Letter[Msg] {
	t.hot = slices.DeleteFunc(t.hot, func(h *held) bool {
		h.listed = h.copies > 0
		return !h.listed
	})
	if len(t.hot) == 0 || t.tokens <= 0 || len(t.told) == 0 {
		return nil
	}
	var facts []wire
	bytes := head
	for i := len(t.hot) - 1; i >= 0; i-- {
		w := pack(t.hot[i].at(now))
		if bytes += w.size(); bytes > t.room.Letter && len(facts) > 0 {
			break
		}
		facts = append(facts, w)
		t.hot[i].copies--
	}
	var letters []post.Letter[Msg]
	slot := t.numbered("hot/")
	for _, to := range t.next(fanout) {
		letters = append(letters, t.letter(now, to, slot, Msg{Facts: facts}))
	}
	return letters
}

// acquaint asks one whose clock is not known yet for an echo, so that its first facts can be dated when they come.
func (t *Table) acquaint(now int64) []post.Letter[Msg] {
	for range t.told {
		t.turn = (t.turn + 1) % len(t.told)
		if p := t.peers[t.told[t.turn]]; p != nil && !p.clock.known {
			return []post.Letter[Msg]{t.letter(now, p.name, "echo", Msg{Flags: flagEcho})}
		}
	}
	return nil
}

// each entry that is compared, in a stated order.
func (t *Table) each(now int64, do func(*held)) {
	for _, s := range t.order {
		for _, h := range t.subjects[s] {
			if !h.quiet && !h.over(now) {
				do(h)
			}
		}
	}
}

// digest of each bucket.
func (t *Table) digest(now int64) []uint32 {
	d := make([]uint32, buckets)
	t.each(now, func(h *held) { d[h.bucket()] ^= h.mark() })
	return d
}

func (t *Table) root(now int64) []uint32 {
	var r uint32
	for i, d := range t.digest(now) {
		r ^= uint32(mix(uint64(d) + uint64(i)<<32))
	}
	return []uint32{r}
}

// delta is what is here in the wanted buckets and was not just told, in a few letters. What does not fit is found by a later comparison.
func (t *Table) delta(now int64, to string, want uint32, had map[uint32]bool, ask uint32) []post.Letter[Msg] {
	var parts [][]wire
	bytes := t.room.Letter
	var all []*held
	t.each(now, func(h *held) {
		if want&(1<<h.bucket()) != 0 && !had[h.mark()] {
			all = append(all, h)
		}
	})
	t.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] }) // so that no part is always the one left out
	for _, h := range all {
		w := pack(h.at(now))
		if bytes+w.size() > t.room.Letter {
			if len(parts) == answers {
				break
			}
			parts, bytes = append(parts, nil), head
		}
		bytes += w.size()
		parts[len(parts)-1] = append(parts[len(parts)-1], w)
	}
	if len(parts) == 0 {
		parts = [][]wire{nil}
	}
	var letters []post.Letter[Msg]
	for i, part := range parts {
		m := Msg{Facts: part}
		if i == len(parts)-1 {
			m.Flags, m.Want = flagLast, ask
		}
		letters = append(letters, t.letter(now, to, "delta/"+strconv.Itoa(i), m))
	}
	return letters
}

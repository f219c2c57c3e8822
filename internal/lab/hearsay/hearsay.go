// Package hearsay measures in virtual time how fast a fleet hears of what some of it know: facts of destinations, and members that crash.
package hearsay

import (
	"fmt"
	"slices"

	"ravenlink/internal/lab/mesh"
	"ravenlink/internal/members"
	"ravenlink/internal/post"
	"ravenlink/internal/verdicts"
)

func names(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("sender-%04d", i)
	}
	return all
}

// Spreading is what became of facts that some senders saw.
type Spreading struct {
	Lags  []float64 // ms, sorted: for each fact and each sender that came to know of it
	Due   int       // how many there would be if all came to know
	Rate  float64   // bytes a second a sender
	Worst float64   // of the sender that sent most
}

// Within is the share of senders and facts known after so many ms.
func (s Spreading) Within(ms float64) float64 {
	i, _ := slices.BinarySearch(s.Lags, ms)
	return float64(i) / float64(s.Due)
}

// After is the time in ms after which a share knows; -1 for never.
func (s Spreading) After(share float64) float64 {
	i := int(share*float64(s.Due)+0.999999) - 1
	if i >= len(s.Lags) {
		return -1
	}
	return s.Lags[max(i, 0)]
}

type table struct {
	*verdicts.Table
	knows func(now int64, dst int64)
}

func (t table) Heard(now int64, from string, m verdicts.Msg) []post.Letter[verdicts.Msg] {
	news, letters := t.Table.Heard(now, from, m)
	for _, f := range news {
		t.knows(now, f.Dst)
	}
	return letters
}

type spread struct {
	m     *mesh.Mesh[verdicts.Msg]
	ts    []*verdicts.Table
	born  map[int64]int64
	known map[[2]int64]bool
	bytes []int
	res   Spreading
}

func newSpread(n int, loss float64, seed uint64) *spread {
	all := names(n)
	s := &spread{m: mesh.New[verdicts.Msg](all, seed), born: map[int64]int64{}, known: map[[2]int64]bool{}, bytes: make([]int, n)}
	s.m.Loss = loss
	v := members.View{Epoch: 1}
	for i, name := range all {
		v.Members = append(v.Members, members.Member{Name: name, Incarnation: 1, Folder: uint64(i + 1)})
	}
	timing, room := verdicts.Usual()
	for i, name := range all {
		t := verdicts.New(name, 1, timing, room)
		v.Self = name
		t.View(0, v)
		s.ts = append(s.ts, t)
		s.m.Nodes[i] = table{t, func(now, dst int64) { s.learn(now, int64(i), dst) }}
	}
	s.m.Run(20e6)
	s.m.Took = func(from, _, size int) { s.bytes[from] += size }
	return s
}

func (s *spread) learn(now, who, dst int64) {
	if born, ok := s.born[dst]; ok && !s.known[[2]int64{who, dst}] {
		s.known[[2]int64{who, dst}] = true
		s.res.Lags = append(s.res.Lags, float64(now-born)/1e3)
	}
}

func (s *spread) own(who int, dst int64, k verdicts.Kind) {
	if _, ok := s.born[dst]; !ok {
		s.born[dst] = s.m.Now
		s.res.Due += len(s.ts)
	}
	s.learn(s.m.Now, int64(who), dst)
	s.m.Post(who, s.ts[who].Own(s.m.Now, verdicts.Fact{Subject: verdicts.Subject{Dst: dst, Receiver: "10.0.0.1:80"}, Kind: k}))
}

func (s *spread) done(since int64) Spreading {
	span := float64(s.m.Now-since) / 1e6
	for _, b := range s.bytes {
		s.res.Rate += float64(b) / span / float64(len(s.bytes))
		s.res.Worst = max(s.res.Worst, float64(b)/span)
	}
	slices.Sort(s.res.Lags)
	return s.res
}

// Spread lets one sender after another see something new of a place of its own, once every so many µs, and then waits for 5 s.
func Spread(n int, loss float64, seed uint64, facts int, every int64) Spreading {
	s := newSpread(n, loss, seed)
	since := s.m.Now
	for k := range facts {
		s.own(k*7%n, int64(k), verdicts.Limit)
		s.m.Run(s.m.Now + every)
	}
	s.m.Run(s.m.Now + 5e6)
	return s.done(since)
}

// Burst: all senders see the same places go down within 100 ms.
func Burst(n int, loss float64, seed uint64, places int) Spreading {
	s := newSpread(n, loss, seed)
	since := s.m.Now
	for i := range n {
		for p := range places {
			// a third of the fleet sees each place itself; the others can only hear of it
			if (i+p)%3 == 0 {
				s.own(i, int64(p), verdicts.Down)
			}
		}
		s.m.Run(since + 100_000*int64(i+1)/int64(n))
	}
	s.m.Run(since + 5e6)
	return s.done(since)
}

// Watch is how a fleet watched itself.
type Watch struct {
	Found        []float64 // s after the crash, sorted: when each of the others held the member gone
	Doubts, Gone float64   // false ones, a fleet and hour
	Rate         float64   // bytes a second a member
}

// Crash runs a calm fleet for some virtual seconds and then lets one member crash.
func Crash(n int, loss float64, seed uint64, calm int64) Watch {
	all := names(n)
	m := mesh.New[members.Msg](all, seed)
	m.Loss = loss
	fs := make([]*members.Fleet, n)
	for i, name := range all {
		fs[i] = members.New(name, all, 1, uint64(1000+i), members.Usual(n))
		m.Nodes[i] = fs[i]
	}
	m.Run(60e6)
	var w Watch
	bytes, since := 0, m.Now
	m.Took = func(_, _, size int) { bytes += size }
	views := make([]members.View, n)
	for i, f := range fs {
		views[i] = f.View()
	}
	for m.Now < since+calm*1e6 {
		m.Run(m.Now + 50_000)
		for i, f := range fs {
			w.changed(&views[i], f)
		}
	}
	m.Took = nil
	w.Rate = float64(bytes) / float64(calm) / float64(n)
	w.Doubts, w.Gone = w.Doubts/float64(calm)*3600, w.Gone/float64(calm)*3600
	victim, crashed := n/2, m.Now
	m.Nodes[victim] = nil
	knows := make([]bool, n)
	for m.Now < crashed+120e6 && len(w.Found) < n-1 {
		m.Run(m.Now + 50_000)
		for i, f := range fs {
			if i == victim || knows[i] || f.Epoch() == views[i].Epoch {
				continue
			}
			views[i] = f.View()
			if x, _ := views[i].Member(all[victim]); x.State == members.Gone {
				knows[i] = true
				w.Found = append(w.Found, float64(m.Now-crashed)/1e6)
			}
		}
	}
	return w
}

func (w *Watch) changed(was *members.View, f *members.Fleet) {
	if f.Epoch() == was.Epoch {
		return
	}
	now := f.View()
	for i, x := range now.Members {
		switch {
		case x.State == was.Members[i].State:
		case x.State == members.Doubted:
			w.Doubts++
		case x.State == members.Gone:
			w.Gone++
		}
	}
	*was = now
}

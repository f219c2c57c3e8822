// Package gossip measures in virtual time how fast facts about destinations spread through a fleet, and how fast a crashed
// member is detected.
package gossip

import (
	"fmt"
	"slices"

	"ravenlink/internal/lab/mesh"
	"ravenlink/internal/members"
	"ravenlink/internal/post"
	"ravenlink/internal/verdicts"
)

func memberNames(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("sender-%04d", i)
	}
	return all
}

// Propagation is how facts that some senders observed reached the others.
type Propagation struct {
	Delays   []float64 // ms, sorted: one for each fact and each sender that learned it
	Expected int       // number of delays if every sender had learned every fact
	Rate     float64   // bytes per second, mean of all senders
	MaxRate  float64   // bytes per second of the sender that sent the most
}

// Within returns the share of facts and senders for which the sender learned the fact within ms.
func (p Propagation) Within(ms float64) float64 {
	i, _ := slices.BinarySearch(p.Delays, ms)
	return float64(i) / float64(p.Expected)
}

// After returns the time in ms after which the share is reached, or -1 if it never is.
func (p Propagation) After(share float64) float64 {
	i := int(share*float64(p.Expected)+0.999999) - 1
	if i >= len(p.Delays) {
		return -1
	}
	return p.Delays[max(i, 0)]
}

// reportingTable is a table that reports each fact it learns from others.
type reportingTable struct {
	*verdicts.Table
	onNews func(now int64, dst int64)
}

func (t reportingTable) Receive(now int64, from string, m verdicts.Msg) []post.PeerMessage[verdicts.Msg] {
	news, msgs := t.Table.Receive(now, from, m)
	for _, f := range news {
		t.onNews(now, f.Dst)
	}
	return msgs
}

// simulation is a fleet of senders that exchange facts about destinations.
type simulation struct {
	net       *mesh.Mesh[verdicts.Msg]
	tables    []*verdicts.Table
	createdAt map[int64]int64
	known     map[[2]int64]bool
	bytesSent []int
	result    Propagation
}

func newSimulation(n int, loss float64, seed uint64) *simulation {
	all := memberNames(n)
	s := &simulation{net: mesh.New[verdicts.Msg](all, seed), createdAt: map[int64]int64{}, known: map[[2]int64]bool{}, bytesSent: make([]int, n)}
	s.net.LossRate = loss
	v := members.View{Epoch: 1}
	for i, name := range all {
		v.Members = append(v.Members, members.Member{Name: name, Incarnation: 1, Folder: uint64(i + 1)})
	}
	timing, limits := verdicts.Defaults()
	for i, name := range all {
		t := verdicts.New(name, 1, timing, limits)
		v.Self = name
		t.SetView(0, v)
		s.tables = append(s.tables, t)
		s.net.Nodes[i] = reportingTable{t, func(now, dst int64) { s.learn(now, int64(i), dst) }}
	}
	s.net.Run(20e6)
	s.net.OnSend = func(from, _, size int) { s.bytesSent[from] += size }
	return s
}

// learn records that a sender knows of a destination's fact, the first time that it does.
func (s *simulation) learn(now, sender, dst int64) {
	if createdAt, ok := s.createdAt[dst]; ok && !s.known[[2]int64{sender, dst}] {
		s.known[[2]int64{sender, dst}] = true
		s.result.Delays = append(s.result.Delays, float64(now-createdAt)/1e3)
	}
}

// observe lets a sender observe a fact itself and send it to others.
func (s *simulation) observe(sender int, dst int64, kind verdicts.Kind) {
	if _, ok := s.createdAt[dst]; !ok {
		s.createdAt[dst] = s.net.Now
		s.result.Expected += len(s.tables)
	}
	s.learn(s.net.Now, int64(sender), dst)
	s.net.Send(sender, s.tables[sender].Observe(s.net.Now, verdicts.Fact{Subject: verdicts.Subject{Dst: dst, Receiver: "10.0.0.1:80"}, Kind: kind}))
}

func (s *simulation) finish(since int64) Propagation {
	span := float64(s.net.Now-since) / 1e6
	for _, b := range s.bytesSent {
		s.result.Rate += float64(b) / span / float64(len(s.bytesSent))
		s.result.MaxRate = max(s.result.MaxRate, float64(b)/span)
	}
	slices.Sort(s.result.Delays)
	return s.result
}

// Spread lets one sender after another observe a new fact, each about a different destination, at an interval in µs, and runs
// on for 5 s.
func Spread(n int, loss float64, seed uint64, facts int, interval int64) Propagation {
	s := newSimulation(n, loss, seed)
	since := s.net.Now
	for k := range facts {
		s.observe(k*7%n, int64(k), verdicts.Limit)
		s.net.Run(s.net.Now + interval)
	}
	s.net.Run(s.net.Now + 5e6)
	return s.finish(since)
}

// Burst lets the senders observe within 100 ms that the same destinations went down, and ends after 5 s.
func Burst(n int, loss float64, seed uint64, dsts int) Propagation {
	s := newSimulation(n, loss, seed)
	since := s.net.Now
	for i := range n {
		for p := range dsts {
			// a third of the fleet observes each destination itself; the others only learn of it from them
			if (i+p)%3 == 0 {
				s.observe(i, int64(p), verdicts.Down)
			}
		}
		s.net.Run(since + 100_000*int64(i+1)/int64(n))
	}
	s.net.Run(since + 5e6)
	return s.finish(since)
}

// Detection is how a fleet detected a crash, and how often it was wrong before.
type Detection struct {
	DetectionTimes             []float64 // s after the crash, sorted: when each other member considered the crashed one dead
	FalseSuspects, FalseDeaths float64   // per fleet and hour
	Rate                       float64   // bytes per second per member
}

// Crash runs a fleet without crashes for calmSeconds of virtual time and then lets one member crash.
func Crash(n int, loss float64, seed uint64, calmSeconds int64) Detection {
	all := memberNames(n)
	m := mesh.New[members.Msg](all, seed)
	m.LossRate = loss
	detectors := make([]*members.Detector, n)
	for i, name := range all {
		detectors[i] = members.New(name, all, 1, uint64(1000+i), members.DefaultTiming(n))
		m.Nodes[i] = detectors[i]
	}
	m.Run(60e6)
	var result Detection
	bytes, since := 0, m.Now
	m.OnSend = func(_, _, size int) { bytes += size }
	views := make([]members.View, n)
	for i, detector := range detectors {
		views[i] = detector.View()
	}
	for m.Now < since+calmSeconds*1e6 {
		m.Run(m.Now + 50_000)
		for i, detector := range detectors {
			result.countFalseAlarms(&views[i], detector)
		}
	}
	m.OnSend = nil
	result.Rate = float64(bytes) / float64(calmSeconds) / float64(n)
	result.FalseSuspects, result.FalseDeaths = result.FalseSuspects/float64(calmSeconds)*3600, result.FalseDeaths/float64(calmSeconds)*3600
	victim, crashedAt := n/2, m.Now
	m.Nodes[victim] = nil
	detected := make([]bool, n)
	for m.Now < crashedAt+120e6 && len(result.DetectionTimes) < n-1 {
		m.Run(m.Now + 50_000)
		for i, detector := range detectors {
			if i == victim || detected[i] || detector.Epoch() == views[i].Epoch {
				continue
			}
			views[i] = detector.View()
			if x, _ := views[i].Member(all[victim]); x.State == members.Dead {
				detected[i] = true
				result.DetectionTimes = append(result.DetectionTimes, float64(m.Now-crashedAt)/1e6)
			}
		}
	}
	return result
}

// countFalseAlarms counts the members that newly became suspect or dead since the previous view.
func (d *Detection) countFalseAlarms(was *members.View, detector *members.Detector) {
	if detector.Epoch() == was.Epoch {
		return
	}
	now := detector.View()
	for i, x := range now.Members {
		switch {
		case x.State == was.Members[i].State:
		case x.State == members.Suspect:
			d.FalseSuspects++
		case x.State == members.Dead:
			d.FalseDeaths++
		}
	}
	*was = now
}

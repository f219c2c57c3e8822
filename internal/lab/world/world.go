// Package world plays a scenario in virtual time: it joins receivers, network, discovery, front and clients to senders
// whose decisions are a policy's, and hands all that passes to the judges and the tally.
package world

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"ravenlink/choice"
	"ravenlink/internal/lab/draw"
	"ravenlink/internal/lab/loop"
	"ravenlink/internal/lab/policy"
	"ravenlink/internal/lab/receivers"
	"ravenlink/internal/lab/rules"
	"ravenlink/internal/lab/scenario"
)

const (
	leastSlots  = 3    // of a sender, where they are worked out
	leastHeld   = 12   // messages, likewise
	keptIdle    = 0.8  // of the idle time of receivers; senders do not use older connections
	shortAdvice = 1e6  // µs, told to a client for which there is no room
	roughest    = 0.5  // a rough weight is up to so much too high or too low
	mostEvents  = 40e9 // of one run, against a world that never rests
)

// destination is one, by rank of its traffic.
type destination struct {
	number int64 // rank from 1
	kind   int
	route  *receivers.Route // shared, or that of the first where receivers are apart
	recvs  []*receiver
	rate   float64 // messages a second at full load
	mean   float64 // µs of work
	burst  float64 // factor on its traffic
	tally  *dstTally
}

// receiver is a place in the list: an id and the model that answers at its address now.
type receiver struct {
	id     uint32
	dst    *destination
	zone   int
	weight float64
	model  *receivers.Receiver
	listed bool
	coming int     // calls on their way to it
	idle   []*conn // idle connections to it, longest idle first; kept where it bounds connections
}

// World is one run of a scenario.
type World struct {
	*loop.Loop
	sc      *scenario.Scenario
	seed    uint64
	lanes   []choice.Lane
	kinds   []choice.Kind
	dsts    []*destination
	recvs   map[uint32]*receiver
	order   []*receiver // the same in a fixed order
	routes  int
	senders []*sender
	maker   policy.Maker
	judge   *rules.Judge
	tally   *Tally
	trace   *Trace
	clients *clients
	notes   notes
	start   policy.Start // what all senders have in common
	cuts    []*cut
	active  map[int]*trouble
	noteCut float64 // share of notes lost by trouble
	blind   int     // troubles that keep the front from seeing dead senders
	end     int64

	netRand  *rand.Rand
	listRand *rand.Rand
	idRand   *rand.Rand
}

// Play runs a scenario to its end and gives what came of it. A trace may be nil.
func Play(sc *scenario.Scenario, seed uint64, name string, trace *Trace) (*Result, error) {
	maker, err := policy.Find(name)
	if err != nil {
		return nil, err
	}
	return PlayWith(sc, seed, name, maker, trace)
}

// PlayWith is Play for a policy that has no name to be found by.
func PlayWith(sc *scenario.Scenario, seed uint64, name string, maker policy.Maker, trace *Trace) (*Result, error) {
	w := build(sc, seed, maker, trace)
	w.Run(w.end)
	// After the last arrival everything has until its deadline, and what the rules grant beyond it.
	rest := int64(sc.Rules.AnswerGrace) + 2*second
	for _, l := range sc.Lanes {
		rest = max(rest, int64(l.Deadline+sc.Rules.AnswerGrace)+2*second)
	}
	w.Run(w.end + rest)
	if w.Ran() > mostEvents {
		return nil, fmt.Errorf("%s: more than %d events: this world never rests", sc.Name, uint64(mostEvents))
	}
	for _, s := range w.senders {
		s.close()
	}
	return w.result(name), nil
}

const second = int64(1_000_000)

func build(sc *scenario.Scenario, seed uint64, maker policy.Maker, trace *Trace) *World {
	w := &World{Loop: loop.New(), sc: sc, seed: seed, maker: maker, trace: trace, recvs: map[uint32]*receiver{}, active: map[int]*trouble{},
		netRand: draw.Stream(seed, "network", 0), listRand: draw.Stream(seed, "discovery", 0), idRand: draw.Stream(seed, "ids", 0)}
	w.end = w.Now() + int64(sc.Length)
	w.judge = rules.NewJudge(rules.Figures{AnswerGrace: int64(sc.Rules.AnswerGrace), DrainGrace: int64(sc.Rules.DrainGrace),
		WaitSlack: int64(sc.Rules.WaitSlack), KeyRest: int64(sc.Rules.KeyRest)})
	w.lanes = laneModels(sc)
	for _, k := range sc.Kinds {
		w.kinds = append(w.kinds, choice.Kind{Apart: k.Apart, Batch: k.Batch})
	}
	w.layOut()
	w.tally = newTally(w)
	w.common()
	for i := range sc.Team.Senders {
		s := newSender(w, i)
		w.senders = append(w.senders, s)
		s.begin(w.entries(nil))
	}
	w.clients = newClients(w)
	w.planTroubles()
	w.At(w.Now(), w, evSample, 0)
	return w
}

func laneModels(sc *scenario.Scenario) (ls []choice.Lane) {
	repeat := map[scenario.Word]choice.Repeat{"retriable": choice.Retriable, "keyed": choice.Keyed, "non-retriable": choice.NonRetriable}
	for _, l := range sc.Lanes {
		ls = append(ls, choice.Lane{Repeat: repeat[l.Repeat], AnyInDst: l.AnyInDst, Window: int64(l.Window), Target: int64(l.Target),
			Deadline: int64(l.Deadline), Value: l.Value, LateValue: l.LateValue, InOrder: l.InOrder})
	}
	return ls
}

// layOut draws the destinations: which kind each rank is of, its pace, its receivers.
func (w *World) layOut() {
	sc, r := w.sc, draw.Stream(w.seed, "layout", 0)
	var kinds []int
	for i, k := range sc.Kinds {
		for range k.Destinations {
			kinds = append(kinds, i)
		}
	}
	r.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	rates := w.rates(len(kinds))
	for i, kind := range kinds {
		w.dsts = append(w.dsts, w.newDst(int64(i+1), kind, rates[i], r))
	}
}

// rates shares the traffic out among destinations: skewed, but for those that hardly get any.
func (w *World) rates(n int) []float64 {
	t := w.sc.Traffic
	busy := max(1, n-int(math.Round(t.Quiet*float64(n))))
	quiet := 0.0
	if t.QuietEvery > 0 {
		quiet = 1e6 / float64(t.QuietEvery)
	}
	left := max(0, t.Rate-quiet*float64(n-busy))
	zipf, rates := draw.Zipf(busy, t.Zipf), make([]float64, n)
	for i := range rates {
		if i < busy {
			rates[i] = left * zipf.Share(i)
		} else {
			rates[i] = quiet
		}
	}
	return rates
}

func (w *World) newDst(number int64, kind int, rate float64, r *rand.Rand) *destination {
	k := w.sc.Kinds[kind]
	pace := 1.0
	if k.Pace > 0 {
		pace = float64(draw.Times{Shape: draw.Lognormal, Mean: 1e6, Spread: k.Pace}.Draw(r)) / 1e6
	}
	n := k.Endpoints[0] + r.IntN(k.Endpoints[1]-k.Endpoints[0]+1)
	work := k.Work.Times()
	work.Mean *= pace
	d := &destination{number: number, kind: kind, rate: rate, mean: work.Mean, burst: 1}
	places := k.Places
	if places == 0 {
		places = max(1, int(math.Ceil(k.Spare*rate*work.Mean/1e6/float64(n))))
	}
	nature := &receivers.Nature{Work: work, Places: places, Queue: k.Queue * places, Further: k.Further, ErrorShare: k.Errors,
		ProbeTook: int64(k.ProbeTook), ErrorTook: int64(k.ErrorTook), ColdShare: k.ColdShare, WarmIn: int64(k.WarmIn),
		MostConns: k.Conns, ConnIdle: int64(k.ConnIdle), Handshake: int64(k.Handshake), Cancels: k.Cancels}
	limit := k.Limit.Rate
	if limit == 0 {
		limit = max(k.Limit.Least, k.Limit.Headroom*rate)
	}
	if k.Apart {
		limit /= float64(n)
	}
	for i := range n {
		if d.route == nil || k.Apart {
			d.route = w.newRoute(d, k.Limit.Model(limit))
		}
		d.recvs = append(d.recvs, w.newReceiver(d, nature, d.route, (int(number)+i)%w.sc.Team.Zones))
	}
	for _, x := range d.recvs {
		x.weight = x.model.Route.Capacity()
		if w.sc.Discovery.Weights == "rough" {
			x.weight *= 1 - roughest + 2*roughest*r.Float64()
		}
	}
	d.route = d.recvs[0].model.Route
	return d
}

func (w *World) newRoute(d *destination, limit receivers.Limit) *receivers.Route {
	rt := receivers.NewRoute(w.routes, d.number, limit, receivers.Guard{Overload: w.sc.Rules.Overload, Within: int64(w.sc.Rules.Within)})
	w.routes++
	rt.Fell = func(rt *receivers.Route, knowing float64) {
		w.tally.Fell++
		w.judge.Fell(rt.Dst, knowing, w.Now())
		w.say(event{Event: "fell", Dst: rt.Dst, Share: knowing})
	}
	return rt
}

func (w *World) newReceiver(d *destination, n *receivers.Nature, rt *receivers.Route, zone int) *receiver {
	id := w.idRand.Uint32()
	for w.recvs[id] != nil || id == 0 {
		id = w.idRand.Uint32()
	}
	x := &receiver{id: id, dst: d, zone: zone, listed: true}
	x.model = receivers.New(id, zone, n, rt, 1, w, draw.Stream(w.seed, "receiver", len(w.order)))
	w.recvs[id] = x
	w.order = append(w.order, x)
	return x
}

// common works out what all senders are started with.
func (w *World) common() {
	t, sc := w.sc.Team, w.sc
	busy := 0.0
	for _, d := range w.dsts {
		busy += d.rate * d.mean / 1e6
	}
	slots, held := t.Slots, t.Held
	if slots == 0 {
		slots = max(leastSlots, int(math.Ceil(t.SlotsRoom*busy/float64(t.Senders))))
	}
	if held == 0 {
		held = max(leastHeld, int(math.Ceil(sc.Traffic.Rate*float64(t.Hold)/1e6/float64(t.Senders))))
	}
	cold, warm := 1.0, int64(0)
	for _, k := range sc.Kinds {
		cold, warm = min(cold, k.ColdShare), max(warm, int64(k.WarmIn))
	}
	trust := map[scenario.Word]choice.WeightTrust{"none": choice.NoWeight, "rough": choice.RoughWeight, "nominal": choice.NominalWeight}
	maxAdvice := int64(t.MaxAdvice)
	if !t.Advice {
		maxAdvice = 0
	}
	w.start = policy.Start{Team: choice.Team{Senders: t.Senders, CrossingFee: t.CrossingFee}, Lanes: w.lanes, Kinds: w.kinds,
		Room:    choice.Room{Slots: slots, Held: held, Legs: t.Legs, HalvesLate: t.Late == "halves"},
		Allowed: choice.Allowed{Probes: t.Probes, Notes: t.Notes, Cancel: t.Cancel, MaxAdvice: maxAdvice},
		Guards:  choice.Guards{StartShare: cold, WarmWithin: warm, Overload: sc.Rules.Overload, KeyRest: int64(sc.Rules.KeyRest)},
		Trust:   trust[sc.Discovery.Weights], Truth: w}
}

// The world's own events.
const (
	evSample uint8 = iota
	evTroubleBegins
	evTroubleEnds
)

// Handle is for the loop.
func (w *World) Handle(kind uint8, n uint64) {
	switch kind {
	case evSample:
		w.tally.sample(w)
		if next := w.Now() + w.tally.width; next <= w.end {
			w.At(next, w, evSample, 0)
		}
	case evTroubleBegins:
		w.troubleBegins(int(n))
	case evTroubleEnds:
		w.troubleEnds(int(n))
	}
}

// oneWay is how long something takes between two zones, by chance.
func (w *World) oneWay(a, b int) int64 {
	mean := w.sc.Network.Near
	if a != b {
		mean = w.sc.Network.Far
	}
	return draw.Around(w.netRand, int64(mean), w.sc.Network.Jitter)
}

// Room is what the bound sees: calls that would be worked on at once and pass every limit.
func (w *World) Room(sender int, id uint32) int {
	x := w.recvs[id]
	m := x.model
	if m.Ill() || m.Paused() || w.isCut(sender, x) {
		return 0
	}
	now := w.Now()
	free := min(m.Route.Spare(now), m.Route.ColdRoom(now)/2) - float64(m.Route.Coming)
	if m.Nature.MostConns > 0 {
		free = min(free, float64(m.Nature.MostConns-m.Conns+len(w.senders[sender].pools[id])))
	}
	return int(min(free, float64(m.Room()-x.coming)))
}

// Took is how long a message takes at a receiver just now.
func (w *World) Took(id uint32) float64 { return w.recvs[id].model.Took() }

// ill counts the receivers listed that are in an outage.
func (w *World) ill() (n int) {
	for _, x := range w.order {
		if x.listed && x.model.Ill() {
			n++
		}
	}
	return n
}

// entries is the list as discovery has it, of all receivers or of one.
func (w *World) entries(only *receiver) (es []choice.Entry) {
	for _, x := range w.order {
		if only != nil && x != only || only == nil && !x.listed {
			continue
		}
		es = append(es, choice.Entry{Receiver: x.id, Dst: x.dst.number, Kind: x.dst.kind, Zone: x.zone, Weight: x.weight, Listed: x.listed})
	}
	return es
}

// changed tells all senders of a change of the list, each after a while of its own.
func (w *World) changed(x *receiver) {
	for _, s := range w.senders {
		w.At(w.Now()+w.listDelay(), s, evListed, uint64(x.id))
	}
}

func (w *World) listDelay() int64 {
	return int64(w.sc.Discovery.Delay) + int64(w.listRand.Float64()*float64(w.sc.Discovery.Spread))
}

// drawn lists numbers below n, a share of them, by chance, in order.
func drawn(r *rand.Rand, n int, share float64) []int {
	k := min(n, int(math.Ceil(share*float64(n))))
	all := r.Perm(n)[:k]
	slices.Sort(all)
	return all
}

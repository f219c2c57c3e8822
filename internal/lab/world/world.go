// Package world simulates a scenario in virtual time. It connects clients, load balancer, senders, network, discovery and
// receivers; a policy makes the decisions of the senders. The rule checks and the tally see every event.
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
	minMaxCalls    = 3    // lower bound of a sender's concurrent calls, if derived from the load
	minMaxQueued   = 12   // lower bound of the messages that a sender holds, likewise
	idleReuseShare = 0.8  // share of a receiver's idle timeout up to which senders reuse a connection
	fullRetryAfter = 1e6  // µs, the retry-after for a client whose message does not fit into the queue
	maxWeightError = 0.5  // a rough weight is wrong by at most this share, up or down
	maxEvents      = 40e9 // limit for one run, to detect simulations that do not end
)

// destination is a simulated destination. Destinations are numbered by rank of their traffic.
type destination struct {
	number   int64 // rank, from 1
	kind     int
	route    *receivers.Route // shared by all receivers; the first receiver's where each has its own
	recvs    []*receiver
	rate     float64 // messages per second at full load
	meanWork float64 // work per message in µs
	burst    float64 // factor on its traffic, 1 outside of bursts
	tally    *dstTally
}

// receiver is an entry of the receiver list: an id, and the model that currently answers at its address.
type receiver struct {
	id        uint32
	dst       *destination
	zone      int
	weight    float64
	model     *receivers.Receiver
	listed    bool
	inTransit int     // calls that have not reached it yet
	idle      []*conn // idle connections to it, longest idle first; only tracked where it limits connections
}

// World is the state of one run of a scenario.
type World struct {
	*loop.Loop
	sc           *scenario.Scenario
	seed         uint64
	classes      []choice.Class
	kinds        []choice.Kind
	dsts         []*destination
	recvByID     map[uint32]*receiver
	allRecvs     []*receiver // the same receivers in order of creation
	routeCount   int
	senders      []*sender
	newPolicy    policy.Factory
	checker      *rules.Checker
	tally        *Tally
	trace        *Trace
	clients      *clients
	notes        notes
	start        policy.Config // start parameters that all senders share
	partitions   []*partition
	activeFaults map[int]*activeFault
	noteLoss     float64 // share of peer notes lost because of faults
	blindFaults  int     // active faults that keep the load balancer from detecting dead senders
	end          int64

	netRand  *rand.Rand
	listRand *rand.Rand
	idRand   *rand.Rand
}

// Run simulates a scenario with the named policy. The trace may be nil.
func Run(sc *scenario.Scenario, seed uint64, name string, trace *Trace) (*Result, error) {
	newPolicy, err := policy.Find(name)
	if err != nil {
		return nil, err
	}
	return RunWith(sc, seed, name, newPolicy, trace)
}

// RunWith is Run for a policy that is not registered; name only labels the result.
func RunWith(sc *scenario.Scenario, seed uint64, name string, newPolicy policy.Factory, trace *Trace) (*Result, error) {
	w := newWorld(sc, seed, newPolicy, trace)
	w.Run(w.end)
	// After the last arrival, messages still have until their deadlines plus the grace period of the rules.
	settleTime := int64(sc.Rules.AnswerGrace) + 2*second
	for _, class := range sc.Classes {
		settleTime = max(settleTime, int64(class.Deadline+sc.Rules.AnswerGrace)+2*second)
	}
	w.Run(w.end + settleTime)
	if w.Ran() > maxEvents {
		return nil, fmt.Errorf("%s: more than %d events: the simulation does not end", sc.Name, uint64(maxEvents))
	}
	for _, s := range w.senders {
		s.checkUnanswered()
	}
	return w.result(name), nil
}

const second = int64(1_000_000)

func newWorld(sc *scenario.Scenario, seed uint64, newPolicy policy.Factory, trace *Trace) *World {
	w := &World{Loop: loop.New(), sc: sc, seed: seed, newPolicy: newPolicy, trace: trace,
		recvByID: map[uint32]*receiver{}, activeFaults: map[int]*activeFault{},
		netRand: draw.Stream(seed, "network", 0), listRand: draw.Stream(seed, "discovery", 0), idRand: draw.Stream(seed, "ids", 0)}
	w.end = w.Now() + int64(sc.Length)
	w.checker = rules.NewChecker(rules.Tolerances{AnswerGrace: int64(sc.Rules.AnswerGrace), DrainGrace: int64(sc.Rules.DrainGrace),
		RetryAfterSlack: int64(sc.Rules.RetryAfterSlack), KeyQuietTime: int64(sc.Rules.KeyQuietTime)})
	w.classes = classModels(sc)
	for _, k := range sc.Kinds {
		w.kinds = append(w.kinds, choice.Kind{PerReceiver: k.PerReceiver, Batch: k.Batch})
	}
	w.createDestinations()
	w.tally = newTally(w)
	w.prepareStart()
	for i := range sc.Fleet.Senders {
		s := newSender(w, i)
		w.senders = append(w.senders, s)
		s.startProcess(w.listEntries(nil))
	}
	w.clients = newClients(w)
	w.scheduleFaults()
	w.At(w.Now(), w, evSample, 0)
	return w
}

func classModels(sc *scenario.Scenario) (classes []choice.Class) {
	retryModes := map[scenario.Enum]choice.RetryMode{"retriable": choice.Retriable, "keyed": choice.Keyed, "non-retriable": choice.NonRetriable}
	for _, l := range sc.Classes {
		classes = append(classes, choice.Class{RetryMode: retryModes[l.RetryMode], DstWideKeys: l.DstWideKeys, KeyWindow: int64(l.KeyWindow),
			Target: int64(l.Target), Deadline: int64(l.Deadline), Value: l.Value, LateValue: l.LateValue, Ordered: l.Ordered})
	}
	return classes
}

// createDestinations draws the destinations: the kind of each rank, its speed and its receivers.
func (w *World) createDestinations() {
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

// rates distributes the traffic over the destinations: by Zipf's law, except that quiet destinations get a fixed low rate.
func (w *World) rates(n int) []float64 {
	t := w.sc.Traffic
	busy := max(1, n-int(math.Round(t.QuietShare*float64(n))))
	quiet := 0.0
	if t.QuietInterval > 0 {
		quiet = 1e6 / float64(t.QuietInterval)
	}
	remaining := max(0, t.Rate-quiet*float64(n-busy))
	zipf, rates := draw.Zipf(busy, t.Zipf), make([]float64, n)
	for i := range rates {
		if i < busy {
			rates[i] = remaining * zipf.Probability(i)
		} else {
			rates[i] = quiet
		}
	}
	return rates
}

func (w *World) newDst(number int64, kind int, rate float64, r *rand.Rand) *destination {
	k := w.sc.Kinds[kind]
	workFactor := 1.0
	if k.SpeedSpread > 0 {
		workFactor = float64(draw.Distribution{Shape: draw.Lognormal, Mean: 1e6, CV: k.SpeedSpread}.Draw(r)) / 1e6
	}
	n := k.Endpoints[0] + r.IntN(k.Endpoints[1]-k.Endpoints[0]+1)
	work := k.Work.Distribution()
	work.Mean *= workFactor
	d := &destination{number: number, kind: kind, rate: rate, meanWork: work.Mean, burst: 1}
	workers := k.Workers
	if workers == 0 {
		workers = max(1, int(math.Ceil(k.WorkerHeadroom*rate*work.Mean/1e6/float64(n))))
	}
	config := &receivers.Config{Work: work, Workers: workers, QueueSize: k.Queue * workers, BatchItemCost: k.BatchItemCost,
		ErrorShare: k.ErrorShare, ProbeTime: int64(k.ProbeTime), ErrorTime: int64(k.ErrorTime), ColdShare: k.ColdShare, WarmUpTime: int64(k.WarmUpTime),
		MaxConns: k.MaxConns, IdleTimeout: int64(k.IdleTimeout), HandshakeTime: int64(k.HandshakeTime), DropsCancelled: k.DropsCancelled}
	limit := k.Limit.Rate
	if limit == 0 {
		limit = max(k.Limit.MinRate, k.Limit.Headroom*rate)
	}
	if k.PerReceiver {
		limit /= float64(n)
	}
	for i := range n {
		if d.route == nil || k.PerReceiver {
			d.route = w.newRoute(d, k.Limit.Model(limit))
		}
		d.recvs = append(d.recvs, w.newReceiver(d, config, d.route, (int(number)+i)%w.sc.Fleet.Zones))
	}
	for _, x := range d.recvs {
		x.weight = x.model.Route.Capacity()
		if w.sc.Discovery.Weights == "rough" {
			x.weight *= 1 - maxWeightError + 2*maxWeightError*r.Float64()
		}
	}
	d.route = d.recvs[0].model.Route
	return d
}

func (w *World) newRoute(d *destination, limit receivers.Limit) *receivers.Route {
	rt := receivers.NewRoute(w.routeCount, d.number, limit,
		receivers.CollapseThreshold{OverloadFactor: w.sc.Rules.OverloadFactor, OverloadTime: int64(w.sc.Rules.OverloadTime)})
	w.routeCount++
	rt.OnCollapse = func(rt *receivers.Route, informedShare float64) {
		w.tally.Collapses++
		w.checker.Collapsed(rt.Dst, informedShare, w.Now())
		w.emit(event{Event: "fell", Dst: rt.Dst, Share: informedShare})
	}
	return rt
}

func (w *World) newReceiver(d *destination, config *receivers.Config, rt *receivers.Route, zone int) *receiver {
	id := w.idRand.Uint32()
	for w.recvByID[id] != nil || id == 0 {
		id = w.idRand.Uint32()
	}
	x := &receiver{id: id, dst: d, zone: zone, listed: true}
	x.model = receivers.New(id, zone, config, rt, 1, w, draw.Stream(w.seed, "receiver", len(w.allRecvs)))
	w.recvByID[id] = x
	w.allRecvs = append(w.allRecvs, x)
	return x
}

// prepareStart computes the start parameters that all senders share.
func (w *World) prepareStart() {
	t, sc := w.sc.Fleet, w.sc
	load := 0.0
	for _, d := range w.dsts {
		load += d.rate * d.meanWork / 1e6
	}
	maxCalls, maxQueued := t.MaxCalls, t.MaxQueued
	if maxCalls == 0 {
		maxCalls = max(minMaxCalls, int(math.Ceil(t.CallHeadroom*load/float64(t.Senders))))
	}
	if maxQueued == 0 {
		maxQueued = max(minMaxQueued, int(math.Ceil(sc.Traffic.Rate*float64(t.QueueTime)/1e6/float64(t.Senders))))
	}
	startCapacity, warmUpTime := 1.0, int64(0)
	for _, k := range sc.Kinds {
		startCapacity, warmUpTime = min(startCapacity, k.ColdShare), max(warmUpTime, int64(k.WarmUpTime))
	}
	weightTrust := map[scenario.Enum]choice.WeightTrust{"none": choice.NoWeight, "rough": choice.RoughWeight, "nominal": choice.NominalWeight}
	maxRetryAfter := int64(t.MaxRetryAfter)
	if !t.RetryAfter {
		maxRetryAfter = 0
	}
	w.start = policy.Config{Topology: choice.Topology{Senders: t.Senders, CrossZoneCost: t.CrossZoneCost}, Classes: w.classes, Kinds: w.kinds,
		Limits:       choice.Limits{MaxCalls: maxCalls, MaxQueued: maxQueued, MaxLegs: t.MaxLegs, ExponentialDecay: t.LateDecay == "halves"},
		Capabilities: choice.Capabilities{Probes: t.Probes, PeerNotes: t.PeerNotes, Cancel: t.Cancel, MaxRetryAfter: maxRetryAfter},
		Rules: choice.Rules{StartCapacity: startCapacity, WarmUpTime: warmUpTime, OverloadFactor: sc.Rules.OverloadFactor,
			KeyQuietTime: int64(sc.Rules.KeyQuietTime)},
		WeightTrust: weightTrust[sc.Discovery.Weights], Oracle: w}
}

// Events of the World.
const (
	evSample uint8 = iota
	evFaultBegins
	evFaultEnds
)

// Handle implements loop.Handler.
func (w *World) Handle(kind uint8, n uint64) {
	switch kind {
	case evSample:
		w.tally.sample(w)
		if next := w.Now() + w.tally.interval; next <= w.end {
			w.At(next, w, evSample, 0)
		}
	case evFaultBegins:
		w.beginFault(int(n))
	case evFaultEnds:
		w.endFault(int(n))
	}
}

// oneWayDelay draws the network latency between two zones.
func (w *World) oneWayDelay(a, b int) int64 {
	mean := w.sc.Network.SameZoneDelay
	if a != b {
		mean = w.sc.Network.CrossZoneDelay
	}
	return draw.Uniform(w.netRand, int64(mean), w.sc.Network.Jitter)
}

// FreeSlots implements policy.Oracle: the number of calls that the receiver would start at once and that pass every limit.
func (w *World) FreeSlots(sender int, id uint32) int {
	x := w.recvByID[id]
	m := x.model
	if m.InOutage() || m.Paused() || w.partitioned(sender, x) {
		return 0
	}
	now := w.Now()
	free := min(m.Route.LimitHeadroom(now), m.Route.ColdHeadroom(now)/2) - float64(m.Route.InTransit)
	if m.Config.MaxConns > 0 {
		free = min(free, float64(m.Config.MaxConns-m.Conns+len(w.senders[sender].idleConns[id])))
	}
	return int(min(free, float64(m.FreeWorkers()-x.inTransit)))
}

// ServiceTime implements policy.Oracle: the current processing time of a message at a receiver.
func (w *World) ServiceTime(id uint32) float64 { return w.recvByID[id].model.ServiceTime() }

// receiversInOutage counts the listed receivers that are in an outage.
func (w *World) receiversInOutage() (n int) {
	for _, x := range w.allRecvs {
		if x.listed && x.model.InOutage() {
			n++
		}
	}
	return n
}

// listEntries returns the list as discovery publishes it: all listed receivers, or only the given one.
func (w *World) listEntries(only *receiver) (es []choice.Entry) {
	for _, x := range w.allRecvs {
		if only != nil && x != only || only == nil && !x.listed {
			continue
		}
		es = append(es, choice.Entry{Receiver: x.id, Dst: x.dst.number, Kind: x.dst.kind, Zone: x.zone, Weight: x.weight, Listed: x.listed})
	}
	return es
}

// announceChange notifies all senders of a list change, each after its own random delay.
func (w *World) announceChange(x *receiver) {
	for _, s := range w.senders {
		w.At(w.Now()+w.listDelay(), s, evListChange, uint64(x.id))
	}
}

func (w *World) listDelay() int64 {
	return int64(w.sc.Discovery.Delay) + int64(w.listRand.Float64()*float64(w.sc.Discovery.Spread))
}

// sampleIndices draws a share of the numbers below n, rounded up and without repetition, and returns them sorted.
func sampleIndices(r *rand.Rand, n int, share float64) []int {
	k := min(n, int(math.Ceil(share*float64(n))))
	all := r.Perm(n)[:k]
	slices.Sort(all)
	return all
}

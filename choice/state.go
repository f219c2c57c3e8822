package choice

import (
	"encoding/binary"
	"hash/crc32"
)

// The module's state. Nothing here decides.

// route is the unit that shares one rate limit and one Retry-After: a destination, or a receiver where Kind.PerReceiver is set.
type route struct {
	share float64 // this sender's even share of the known limit in calls a second, 0 if no limit is known
	*routeState
}

// routeState is the state of a route that was called or that a peer reported on.
type routeState struct {
	waitUntil          int64
	announcedLimit     float64 // limit announced by responses in calls a second, 0 if none
	tokens             float64
	filledAt           int64
	fullShares         float64        // even shares of the limit allowed right after the first refusal; they grow back to maxEvenShares times that
	throttledShares    float64        // even shares still allowed right after the latest refusal at any sender
	throttledAt        int64          // when that refusal counted, 0 for never
	returned           *limitedReturn // nil while no return is in progress
	shareSlope         float64        // shares regained per µs since throttledAt
	lease              lease
	trafficShare       float64 // this sender's part of all traffic, relative to the mean of all senders; 0 for unknown
	refusalsFrom       int64   // when the consecutive refusals began
	refusals           int     // consecutive refusals
	refusedAt          int64   // time of the latest refusal
	refusalRounds      int     // of those refusals; calls in flight together that are refused count as one
	noRetryAfter       bool    // one of those refusals carried no Retry-After
	restoredRefusals   int     // messages restored after a restart whose last leg was refused
	failures           int     // consecutive failed calls
	failuresFrom       int64   // when the first of those failed
	failureRate        float64 // moving average of the share of failed calls
	lastSuccessAt      int64   // 0 for none
	failureScore       float64 // sum over the consecutive failures
	nextProbeAt        int64   // no probe of a closed receiver before
	pausedUntil        int64   // no call before, because of consecutive refusals
	successes          float64 // delivered calls
	spanFrom           int64
	spanSuccesses      float64 // of those, since spanFrom
	peakRate           float64 // highest success rate over a span in calls a second, less the expected noise
	failedSinceSuccess bool    // a call failed since the last success
	callsPileUp        bool    // the latest call or probe timed out or was refused, so probes may pile up at the destination
	recovery           recovery
}

// Most known destinations never get a message, so the state for messages is allocated at first use. Until then these shared zero values stand
// in. They must never be written to: a write would change all unused destinations of all senders.
var (
	unusedRoute    = &routeState{}
	unusedReceiver = &receiverState{}
	unusedDst      = &dstState{firstChance: never}
)

func newRoute() *route { return &route{routeState: unusedRoute} }

func (p *route) isUsed() bool { return p.routeState != nil && p.routeState != unusedRoute }

// use allocates the state of a route; it must be called before anything but share is written.
func (p *route) use() *route {
	if !p.isUsed() {
		p.routeState = &routeState{tokens: p.firstTokens()}
	}
	return p
}

// use allocates the state of a destination; it must be called before that state is written.
func (d *dst) use() *dst {
	if d.dstState == unusedDst {
		d.dstState = &dstState{firstChance: never}
	}
	return d
}

// used allocates the state of a receiver, its route and its destination; it must be called before any of them is written.
func (r *receiver) used() *receiver {
	if r.receiverState == unusedReceiver {
		r.receiverState = &receiverState{}
	}
	r.route.use()
	r.dst.use()
	return r
}

type health uint8

const (
	open    health = iota
	closed         // only rare probes, or trial calls where probes are not allowed
	warming        // recovering; gets what its cold capacity allows
)

func (h health) String() string { return [...]string{"open", "closed", "warming"}[h] }

type receiver struct {
	id             uint32
	listIndex      int32 // index + 1 in the list of its own destination, 0 while unlisted
	dst            *dst
	route          *route
	zone           int
	weight         float64
	listedAt       int64 // when the list last named it
	sweepScheduled bool  // queued in Sender.unlisted or Sender.lingering
	placeholder    bool  // placeholder for a receiver called before a restart, which may no longer exist
	*receiverState
}

// receiverState is the state of a receiver that was called or that a peer reported on.
type receiverState struct {
	calls              int   // in flight
	peakCalls          int   // most calls in flight when one was delivered
	since              int64 // of the last change of health, or of the last setback while warming
	failureScore       float64
	scoreFrom          int64 // when the failures of that score began
	lastFailureAt      int64
	fails              map[*Class]bool // classes whose latest leg failed there; nil until one did
	lastOutcomeAt      int64           // of the latest outcome
	recoveryNotedUntil int64           // no further note of its recovery before
	connScarceUntil    int64           // its connections count as scarce until then
	lastDeliveredAt    int64
	deliveredSentAt    int64   // when the latest delivered call was sent
	tokens             float64 // of slow start
	filledAt           int64
	health             health
	lostLeg            bool // lost a leg since it last delivered
	proved             bool // delivered a call since it is warming
	probing            bool
}

// dst is a destination; there is one for each in the lists.
type dst struct {
	id         int64
	kind       Kind
	route      route
	recvs      []*receiver // those listed
	wakeAt     int64       // next wake-up; in the past or now while due
	at         int32       // index in the wake-up heap, -1 for none
	number     int32       // in order of first appearance
	knownRecvs int32       // receivers remembered, listed or not
	due        bool        // to be processed in this turn
	maybeEmpty bool        // queued in Sender.maybeEmpty
	gaps       bool        // while a list is applied: recvs has stale entries of receivers that moved or were removed
	*dstState
}

// dstState is the state of a destination that had a message.
type dstState struct {
	queued            []*msg
	calls             []*call // in flight, oldest first
	errorRetries      budget
	retryAfterRetries budget
	lease             lease
	mean              float64 // µs, moving average of the response time
	dev               float64
	sampled           bool
	down              bool  // no receiver was open when one last closed, and none has delivered since
	downAt            int64 // since when it is down
	earlierDown       int64 // µs of earlier downtime
	lastCallAt        int64 // when the latest call was sent
	slotlessSince     int64 // since when eligible messages wait for a free slot, 0 for none

	// Lower bound of the last chances in queue, possibly too early after messages left. It avoids scanning the whole queue.
	firstChance int64
}

// Sender holds the state and makes the decisions of one sender.
type Sender struct {
	host     Host
	seed     uint64
	draws    uint64
	now      int64
	startAt  int64
	topology Topology
	classes  []Class
	kinds    []Kind
	limits   Limits
	caps     Capabilities
	rules    Rules
	trust    WeightTrust

	msgs              map[string]*msg      // removed once a message is over and its legs have ended
	dsts              map[int64]*dst       // destinations by id; removed by sweep
	order             []*dst               // the same, in order of first appearance
	dstsSeen          int32                // number of destinations seen so far
	due               []*dst               // to be processed in this turn; emptied by it
	wakes             wakeHeap             // to be processed later
	busy              []*dst               // with calls in flight, in the same order
	recvs             map[uint32]*receiver // removed by sweep once unlisted for keepGone
	unlistedRecvs     unlistedHeap         // unlisted receivers, once each; removed when listed again or unlisted for keepGone
	lingering         []*receiver          // unlisted for that long, with calls or a probe in flight; emptied by sweep
	maybeEmpty        []*dst               // destinations without receivers; sweep keeps those with messages
	forgotten         []uint32             // receivers that the latest sweep removed
	gapped            []*dst               // with gaps; emptied at the end of a list
	unhealthyCounts   map[*dst]int         // unhealthy listed receivers of large destinations; cleared at the end of a list
	keyQueues         map[string]*keyQueue // removed once empty and past the quiet time of the key
	quietQueues       []*keyQueue          // empty key queues in their quiet time
	expiry            expiryHeap           // messages that are not over
	calls             int
	lastSuccessAt     int64       // of the latest success anywhere, 0 for none
	distrustIdleUntil int64       // no idle connection is trusted before
	mean              float64     // µs, moving average of the response time over all destinations
	loss              float64     // moving average of the share of legs lost at receivers that answered again
	accepted          int         // messages accepted since acceptedFrom
	acceptedFrom      int64       // µs; moves forward as older messages are weighted by half
	meanMessageGap    float64     // seconds between the messages of a mean sender by the peers' notes; 0 before the first
	connScarce        []*receiver // receivers called in this turn that keep no idle connection; emptied every turn
	timerAt           int64
	clientPatience    float64 // µs, moving average of the age at which clients gave up
	clientsLeaveUntil int64   // clients count as giving up early until then
	lookupAt          int64   // next lookup of the list, never while subscribed
	lastLookupAt      int64   // time of the latest lookup
	stale             int     // consecutive legs lost on connections that had been idle
	floor             float64 // retries a second always allowed at a destination
	coldCalls         int     // calls and probes to destinations that may be cold
	ended             EndCounts

	cold        map[*route]*dst   // routes that may be cold; removed once established or forgotten
	refusing    map[*route]*dst   // routes without a known limit whose latest call was refused; removed by a success or when forgotten
	coldChanges int               // changes of these two maps so far, not counting refusals that ended
	coldBefore  map[int64]float64 // warm-up of the destinations that an earlier process left cold; used for WarmUpTime after the start

	endsReportedLater bool
	restartQuietUntil int64 // keys new to this process wait until then
}

// chance draws a uniform number from [0, 1); the same seed gives the same sequence.
func (s *Sender) chance() float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], s.seed)
	binary.LittleEndian.PutUint64(b[8:], s.draws)
	s.draws++
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

func (s *Sender) dst(id int64) *dst {
	d := s.dsts[id]
	if d == nil {
		d = &dst{id: id, route: route{routeState: unusedRoute}, kind: Kind{Batch: 1}, at: -1, number: s.dstsSeen, dstState: unusedDst}
		s.dstsSeen++
		s.dsts[id] = d
		s.order = append(s.order, d)
		s.markMaybeEmpty(d)
		s.wake(d)
	}
	return d
}

// Stats holds the module's view of the world, for comparison with the true state.
type Stats struct {
	Calls, Known, Closed int
	Warming              int // receivers in slow start
	ColdCalls            int // calls and probes since the start to destinations that may be cold
	Ended                EndCounts
}

// Stats counts the calls in flight and the known receivers by health.
func (s *Sender) Stats() Stats {
	b := Stats{Calls: s.calls, Known: len(s.recvs), ColdCalls: s.coldCalls, Ended: s.ended}
	for _, r := range s.recvs {
		switch r.health {
		case closed:
			b.Closed++
		case warming:
			b.Warming++
		}
	}
	return b
}

// New starts a sender without any state.
func New(h Host, seed uint64, topology Topology, classes []Class, kinds []Kind, limits Limits, caps Capabilities,
	rules Rules, trust WeightTrust) *Sender {
	return &Sender{host: h, seed: seed, topology: topology, classes: classes, kinds: kinds, limits: limits, caps: caps,
		rules: rules, trust: trust, timerAt: never, floor: minRetriesPerSec, msgs: map[string]*msg{}, dsts: map[int64]*dst{},
		recvs: map[uint32]*receiver{}, keyQueues: map[string]*keyQueue{}, cold: map[*route]*dst{}, refusing: map[*route]*dst{}}
}

// SetTime sets the clock for the events that follow.
func (s *Sender) SetTime(now int64) {
	if s.now == 0 {
		s.startAt, s.acceptedFrom, s.lookupAt = now, now, now+int64(s.chance()*s.firstLookups())
	}
	s.now = now
}

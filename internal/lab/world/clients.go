package world

import (
	"math"
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"ravenlink/internal/lab/draw"
)

type messageState uint8

// States of a message.
const (
	open messageState = iota
	delivered
	rejected // its client has given up
	failed
	left // its client left before the end
	lost // its sender died, and handing it in again is unsafe
)

var stateNames = [...]string{"open", "delivered", "pushed back", "failed", "left", "lost"}

// retryAfterMode is how a client uses the retry-after of a rejection.
type retryAfterMode uint8

const (
	obeysRetryAfter retryAfterMode = iota
	obeysHalf
	ignoresRetryAfter
)

// message is a message that a client wants delivered. It may be handed in several times, at different senders.
type message struct {
	w              *World
	number         uint64
	id             string // of the current hand-in: number and count of hand-ins
	dst            *destination
	class          int
	key            string
	work           int64 // µs of processing time at full speed
	createdAt      int64
	deadline       int64
	handIns        int
	rejections     int
	acceptedBy     *sender
	incarnation    uint64
	state          messageState
	retryAfterMode retryAfterMode
	client         int
}

func (m *message) hasEnded() bool { return m.state != open }

// Events of a message.
const (
	evHandIn uint8 = iota
	evLeave
)

// Handle implements loop.Handler.
func (m *message) Handle(kind uint8, _ uint64) {
	if m.hasEnded() {
		return
	}
	switch kind {
	case evHandIn:
		m.handIns++
		m.id = strconv.FormatUint(m.number, 10) + "." + strconv.Itoa(m.handIns)
		m.w.tally.HandIns++
		m.w.clients.pickSender(m).accept(m)
	case evLeave:
		m.w.clients.finish(m, left)
		if m.w.sc.Clients.AnnounceLeave && m.acceptedBy != nil && m.acceptedBy.up && m.acceptedBy.incarnation == m.incarnation {
			m.acceptedBy.withdraw(m.id)
		}
	}
}

// clients generates the traffic: the arrivals of messages, and the retries of clients whose messages were rejected.
type clients struct {
	w            *World
	arrivalRand  *rand.Rand // arrival times
	messageRand  *rand.Rand // destination, class, work and key of a message
	behaviorRand *rand.Rand // behavior of clients: delays, leaving, use of retry-after
	balancerRand *rand.Rand
	classes      draw.Discrete
	dsts         draw.Discrete
	totalFactor  float64 // effect of all bursts on the total rate
	number       uint64
	remaining    []int // messages left for each client of the closed loop
}

// Events of all clients together.
const (
	evArrival     uint8 = iota
	evNextMessage       // a client of the closed loop sends its next message
)

func newClients(w *World) *clients {
	c := &clients{w: w, arrivalRand: draw.Stream(w.seed, "arrivals", 0), messageRand: draw.Stream(w.seed, "orders", 0),
		behaviorRand: draw.Stream(w.seed, "habits", 0), balancerRand: draw.Stream(w.seed, "front", 0)}
	var shares []float64
	for _, class := range w.sc.Classes {
		shares = append(shares, class.Share)
	}
	c.classes = draw.Weighted(shares)
	c.updateWeights()
	t := w.sc.Traffic
	if t.ClosedClients > 0 {
		for i := range t.ClosedClients {
			c.remaining = append(c.remaining, t.MessagesPerClient)
			w.At(w.Now()+int64(i)%1000, c, evNextMessage, uint64(i))
		}
	} else if t.Rate*t.Load > 0 {
		w.At(w.Now()+c.arrivalGap(), c, evArrival, 0)
	}
	return c
}

// updateWeights recomputes the rates after a burst has begun or ended.
func (c *clients) updateWeights() {
	weights, plain, burst := make([]float64, len(c.w.dsts)), 0.0, 0.0
	for i, d := range c.w.dsts {
		weights[i] = d.rate * d.burst
		plain += d.rate
		burst += weights[i]
	}
	c.totalFactor = 1
	if plain > 0 {
		c.totalFactor = burst / plain
	} else {
		for i := range weights {
			weights[i] = 1
		}
	}
	c.dsts = draw.Weighted(weights)
}

// rateFactor returns the traffic at a time relative to its mean.
func (c *clients) rateFactor(at int64) float64 {
	t := c.w.sc.Traffic
	sinceStart := float64(at - (c.w.end - int64(c.w.sc.Length)))
	switch t.Curve {
	case "wave":
		return 1 + t.Swing*math.Sin(2*math.Pi*sinceStart/float64(t.Period))
	case "day":
		return 1 - t.Swing*math.Cos(2*math.Pi*sinceStart/float64(c.w.sc.Length))
	}
	return 1
}

// arrivalGap draws the time to the next arrival at the peak rate; Handle thins the arrivals out to the current rate.
func (c *clients) arrivalGap() int64 {
	t := c.w.sc.Traffic
	return max(1, int64(math.Round(c.arrivalRand.ExpFloat64()/(t.Rate*t.Load*c.totalFactor*(1+t.Swing))*1e6)))
}

// Handle implements loop.Handler.
func (c *clients) Handle(kind uint8, n uint64) {
	w := c.w
	if w.Now() >= w.end {
		return
	}
	if kind == evNextMessage {
		if c.remaining[n] > 0 {
			c.remaining[n]--
			c.newMessage(w.dsts[c.dsts.Draw(c.messageRand)], int(n))
		}
		return
	}
	w.At(w.Now()+c.arrivalGap(), c, evArrival, 0)
	if c.arrivalRand.Float64()*(1+w.sc.Traffic.Swing) < c.rateFactor(w.Now()) {
		c.arrive()
	}
}

// arrive creates one message or, with a probability that gives clusters their share of all messages, a cluster of them.
func (c *clients) arrive() {
	t := c.w.sc.Traffic
	d := c.w.dsts[c.dsts.Draw(c.messageRand)]
	if t.ClusterShare == 0 {
		c.newMessage(d, -1)
		return
	}
	size := max(2, math.Round(float64(t.ClusterTime)/1e6*d.rate*t.Load))
	clusterProbability := t.ClusterShare / (size*(1-t.ClusterShare) + t.ClusterShare)
	if c.arrivalRand.Float64() > 1/(1-clusterProbability+clusterProbability*size) {
		return // a cluster has several messages, so there are fewer arrivals
	}
	if c.arrivalRand.Float64() >= clusterProbability {
		size = 1
	}
	for range int(size) {
		c.newMessage(d, -1)
	}
}

// newMessage draws a message and schedules its first hand-in.
func (c *clients) newMessage(d *destination, client int) {
	w := c.w
	c.number++
	class := c.classes.Draw(c.messageRand)
	settings := w.sc.Classes[class]
	m := &message{w: w, number: c.number, dst: d, class: class, createdAt: w.Now(), deadline: w.Now() + int64(settings.Deadline), client: client}
	work := w.sc.Kinds[d.kind].Work.Distribution()
	work.Mean = d.meanWork
	m.work = work.Draw(c.messageRand)
	if settings.Ordered {
		m.key = settings.Name + strconv.Itoa(c.messageRand.IntN(max(1, settings.Keys)))
	}
	switch x := c.behaviorRand.Float64(); {
	case x < w.sc.Clients.ObeyShare:
		m.retryAfterMode = obeysRetryAfter
	case x < w.sc.Clients.ObeyShare+w.sc.Clients.HalfObeyShare:
		m.retryAfterMode = obeysHalf
	default:
		m.retryAfterMode = ignoresRetryAfter
	}
	w.tally.asked(m)
	w.At(w.Now()+draw.Uniform(c.behaviorRand, int64(w.sc.Network.ClientDelay), w.sc.Network.Jitter), m, evHandIn, 0)
	if w.sc.Clients.LeaveShare > 0 && c.behaviorRand.Float64() < w.sc.Clients.LeaveShare {
		w.At(w.Now()+int64(c.behaviorRand.ExpFloat64()*float64(w.sc.Clients.MeanLeaveTime)), m, evLeave, 0)
	}
}

// pickSender is the load balancer: it assigns a hand-in to a sender that it believes to be up.
func (c *clients) pickSender(m *message) *sender {
	all := c.w.senders
	first := 0
	switch {
	case m.key != "":
		first = int(xxhash.Sum64String(m.key) % uint64(len(all)))
	case c.w.sc.LoadBalancer.Mode == "beside" && m.client >= 0:
		return all[m.client%len(all)]
	case c.w.sc.LoadBalancer.Mode == "beside":
		return all[int(m.number)%len(all)]
	default:
		first = c.balancerRand.IntN(len(all))
	}
	for i := range all {
		if s := all[(first+i)%len(all)]; s.believedUp {
			return s
		}
	}
	return all[first]
}

// senderDown handles a hand-in at a sender that is down: the client retries.
func (c *clients) senderDown(m *message) {
	c.w.tally.SenderDown++
	c.resubmit(m, int64(c.w.sc.Clients.ResubmitDelay))
}

// orphaned handles a message whose sender died. The client retries unless the message is not retriable and may have run.
func (c *clients) orphaned(h *handIn) {
	if h.record.Class.RetryMode == 0 && h.record.MayHaveRun() { // non-retriable
		c.finish(h.message, lost)
		return
	}
	c.w.tally.Orphaned++
	c.resubmit(h.message, int64((0.5+c.behaviorRand.Float64())*float64(c.w.sc.Clients.ResubmitDelay)))
}

// resubmit schedules another hand-in, or rejects the message for good if its deadline would have passed.
func (c *clients) resubmit(m *message, delay int64) {
	if m.hasEnded() {
		return
	}
	if at := c.w.Now() + max(1, delay); at < m.deadline {
		c.w.At(at, m, evHandIn, 0)
		return
	}
	c.finish(m, rejected)
}

// rejected handles a rejection with its retry-after.
func (c *clients) rejected(m *message, retryAfter int64) {
	if m.hasEnded() {
		return
	}
	m.rejections++
	c.w.tally.Rejections++
	if m.rejections > c.w.sc.Clients.MaxRetries {
		c.finish(m, rejected)
		return
	}
	delay := int64(float64(c.w.sc.Clients.Backoff<<min(m.rejections-1, 10)) * (0.5 + c.behaviorRand.Float64()))
	switch {
	case retryAfter > 0 && m.retryAfterMode == obeysRetryAfter:
		delay = retryAfter
	case retryAfter > 0 && m.retryAfterMode == obeysHalf:
		delay = retryAfter / 2
	}
	c.resubmit(m, delay)
}

func (c *clients) failed(m *message) { c.finish(m, failed) }

func (c *clients) delivered(m *message, now int64) {
	if m.hasEnded() {
		return
	}
	if now > m.deadline {
		c.finish(m, failed)
		return
	}
	c.finish(m, delivered)
}

// finish ends a message. Every message ends here.
func (c *clients) finish(m *message, final messageState) {
	if m.hasEnded() {
		return
	}
	m.state = final
	c.w.tally.ended(m)
	c.w.emit(event{Event: "over: " + stateNames[final], Message: m.id, Dst: m.dst.number, Took: c.w.Now() - m.createdAt})
	if m.client >= 0 {
		c.w.At(c.w.Now()+int64(c.w.sc.Traffic.ThinkTime), c, evNextMessage, uint64(m.client))
	}
}

// notes holds the peer notes in transit between senders; each is taken once.
type notes struct {
	next  uint64
	texts map[uint64]string
}

func (n *notes) put(text string) uint64 {
	if n.texts == nil {
		n.texts = map[uint64]string{}
	}
	n.next++
	n.texts[n.next] = text
	return n.next
}

func (n *notes) take(number uint64) string {
	text := n.texts[number]
	delete(n.texts, number)
	return text
}

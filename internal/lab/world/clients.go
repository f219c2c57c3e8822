package world

import (
	"math"
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"ravenlink/internal/lab/draw"
)

type orderState uint8

// An order is one thing that a client wants delivered, over all its hand-ins.
const (
	open orderState = iota
	delivered
	pushedBack // and its client comes no more
	failed
	left // its client went before
	lost // with its sender, and may not come again
)

var stateNames = [...]string{"open", "delivered", "pushed back", "failed", "left", "lost"}

type heed uint8

const (
	heeds heed = iota
	heedsHalf
	ignores
)

type order struct {
	w        *World
	number   uint64
	id       string // of the present hand-in
	dst      *destination
	lane     int
	key      string
	work     int64 // µs, on average over receivers
	born     int64
	deadline int64
	tries    int // hand-ins
	again    int // pushbacks
	at       *sender
	life     uint64
	state    orderState
	heed     heed
	client   int
}

func (o *order) over() bool { return o.state != open }

// The events of an order.
const (
	evHandIn uint8 = iota
	evLeave
)

// Handle is for the loop.
func (o *order) Handle(kind uint8, _ uint64) {
	if o.over() {
		return
	}
	switch kind {
	case evHandIn:
		o.tries++
		o.id = strconv.FormatUint(o.number, 10) + "." + strconv.Itoa(o.tries)
		o.w.tally.HandIns++
		o.w.clients.front(o).take(o)
	case evLeave:
		o.w.clients.end(o, left)
		if o.w.sc.Clients.LeaveSay && o.at != nil && o.at.up && o.at.life == o.life {
			o.at.withdrawn(o.id)
		}
	}
}

// clients make the traffic, and come again.
type clients struct {
	w      *World
	arrive *rand.Rand // when
	orders *rand.Rand // what
	habits *rand.Rand // who, and how they wait
	fronts *rand.Rand
	lanes  draw.Shares
	dsts   draw.Shares
	full   float64 // factor of all bursts on the whole
	number uint64
	each   []int // orders left of each closed client
}

// The events of the clients as a whole.
const (
	evArrival uint8 = iota
	evNext          // of a closed client
)

func newClients(w *World) *clients {
	c := &clients{w: w, arrive: draw.Stream(w.seed, "arrivals", 0), orders: draw.Stream(w.seed, "orders", 0),
		habits: draw.Stream(w.seed, "habits", 0), fronts: draw.Stream(w.seed, "front", 0)}
	var shares []float64
	for _, l := range w.sc.Lanes {
		shares = append(shares, l.Share)
	}
	c.lanes = draw.Weighted(shares)
	c.reweigh()
	t := w.sc.Traffic
	if t.Closed > 0 {
		for i := range t.Closed {
			c.each = append(c.each, t.Each)
			w.At(w.Now()+int64(i)%1000, c, evNext, uint64(i))
		}
	} else if t.Rate*t.Load > 0 {
		w.At(w.Now()+c.gap(), c, evArrival, 0)
	}
	return c
}

// reweigh takes in bursts that begin or end.
func (c *clients) reweigh() {
	ws, plain, burst := make([]float64, len(c.w.dsts)), 0.0, 0.0
	for i, d := range c.w.dsts {
		ws[i] = d.rate * d.burst
		plain += d.rate
		burst += ws[i]
	}
	c.full = 1
	if plain > 0 {
		c.full = burst / plain
	} else {
		for i := range ws {
			ws[i] = 1
		}
	}
	c.dsts = draw.Weighted(ws)
}

// curve is the traffic at a time, as a factor of its mean.
func (c *clients) curve(at int64) float64 {
	t := c.w.sc.Traffic
	x := float64(at - (c.w.end - int64(c.w.sc.Length)))
	switch t.Curve {
	case "wave":
		return 1 + t.Swing*math.Sin(2*math.Pi*x/float64(t.Period))
	case "day":
		return 1 - t.Swing*math.Cos(2*math.Pi*x/float64(c.w.sc.Length))
	}
	return 1
}

// gap is the time to the next arrival at the highest rate; arrival thins them out to the rate of the moment.
func (c *clients) gap() int64 {
	t := c.w.sc.Traffic
	return max(1, int64(math.Round(c.arrive.ExpFloat64()/(t.Rate*t.Load*c.full*(1+t.Swing))*1e6)))
}

// Handle is for the loop.
func (c *clients) Handle(kind uint8, n uint64) {
	w := c.w
	if w.Now() >= w.end {
		return
	}
	if kind == evNext {
		if c.each[n] > 0 {
			c.each[n]--
			c.order(w.dsts[c.dsts.Draw(c.orders)], int(n))
		}
		return
	}
	w.At(w.Now()+c.gap(), c, evArrival, 0)
	if c.arrive.Float64()*(1+w.sc.Traffic.Swing) < c.curve(w.Now()) {
		c.arrival()
	}
}

// arrival is one message, or with some odds a clump of them, so that clumps bring their share of all messages.
func (c *clients) arrival() {
	t := c.w.sc.Traffic
	d := c.w.dsts[c.dsts.Draw(c.orders)]
	if t.Clumps == 0 {
		c.order(d, -1)
		return
	}
	size := max(2, math.Round(float64(t.ClumpOf)/1e6*d.rate*t.Load))
	odds := t.Clumps / (size*(1-t.Clumps) + t.Clumps)
	if c.arrive.Float64() > 1/(1-odds+odds*size) {
		return // clumps bring more than one each, so fewer of them come
	}
	if c.arrive.Float64() >= odds {
		size = 1
	}
	for range int(size) {
		c.order(d, -1)
	}
}

// order makes a new one and sets it on its way.
func (c *clients) order(d *destination, client int) {
	w := c.w
	c.number++
	lane := c.lanes.Draw(c.orders)
	l := w.sc.Lanes[lane]
	o := &order{w: w, number: c.number, dst: d, lane: lane, born: w.Now(), deadline: w.Now() + int64(l.Deadline), client: client}
	work := w.sc.Kinds[d.kind].Work.Times()
	work.Mean = d.mean
	o.work = work.Draw(c.orders)
	if l.InOrder {
		o.key = l.Name + strconv.Itoa(c.orders.IntN(max(1, l.Keys)))
	}
	switch x := c.habits.Float64(); {
	case x < w.sc.Clients.Heed:
		o.heed = heeds
	case x < w.sc.Clients.Heed+w.sc.Clients.HalfHeed:
		o.heed = heedsHalf
	default:
		o.heed = ignores
	}
	w.tally.asked(o)
	w.At(w.Now()+draw.Around(c.habits, int64(w.sc.Network.Client), w.sc.Network.Jitter), o, evHandIn, 0)
	if w.sc.Clients.Leave > 0 && c.habits.Float64() < w.sc.Clients.Leave {
		w.At(w.Now()+int64(c.habits.ExpFloat64()*float64(w.sc.Clients.LeaveIn)), o, evLeave, 0)
	}
}

// front deals a hand-in out to a sender that it believes up.
func (c *clients) front(o *order) *sender {
	all := c.w.senders
	first := 0
	switch {
	case o.key != "":
		first = int(xxhash.Sum64String(o.key) % uint64(len(all)))
	case c.w.sc.Front.Mode == "beside" && o.client >= 0:
		return all[o.client%len(all)]
	case c.w.sc.Front.Mode == "beside":
		return all[int(o.number)%len(all)]
	default:
		first = c.fronts.IntN(len(all))
	}
	for i := range all {
		if s := all[(first+i)%len(all)]; s.believed {
			return s
		}
	}
	return all[first]
}

// lostAt says that the sender was not there: its client comes again.
func (c *clients) lostAt(o *order) {
	c.w.tally.Unheard++
	c.again(o, int64(c.w.sc.Clients.Again))
}

// orphaned says that a sender died with a message. It comes again, but for one that may have run and must not twice.
func (c *clients) orphaned(h *hand) {
	if h.msg.Lane.Repeat == 0 && h.msg.MayHaveRun() { // non-retriable
		c.end(h.order, lost)
		return
	}
	c.w.tally.Orphaned++
	c.again(h.order, int64((0.5+c.habits.Float64())*float64(c.w.sc.Clients.Again)))
}

// again brings an order in once more, if there is time.
func (c *clients) again(o *order, after int64) {
	if o.over() {
		return
	}
	if at := c.w.Now() + max(1, after); at < o.deadline {
		c.w.At(at, o, evHandIn, 0)
		return
	}
	c.end(o, pushedBack)
}

// pushedBack takes a pushback with what it advises.
func (c *clients) pushedBack(o *order, advice int64) {
	if o.over() {
		return
	}
	o.again++
	c.w.tally.PushBacks++
	if o.again > c.w.sc.Clients.Repeats {
		c.end(o, pushedBack)
		return
	}
	own := int64(float64(c.w.sc.Clients.Backoff<<min(o.again-1, 10)) * (0.5 + c.habits.Float64()))
	switch {
	case advice > 0 && o.heed == heeds:
		own = advice
	case advice > 0 && o.heed == heedsHalf:
		own = advice / 2
	}
	c.again(o, own)
}

func (c *clients) failed(o *order) { c.end(o, failed) }

func (c *clients) delivered(o *order, now int64) {
	if o.over() {
		return
	}
	if now > o.deadline {
		c.end(o, failed)
		return
	}
	c.end(o, delivered)
}

// end is the one place where an order is over.
func (c *clients) end(o *order, how orderState) {
	if o.over() {
		return
	}
	o.state = how
	c.w.tally.ended(o)
	c.w.say(event{Event: "over: " + stateNames[how], Message: o.id, Dst: o.dst.number, Took: c.w.Now() - o.born})
	if o.client >= 0 {
		c.w.At(c.w.Now()+int64(c.w.sc.Traffic.Think), c, evNext, uint64(o.client))
	}
}

// notes are the texts on their way between senders; each is taken once.
type notes struct {
	next  uint64
	texts map[uint64]string
}

func (n *notes) keep(text string) uint64 {
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

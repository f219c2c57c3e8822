package world

import (
	"cmp"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ravenlink/choice"
	"ravenlink/internal/lab/loop"
	"ravenlink/internal/lab/rules"
)

const (
	mostWidths = 240           // points of a series
	mostDsts   = 12            // destinations with series of their own: those with most traffic
	longest    = 3600 * second // µs; longer times count as this
	digits     = 2             // of a time that count
	worstSpan  = 10 * second   // µs; the worst stretch is looked for in spans of this
	peakSpan   = second / 20   // µs; as in the source article
	peakFrom   = second        // µs after the start before peaks count, likewise
	widthUnit  = second        // µs; a point of a series stands for whole ones of these
	toMillis   = 1.0 / 1000    // from µs
	quantLow   = 0.5           //
	quantHigh  = 0.99          //
)

// Times are quantiles of a time, in ms.
type Times struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Most  float64 `json:"most_ms"`
}

// Series are what happened and how things stood, over time; one point for each width.
type Series struct {
	Width     int64     `json:"width_us"`
	Asked     []int     `json:"asked"`
	Delivered []int     `json:"delivered"`
	Undone    []int     `json:"undelivered"` // pushed back for good or failed
	Legs      []int     `json:"legs"`
	Repeats   []int     `json:"repeats"`
	Refusals  []int     `json:"refusals"`
	Out       []int     `json:"in_flight"`
	Held      []int     `json:"held"`
	Ill       []int     `json:"receivers_ill"`
	Believed  []float64 `json:"receivers_believed_closed"` // mean over the senders that have a belief
	P50       []float64 `json:"p50_ms"`
	P99       []float64 `json:"p99_ms"`
}

// DstSeries are one destination's.
type DstSeries struct {
	Number    int64  `json:"destination"`
	Kind      string `json:"kind"`
	Asked     []int  `json:"asked"`
	Delivered []int  `json:"delivered"`
	Out       []int  `json:"in_flight"`
}

// Mark is a trouble's begin or end, for plots.
type Mark struct {
	At    int64  `json:"at_us"`
	Begin bool   `json:"begin"`
	What  string `json:"what"`
}

// Result is what came of a run.
type Result struct {
	Scenario  string  `json:"scenario"`
	Policy    string  `json:"policy"`
	Seed      uint64  `json:"seed"`
	Service   float64 `json:"service"` // value delivered over value asked for
	Worst     float64 `json:"worst_10s"`
	Waste     float64 `json:"waste"` // share of the work done that delivered nothing
	PerOrder  float64 `json:"legs_per_message"`
	Broken    int     `json:"rules_broken"`
	Asked     int     `json:"asked"`
	Delivered int     `json:"delivered"`
	InTime    int     `json:"in_time"`
	*Tally
	Rules    map[rules.Rule]int `json:"rules"`
	Breaches []rules.Breach     `json:"breaches,omitempty"`
	Outcomes map[string]int     `json:"outcomes"`
	Ends     map[string]int     `json:"ends"`
	Answer   Times              `json:"answer"`      // delivered, from when the message was first due
	Undone   Times              `json:"undelivered"` // the others' end, likewise
	Events   uint64             `json:"events"`
	Series   Series             `json:"series"`
	Dsts     []DstSeries        `json:"destinations"`
	Marks    []Mark             `json:"marks"`
}

// Tally counts what happens in a run.
type Tally struct {
	HandIns     int `json:"hand_ins"`
	Taken       int `json:"taken"`
	TurnedAway  int `json:"turned_away"` // no room at the door
	PushBacks   int `json:"push_backs"`
	Orphaned    int `json:"orphaned"`
	Unheard     int `json:"unheard"` // handed to a sender that was not there
	Legs        int `json:"legs"`
	Repeats     int `json:"repeats"`
	Probes      int `json:"probes"`
	Notes       int `json:"notes"`
	Connections int `json:"connections"`
	Fell        int `json:"pushed_over"`
	Peak        int `json:"peak_calls_50ms"`

	w                    *World
	width                int64
	ordersAsked          int
	ordersDone           [lost + 1]int
	inTime               int
	valueAsked, valueGot float64
	outcomes             [choice.Skipped + 1]int
	useful               int64 // µs of work that delivered something
	spanAsked, spanGot   []float64
	answer, undone       *hdrhistogram.Histogram
	now                  *hdrhistogram.Histogram // of the present width
	s                    Series
	dsts                 []*dstTally
	marks                []Mark
	peakAt               int64
	inPeak               int
}

type dstTally struct {
	w   *World
	out int
	s   *DstSeries // nil for most
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest, digits) }

func newTally(w *World) *Tally {
	length := int64(w.sc.Length)
	width := max(widthUnit, (length/mostWidths+widthUnit-1)/widthUnit*widthUnit)
	t := &Tally{w: w, width: width, answer: histogram(), undone: histogram(), now: histogram()}
	n := int(length/width) + 1
	t.s = Series{Width: width, Asked: make([]int, n), Delivered: make([]int, n), Undone: make([]int, n), Legs: make([]int, n),
		Repeats: make([]int, n), Refusals: make([]int, n)}
	t.spanAsked, t.spanGot = make([]float64, length/worstSpan+1), make([]float64, length/worstSpan+1)
	for i, d := range w.dsts {
		d.tally = &dstTally{w: w}
		if i < mostDsts {
			d.tally.s = &DstSeries{Number: d.number, Kind: w.sc.Kinds[d.kind].Name, Asked: make([]int, n), Delivered: make([]int, n)}
		}
		t.dsts = append(t.dsts, d.tally)
	}
	return t
}

// at is the place in a series for now; what comes after the day counts in its last.
func (t *Tally) at() int { return min(int((t.w.Now()-loop.Origin)/t.width), len(t.s.Asked)-1) }

func (t *Tally) asked(o *order) {
	t.ordersAsked++
	v := t.w.lanes[o.lane].Value
	t.valueAsked += v
	t.spanAsked[min(int((o.born-loop.Origin)/worstSpan), len(t.spanAsked)-1)] += v
	t.s.Asked[t.at()]++
	if s := o.dst.tally.s; s != nil {
		s.Asked[t.at()]++
	}
}

// value of an order delivered at a time, by its lane's way of falling.
func (t *Tally) value(o *order, at int64) float64 {
	l := t.w.lanes[o.lane]
	late := float64(at - o.born - l.Target)
	switch {
	case late <= 0:
		return l.Value
	case t.w.start.Room.HalvesLate:
		return l.Value * max(l.LateValue, math.Exp2(-late/float64(l.Target)))
	default:
		return l.Value * (1 - (1-l.LateValue)*late/float64(max(1, l.Deadline-l.Target)))
	}
}

func (t *Tally) ended(o *order) {
	now := t.w.Now()
	t.ordersDone[o.state]++
	took := min(now-o.born, longest)
	if o.state != delivered {
		if o.state != left {
			_ = t.undone.RecordValue(took)
			t.s.Undone[t.at()]++
		}
		return
	}
	_ = t.answer.RecordValue(took)
	_ = t.now.RecordValue(took)
	v := t.value(o, now)
	t.valueGot += v
	t.spanGot[min(int((o.born-loop.Origin)/worstSpan), len(t.spanGot)-1)] += v
	if took <= t.w.lanes[o.lane].Target {
		t.inTime++
	}
	t.s.Delivered[t.at()]++
	if s := o.dst.tally.s; s != nil {
		s.Delivered[t.at()]++
	}
}

func (t *Tally) legs(h *hand, x *receiver) {
	t.Legs++
	t.s.Legs[t.at()]++
	if len(h.msg.Legs) > 1 || h.order.tries > 1 {
		t.Repeats++
		t.s.Repeats[t.at()]++
	}
	x.dst.tally.out++
	if at := (t.w.Now() - loop.Origin) / peakSpan; at != t.peakAt {
		t.peakAt, t.inPeak = at, 0
	}
	if t.inPeak++; t.w.Now()-loop.Origin >= peakFrom {
		t.Peak = max(t.Peak, t.inPeak)
	}
}

// ran counts work that may deliver something: that of calls whose messages are open still.
func (t *Tally) ran(c *call) {
	open := 0
	for _, h := range c.hands {
		if !h.order.over() {
			open++
		}
	}
	if open > 0 && c.live() {
		t.useful += c.c.Used * int64(open) / int64(len(c.hands))
	}
}

func (t *Tally) settled(c *call, o choice.Outcome, _ int64) {
	t.outcomes[o] += len(c.hands)
	c.to.dst.tally.out -= len(c.hands)
	if o == choice.Full {
		t.s.Refusals[t.at()] += len(c.hands)
	}
}

func (t *Tally) trouble(x *trouble, begins bool) {
	t.marks = append(t.marks, Mark{At: t.w.Now() - loop.Origin, Begin: begins, What: x.String()})
}

// sample notes how things stand.
func (t *Tally) sample(w *World) {
	out, heldNow, believed, believers := 0, 0, 0, 0
	for _, s := range w.senders {
		out += s.out
		heldNow += len(s.hands)
		if b := s.believes(); b >= 0 {
			believed += b
			believers++
		}
	}
	t.s.Out, t.s.Held, t.s.Ill = append(t.s.Out, out), append(t.s.Held, heldNow), append(t.s.Ill, w.ill())
	mean := 0.0
	if believers > 0 {
		mean = float64(believed) / float64(believers)
	}
	t.s.Believed = append(t.s.Believed, mean)
	t.s.P50 = append(t.s.P50, float64(t.now.ValueAtQuantile(100*quantLow))*toMillis)
	t.s.P99 = append(t.s.P99, float64(t.now.ValueAtQuantile(100*quantHigh))*toMillis)
	t.now.Reset()
	for _, d := range t.dsts {
		if d.s != nil {
			d.s.Out = append(d.s.Out, d.out)
		}
	}
}

func times(h *hdrhistogram.Histogram) Times {
	q := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) * toMillis }
	return Times{Count: h.TotalCount(), Mean: h.Mean() * toMillis, P50: q(50), P90: q(90), P99: q(99), P999: q(99.9),
		Most: float64(h.Max()) * toMillis}
}

// share is a part of a whole, 1 of nothing.
func share(part, whole float64) float64 {
	if whole == 0 {
		return 1
	}
	return part / whole
}

func (w *World) result(name string) *Result {
	t := w.tally
	r := &Result{Scenario: w.sc.Name, Policy: name, Seed: w.seed, Tally: t, Service: share(t.valueGot, t.valueAsked), Worst: 1,
		Broken: w.judge.Broken(), Asked: t.ordersAsked, Delivered: t.ordersDone[delivered], InTime: t.inTime, Rules: w.judge.Counts,
		Breaches: w.judge.Kept, Outcomes: map[string]int{}, Ends: map[string]int{}, Answer: times(t.answer), Undone: times(t.undone),
		Events: w.Ran(), Series: t.s, Marks: t.marks}
	for i := range t.spanAsked {
		r.Worst = min(r.Worst, share(t.spanGot[i], t.spanAsked[i]))
	}
	if t.ordersAsked > 0 {
		r.PerOrder = float64(t.Legs) / float64(t.ordersAsked)
	}
	all := int64(0)
	for _, x := range w.order {
		all += x.model.Done()
	}
	if all > 0 {
		r.Waste = max(0, 1-float64(t.useful)/float64(all))
	}
	for o, n := range t.outcomes {
		r.Outcomes[outcomeNames[o]] = n
	}
	for state, n := range t.ordersDone[1:] {
		r.Ends[stateNames[state+1]] = n
	}
	for _, d := range t.dsts {
		if d.s != nil {
			r.Dsts = append(r.Dsts, *d.s)
		}
	}
	slices.SortStableFunc(r.Marks, func(a, b Mark) int { return cmp.Compare(a.At, b.At) })
	return r
}

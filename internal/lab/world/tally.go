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
	maxPoints         = 240           // maximum of points in a series
	maxDstSeries      = 12            // destinations with series of their own: those with the most traffic
	maxTime           = 3600 * second // µs; longer times are recorded as this
	significantDigits = 2             // of recorded times
	worstWindow       = 10 * second   // µs; length of the windows among which the worst one is reported
	peakWindow        = second / 20   // µs; the window of the source article
	peakFrom          = second        // µs; peaks are counted from this time, as in the source article
	minInterval       = second        // µs; the interval of a series is a multiple of this
	toMillis          = 1.0 / 1000    // from µs
	medianQuantile    = 0.5
	highQuantile      = 0.99
)

// Times summarizes the distribution of a duration, in ms.
type Times struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"most_ms"`
}

// Series holds counts and gauges over time, with one point per interval.
type Series struct {
	Interval       int64     `json:"width_us"`
	Asked          []int     `json:"asked"`
	Delivered      []int     `json:"delivered"`
	Undelivered    []int     `json:"undelivered"` // rejected for good, failed or lost
	Legs           []int     `json:"legs"`
	Retries        []int     `json:"repeats"`
	Refusals       []int     `json:"refusals"`
	InFlight       []int     `json:"in_flight"`
	Held           []int     `json:"held"`
	InOutage       []int     `json:"receivers_ill"`
	BelievedClosed []float64 `json:"receivers_believed_closed"` // mean over the senders whose policy tracks it
	P50            []float64 `json:"p50_ms"`
	P99            []float64 `json:"p99_ms"`
}

// DstSeries holds the series of one destination.
type DstSeries struct {
	Number    int64  `json:"destination"`
	Kind      string `json:"kind"`
	Asked     []int  `json:"asked"`
	Delivered []int  `json:"delivered"`
	InFlight  []int  `json:"in_flight"`
}

// Mark is the begin or end of a fault, for plots.
type Mark struct {
	At    int64  `json:"at_us"`
	Begin bool   `json:"begin"`
	What  string `json:"what"`
}

// Result holds the figures of a run. ravenlab writes it as JSON.
type Result struct {
	Scenario       string  `json:"scenario"`
	Policy         string  `json:"policy"`
	Seed           uint64  `json:"seed"`
	Service        float64 `json:"service"` // value delivered divided by value asked for
	Worst          float64 `json:"worst_10s"`
	Waste          float64 `json:"waste"` // share of the receivers' work that delivered nothing
	LegsPerMessage float64 `json:"legs_per_message"`
	Broken         int     `json:"rules_broken"`
	Asked          int     `json:"asked"`
	Delivered      int     `json:"delivered"`
	InTime         int     `json:"in_time"`
	*Tally
	Rules            map[rules.Rule]int `json:"rules"`
	Violations       []rules.Violation  `json:"breaches,omitempty"`
	Outcomes         map[string]int     `json:"outcomes"`
	Ends             map[string]int     `json:"ends"`
	DeliveryTimes    Times              `json:"answer"`      // from creation to delivery, of delivered messages
	UndeliveredTimes Times              `json:"undelivered"` // from creation to the end, of messages rejected, failed or lost
	Events           uint64             `json:"events"`
	Series           Series             `json:"series"`
	Dsts             []DstSeries        `json:"destinations"`
	Marks            []Mark             `json:"marks"`
}

// Tally counts the events of a run.
type Tally struct {
	HandIns      int `json:"hand_ins"`
	Accepted     int `json:"taken"`
	RejectedFull int `json:"turned_away"` // rejected because the sender's queue was full
	Rejections   int `json:"push_backs"`
	Orphaned     int `json:"orphaned"`
	SenderDown   int `json:"unheard"` // handed in at a sender that was down
	Legs         int `json:"legs"`
	Retries      int `json:"repeats"`
	Probes       int `json:"probes"`
	Notes        int `json:"notes"`
	Connections  int `json:"connections"`
	Collapses    int `json:"pushed_over"`
	PeakCalls    int `json:"peak_calls_50ms"` // legs sent in the busiest peakWindow

	w                                      *World
	interval                               int64
	messagesAsked                          int
	messagesByState                        [lost + 1]int
	inTime                                 int
	valueAsked, valueDelivered             float64
	outcomes                               [choice.NotSent + 1]int
	usefulWork                             int64 // µs of the receivers' work that delivered a message
	windowValueAsked, windowValueDelivered []float64
	deliveryTimes, undeliveredTimes        *hdrhistogram.Histogram
	recentTimes                            *hdrhistogram.Histogram // of the current interval
	series                                 Series
	dsts                                   []*dstTally
	marks                                  []Mark
	peakWindowIndex                        int64
	legsInPeakWindow                       int
}

type dstTally struct {
	w        *World
	inFlight int
	series   *DstSeries // nil except for the destinations with the most traffic
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxTime, significantDigits) }

func newTally(w *World) *Tally {
	length := int64(w.sc.Length)
	interval := max(minInterval, (length/maxPoints+minInterval-1)/minInterval*minInterval)
	t := &Tally{w: w, interval: interval, deliveryTimes: newHistogram(), undeliveredTimes: newHistogram(), recentTimes: newHistogram()}
	n := int(length/interval) + 1
	t.series = Series{Interval: interval, Asked: make([]int, n), Delivered: make([]int, n), Undelivered: make([]int, n), Legs: make([]int, n),
		Retries: make([]int, n), Refusals: make([]int, n)}
	t.windowValueAsked, t.windowValueDelivered = make([]float64, length/worstWindow+1), make([]float64, length/worstWindow+1)
	for i, d := range w.dsts {
		d.tally = &dstTally{w: w}
		if i < maxDstSeries {
			d.tally.series = &DstSeries{Number: d.number, Kind: w.sc.Kinds[d.kind].Name, Asked: make([]int, n), Delivered: make([]int, n)}
		}
		t.dsts = append(t.dsts, d.tally)
	}
	return t
}

// point returns the index of the current interval in a series; events after the scenario's end count in the last one.
func (t *Tally) point() int {
	return min(int((t.w.Now()-loop.Origin)/t.interval), len(t.series.Asked)-1)
}

func (t *Tally) asked(m *message) {
	t.messagesAsked++
	v := t.w.classes[m.class].Value
	t.valueAsked += v
	t.windowValueAsked[min(int((m.createdAt-loop.Origin)/worstWindow), len(t.windowValueAsked)-1)] += v
	t.series.Asked[t.point()]++
	if series := m.dst.tally.series; series != nil {
		series.Asked[t.point()]++
	}
}

// value returns what delivering a message at a time is worth, which decays after the target of its class.
func (t *Tally) value(m *message, at int64) float64 {
	c := t.w.classes[m.class]
	late := float64(at - m.createdAt - c.Target)
	switch {
	case late <= 0:
		return c.Value
	case t.w.start.Limits.ExponentialDecay:
		return c.Value * max(c.LateValue, math.Exp2(-late/float64(c.Target)))
	default:
		return c.Value * (1 - (1-c.LateValue)*late/float64(max(1, c.Deadline-c.Target)))
	}
}

func (t *Tally) ended(m *message) {
	now := t.w.Now()
	t.messagesByState[m.state]++
	took := min(now-m.createdAt, maxTime)
	if m.state != delivered {
		if m.state != left {
			_ = t.undeliveredTimes.RecordValue(took)
			t.series.Undelivered[t.point()]++
		}
		return
	}
	_ = t.deliveryTimes.RecordValue(took)
	_ = t.recentTimes.RecordValue(took)
	v := t.value(m, now)
	t.valueDelivered += v
	t.windowValueDelivered[min(int((m.createdAt-loop.Origin)/worstWindow), len(t.windowValueDelivered)-1)] += v
	if took <= t.w.classes[m.class].Target {
		t.inTime++
	}
	t.series.Delivered[t.point()]++
	if series := m.dst.tally.series; series != nil {
		series.Delivered[t.point()]++
	}
}

func (t *Tally) legSent(h *handIn, x *receiver) {
	t.Legs++
	t.series.Legs[t.point()]++
	if len(h.record.Legs) > 1 || h.message.handIns > 1 {
		t.Retries++
		t.series.Retries[t.point()]++
	}
	x.dst.tally.inFlight++
	if at := (t.w.Now() - loop.Origin) / peakWindow; at != t.peakWindowIndex {
		t.peakWindowIndex, t.legsInPeakWindow = at, 0
	}
	if t.legsInPeakWindow++; t.w.Now()-loop.Origin >= peakFrom {
		t.PeakCalls = max(t.PeakCalls, t.legsInPeakWindow)
	}
}

// workDone counts the part of a call's work that delivers messages which are still open.
func (t *Tally) workDone(c *call) {
	open := 0
	for _, h := range c.handIns {
		if !h.message.hasEnded() {
			open++
		}
	}
	if open > 0 && c.pending() {
		t.usefulWork += c.request.BusyTime * int64(open) / int64(len(c.handIns))
	}
}

func (t *Tally) settled(c *call, o choice.Outcome, _ int64) {
	t.outcomes[o] += len(c.handIns)
	c.to.dst.tally.inFlight -= len(c.handIns)
	if o == choice.Refused {
		t.series.Refusals[t.point()] += len(c.handIns)
	}
}

func (t *Tally) markFault(f *activeFault, begins bool) {
	t.marks = append(t.marks, Mark{At: t.w.Now() - loop.Origin, Begin: begins, What: f.String()})
}

// sample records the gauges and quantiles of an interval.
func (t *Tally) sample(w *World) {
	inFlight, held, closed, reporting := 0, 0, 0, 0
	for _, s := range w.senders {
		inFlight += s.inFlight
		held += len(s.handIns)
		if b := s.closedReceivers(); b >= 0 {
			closed += b
			reporting++
		}
	}
	t.series.InFlight, t.series.Held, t.series.InOutage = append(t.series.InFlight, inFlight),
		append(t.series.Held, held), append(t.series.InOutage, w.receiversInOutage())
	mean := 0.0
	if reporting > 0 {
		mean = float64(closed) / float64(reporting)
	}
	t.series.BelievedClosed = append(t.series.BelievedClosed, mean)
	t.series.P50 = append(t.series.P50, float64(t.recentTimes.ValueAtQuantile(100*medianQuantile))*toMillis)
	t.series.P99 = append(t.series.P99, float64(t.recentTimes.ValueAtQuantile(100*highQuantile))*toMillis)
	t.recentTimes.Reset()
	for _, d := range t.dsts {
		if d.series != nil {
			d.series.InFlight = append(d.series.InFlight, d.inFlight)
		}
	}
}

func summarize(h *hdrhistogram.Histogram) Times {
	q := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) * toMillis }
	return Times{Count: h.TotalCount(), Mean: h.Mean() * toMillis, P50: q(50), P90: q(90), P99: q(99), P999: q(99.9),
		Max: float64(h.Max()) * toMillis}
}

// ratio divides part by whole; it is 1 if whole is 0.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 1
	}
	return part / whole
}

func (w *World) result(name string) *Result {
	t := w.tally
	r := &Result{Scenario: w.sc.Name, Policy: name, Seed: w.seed, Tally: t, Service: ratio(t.valueDelivered, t.valueAsked), Worst: 1,
		Broken: w.checker.Total(), Asked: t.messagesAsked, Delivered: t.messagesByState[delivered], InTime: t.inTime, Rules: w.checker.Counts,
		Violations: w.checker.Violations, Outcomes: map[string]int{}, Ends: map[string]int{},
		DeliveryTimes: summarize(t.deliveryTimes), UndeliveredTimes: summarize(t.undeliveredTimes), Events: w.Ran(), Series: t.series, Marks: t.marks}
	for i := range t.windowValueAsked {
		r.Worst = min(r.Worst, ratio(t.windowValueDelivered[i], t.windowValueAsked[i]))
	}
	if t.messagesAsked > 0 {
		r.LegsPerMessage = float64(t.Legs) / float64(t.messagesAsked)
	}
	totalWork := int64(0)
	for _, x := range w.allRecvs {
		totalWork += x.model.BusyTime()
	}
	if totalWork > 0 {
		r.Waste = max(0, 1-float64(t.usefulWork)/float64(totalWork))
	}
	for o, n := range t.outcomes {
		r.Outcomes[outcomeNames[o]] = n
	}
	for state, n := range t.messagesByState[1:] {
		r.Ends[stateNames[state+1]] = n
	}
	for _, d := range t.dsts {
		if d.series != nil {
			r.Dsts = append(r.Dsts, *d.series)
		}
	}
	slices.SortStableFunc(r.Marks, func(a, b Mark) int { return cmp.Compare(a.At, b.At) })
	return r
}

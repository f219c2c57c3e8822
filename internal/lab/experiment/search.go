package experiment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ravenlink/internal/lab/draw"
	"ravenlink/internal/lab/rules"
	"ravenlink/internal/lab/scenario"
	"ravenlink/internal/lab/world"
)

const (
	mostTroubles = 6         // of a day that is tried
	generation   = 32        // days tried between two looks at what was worst
	keptWorst    = 6         // of them from which the next come
	freshShare   = 0.35      // of a generation's days drawn anew, so that it does not end in one corner
	leastPart    = 1_000_000 // µs; no length is shrunk below this
)

// Goal is what a search looks for.
type Goal struct {
	Rule  rules.Rule // any day that breaks it; empty for any rule
	Loss  bool       // instead the day with least service
	Least float64    // for Loss: the shrunk day's service stays within this of the worst found
}

// Found is what a search came up with.
type Found struct {
	Day      scenario.Scenario
	Result   *world.Result
	Tried    int  // days
	Shrunk   int  // further days, to make it small
	Hit      bool // a rule was broken, or for Loss always
	Troubles int  // of the day before it was shrunk
}

// kinds that a search may draw, with the sizes that make sense for them.
var kinds = []struct {
	kind       scenario.Word
	low, high  float64
	ofSenders  bool
	ofNetworks bool
}{
	{kind: "refuse"}, {kind: "silent"}, {kind: "hang"}, {kind: "pause"}, {kind: "slow", low: 2, high: 20},
	{kind: "errors", low: .3, high: 1}, {kind: "shut"}, {kind: "reset", low: .1, high: 1}, {kind: "lost", low: .1, high: .6},
	{kind: "limit", low: .2, high: .8}, {kind: "drain"}, {kind: "replace"}, {kind: "cut", ofSenders: true},
	{kind: "kill", ofSenders: true}, {kind: "roll", ofSenders: true}, {kind: "blind"}, {kind: "stale", ofSenders: true},
	{kind: "lie", low: .3, high: 3}, {kind: "burst", low: 1.3, high: 3},
}

// Search varies the troubles of a scenario and looks for a day that breaks a rule, or loses most; then it makes that day
// small. It stops after so many days or so long, whichever is first; the first bound gives the same answer on any machine.
func Search(ctx context.Context, s *scenario.Scenario, policy string, goal Goal, days int, within time.Duration, seed uint64,
	done func(int)) (*Found, error) {
	began := time.Now()
	r := draw.Stream(seed, "search", 0)
	f := &Found{}
	var worst []candidate
	for f.Tried < days && (within == 0 || time.Since(began) < within) && !f.Hit {
		batch := make([]Job, 0, generation)
		for i := range min(generation, days-f.Tried) {
			day := s.Clone()
			if len(worst) == 0 || r.Float64() < freshShare {
				day.Troubles = drawTroubles(r, s)
			} else {
				day.Troubles = vary(r, s, worst[r.IntN(len(worst))].day.Troubles)
			}
			day.Name = fmt.Sprintf("%s-found-%d-%d", s.Name, seed, f.Tried+i+1)
			batch = append(batch, Job{&day, 1 + r.Uint64N(1000), policy})
		}
		rs, err := Play(ctx, batch, nil)
		if err != nil {
			return nil, err
		}
		for i, res := range rs {
			worst = append(worst, candidate{batch[i].Scenario, res})
		}
		f.Tried += len(batch)
		slices.SortStableFunc(worst, func(a, b candidate) int { return goal.order(a.result, b.result) })
		worst = worst[:min(len(worst), keptWorst)]
		f.Hit = !goal.Loss && goal.hit(worst[0].result)
		if done != nil {
			done(f.Tried)
		}
	}
	if len(worst) == 0 {
		return nil, errors.New("search: no day was tried")
	}
	f.Hit = f.Hit || goal.Loss
	f.Day, f.Result = worst[0].day.Clone(), worst[0].result
	f.Troubles = len(f.Day.Troubles)
	if !f.Hit {
		return f, nil
	}
	return f, f.shrink(ctx, goal, policy)
}

type candidate struct {
	day    *scenario.Scenario
	result *world.Result
}

func (g Goal) hit(r *world.Result) bool {
	if g.Rule != "" {
		return r.Rules[g.Rule] > 0
	}
	return r.Broken > 0
}

// order puts days that break the rule first, then those that serve least.
func (g Goal) order(a, b *world.Result) int {
	if !g.Loss && g.hit(a) != g.hit(b) {
		if g.hit(a) {
			return -1
		}
		return 1
	}
	switch {
	case a.Service < b.Service:
		return -1
	case a.Service > b.Service:
		return 1
	}
	return 0
}

func drawTroubles(r *rand.Rand, s *scenario.Scenario) (ts []scenario.Trouble) {
	for range 1 + r.IntN(mostTroubles) {
		ts = append(ts, drawTrouble(r, s))
	}
	return ts
}

func drawTrouble(r *rand.Rand, s *scenario.Scenario) scenario.Trouble {
	k := kinds[r.IntN(len(kinds))]
	length := float64(s.Length)
	t := scenario.Trouble{Kind: k.kind, At: round(.05*length + .75*length*r.Float64()), For: round(length * (.02 + .25*r.Float64()*r.Float64()))}
	if k.high > 0 {
		t.Size = hundredths(k.low + (k.high-k.low)*r.Float64())
	}
	if k.ofSenders {
		t.Senders = hundredths(.2 + .8*r.Float64())
	}
	if k.kind == "kill" || k.kind == "roll" {
		t.Down = round(1e6 + 8e6*r.Float64())
		return t
	}
	all := 0
	for _, x := range s.Kinds {
		all += x.Destinations
	}
	switch r.IntN(4) {
	case 0:
		t.Destination = []int{1 + r.IntN(min(all, 5))}
	case 1:
		t.OfKind = s.Kinds[r.IntN(len(s.Kinds))].Name
	case 2:
		t.Share = hundredths(.05 + .45*r.Float64())
	}
	if r.IntN(4) == 0 {
		t.Receiver = 1
	}
	t.ProbesFine = r.IntN(6) == 0
	return t
}

// round keeps times to whole milliseconds, so that a file found can be read.
func round(us float64) scenario.Span { return scenario.Span(int64(us) / 1000 * 1000) }

func hundredths(x float64) float64 { return float64(int(x*100+.5)) / 100 }

// vary changes one or two things of a day.
func vary(r *rand.Rand, s *scenario.Scenario, from []scenario.Trouble) []scenario.Trouble {
	ts := slices.Clone(from)
	for range 1 + r.IntN(2) {
		switch i := r.IntN(max(1, len(ts))); r.IntN(6) {
		case 0:
			if len(ts) < mostTroubles {
				ts = append(ts, drawTrouble(r, s))
			}
		case 1:
			if len(ts) > 1 {
				ts = slices.Delete(ts, i, i+1)
			}
		case 2:
			ts[i] = drawTrouble(r, s)
		case 3:
			ts[i].At = min(round(float64(ts[i].At)*(.6+.8*r.Float64())), s.Length*9/10)
		case 4:
			ts[i].For = max(round(float64(ts[i].For)*(.4+1.4*r.Float64())), 100_000)
		case 5: // two at once find more than two apart
			j := r.IntN(len(ts))
			ts[i].At, ts[i].Destination, ts[i].OfKind, ts[i].Share = ts[j].At, ts[j].Destination, ts[j].OfKind, ts[j].Share
		}
	}
	return ts
}

// shrink makes a day small while it still shows what was found: fewer troubles, shorter ones, a shorter day, plainer places.
func (f *Found) shrink(ctx context.Context, goal Goal, policy string) error {
	bad := f.Result.Service + goal.Least
	shows := func(day scenario.Scenario) (bool, error) {
		if ctx.Err() != nil {
			return false, ctx.Err()
		}
		f.Shrunk++
		r, err := world.Play(&day, f.Result.Seed, policy, nil)
		if err != nil {
			return false, err
		}
		if goal.Loss && r.Service > bad || !goal.Loss && !goal.hit(r) {
			return false, nil
		}
		f.Day, f.Result = day, r
		return true, nil
	}
	for again := true; again; {
		again = false
		for _, step := range []func(scenario.Scenario) []scenario.Scenario{fewer, shorterDay, shorter, plainer} {
			for i := 0; ; i++ {
				options := step(f.Day)
				if i >= len(options) {
					break
				}
				ok, err := shows(options[i])
				if err != nil {
					return err
				}
				if ok {
					again = true
					i-- // the list is of the smaller day now
				}
			}
		}
	}
	return nil
}

// fewer leaves one trouble out.
func fewer(s scenario.Scenario) (days []scenario.Scenario) {
	for i := range s.Troubles {
		d := s.Clone()
		d.Troubles = slices.Delete(d.Troubles, i, i+1)
		days = append(days, d)
	}
	return days
}

// shorterDay ends the day sooner.
func shorterDay(s scenario.Scenario) (days []scenario.Scenario) {
	last := scenario.Span(0)
	for _, t := range s.Troubles {
		last = max(last, t.At)
	}
	for _, length := range []scenario.Span{s.Length / 2, s.Length * 3 / 4} {
		if d := s.Clone(); length > last && length >= leastPart {
			d.Length = length / 1000 * 1000
			days = append(days, d)
		}
	}
	return days
}

// shorter halves one trouble's time.
func shorter(s scenario.Scenario) (days []scenario.Scenario) {
	for i, t := range s.Troubles {
		if t.For < leastPart {
			continue
		}
		d := s.Clone()
		d.Troubles[i].For = t.For / 2 / 1000 * 1000
		days = append(days, d)
	}
	return days
}

// plainer leaves out what a trouble need not say.
func plainer(s scenario.Scenario) (days []scenario.Scenario) {
	change := func(i int, f func(*scenario.Trouble)) {
		d := s.Clone()
		f(&d.Troubles[i])
		days = append(days, d)
	}
	for i, t := range s.Troubles {
		if t.ProbesFine {
			change(i, func(t *scenario.Trouble) { t.ProbesFine = false })
		}
		if t.Receiver > 0 {
			change(i, func(t *scenario.Trouble) { t.Receiver = 0 })
		}
		if t.Share > 0 || t.OfKind != "" {
			change(i, func(t *scenario.Trouble) { t.Share, t.OfKind, t.Destination = 0, "", []int{1} })
		}
		if round := t.At / 1e6 * 1e6; round != t.At && round > 0 {
			change(i, func(t *scenario.Trouble) { t.At = round })
		}
	}
	return days
}

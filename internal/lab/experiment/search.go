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
	maxFaults       = 6         // in a day that is tried
	generationSize  = 32        // days simulated before the worst are selected again
	survivors       = 6         // worst days from which the next generation is derived
	newShare        = 0.35      // share of a generation that is drawn independently, so that the search does not get stuck in a local optimum
	minShrunkLength = 1_000_000 // µs; shorter faults are not halved, and no day becomes shorter
)

// Goal defines what a search looks for.
type Goal struct {
	Rule          rules.Rule // a day that violates this rule; empty for any rule
	WorstService  bool       // instead, the day with the lowest service
	ServiceMargin float64    // for WorstService: how much higher the service of the shrunk day may be than the lowest found
}

// SearchResult is the day that a search found.
type SearchResult struct {
	Scenario           scenario.Scenario
	Result             *world.Result
	DaysTried          int
	ShrinkRuns         int  // days simulated while shrinking
	Hit                bool // a rule was violated; always true for WorstService
	FaultsBeforeShrink int  // number of faults before shrinking
}

// faultKinds lists the faults that a search may draw, with the range of their magnitudes.
var faultKinds = []struct {
	kind      scenario.Enum
	low, high float64
	ofSenders bool
}{
	{kind: "refuse"}, {kind: "silent"}, {kind: "hang"}, {kind: "pause"}, {kind: "slow", low: 2, high: 20},
	{kind: "errors", low: .3, high: 1}, {kind: "shut"}, {kind: "reset", low: .1, high: 1}, {kind: "lost", low: .1, high: .6},
	{kind: "limit", low: .2, high: .8}, {kind: "drain"}, {kind: "replace"}, {kind: "cut", ofSenders: true},
	{kind: "kill", ofSenders: true}, {kind: "roll", ofSenders: true}, {kind: "blind"}, {kind: "stale", ofSenders: true},
	{kind: "lie", low: .3, high: 3}, {kind: "burst", low: 1.3, high: 3},
}

// Search varies the faults of a scenario until a day violates a rule, or to find the day with the lowest service, and then
// shrinks that day. It stops after the given number of days or time, whichever comes first; a search that ends by the
// number of days gives the same result on any machine.
func Search(ctx context.Context, s *scenario.Scenario, policy string, goal Goal, days int, within time.Duration, seed uint64,
	done func(int)) (*SearchResult, error) {
	start := time.Now()
	r := draw.Stream(seed, "search", 0)
	f := &SearchResult{}
	var worst []candidate
	for f.DaysTried < days && (within == 0 || time.Since(start) < within) && !f.Hit {
		batch := make([]Job, 0, generationSize)
		for i := range min(generationSize, days-f.DaysTried) {
			day := s.Clone()
			if len(worst) == 0 || r.Float64() < newShare {
				day.Faults = randomFaults(r, s)
			} else {
				day.Faults = mutate(r, s, worst[r.IntN(len(worst))].day.Faults)
			}
			day.Name = fmt.Sprintf("%s-found-%d-%d", s.Name, seed, f.DaysTried+i+1)
			batch = append(batch, Job{&day, 1 + r.Uint64N(1000), policy})
		}
		rs, err := RunJobs(ctx, batch, nil)
		if err != nil {
			return nil, err
		}
		for i, res := range rs {
			worst = append(worst, candidate{batch[i].Scenario, res})
		}
		f.DaysTried += len(batch)
		slices.SortStableFunc(worst, func(a, b candidate) int { return goal.compare(a.result, b.result) })
		worst = worst[:min(len(worst), survivors)]
		f.Hit = !goal.WorstService && goal.matches(worst[0].result)
		if done != nil {
			done(f.DaysTried)
		}
	}
	if len(worst) == 0 {
		return nil, errors.New("search: no day was tried")
	}
	f.Hit = f.Hit || goal.WorstService
	f.Scenario, f.Result = worst[0].day.Clone(), worst[0].result
	f.FaultsBeforeShrink = len(f.Scenario.Faults)
	if !f.Hit {
		return f, nil
	}
	return f, f.shrink(ctx, goal, policy)
}

type candidate struct {
	day    *scenario.Scenario
	result *world.Result
}

func (g Goal) matches(r *world.Result) bool {
	if g.Rule != "" {
		return r.Rules[g.Rule] > 0
	}
	return r.Broken > 0
}

// compare orders results that violate the rule first, then those with the lower service.
func (g Goal) compare(a, b *world.Result) int {
	if !g.WorstService && g.matches(a) != g.matches(b) {
		if g.matches(a) {
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

func randomFaults(r *rand.Rand, s *scenario.Scenario) (faults []scenario.Fault) {
	for range 1 + r.IntN(maxFaults) {
		faults = append(faults, randomFault(r, s))
	}
	return faults
}

func randomFault(r *rand.Rand, s *scenario.Scenario) scenario.Fault {
	k := faultKinds[r.IntN(len(faultKinds))]
	length := float64(s.Length)
	f := scenario.Fault{Kind: k.kind, At: wholeMillis(.05*length + .75*length*r.Float64()), For: wholeMillis(length * (.02 + .25*r.Float64()*r.Float64()))}
	if k.high > 0 {
		f.Magnitude = roundToHundredths(k.low + (k.high-k.low)*r.Float64())
	}
	if k.ofSenders {
		f.SenderShare = roundToHundredths(.2 + .8*r.Float64())
	}
	if k.kind == "kill" || k.kind == "roll" {
		f.Downtime = wholeMillis(1e6 + 8e6*r.Float64())
		return f
	}
	all := 0
	for _, x := range s.Kinds {
		all += x.Destinations
	}
	switch r.IntN(4) {
	case 0:
		f.Destinations = []int{1 + r.IntN(min(all, 5))}
	case 1:
		f.OfKind = s.Kinds[r.IntN(len(s.Kinds))].Name
	case 2:
		f.DestinationShare = roundToHundredths(.05 + .45*r.Float64())
	}
	if r.IntN(4) == 0 {
		f.MaxReceivers = 1
	}
	f.ProbesSucceed = r.IntN(6) == 0
	return f
}

// wholeMillis truncates a time to whole milliseconds, which keeps the scenario file of a found day readable.
func wholeMillis(us float64) scenario.Duration { return scenario.Duration(int64(us) / 1000 * 1000) }

func roundToHundredths(x float64) float64 { return float64(int(x*100+.5)) / 100 }

// mutate applies one or two random changes to the faults of a day.
func mutate(r *rand.Rand, s *scenario.Scenario, from []scenario.Fault) []scenario.Fault {
	faults := slices.Clone(from)
	for range 1 + r.IntN(2) {
		switch i := r.IntN(max(1, len(faults))); r.IntN(6) {
		case 0:
			if len(faults) < maxFaults {
				faults = append(faults, randomFault(r, s))
			}
		case 1:
			if len(faults) > 1 {
				faults = slices.Delete(faults, i, i+1)
			}
		case 2:
			faults[i] = randomFault(r, s)
		case 3:
			faults[i].At = min(wholeMillis(float64(faults[i].At)*(.6+.8*r.Float64())), s.Length*9/10)
		case 4:
			faults[i].For = max(wholeMillis(float64(faults[i].For)*(.4+1.4*r.Float64())), 100_000)
		case 5: // simultaneous faults at the same destinations reveal more than separate ones
			j := r.IntN(len(faults))
			faults[i].At, faults[i].Destinations, faults[i].OfKind, faults[i].DestinationShare = faults[j].At, faults[j].Destinations, faults[j].OfKind, faults[j].DestinationShare
		}
	}
	return faults
}

// shrink minimizes a day that still reproduces the finding: it removes and shortens faults, shortens the day and simplifies
// where the faults strike, until no such step keeps the finding.
func (f *SearchResult) shrink(ctx context.Context, goal Goal, policy string) error {
	maxService := f.Result.Service + goal.ServiceMargin
	reproduces := func(day scenario.Scenario) (bool, error) {
		if ctx.Err() != nil {
			return false, ctx.Err()
		}
		f.ShrinkRuns++
		r, err := world.Run(&day, f.Result.Seed, policy, nil)
		if err != nil {
			return false, err
		}
		if goal.WorstService && r.Service > maxService || !goal.WorstService && !goal.matches(r) {
			return false, nil
		}
		f.Scenario, f.Result = day, r
		return true, nil
	}
	for progress := true; progress; {
		progress = false
		for _, step := range []func(scenario.Scenario) []scenario.Scenario{withoutOneFault, withShorterRun, withShorterFault, withSimplerFault} {
			for i := 0; ; i++ {
				options := step(f.Scenario)
				if i >= len(options) {
					break
				}
				ok, err := reproduces(options[i])
				if err != nil {
					return err
				}
				if ok {
					progress = true
					i-- // the next options are those of the smaller day
				}
			}
		}
	}
	return nil
}

// withoutOneFault returns the days that lack one of the faults.
func withoutOneFault(s scenario.Scenario) (days []scenario.Scenario) {
	for i := range s.Faults {
		d := s.Clone()
		d.Faults = slices.Delete(d.Faults, i, i+1)
		days = append(days, d)
	}
	return days
}

// withShorterRun returns days that end earlier, but not before the last fault begins.
func withShorterRun(s scenario.Scenario) (days []scenario.Scenario) {
	last := scenario.Duration(0)
	for _, f := range s.Faults {
		last = max(last, f.At)
	}
	for _, length := range []scenario.Duration{s.Length / 2, s.Length * 3 / 4} {
		if d := s.Clone(); length > last && length >= minShrunkLength {
			d.Length = length / 1000 * 1000
			days = append(days, d)
		}
	}
	return days
}

// withShorterFault returns the days with the duration of one fault halved.
func withShorterFault(s scenario.Scenario) (days []scenario.Scenario) {
	for i, f := range s.Faults {
		if f.For < minShrunkLength {
			continue
		}
		d := s.Clone()
		d.Faults[i].For = f.For / 2 / 1000 * 1000
		days = append(days, d)
	}
	return days
}

// withSimplerFault returns the days in which one fault lacks an option, affects one destination only or begins at a whole second.
func withSimplerFault(s scenario.Scenario) (days []scenario.Scenario) {
	change := func(i int, edit func(*scenario.Fault)) {
		d := s.Clone()
		edit(&d.Faults[i])
		days = append(days, d)
	}
	for i, f := range s.Faults {
		if f.ProbesSucceed {
			change(i, func(f *scenario.Fault) { f.ProbesSucceed = false })
		}
		if f.MaxReceivers > 0 {
			change(i, func(f *scenario.Fault) { f.MaxReceivers = 0 })
		}
		if f.DestinationShare > 0 || f.OfKind != "" {
			change(i, func(f *scenario.Fault) { f.DestinationShare, f.OfKind, f.Destinations = 0, "", []int{1} })
		}
		if whole := f.At / 1e6 * 1e6; whole != f.At && whole > 0 {
			change(i, func(f *scenario.Fault) { f.At = whole })
		}
	}
	return days
}

package fleettest

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// The call budget of a returning destination, and the search for the worst window of calls.

// callBudget is how many calls a destination may get in a window for which the settings allow n.
func callBudget(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// windowResult is the worst window of a return.
type windowResult struct {
	Destination int
	Calls       int
	Budget      float64
	At          time.Duration // end of the window
	Senders     int           // that sent calls
	Probes      int           // included in Calls
}

func (f windowResult) ratio() float64 { return float64(f.Calls) / f.Budget }

func (f windowResult) String() string {
	return fmt.Sprintf("destination %d: %d calls from %d senders, %d of them probes, in the window that ends %v after second 0; budget %.1f (ratio %.2f)",
		f.Destination, f.Calls, f.Senders, f.Probes, f.At.Round(time.Millisecond), f.Budget, f.ratio())
}

// worstWindow finds the window with the most calls relative to its budget, among calls between the return (back) and until.
func worstWindow(dst int, capacity float64, back, until time.Duration, arrivals []arrival) (result windowResult) {
	result.Destination = dst
	for i, last := range arrivals {
		if last.At < back || last.At > until {
			continue
		}
		n, senders, probes := 0, map[int]bool{}, 0
		for j := i; j >= 0 && arrivals[j].At > last.At-returnWindow && arrivals[j].At >= back; j-- {
			n++
			senders[arrivals[j].Sender] = true
			if arrivals[j].Message == "" {
				probes++
			}
		}
		share := min(1, returnStartShare+(1-returnStartShare)*float64(last.At-back)/float64(returnWarmUp))
		budget := callBudget(returnOverloadFactor * capacity * share * returnWindow.Seconds())
		if f := (windowResult{dst, n, budget, last.At, len(senders), probes}); f.ratio() > result.ratio() || result.Calls == 0 {
			result = f
		}
	}
	return result
}

// worstWindows returns the worst window of each return, observed up to the next outage.
func (p *returnRig) worstWindows() (results []windowResult) {
	for _, d := range p.destinations[:p.FailingDestinations] {
		d.mu.Lock()
		arrivals := slices.Clone(d.arrivals)
		d.mu.Unlock()
		for i, out := range d.outages {
			until := out.Until + returnObservation
			if i+1 < len(d.outages) {
				until = d.outages[i+1].From
			}
			result := worstWindow(d.number, d.capacity, out.Until, until, arrivals)
			results = append(results, result)
			if result.ratio() > 1 {
				p.t.Log(result)
				p.logWindow(d, result, out.Until, arrivals)
			}
		}
	}
	return results
}

// logWindow logs the calls of a window, and what each sender that sent one logged about the destination.
func (p *returnRig) logWindow(d *returnDestination, result windowResult, back time.Duration, arrivals []arrival) {
	participants := map[int]bool{}
	for _, a := range arrivals {
		if a.At > result.At || a.At <= result.At-returnWindow || a.At < back {
			continue
		}
		p.t.Logf("%v %q at n%d", a.At.Round(time.Millisecond), a.Message, a.Sender)
		participants[a.Sender] = a.Sender >= 0
	}
	p.t.Logf("destination returned at %v", back.Round(time.Millisecond))
	for _, stall := range p.stalls.overlapping(min(back, result.At-returnWindow)-returnWindow, result.At) {
		p.t.Log(stall)
	}
	for i, s := range p.senders {
		if !participants[i] {
			continue
		}
		p.t.Logf("n%d, second 0 is %s:", i, p.startTime.Format(time.RFC3339Nano))
		for line := range strings.Lines(s.log.read()) {
			if strings.Contains(line, fmt.Sprintf("destination %d ", d.number)) || strings.Contains(line, `"phase"`) {
				p.t.Log(strings.TrimSpace(line))
			}
		}
	}
}

// logFaults logs what the senders logged about messages at fault.
func (p *returnRig) logFaults(faults []string) {
	if len(faults) > 0 {
		for _, stall := range p.stalls.overlapping(0, p.now()) {
			p.t.Log(stall)
		}
	}
	for _, f := range faults {
		id, _, _ := strings.Cut(f, " ")
		by := p.senderOf(id)
		p.t.Logf("%s, handed in at n%d", f, by)
		for line := range strings.Lines(p.senders[max(by, 0)].log.read()) {
			if strings.Contains(line, id) || strings.Contains(line, `"phase"`) {
				p.t.Log(strings.TrimSpace(line))
			}
		}
	}
}

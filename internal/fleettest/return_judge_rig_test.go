package fleettest

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// What a returning destination bears, and which window of calls was the worst.

// budget is how many calls in a window a destination bears that may have n by the settings.
func budget(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// fallen is the worst window of a return.
type fallen struct {
	Dst     int
	Calls   int
	Budget  float64
	At      time.Duration // when the window ends
	Senders int           // that took part
	Probes  int           // among the calls
}

// ratio is above 1 where the destination was pushed over; one that got no call was not.
func (f fallen) ratio() float64 {
	if f.Calls == 0 {
		return 0
	}
	return float64(f.Calls) / f.Budget
}

func (f fallen) String() string {
	return fmt.Sprintf("destination %d: %d calls from %d senders, %d of them probes, in the window that ends %v after second 0; %.1f let through (%.2f)",
		f.Dst, f.Calls, f.Senders, f.Probes, f.At.Round(time.Millisecond), f.Budget, f.ratio())
}

// worst finds the window with most calls for its budget, of what came within so long after the return.
func worst(dst int, capacity float64, back, until time.Duration, came []arrival) (w fallen) {
	w.Dst = dst
	for i, last := range came {
		if last.At < back || last.At > until {
			continue
		}
		n, by, probes := 0, map[int]bool{}, 0
		for j := i; j >= 0 && came[j].At > last.At-returnWindow && came[j].At >= back; j-- {
			n++
			by[came[j].By] = true
			if came[j].Message == "" {
				probes++
			}
		}
		share := min(1, returnShare+(1-returnShare)*float64(last.At-back)/float64(returnWarm))
		b := budget(returnFactor * capacity * share * returnWindow.Seconds())
		if f := (fallen{dst, n, b, last.At, len(by), probes}); f.ratio() > w.ratio() || w.Calls == 0 {
			w = f
		}
	}
	return w
}

// judge gives the worst window of each return, up to the next outage.
func (p *returnRig) judge() (ws []fallen) {
	for _, d := range p.dsts[:p.Out] {
		d.mu.Lock()
		came := slices.Clone(d.came)
		d.mu.Unlock()
		for i, out := range d.outages {
			until := out.Until + returnWatch
			if i+1 < len(d.outages) {
				until = d.outages[i+1].From
			}
			w := worst(d.number, d.capacity, out.Until, until, came)
			ws = append(ws, w)
			if w.ratio() > 1 {
				p.t.Log(w)
				p.tell(d, w, out.Until, came)
			}
		}
	}
	return ws
}

// tell shows the calls of a window, and what each sender that took part logged of the destination.
func (p *returnRig) tell(d *returning, w fallen, back time.Duration, came []arrival) {
	took := map[int]bool{}
	for _, a := range came {
		if a.At > w.At || a.At <= w.At-returnWindow || a.At < back {
			continue
		}
		p.t.Logf("%v %q at n%d", a.At.Round(time.Millisecond), a.Message, a.By)
		took[a.By] = a.By >= 0
	}
	p.t.Logf("back at %v", back.Round(time.Millisecond))
	for _, told := range p.stalls.within(min(back, w.At-returnWindow)-returnWindow, w.At) {
		p.t.Log(told)
	}
	for i, s := range p.senders {
		if !took[i] {
			continue
		}
		p.t.Logf("n%d, second 0 is %s:", i, p.start.Format(time.RFC3339Nano))
		for line := range strings.Lines(s.log.read()) {
			if strings.Contains(line, fmt.Sprintf("destination %d ", d.number)) || strings.Contains(line, `"phase"`) {
				p.t.Log(strings.TrimSpace(line))
			}
		}
	}
}

// tellOf shows what the senders logged of messages at fault.
func (p *returnRig) tellOf(faults []string) {
	if len(faults) > 0 {
		for _, told := range p.stalls.within(0, p.now()) {
			p.t.Log(told)
		}
	}
	for _, f := range faults {
		id, _, _ := strings.Cut(f, " ")
		by := p.handedTo(id)
		p.t.Logf("%s, handed to n%d", f, by)
		for line := range strings.Lines(p.senders[max(by, 0)].log.read()) {
			if strings.Contains(line, id) || strings.Contains(line, `"phase"`) {
				p.t.Log(strings.TrimSpace(line))
			}
		}
	}
}

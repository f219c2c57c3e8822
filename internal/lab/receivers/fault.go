package receivers

import "slices"

// FaultKind is a kind of injected fault.
type FaultKind uint8

// The kinds of faults. Several may be active at once, also several of one kind.
const (
	Down        FaultKind = iota // the process is gone: new connections are refused, open ones are reset
	Unreachable                  // the machine does not reply; when it is back, it resets old connections
	Hang                         // calls are accepted, but not answered before the fault ends
	Pause                        // processing stops, and continues when the fault ends
	Slow                         // processing takes Magnitude times as long
	Errors                       // a share of calls (Magnitude) fails after Config.ErrorTime
	ResetConns                   // a share of calls has its connection reset
	LoseAnswers                  // a share of answers is lost on the way back
	RefuseAll                    // the route refuses all calls
	ReduceLimit                  // the route's rate limit is multiplied by Magnitude
	Collapsed                    // down for good, after an overload while cold
)

// outageErrorShare is the share of failing calls from which a receiver counts as in an outage.
const outageErrorShare = 0.5

// Fault is a fault of one receiver, or of all receivers of a destination that share it.
type Fault struct {
	Kind          FaultKind
	Magnitude     float64 // a factor or a share
	Until         int64   // its planned end, from which RefuseAll computes its retry-after
	ProbesSucceed bool    // probes are answered as if there were no fault
}

// faults holds the active faults and their combined effect.
type faults struct {
	active                          []*Fault // as many as there are faults at a time
	down, unreachable, hung, paused int
	errors, resets, lost            float64
	slowdown                        float64 // 0 means 1
	probesSucceed                   int
}

func (s *faults) slowFactor() float64 {
	if s.slowdown == 0 {
		return 1
	}
	return s.slowdown
}

func (s *faults) fakesProbes() bool { return s.probesSucceed > 0 }

// recompute derives the combined effect from all active faults, so that faults may end in any order.
func (s *faults) recompute() {
	*s = faults{active: s.active, slowdown: 1}
	errFree, resetFree, lostFree := 1.0, 1.0, 1.0
	for _, f := range s.active {
		switch f.Kind {
		case Down, Collapsed:
			s.down++
		case Unreachable:
			s.unreachable++
		case Hang:
			s.hung++
		case Pause:
			s.paused++
		case Slow:
			s.slowdown *= max(1, f.Magnitude)
		case Errors:
			errFree *= 1 - f.Magnitude
		case ResetConns:
			resetFree *= 1 - f.Magnitude
		case LoseAnswers:
			lostFree *= 1 - f.Magnitude
		}
		if f.ProbesSucceed {
			s.probesSucceed++
		}
	}
	s.errors, s.resets, s.lost = 1-errFree, 1-resetFree, 1-lostFree
}

// AddFault begins a fault.
func (r *Receiver) AddFault(f *Fault) {
	before := r.faults
	r.faults.active = append(r.faults.active, f)
	r.faults.recompute()
	switch f.Kind {
	case Down, Collapsed:
		if before.down == 0 {
			r.resetAll()
		}
	case Pause:
		if before.paused == 0 {
			r.pauseStart = r.clock.Now()
		}
	case RefuseAll:
		r.Route.refusing++
		r.Route.refusesUntil = max(r.Route.refusesUntil, f.Until)
	case ReduceLimit:
		r.Route.updateLimit()
	}
	r.Route.updateOutages()
}

// RemoveFault ends a fault; a fault that isn't active is ignored.
func (r *Receiver) RemoveFault(f *Fault) {
	i := slices.Index(r.faults.active, f)
	if i < 0 {
		return
	}
	before := r.faults
	r.faults.active = slices.Delete(slices.Clone(r.faults.active), i, i+1)
	r.faults.recompute()
	switch f.Kind {
	case Unreachable:
		if r.faults.unreachable == 0 {
			r.resetAll()
		}
	case Hang:
		if r.faults.hung == 0 && r.faults.unreachable == 0 {
			r.endHang()
		}
	case Pause:
		if before.paused > 0 && r.faults.paused == 0 {
			r.endPause()
		}
	case RefuseAll:
		r.Route.refusing--
	case ReduceLimit:
		r.Route.updateLimit()
	}
	r.Route.updateOutages()
}

// endHang answers the calls that finished during the hang and processes those that were only accepted.
func (r *Receiver) endHang() {
	calls := r.heldCalls
	r.heldCalls = nil
	now := r.clock.Now()
	for _, c := range calls {
		switch {
		case c.startedAt > 0:
			c.state = ended
			c.Caller.Answered(c, Answer{Kind: OK, Limit: r.Route.limitReport(now)})
		case c.Probe:
			r.answerAfter(c, OK, r.Config.ProbeTime)
		case r.faults.down == 0:
			r.startOrQueue(c, now)
		}
	}
}

func (r *Receiver) endPause() {
	now := r.clock.Now()
	r.totalPaused += now - r.pauseStart
	r.pauseStart = 0
	for _, c := range r.runningCalls {
		if c.doneAt <= now {
			pauses := r.totalPaused - c.pausedBefore
			c.pausedBefore = r.totalPaused
			r.scheduleDone(c, max(now, c.doneAt+pauses))
		}
	}
	r.startQueued(now)
}

func (rt *Route) updateLimit() {
	rt.limitShare = 1
	seen := map[*Fault]bool{} // a destination's fault is added to each of its receivers, but reduces the limit once
	for _, r := range rt.receivers {
		for _, f := range r.faults.active {
			if f.Kind == ReduceLimit && !seen[f] {
				seen[f] = true
				rt.limitShare *= f.Magnitude
			}
		}
	}
	rt.tokens = min(rt.tokens, rt.burst())
}

// updateOutages records which receivers of the route entered or left an outage. A receiver that leaves one is cold.
func (rt *Route) updateOutages() {
	for _, r := range rt.receivers {
		s := &r.faults
		inOutage := s.down > 0 || s.unreachable > 0 || s.hung > 0 || rt.refusing > 0 || s.errors >= outageErrorShare
		switch {
		case inOutage && !r.inOutage:
			if rt.outages == 0 {
				clear(rt.informed)
			}
			rt.outages++
		case !inOutage && r.inOutage:
			rt.outages--
			r.recoveredAt = r.clock.Now()
			rt.outageEnd = r.recoveredAt
			rt.coldLoad, rt.informedLoad, rt.coldLoadAt = 0, 0, r.recoveredAt
		}
		r.inOutage = inOutage
	}
}

// Retire removes a receiver for good, as its address passes to another one.
func (r *Receiver) Retire() {
	r.resetAll()
	rt := r.Route
	rt.receivers = slices.DeleteFunc(slices.Clone(rt.receivers), func(o *Receiver) bool { return o == r })
	if r.inOutage {
		r.inOutage = false
		rt.outages--
	}
}

// StartCold makes a new receiver start cold, as one that replaces another does.
func (r *Receiver) StartCold() { r.recoveredAt = r.clock.Now() }

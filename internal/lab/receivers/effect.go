package receivers

import "slices"

// EffectKind is a way in which a receiver can be ill.
type EffectKind uint8

// The ways. Several may last at once, two of one kind too.
const (
	Refuse  EffectKind = iota // the process is gone: connections are refused, those open are reset
	Silence                   // the machine says nothing; as it is back, old connections are reset
	Hang                      // calls are accepted and not answered until it is over
	Pause                     // work rests, and goes on where it stood
	Slow                      // work takes Size times as long
	Errors                    // a share of calls fails fast
	Resets                    // a share of calls ends with its connection
	Lost                      // a share of answers is lost on the way back
	Shut                      // the route refuses all until it opens
	LimitTo                   // the route's limit falls to a share
	Fallen                    // pushed over while cold: down for good
)

// mostFail is the share of failing calls from which it counts as an outage.
const mostFail = 0.5

// Effect is one trouble at one receiver.
type Effect struct {
	Kind       EffectKind
	Size       float64 // a factor or a share
	Until      int64   // when it is to end, for told waits
	ProbesFine bool    // probes are answered as if nothing were wrong
}

// effects are those that last, and what follows from them.
type effects struct {
	active                         []*Effect // as many as troubles at once
	refusing, silent, hung, paused int
	errors, resets, lost           float64
	slower                         float64 // 0 stands for 1
	lies                           int
}

func (e *effects) slow() float64 {
	if e.slower == 0 {
		return 1
	}
	return e.slower
}

func (e *effects) liesToProbes() bool { return e.lies > 0 }

// sum works everything out anew from what lasts, so that troubles may end in any order.
func (e *effects) sum() {
	*e = effects{active: e.active, slower: 1}
	errFree, resetFree, lostFree := 1.0, 1.0, 1.0
	for _, x := range e.active {
		switch x.Kind {
		case Refuse, Fallen:
			e.refusing++
		case Silence:
			e.silent++
		case Hang:
			e.hung++
		case Pause:
			e.paused++
		case Slow:
			e.slower *= max(1, x.Size)
		case Errors:
			errFree *= 1 - x.Size
		case Resets:
			resetFree *= 1 - x.Size
		case Lost:
			lostFree *= 1 - x.Size
		}
		if x.ProbesFine {
			e.lies++
		}
	}
	e.errors, e.resets, e.lost = 1-errFree, 1-resetFree, 1-lostFree
}

// Strike begins an effect.
func (r *Receiver) Strike(x *Effect) {
	before := r.effects
	r.effects.active = append(r.effects.active, x)
	r.effects.sum()
	switch x.Kind {
	case Refuse, Fallen:
		if before.refusing == 0 {
			r.breakAll()
		}
	case Pause:
		if before.paused == 0 {
			r.pausedNow = r.clock.Now()
		}
	case Shut:
		r.Route.shut++
		r.Route.opensAt = max(r.Route.opensAt, x.Until)
	case LimitTo:
		r.Route.recut()
	}
	r.Route.tellIll()
}

// Relieve ends an effect that was begun; others go on.
func (r *Receiver) Relieve(x *Effect) {
	i := slices.Index(r.effects.active, x)
	if i < 0 {
		return
	}
	before := r.effects
	r.effects.active = slices.Delete(slices.Clone(r.effects.active), i, i+1)
	r.effects.sum()
	switch x.Kind {
	case Silence:
		if r.effects.silent == 0 {
			r.breakAll()
		}
	case Hang:
		if r.effects.hung == 0 && r.effects.silent == 0 {
			r.wake()
		}
	case Pause:
		if before.paused > 0 && r.effects.paused == 0 {
			r.resume()
		}
	case Shut:
		r.Route.shut--
	case LimitTo:
		r.Route.recut()
	}
	r.Route.tellIll()
}

// wake goes on after a hang: what was done is answered, what was accepted is worked on.
func (r *Receiver) wake() {
	calls := r.stuck
	r.stuck = nil
	now := r.clock.Now()
	for _, c := range calls {
		switch {
		case c.began > 0:
			c.state = gone
			c.Sink.Answered(c, Answer{Kind: OK, Load: r.Route.load(now)})
		case c.Probe:
			r.answerIn(c, OK, r.Nature.ProbeTook)
		case r.effects.refusing == 0:
			r.enter(c, now)
		}
	}
}

func (r *Receiver) resume() {
	now := r.clock.Now()
	r.pausedSum += now - r.pausedNow
	r.pausedNow = 0
	for _, c := range r.work {
		if c.due <= now {
			rest := r.pausedSum - c.pausedAt
			c.pausedAt = r.pausedSum
			r.dueAt(c, max(now, c.due+rest))
		}
	}
	r.next(now)
}

func (rt *Route) recut() {
	rt.cut = 1
	seen := map[*Effect]bool{} // one trouble of a destination strikes each of its receivers
	for _, r := range rt.receivers {
		for _, x := range r.effects.active {
			if x.Kind == LimitTo && !seen[x] {
				seen[x] = true
				rt.cut *= x.Size
			}
		}
	}
	rt.tokens = min(rt.tokens, rt.depth())
}

// tellIll sees outages of the route's receivers begin and end. One that ends leaves its receiver cold.
func (rt *Route) tellIll() {
	for _, r := range rt.receivers {
		e := &r.effects
		ill := e.refusing > 0 || e.silent > 0 || e.hung > 0 || rt.shut > 0 || e.errors >= mostFail
		switch {
		case ill && !r.ill:
			if rt.ills == 0 {
				clear(rt.saw)
			}
			rt.ills++
		case !ill && r.ill:
			rt.ills--
			r.upSince = r.clock.Now()
			rt.outageEnd = r.upSince
			rt.level, rt.knowing, rt.levelAt = 0, 0, r.upSince
		}
		r.ill = ill
	}
}

// Retire takes a receiver away for good: another answers at its address.
func (r *Receiver) Retire() {
	r.breakAll()
	rt := r.Route
	rt.receivers = slices.DeleteFunc(slices.Clone(rt.receivers), func(o *Receiver) bool { return o == r })
	if r.ill {
		r.ill = false
		rt.ills--
	}
}

// Start begins a receiver's life cold, as one that replaces another.
func (r *Receiver) Start() { r.upSince = r.clock.Now() }

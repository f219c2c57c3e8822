package routing

import "ravenlink/choice"

// What the fleet tells the module. Without any of it the module decides alone.

// Sight is what a sender saw of a receiver.
type Sight = choice.Sight

// The kinds of sight.
const (
	SeenDown   = choice.SeenDown
	SeenBack   = choice.SeenBack
	SeenWait   = choice.SeenWait
	SeenLimit  = choice.SeenLimit
	SeenScarce = choice.SeenScarce
)

// Shared tells this sender's share of a destination's limit, in calls a second: 0 lets nothing go, a negative one withdraws it.
func (r *Router) Shared(dst int64, perSec float64) {
	r.turn(func() { r.sender.Shared(dst, perSec) })
}

// Told passes on a fellow's sight of a receiver, named by its id. One that no list here names says nothing.
func (r *Router) Told(receiver string, v Sight) {
	r.turn(func() {
		if n, known := r.numberOf(receiver); known {
			v.Receiver = n
			r.sender.Told(v)
		}
	})
}

// Recall takes a message back from the module: it ends at once, or with the outcome of its leg that is out.
func (r *Router) Recall(id string) { r.turn(func() { r.sender.Recall(id) }) }

// Floor sets how many repeats a second are always allowed at a destination; negative brings back the module's own.
func (r *Router) Floor(perSec float64) { r.turn(func() { r.sender.Floor(perSec) }) }

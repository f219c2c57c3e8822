package routing

import "ravenlink/choice"

// Inputs from the fleet. Without any of them the module decides alone.

// Observation is what a sender observed of a receiver.
type Observation = choice.Observation

// The kinds of observations.
const (
	ObservedDown         = choice.ObservedDown
	ObservedRecovery     = choice.ObservedRecovery
	ObservedRetryAfter   = choice.ObservedRetryAfter
	ObservedLimit        = choice.ObservedLimit
	ObservedConnShortage = choice.ObservedConnShortage
)

// SetLease sets this sender's share of the limit of a destination, in calls per second: 0 stops all calls, a negative value
// withdraws the share.
func (r *Router) SetLease(dst int64, perSec float64) {
	r.runTurn(func() { r.sender.SetLease(dst, perSec) })
}

// ReceiveObservation passes on a peer's observation of a receiver, identified by its id. An observation of a receiver that is
// not listed here is ignored.
func (r *Router) ReceiveObservation(receiver string, v Observation) {
	r.runTurn(func() {
		if n, known := r.numberOf(receiver); known {
			v.Receiver = n
			r.sender.ReceiveObservation(v)
		}
	})
}

// Recall takes a message back from the module: it ends at once, or with the outcome of its leg in flight.
func (r *Router) Recall(id string) { r.runTurn(func() { r.sender.Recall(id) }) }

// SetRetryFloor sets how many retries per second are always allowed for a destination; a negative value restores the module's
// own.
func (r *Router) SetRetryFloor(perSec float64) { r.runTurn(func() { r.sender.SetRetryFloor(perSec) }) }

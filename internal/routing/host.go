package routing

import (
	"context"
	"time"

	"ravenlink/choice"
)

// host passes the actions of the module to those who wait for them. All methods run within a turn and never block.
type host struct{ *Router }

func (h host) receiver(n uint32) (Receiver, bool) {
	p, known := h.receivers[n]
	if !known {
		return Receiver{}, false
	}
	return Receiver{ID: p.id, Addr: p.addr, Zone: int(p.zone), number: n, dst: p.dst}, true
}

// Send makes NextDecision return a leg.
func (h host) Send(msg string, receiver uint32, timeout int64) {
	t := h.messages[msg]
	if t == nil {
		return
	}
	to, _ := h.receiver(receiver)
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	h.emit(t, Decision{Disposition: Leg, ID: msg, LegNumber: t.legs, Receiver: to, Ctx: ctx,
		Timeout: time.Duration(timeout) * time.Microsecond})
	t.legs++
}

// Cancel cancels the leg in flight.
func (h host) Cancel(msg string, leg int) {
	if t := h.messages[msg]; t != nil && t.cancel != nil && leg == t.legs-1 {
		t.cancel()
	}
}

// Reject ends a message that certainly did not run; its client may retry.
func (h host) Reject(msg string, retryAfter int64) { h.end(msg, Rejected, retryAfter) }

// Fail ends a message without a guarantee that it did not run.
func (h host) Fail(msg string) { h.end(msg, Failed, 0) }

// end makes NextDecision return the end of a message, once.
func (r *Router) end(msg string, disposition Disposition, retryAfter int64) {
	t := r.messages[msg]
	if t == nil || t.ended != Held {
		return
	}
	t.ended, t.retryAfter = disposition, retryAfter
	r.emit(t, Decision{Disposition: disposition, ID: msg, RetryAfter: retryAfter})
}

// emit queues a decision for NextDecision, or buffers it until the message is released.
func (r *Router) emit(t *messageState, p Decision) {
	if !t.released {
		t.buffered = append(t.buffered, p)
		return
	}
	r.decisions = append(r.decisions, p)
	select {
	case r.decided <- struct{}{}:
	default:
	}
}

// SetTimer sets the timer of the module.
func (h host) SetTimer(in int64, _ uint64) { h.timer.Reset(time.Duration(in) * time.Microsecond) }

// Probe requests a probe.
func (h host) Probe(receiver uint32) {
	if to, known := h.receiver(receiver); known {
		h.addTask(Task{Kind: Probe, Receiver: to})
	}
}

// CloseIdle closes the idle connections to a receiver.
func (h host) CloseIdle(receiver uint32) {
	if to, known := h.receiver(receiver); known {
		h.closeIdle(to.ID)
	}
}

// Broadcast requests a note to all peers.
func (h host) Broadcast(text string) { h.addTask(Task{Kind: Note, Text: text}) }

// Subscribe requests the watch on the list. The module requests it once, so the request must not be dropped like other tasks:
// the watch would never be opened.
func (h host) Subscribe() {
	select {
	case h.watch <- struct{}{}:
	default:
	}
}

// Log writes a log line.
func (h host) Log(text string) { h.log(text) }

// Share requests that an observation is shared with the fleet. Observations are numerous and give way to the other tasks.
func (h host) Share(v choice.Observation) {
	if to, known := h.receiver(v.Receiver); known && len(h.tasks) < maxTasks/2 {
		h.addTask(Task{Kind: ShareObservation, Receiver: to, Observation: v})
	}
}

func (r *Router) addTask(c Task) {
	select {
	case r.tasks <- c:
	default:
	}
}

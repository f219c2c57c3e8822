package routing

import (
	"context"
	"time"

	"ravenlink/choice"
)

// host carries the module's actions to those who wait for them. All run within a turn and never block.
type host struct{ *Router }

func (h host) receiver(n uint32) (Receiver, bool) {
	p, known := h.receivers[n]
	if !known {
		return Receiver{}, false
	}
	return Receiver{ID: p.id, Addr: p.addr, Zone: int(p.zone), number: n, dst: p.dst}, true
}

// Send has Pick return a leg.
func (h host) Send(msg string, receiver uint32, patience int64) {
	t := h.tickets[msg]
	if t == nil {
		return
	}
	to, _ := h.receiver(receiver)
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	h.hand(t, Pick{Way: Leg, ID: msg, Number: t.legs, Receiver: to, Ctx: ctx,
		Patience: time.Duration(patience) * time.Microsecond})
	t.legs++
}

// Cancel calls off the leg that is out.
func (h host) Cancel(msg string, leg int) {
	if t := h.tickets[msg]; t != nil && t.cancel != nil && leg == t.legs-1 {
		t.cancel()
	}
}

// PushBack ends a message unharmed.
func (h host) PushBack(msg string, comeBackIn int64) { h.end(msg, PushedBack, comeBackIn) }

// Fail ends a message with no promise.
func (h host) Fail(msg string) { h.end(msg, Failed, 0) }

// end has Pick return a message's end, once.
func (r *Router) end(msg string, way Way, advice int64) {
	t := r.tickets[msg]
	if t == nil || t.ended != Held {
		return
	}
	t.ended, t.advice = way, advice
	r.hand(t, Pick{Way: way, ID: msg, Advice: advice})
}

// hand queues a decision for Pick, or keeps it with its message until that is carried.
func (r *Router) hand(t *ticket, p Pick) {
	if !t.carried {
		t.kept = append(t.kept, p)
		return
	}
	r.picks = append(r.picks, p)
	select {
	case r.picked <- struct{}{}:
	default:
	}
}

// Timer asks for a tick.
func (h host) Timer(in int64, _ uint64) { h.timer.Reset(time.Duration(in) * time.Microsecond) }

// Probe asks for a probe.
func (h host) Probe(receiver uint32) {
	if to, known := h.receiver(receiver); known {
		h.chore(Chore{Kind: Probe, Receiver: to})
	}
}

// CloseIdle closes the idle connections to a receiver.
func (h host) CloseIdle(receiver uint32) {
	if to, known := h.receiver(receiver); known {
		h.closeIdle(to.ID)
	}
}

// Note asks for a note to all fellows.
func (h host) Note(text string) { h.chore(Chore{Kind: Note, Text: text}) }

// Subscribe asks for the watch on the list. Danger: the module asks once; dropped with other chores, it would never be opened.
func (h host) Subscribe() {
	select {
	case h.watch <- struct{}{}:
	default:
	}
}

// Log writes a line for people.
func (h host) Log(text string) { h.log(text) }

// Saw asks for a sight to be told to the fleet. Sights come in numbers and give way to the other chores.
func (h host) Saw(v choice.Sight) {
	if to, known := h.receiver(v.Receiver); known && len(h.chores) < mostChores/2 {
		h.chore(Chore{Kind: Saw, Receiver: to, Sight: v})
	}
}

func (r *Router) chore(c Chore) {
	select {
	case r.chores <- c:
	default:
	}
}

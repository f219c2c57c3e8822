package routing

import (
	"fmt"
	"hash/crc32"
	"slices"

	"ravenlink/choice"
)

// Result is the result of a leg or a probe.
type Result uint8

// The results. Up to Gone the leg certainly had no effect; Gone proves nothing about earlier legs of its message.
const (
	Refused      Result = iota // refused without being processed: above the limit, at capacity, or shut down
	NotConnected               // no connection in time, or the connection broke before the last byte was sent
	NotSent                    // no slot was free, or the decision no longer held
	Gone                       // not run: the message is over
	Delivered
	Errored
	TimedOut
	Reset
	Cancelled
)

func (r Result) String() string {
	return [...]string{"turned away", "not connected", "not sent", "gone there", "delivered", "errored", "timed out", "reset", "called off"}[r]
}

// NeverRan reports whether the leg certainly had no effect.
func (r Result) NeverRan() bool { return r <= Gone }

var outcomes = map[Result]choice.Outcome{
	Refused: choice.Refused, NotConnected: choice.ConnectFailed, NotSent: choice.NotSent, Gone: choice.NotSent,
	Delivered: choice.Delivered, Errored: choice.Errored, TimedOut: choice.TimedOut, Reset: choice.Reset,
	Cancelled: choice.Cancelled,
}

// Load is what an answer reported about a limit.
type Load struct {
	Reported         bool
	ShareLeft, Limit float64
}

func rateLimit(l Load, allowed bool) choice.RateLimit {
	if !allowed {
		return choice.RateLimit{}
	}
	return choice.RateLimit{Known: l.Reported, RemainingShare: l.ShareLeft, LimitPerSec: l.Limit}
}

// Report reports the result of a leg; retryAfter is that of a refusal in µs, 0 for none.
func (r *Router) Report(p Decision, res Result, retryAfter int64, l Load) {
	r.settle(p, outcomes[res], retryAfter, res == Delivered || res == Gone, rateLimit(l, r.loadInCalls))
}

// ReportUnstarted is Report for a leg that did not start because its message is not to be delivered any more: Completed follows.
// A leg that is chosen and never reported keeps its slot for good.
func (r *Router) ReportUnstarted(p Decision) {
	r.settle(p, choice.NotSent, 0, true, choice.RateLimit{})
}

func (r *Router) settle(p Decision, o choice.Outcome, retryAfter int64, final bool, limit choice.RateLimit) {
	r.runTurn(func() {
		r.sender.LegEnded(p.ID, p.LegNumber, o, retryAfter, final, limit)
		if t := r.messages[p.ID]; t != nil && t.cancel != nil && t.legs == p.LegNumber+1 {
			t.cancel()
			t.cancel = nil
		}
		if final {
			r.end(p.ID, Completed, 0)
		}
	})
}

// ReportProbe reports the result of a probe.
func (r *Router) ReportProbe(to Receiver, res Result, l Load) {
	r.runTurn(func() { r.sender.ProbeEnded(to.number, outcomes[res], rateLimit(l, r.loadInProbes)) })
}

// UpdateReceivers applies a list of receivers, complete or changes only. remembered marks the list saved before the start.
func (r *Router) UpdateReceivers(listings []Listing, whole, remembered bool) {
	form := choice.Delta
	switch {
	case remembered:
		form = choice.Cached
	case whole:
		form = choice.Snapshot
	}
	var fresh []newReceiver
	count := 0
	r.runTurn(func() {
		if len(r.receivers) == 0 {
			r.receivers = make(map[uint32]*receiverInfo, len(listings))
		}
		entries := make([]choice.Entry, 0, len(listings))
		for _, l := range listings {
			n, isNew := r.assignNumber(l)
			if isNew {
				if count++; count <= maxLoggedReceivers {
					fresh = append(fresh, newReceiver{n, l})
				}
			}
			entries = append(entries, choice.Entry{Receiver: n, Dst: l.Dst, Weight: l.Weight, Listed: l.Listed,
				Kind: slices.Index(r.kinds, l.Kind), Zone: slices.Index(r.zones, l.Zone)})
		}
		r.sender.UpdateList(form, entries)
		r.forgetGone()
	})
	r.logNew(fresh, count)
}

// newReceiver is a receiver that a list named for the first time.
type newReceiver struct {
	number uint32
	l      Listing
}

// logNew logs the receivers that are new with a list, after its turn. A line for each receiver of a large list would hold up all
// callers.
func (r *Router) logNew(fresh []newReceiver, count int) {
	if count > maxLoggedReceivers {
		l := fresh[0].l
		r.log(fmt.Sprintf("%d receivers are new with one list, the first is %d, %s at %s, of destination %d", count, fresh[0].number, l.ID, l.Addr, l.Dst))
		return
	}
	for _, f := range fresh {
		r.log(fmt.Sprintf("receiver %d of destination %d is %s at %s, weight %g", f.number, f.l.Dst, f.l.ID, f.l.Addr, f.l.Weight))
	}
}

// forgetGone deletes the receivers that the module has just forgotten.
func (r *Router) forgetGone() {
	for _, n := range r.sender.Forgotten() {
		if p := r.receivers[n]; p != nil {
			delete(r.numbers, p.id)
			delete(r.receivers, n)
		}
	}
}

// WatchFailed reports that a watch could not be opened or broke.
func (r *Router) WatchFailed() { r.runTurn(func() { r.sender.UpdateList(choice.LookupFailed, nil) }) }

// ListRequested reports that the list is being requested from discovery although the module has not asked for it.
func (r *Router) ListRequested() { r.runTurn(func() { r.sender.LookupStarted() }) }

// receiverInfo is what the router knows of a receiver.
type receiverInfo struct {
	id, addr string
	dst      int64
	zone     int32
}

// numberOf returns the number of a receiver by its id.
func (r *Router) numberOf(id string) (uint32, bool) {
	sum := crc32.ChecksumIEEE([]byte(id))
	if p := r.receivers[sum]; p != nil && p.id == id {
		return sum, true
	}
	n, known := r.numbers[id]
	return n, known
}

// assignNumber returns the number of a receiver, creating it if needed, and updates its address. Numbers are the same at every
// sender, because notes identify receivers by them. isNew reports whether the receiver is new.
func (r *Router) assignNumber(l Listing) (n uint32, isNew bool) {
	n, known := r.numberOf(l.ID)
	if !known {
		isNew, n = true, crc32.ChecksumIEEE([]byte(l.ID))
		sum := n
		for r.receivers[n] != nil {
			n++ // two ids with one checksum: a peer's note may mean the other receiver, but no rule depends on notes
		}
		if n != sum {
			r.numbers[l.ID] = n
		}
		r.receivers[n] = &receiverInfo{id: l.ID}
	}
	p := r.receivers[n]
	p.dst = l.Dst
	if l.Addr != "" {
		p.addr, p.zone = l.Addr, int32(slices.Index(r.zones, l.Zone))
	}
	return n, isNew
}

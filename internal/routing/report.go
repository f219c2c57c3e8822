package routing

import (
	"fmt"
	"hash/crc32"
	"slices"

	"ravenlink/choice"
)

// Result is how a leg or a probe went.
type Result uint8

// The results. Up to NotSent a leg surely never ran.
const (
	TurnedAway   Result = iota // unseen: above the limit, full, shut
	NotConnected               // no connection in time, or broken before the last byte
	NotSent                    // no slot was free, or the leg no longer stood
	GoneThere                  // not sent: the message is over
	Delivered
	Errored
	TimedOut
	Reset
	CalledOff
)

func (r Result) String() string {
	return [...]string{"turned away", "not connected", "not sent", "gone there", "delivered", "errored", "timed out", "reset", "called off"}[r]
}

// NeverRan tells whether the leg surely had no effect.
func (r Result) NeverRan() bool { return r <= GoneThere }

var outcomes = map[Result]choice.Outcome{
	TurnedAway: choice.Full, NotConnected: choice.ConnectFailed, NotSent: choice.Skipped, GoneThere: choice.Skipped,
	Delivered: choice.Delivered, Errored: choice.Errored, TimedOut: choice.TimedOut, Reset: choice.Reset,
	CalledOff: choice.Cancelled,
}

// Load is what an answer told of a limit.
type Load struct {
	Told             bool
	ShareLeft, Limit float64
}

func report(l Load, allowed bool) choice.Report {
	if !allowed {
		return choice.Report{}
	}
	return choice.Report{Told: l.Told, ShareLeft: l.ShareLeft, LimitPerSec: l.Limit}
}

// Report tells how a leg went; wait is what a refusal told, in µs, 0 for nothing.
func (r *Router) Report(p Pick, res Result, wait int64, l Load) {
	r.turn(func() {
		final := res == Delivered || res == GoneThere
		r.sender.Settled(p.ID, p.Number, outcomes[res], wait, final, report(l, r.inCalls))
		if t := r.tickets[p.ID]; t != nil && t.cancel != nil && t.legs == p.Number+1 {
			t.cancel()
			t.cancel = nil
		}
		if final {
			r.end(p.ID, Over, 0)
		}
	})
}

// Probed tells how a probe went.
func (r *Router) Probed(to Receiver, res Result, l Load) {
	r.turn(func() { r.sender.Probed(to.number, outcomes[res], report(l, r.inProbes)) })
}

// List takes a list of receivers, whole or changes only. remembered marks the one from before the start.
func (r *Router) List(listings []Listing, whole, remembered bool) {
	form := choice.Changes
	switch {
	case remembered:
		form = choice.Remembered
	case whole:
		form = choice.Whole
	}
	r.turn(func() {
		entries := make([]choice.Entry, 0, len(listings))
		for _, l := range listings {
			entries = append(entries, choice.Entry{Receiver: r.number(l), Dst: l.Dst, Weight: l.Weight, Listed: l.Listed,
				Kind: slices.Index(r.kinds, l.Kind), Zone: slices.Index(r.zones, l.Zone)})
		}
		r.sender.Listed(form, entries)
		r.forgetGone()
	})
}

// forgetGone drops the names of receivers that the module no longer knows.
func (r *Router) forgetGone() {
	for id, n := range r.numbers {
		if !r.sender.Knows(n) {
			delete(r.numbers, id)
			delete(r.receivers, n)
		}
	}
}

// ListLost says that a watch could not be had or broke.
func (r *Router) ListLost() { r.turn(func() { r.sender.Listed(choice.LookupFailed, nil) }) }

// ListAsked says that discovery is called for the list although the module has not asked.
func (r *Router) ListAsked() { r.turn(func() { r.sender.Asked() }) }

// number gives a receiver its number, the same at every sender, for notes name receivers by it; and keeps its
// newest address.
func (r *Router) number(l Listing) uint32 {
	n, known := r.numbers[l.ID]
	for !known {
		if n == 0 {
			n = crc32.ChecksumIEEE([]byte(l.ID))
		}
		if _, taken := r.receivers[n]; taken {
			n++ // two ids of one sum: a fellow's note may mean the other, and no rule leans on notes
			continue
		}
		r.numbers[l.ID], known = n, true
		r.log(fmt.Sprintf("receiver %d of destination %d is %s at %s, weight %g", n, l.Dst, l.ID, l.Addr, l.Weight))
	}
	to := r.receivers[n]
	to.ID, to.number, to.dst = l.ID, n, l.Dst
	if l.Addr != "" {
		to.Addr, to.Zone = l.Addr, slices.Index(r.zones, l.Zone)
	}
	r.receivers[n] = to
	return n
}

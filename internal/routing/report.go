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
	r.settled(p, outcomes[res], wait, res == Delivered || res == GoneThere, report(l, r.inCalls))
}

// TookBack is Report for a leg that did not begin because its message is not to be carried any more: Over follows. Danger: a leg picked and not
// reported keeps its slot for good.
func (r *Router) TookBack(p Pick) { r.settled(p, choice.Skipped, 0, true, choice.Report{}) }

func (r *Router) settled(p Pick, o choice.Outcome, wait int64, final bool, report choice.Report) {
	r.turn(func() {
		r.sender.Settled(p.ID, p.Number, o, wait, final, report)
		if t := r.tickets[p.ID]; t != nil && t.cancel != nil && t.legs == p.Number+1 {
			t.cancel()
			t.cancel = nil
		}
		if final {
			r.end(p.ID, Over, 0)
		}
	})
}

// WaitTold has a wait bind at once, in µs, before it is known which call the answer that told it belongs to.
func (r *Router) WaitTold(from Receiver, wait int64) {
	r.turn(func() { r.sender.WaitTold(from.number, wait) })
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
	var fresh []named
	count := 0
	r.turn(func() {
		if len(r.receivers) == 0 {
			r.receivers = make(map[uint32]*place, len(listings))
		}
		entries := make([]choice.Entry, 0, len(listings))
		for _, l := range listings {
			n, isNew := r.number(l)
			if isNew {
				if count++; count <= mostNamed {
					fresh = append(fresh, named{n, l})
				}
			}
			entries = append(entries, choice.Entry{Receiver: n, Dst: l.Dst, Weight: l.Weight, Listed: l.Listed,
				Kind: slices.Index(r.kinds, l.Kind), Zone: slices.Index(r.zones, l.Zone)})
		}
		r.sender.Listed(form, entries)
		r.forgetGone()
	})
	r.name(fresh, count)
}

// named is a receiver new with a list.
type named struct {
	number uint32
	l      Listing
}

// name logs which receivers are new with a list, after its turn. Danger: a line for each of a large list holds everybody up.
func (r *Router) name(fresh []named, count int) {
	if count > mostNamed {
		l := fresh[0].l
		r.log(fmt.Sprintf("%d receivers are new with one list, the first is %d, %s at %s, of destination %d", count, fresh[0].number, l.ID, l.Addr, l.Dst))
		return
	}
	for _, f := range fresh {
		r.log(fmt.Sprintf("receiver %d of destination %d is %s at %s, weight %g", f.number, f.l.Dst, f.l.ID, f.l.Addr, f.l.Weight))
	}
}

// forgetGone drops the names of receivers that the module has just forgotten.
func (r *Router) forgetGone() {
	for _, n := range r.sender.Forgotten() {
		if p := r.receivers[n]; p != nil {
			delete(r.numbers, p.id)
			delete(r.receivers, n)
		}
	}
}

// ListLost says that a watch could not be had or broke.
func (r *Router) ListLost() { r.turn(func() { r.sender.Listed(choice.LookupFailed, nil) }) }

// ListAsked says that discovery is called for the list although the module has not asked.
func (r *Router) ListAsked() { r.turn(func() { r.sender.Asked() }) }

// place is a receiver by its name.
type place struct {
	id, addr string
	dst      int64
	zone     int32
}

// numberOf is the number of a receiver known by its id.
func (r *Router) numberOf(id string) (uint32, bool) {
	sum := crc32.ChecksumIEEE([]byte(id))
	if p := r.receivers[sum]; p != nil && p.id == id {
		return sum, true
	}
	n, known := r.numbers[id]
	return n, known
}

// number gives a receiver its number, the same at every sender, for notes name receivers by it; and keeps its
// newest address. It tells whether it is new.
func (r *Router) number(l Listing) (n uint32, isNew bool) {
	n, known := r.numberOf(l.ID)
	if !known {
		isNew, n = true, crc32.ChecksumIEEE([]byte(l.ID))
		sum := n
		for r.receivers[n] != nil {
			n++ // two ids of one sum: a fellow's note may mean the other, and no rule leans on notes
		}
		if n != sum {
			r.numbers[l.ID] = n
		}
		r.receivers[n] = &place{id: l.ID}
	}
	p := r.receivers[n]
	p.dst = l.Dst
	if l.Addr != "" {
		p.addr, p.zone = l.Addr, int32(slices.Index(r.zones, l.Zone))
	}
	return n, isNew
}

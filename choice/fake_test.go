package choice

import (
	"fmt"
	"slices"
	"testing"
)

// fake is a tiny host: it writes down what the sender does.
type fake struct {
	*Sender
	did  []string
	back map[string]int64  // advice given with a pushback
	to   map[string]uint32 // where a message's latest leg went
	legs map[string]int
	ring int64
	rung int // timers asked for
	seen []Sight
}

func (f *fake) say(format string, a ...any) { f.did = append(f.did, fmt.Sprintf(format, a...)) }
func (f *fake) Send(m string, r uint32, p int64) {
	f.say("send %s", m)
	f.to[m] = r
	f.legs[m]++
}
func (f *fake) Cancel(m string, leg int)    { f.say("cancel %s %d", m, leg) }
func (f *fake) PushBack(m string, in int64) { f.say("push back %s", m); f.back[m] = in }
func (f *fake) Fail(m string)               { f.say("fail %s", m) }
func (f *fake) Timer(in int64, _ uint64)    { f.ring, f.rung = f.now+in, f.rung+1 }
func (f *fake) Probe(r uint32)              { f.say("probe %d", r) }
func (f *fake) CloseIdle(r uint32)          { f.say("close %d", r) }
func (f *fake) Note(string)                 { f.say("note") }
func (f *fake) Subscribe()                  { f.say("subscribe") }
func (f *fake) Log(string)                  {}
func (f *fake) Saw(v Sight)                 { f.seen = append(f.seen, v) }

const (
	ms     = int64(1000)
	aLot   = 1000
	window = 10 * second
)

var (
	keyed   = Lane{Repeat: Keyed, AnyInDst: true, Window: window, Target: 2 * second, Deadline: 28 * second, Value: 1, LateValue: .5}
	oneWay  = Lane{Repeat: NonRetriable, Target: 2 * second, Deadline: 28 * second, Value: 1, LateValue: .5}
	inOrder = Lane{Repeat: Retriable, InOrder: true, Target: 2 * second, Deadline: 28 * second, Value: 1, LateValue: .5}
)

// begin starts one of two senders with the destination 7 served by receivers 1, 2, ... of the given weight.
func begin(t *testing.T, lane Lane, slots, receivers int, weight float64, kind Kind) *fake {
	t.Helper()
	f := &fake{back: map[string]int64{}, to: map[string]uint32{}, legs: map[string]int{}}
	f.Sender = New(f, 42, Team{Senders: 2}, []Lane{lane}, []Kind{kind}, Room{Slots: slots, Held: 40, Legs: 12},
		Allowed{Probes: true, MaxAdvice: second},
		Guards{StartShare: .2, WarmWithin: 10 * second, Overload: 2, KeyRest: second}, NominalWeight)
	f.At(second)
	var es []Entry
	for i := range receivers {
		es = append(es, Entry{Receiver: uint32(i + 1), Dst: 7, Weight: weight, Listed: true, Zone: i})
	}
	f.Listed(Remembered, es)
	return f
}

func (f *fake) take(ids ...string) {
	for _, id := range ids {
		f.Take(id, 0, "", 7, f.now+28*second)
	}
}

// ends settles the latest leg of a message.
func (f *fake) ends(m string, o Outcome, wait int64) {
	f.Settled(m, f.legs[m]-1, o, wait, o == Delivered, Report{})
}

// after lets time pass, deciding whenever the timer rings, and returns what was done meanwhile.
func (f *fake) after(d int64) []string {
	f.did = nil
	f.Decide()
	for end := f.now + d; f.now < end; {
		if f.ring <= f.now {
			f.ring = end
		}
		f.At(min(end, f.ring))
		if f.now == f.ring {
			f.Rang(0)
		}
		f.Decide()
	}
	return f.did
}

func count(did []string, prefix string) int {
	return len(slices.DeleteFunc(slices.Clone(did), func(s string) bool { return len(s) < len(prefix) || s[:len(prefix)] != prefix }))
}

// quick lets a destination learn that answers come in 100 ms.
func quick(f *fake, n int) {
	for i := range n {
		m := fmt.Sprint("quick", i)
		f.take(m)
		f.after(100 * ms)
		f.ends(m, Delivered, 0)
	}
}

// fleet starts senders of one team, each with its own chance, at a destination of the given weight.
func fleet(t *testing.T, senders int, weight float64) (fs []*fake) {
	t.Helper()
	for i := range senders {
		f := begin(t, keyed, 4, 1, weight, Kind{Batch: 1})
		f.seed, f.team.Senders, f.allowed.Notes = uint64(i), senders, true
		f.recvs[1].route.know(weight / float64(senders))
		fs = append(fs, f)
	}
	return fs
}

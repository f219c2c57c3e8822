package choice

import (
	"fmt"
	"slices"
	"testing"
)

// fake is a Host that records the actions of its sender.
type fake struct {
	*Sender
	acts         []string
	retryAfter   map[string]int64  // of rejections
	to           map[string]uint32 // receiver of a message's latest leg
	legs         map[string]int
	timerFiresAt int64
	timers       int // number of timers set
	shared       []Observation
}

func (f *fake) add(format string, a ...any) { f.acts = append(f.acts, fmt.Sprintf(format, a...)) }
func (f *fake) Send(m string, r uint32, p int64) {
	f.add("send %s", m)
	f.to[m] = r
	f.legs[m]++
}
func (f *fake) Cancel(m string, leg int)    { f.add("cancel %s %d", m, leg) }
func (f *fake) Reject(m string, in int64)   { f.add("reject %s", m); f.retryAfter[m] = in }
func (f *fake) Fail(m string)               { f.add("fail %s", m) }
func (f *fake) SetTimer(in int64, _ uint64) { f.timerFiresAt, f.timers = f.now+in, f.timers+1 }
func (f *fake) Probe(r uint32)              { f.add("probe %d", r) }
func (f *fake) CloseIdle(r uint32)          { f.add("close %d", r) }
func (f *fake) Broadcast(string)            { f.add("note") }
func (f *fake) Subscribe()                  { f.add("subscribe") }
func (f *fake) Log(string)                  {}
func (f *fake) Share(v Observation)         { f.shared = append(f.shared, v) }

const (
	ms         = int64(1000)
	highWeight = 1000
	window     = 10 * second
)

var (
	keyed        = Class{RetryMode: Keyed, DstWideKeys: true, KeyWindow: window, Target: 2 * second, Deadline: 28 * second, Value: 1, LateValue: .5}
	nonRetriable = Class{RetryMode: NonRetriable, Target: 2 * second, Deadline: 28 * second, Value: 1, LateValue: .5}
	inOrder      = Class{RetryMode: Retriable, Ordered: true, Target: 2 * second, Deadline: 28 * second, Value: 1, LateValue: .5}
)

// newFake starts one of two senders with the destination 7 served by receivers 1, 2, ... of the given weight.
func newFake(t *testing.T, class Class, slots, receivers int, weight float64, kind Kind) *fake {
	t.Helper()
	f := &fake{retryAfter: map[string]int64{}, to: map[string]uint32{}, legs: map[string]int{}}
	f.Sender = New(f, 42, Topology{Senders: 2}, []Class{class}, []Kind{kind}, Limits{MaxCalls: slots, MaxQueued: 40, MaxLegs: 12},
		Capabilities{Probes: true, MaxRetryAfter: second},
		Rules{StartCapacity: .2, WarmUpTime: 10 * second, OverloadFactor: 2, KeyQuietTime: second}, NominalWeight)
	f.SetTime(second)
	var es []Entry
	for i := range receivers {
		es = append(es, Entry{Receiver: uint32(i + 1), Dst: 7, Weight: weight, Listed: true, Zone: i})
	}
	f.UpdateList(Cached, es)
	return f
}

func (f *fake) accept(ids ...string) {
	for _, id := range ids {
		f.Accept(id, 0, "", 7, f.now+28*second)
	}
}

// endLeg ends the latest leg of a message.
func (f *fake) endLeg(m string, o Outcome, wait int64) {
	f.LegEnded(m, f.legs[m]-1, o, wait, o == Delivered, RateLimit{})
}

// advance lets time pass, with a turn whenever the timer fires, and returns the actions.
func (f *fake) advance(d int64) []string {
	f.acts = nil
	f.Decide()
	for end := f.now + d; f.now < end; {
		if f.timerFiresAt <= f.now {
			f.timerFiresAt = end
		}
		f.SetTime(min(end, f.timerFiresAt))
		if f.now == f.timerFiresAt {
			f.TimerFired(0)
		}
		f.Decide()
	}
	return f.acts
}

func count(did []string, prefix string) int {
	return len(slices.DeleteFunc(slices.Clone(did), func(s string) bool { return len(s) < len(prefix) || s[:len(prefix)] != prefix }))
}

// quick teaches a destination response times of 100 ms.
func quick(f *fake, n int) {
	for i := range n {
		m := fmt.Sprint("quick", i)
		f.accept(m)
		f.advance(100 * ms)
		f.endLeg(m, Delivered, 0)
	}
}

// fleet starts senders of one fleet, each with its own seed, at a destination of the given weight.
func fleet(t *testing.T, senders int, weight float64) (fs []*fake) {
	t.Helper()
	for i := range senders {
		f := newFake(t, keyed, 4, 1, weight, Kind{Batch: 1})
		f.seed, f.topology.Senders, f.caps.PeerNotes = uint64(i), senders, true
		f.recvs[1].route.setShare(weight / float64(senders))
		fs = append(fs, f)
	}
	return fs
}

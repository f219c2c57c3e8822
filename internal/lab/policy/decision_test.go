package policy

import (
	"fmt"
	"strconv"
	"testing"

	"ravenlink/choice"
)

// sink is a host that does nothing but remember what went out.
type sink struct{ sent []string }

func (s *sink) Send(m string, _ uint32, _ int64) { s.sent = append(s.sent, m) }
func (s *sink) Cancel(string, int)               {}
func (s *sink) PushBack(string, int64)           {}
func (s *sink) Fail(string)                      {}
func (s *sink) Timer(int64, uint64)              {}
func (s *sink) Probe(uint32)                     {}
func (s *sink) CloseIdle(uint32)                 {}
func (s *sink) Note(string)                      {}
func (s *sink) Subscribe()                       {}
func (s *sink) Log(string)                       {}
func (s *sink) Saw(choice.Sight)                 {}

// desk gives a module with so many destinations, and so many messages held at one that cannot be sent to.
func desk(dsts, held int) (*sink, *choice.Sender, int64) {
	h := &sink{}
	s := choice.New(h, 1, choice.Team{Senders: 1},
		[]choice.Lane{{Repeat: choice.Retriable, Target: 2 * second, Deadline: 10_000 * second, Value: 1, LateValue: .5}}, []choice.Kind{{Batch: 1}},
		choice.Room{Slots: 1 << 30, Held: 1 << 30, Legs: 6}, choice.Allowed{Cancel: true, MaxAdvice: second},
		choice.Guards{StartShare: .25, WarmWithin: 10 * second, Overload: 2}, choice.NoWeight)
	now := 1000 * second
	s.At(now)
	var es []choice.Entry
	for i := range dsts {
		es = append(es, choice.Entry{Receiver: uint32(i + 1), Dst: int64(i + 1), Listed: true})
	}
	es = append(es, choice.Entry{Receiver: uint32(dsts + 1), Dst: int64(dsts + 1), Listed: true})
	s.Listed(choice.Remembered, es)
	if held > 0 { // a told wait keeps its messages back
		s.Take("told", 0, "", int64(dsts+1), now+9_000*second)
		s.Decide()
		s.Settled("told", 0, choice.Full, 8_000*second, false, choice.Report{})
		for i := range held {
			s.Take("held"+strconv.Itoa(i), 0, "", int64(dsts+1), now+9_000*second)
		}
		s.Decide()
	}
	h.sent = h.sent[:0]
	return h, s, now
}

// BenchmarkDecision is one message's way through the module, taken and delivered: two turns.
func BenchmarkDecision(b *testing.B) {
	for _, c := range []struct{ dsts, held int }{{10, 0}, {100, 0}, {1000, 0}, {10_000, 0}, {100_000, 0},
		{100, 10}, {100, 100}, {100, 1000}, {100, 10_000}, {100, 100_000}} {
		b.Run(fmt.Sprintf("dsts=%d/held=%d", c.dsts, c.held), func(b *testing.B) {
			h, s, now := desk(c.dsts, c.held)
			n := 0
			for b.Loop() {
				id := strconv.Itoa(n)
				now += 50
				s.At(now)
				s.Take(id, 0, "", int64(n%c.dsts+1), now+9*second)
				s.Decide()
				now += 50
				s.At(now)
				for _, m := range h.sent {
					s.Settled(m, 0, choice.Delivered, 0, true, choice.Report{})
				}
				h.sent = h.sent[:0]
				s.Decide()
				n++
			}
		})
	}
}

// BenchmarkHeldHere is the same at the very destination that holds the others.
func BenchmarkHeldHere(b *testing.B) {
	for _, held := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			_, s, now := desk(10, held)
			n := 0
			for b.Loop() {
				now += 100
				s.At(now)
				s.Take(strconv.Itoa(n), 0, "", 11, now+9*second)
				s.Decide()
				s.Withdrawn(strconv.Itoa(n))
				s.Decide()
				n++
			}
		})
	}
}

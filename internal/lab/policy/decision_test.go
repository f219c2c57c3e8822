package policy

import (
	"fmt"
	"strconv"
	"testing"

	"ravenlink/choice"
)

// recorder is a choice.Host that only records which messages were sent.
type recorder struct{ sent []string }

func (s *recorder) Send(m string, _ uint32, _ int64) { s.sent = append(s.sent, m) }
func (s *recorder) Cancel(string, int)               {}
func (s *recorder) Reject(string, int64)             {}
func (s *recorder) Fail(string)                      {}
func (s *recorder) SetTimer(int64, uint64)           {}
func (s *recorder) Probe(uint32)                     {}
func (s *recorder) CloseIdle(uint32)                 {}
func (s *recorder) Broadcast(string)                 {}
func (s *recorder) Subscribe()                       {}
func (s *recorder) Log(string)                       {}
func (s *recorder) Share(choice.Observation)         {}

// newModule returns a module with dsts destinations and one more whose retry-after holds back held messages.
func newModule(dsts, held int) (*recorder, *choice.Sender, int64) {
	h := &recorder{}
	s := choice.New(h, 1, choice.Topology{Senders: 1},
		[]choice.Class{{RetryMode: choice.Retriable, Target: 2 * second, Deadline: 10_000 * second, Value: 1, LateValue: .5}}, []choice.Kind{{Batch: 1}},
		choice.Limits{MaxCalls: 1 << 30, MaxQueued: 1 << 30, MaxLegs: 6}, choice.Capabilities{Cancel: true, MaxRetryAfter: second},
		choice.Rules{StartCapacity: .25, WarmUpTime: 10 * second, OverloadFactor: 2}, choice.NoWeight)
	now := 1000 * second
	s.SetTime(now)
	var entries []choice.Entry
	for i := range dsts {
		entries = append(entries, choice.Entry{Receiver: uint32(i + 1), Dst: int64(i + 1), Listed: true})
	}
	entries = append(entries, choice.Entry{Receiver: uint32(dsts + 1), Dst: int64(dsts + 1), Listed: true})
	s.UpdateList(choice.Cached, entries)
	if held > 0 { // a retry-after holds its messages back
		s.Accept("told", 0, "", int64(dsts+1), now+9_000*second)
		s.Decide()
		s.LegEnded("told", 0, choice.Refused, 8_000*second, false, choice.RateLimit{})
		for i := range held {
			s.Accept("held"+strconv.Itoa(i), 0, "", int64(dsts+1), now+9_000*second)
		}
		s.Decide()
	}
	h.sent = h.sent[:0]
	return h, s, now
}

// BenchmarkDecision measures one message that the module accepts, sends and sees delivered: two decisions.
func BenchmarkDecision(b *testing.B) {
	for _, c := range []struct{ dsts, held int }{{10, 0}, {100, 0}, {1000, 0}, {10_000, 0}, {100_000, 0},
		{100, 10}, {100, 100}, {100, 1000}, {100, 10_000}, {100, 100_000}} {
		b.Run(fmt.Sprintf("dsts=%d/held=%d", c.dsts, c.held), func(b *testing.B) {
			h, s, now := newModule(c.dsts, c.held)
			n := 0
			for b.Loop() {
				id := strconv.Itoa(n)
				now += 50
				s.SetTime(now)
				s.Accept(id, 0, "", int64(n%c.dsts+1), now+9*second)
				s.Decide()
				now += 50
				s.SetTime(now)
				for _, m := range h.sent {
					s.LegEnded(m, 0, choice.Delivered, 0, true, choice.RateLimit{})
				}
				h.sent = h.sent[:0]
				s.Decide()
				n++
			}
		})
	}
}

// BenchmarkHeldHere measures a message that is accepted and withdrawn at the destination that holds back the others.
func BenchmarkHeldHere(b *testing.B) {
	for _, held := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			_, s, now := newModule(10, held)
			n := 0
			for b.Loop() {
				now += 100
				s.SetTime(now)
				s.Accept(strconv.Itoa(n), 0, "", 11, now+9*second)
				s.Decide()
				s.Withdraw(strconv.Itoa(n))
				s.Decide()
				n++
			}
		})
	}
}

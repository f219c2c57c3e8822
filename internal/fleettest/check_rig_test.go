package fleettest

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"ravenlink/internal/links"
	"ravenlink/internal/verdicts"
)

// Class is what the checks know about a message class.
type Class struct {
	Keyed, Retriable, InOrder bool
	Window                    time.Duration // of a keyed class
}

// repeatable reports whether a message that may have run may be sent again, and so be rejected to its client.
func (c Class) repeatable() bool { return c.Keyed || c.Retriable }

// Check reads a record and describes each violation in it.
type Check func(Record) []string

// Tolerances of the checks. The violations that matter here take seconds: a sender's absence, a retry-after, a deadline.
const (
	noticeSlack = 2 * time.Second        // after a message's deadline for its notice, while its sender is up and the platform answers
	untoldPart  = 10                     // one part in so many by which a retry-after may grow without being announced, as in internal/verdicts
	clockSlack  = 500 * time.Millisecond // between an event at a sender and the rig's record of it, on a busy machine
)

// ExactlyOneEnd finds accepted messages that never end, end twice, or end late. The time in which a sender was down or stopped is
// added to its deadline. A message may be both delivered and reported as failed only where its sender could not know of the delivery:
// it was killed or stopped while the leg was open, or the deadline passed before the answer was read.
func ExactlyOneEnd(classes map[string]Class) Check {
	return func(rec Record) []string { return rec.endViolations(classes) }
}

func (rec Record) endViolations(classes map[string]Class) (violations []string) {
	for _, h := range rec.HandIns {
		if !h.Accepted() {
			continue
		}
		ends := map[string]bool{}
		var reported time.Duration // when the platform first had a notice; RepeatedNotices checks the later ones
		for _, n := range rec.Notices {
			if n.ID != h.ID {
				continue
			}
			if len(ends) == 0 {
				reported = n.At
			}
			ends[n.State] = true
		}
		var delivered []Call
		for _, c := range rec.CallsOf(h.ID) {
			if c.Status == 200 {
				delivered = append(delivered, c)
			}
		}
		due := h.Answered + h.Timeout // it was accepted no later than Answered
		switch {
		case len(ends) == 0 && len(delivered) == 0:
			violations = append(violations, h.ID+": no end")
		case len(ends) > 1:
			violations = append(violations, fmt.Sprintf("%s: %d states reported", h.ID, len(ends)))
		case len(ends) > 0 && len(delivered) > 0 && !(rec.interrupted(delivered, due) && (ends["failed"] || classes[h.Class].repeatable())):
			violations = append(violations, fmt.Sprintf("%s: delivered and reported as undelivered: %v, calls %v", h.ID, ends, describeCalls(delivered)))
		}
		if len(ends) > 0 && reported > due+noticeSlack+rec.downtime(h.Sender, h.At, reported) {
			violations = append(violations, fmt.Sprintf("%s: reported %v after its deadline", h.ID, reported-due))
		}
		if len(delivered) > 0 && delivered[0].At > due+clockSlack+rec.stallTime(due, delivered[0].At) {
			violations = append(violations, fmt.Sprintf("%s: delivered %v after its deadline", h.ID, delivered[0].At-due))
		}
	}
	return violations
}

func describeCalls(cs []Call) (text []string) {
	for _, c := range cs {
		text = append(text, fmt.Sprintf("%s at %v answered %v", c.Sender, c.At, c.Answered))
	}
	return text
}

// interrupted reports whether each of the calls was open when its sender was killed or stopped (timeouts run on while it is stopped),
// or when the message's deadline passed.
func (r Record) interrupted(calls []Call, due time.Duration) bool {
	for _, c := range calls {
		if c.Answered < due-clockSlack && !slices.ContainsFunc(r.Actions, func(a Action) bool {
			return a.Sender == c.Sender && (a.What == "kill" || a.What == "stop") && a.At >= c.At-clockSlack && (c.Answered == 0 || a.At <= c.Answered+clockSlack)
		}) {
			return false
		}
	}
	return true
}

// downtime sums the time between from and to in which a sender was down or stopped.
func (r Record) downtime(sender string, from, to time.Duration) (sum time.Duration) {
	away := time.Duration(-1)
	for _, a := range r.Actions {
		if a.Sender != sender || a.At > to {
			continue
		}
		switch a.What {
		case "kill", "term", "stop":
			if away < 0 {
				away = a.At
			}
		case "start", "cont":
			if away >= 0 && a.At > from {
				sum += a.At - max(away, from)
			}
			away = -1
		}
	}
	return sum
}

// ForbiddenRepeats finds messages that may have run more often than their classes allow.
func ForbiddenRepeats(classes map[string]Class) Check {
	return func(rec Record) (violations []string) {
		for _, h := range rec.HandIns {
			class := classes[h.Class]
			var ran []Call
			for _, c := range rec.CallsOf(h.ID) {
				if c.MayHaveRun() {
					ran = append(ran, c)
				}
			}
			switch {
			case len(ran) < 2 || class.Retriable:
			case !class.Keyed:
				violations = append(violations, fmt.Sprintf("%s: may have run %d times", h.ID, len(ran)))
			case ran[len(ran)-1].At-ran[0].At > class.Window:
				violations = append(violations, fmt.Sprintf("%s: repeated %v after its first run", h.ID, ran[len(ran)-1].At-ran[0].At))
			case slices.ContainsFunc(ran, func(c Call) bool { return c.Key != ran[0].Key || c.Key == "" }):
				violations = append(violations, h.ID+": repeated under another key")
			}
		}
		return violations
	}
}

// CallsDuringRetryAfter finds calls to a destination during a retry-after that it sent to the same sender. It ignores calls that may
// have been under way (within slack plus the rig's stalls), and a retry-after that an earlier process of the sender got: a process
// forgets it when it ends.
func CallsDuringRetryAfter(slack time.Duration) Check {
	return func(rec Record) (violations []string) {
		for _, limited := range rec.Calls {
			if limited.RetryAfter == 0 {
				continue
			}
			for _, c := range rec.Calls {
				if c.Sender == limited.Sender && c.Dst == limited.Dst && c.At > limited.Answered+slack+rec.stallTime(limited.Answered, c.At) && c.At < limited.Answered+limited.RetryAfter-time.Millisecond &&
					!rec.startedBetween(c.Sender, limited.At, c.At) {
					violations = append(violations, fmt.Sprintf("%s: %s called %d %v into a retry-after of %v", c.ID, c.Sender, c.Dst, c.At-limited.Answered, limited.RetryAfter))
				}
			}
		}
		return violations
	}
}

// startedBetween reports whether a process of a sender was started between two times.
func (r Record) startedBetween(sender string, from, to time.Duration) bool {
	return slices.ContainsFunc(r.Actions, func(a Action) bool { return a.Sender == sender && a.What == "start" && a.At >= from && a.At <= to })
}

// FleetCallsDuringRetryAfter is CallsDuringRetryAfter for the whole fleet: once within has passed, all senders must heed a retry-after
// that one of them got. Stalls of the rig are added to within, because its links stand still meanwhile. The last tenth of the
// retry-after is ignored: a sender doesn't announce a later one that ends only slightly later.
func FleetCallsDuringRetryAfter(within time.Duration) Check {
	return func(rec Record) (violations []string) {
		for _, limited := range rec.Calls {
			for _, c := range rec.Calls {
				if limited.RetryAfter > 0 && c.Dst == limited.Dst && c.At < limited.Answered+limited.RetryAfter-limited.RetryAfter/untoldPart &&
					c.At > limited.Answered+within+rec.stallTime(limited.Answered, c.At) {
					violations = append(violations, fmt.Sprintf("%s: %s called %d %v into a retry-after sent to %s, %s", c.ID, c.Sender, c.Dst, c.At-limited.Answered,
						limited.Sender, rec.newsArrival(limited, c)))
				}
			}
		}
		return violations
	}
}

// stallTime sums the rig's stalls between two times.
func (r Record) stallTime(from, to time.Duration) (sum time.Duration) {
	for _, s := range r.Stalls {
		sum += max(0, min(s.To, to)-max(s.From, from))
	}
	return sum
}

// newsArrival describes how long before a call its sender had learned of a retry-after from another sender.
func (r Record) newsArrival(limited, c Call) string {
	for _, p := range r.Posts {
		if p.To != c.Sender || p.Outcome != "delivered" || p.At < limited.Answered || p.At > c.At {
			continue
		}
		for _, f := range p.Frames {
			m, err := verdicts.Decode(f.Body)
			if f.Kind != links.Verdicts || err != nil {
				continue
			}
			for _, w := range m.Facts {
				if w.Dst == limited.Dst && w.Kind == uint8(verdicts.RetryAfter) && w.Origin == limited.Sender {
					return fmt.Sprintf("which it had learned from %s %v before", p.From, c.At-p.At)
				}
			}
		}
	}
	return "which it had not learned of"
}

// CallsWhileDraining finds calls to a destination that had been listed as draining for longer than slack.
func CallsWhileDraining(slack time.Duration) Check {
	return func(rec Record) (violations []string) {
		for _, c := range rec.Calls {
			serving, since := true, time.Duration(0)
			for _, l := range rec.Listings {
				if l.Sender == c.Sender && l.Dst == c.Dst && l.At <= c.At {
					serving, since = l.Serving, l.At
				}
			}
			if !serving && c.At > since+slack {
				violations = append(violations, fmt.Sprintf("%s: called %d, which had been draining for %v", c.ID, c.Dst, c.At-since))
			}
		}
		return violations
	}
}

// OverLimit returns by how many calls the whole fleet exceeded a destination's limit in the worst window.
func (r Record) OverLimit(dst int64, limit int, window time.Duration) (worst int) {
	var at []time.Duration
	for _, c := range r.Calls {
		if c.Dst == dst {
			at = append(at, c.At)
		}
	}
	slices.Sort(at)
	for from, to := 0, 0; to < len(at); to++ {
		for at[from] <= at[to]-window {
			from++
		}
		worst = max(worst, to-from+1-limit)
	}
	return worst
}

// WithinLimit finds an excess of calls over a limit that is larger than over.
func WithinLimit(dst int64, limit int, window time.Duration, over int) Check {
	return func(rec Record) []string {
		if n := rec.OverLimit(dst, limit, window); n > over {
			return []string{fmt.Sprintf("destination %d: %d calls over its limit of %d in %v, where %d are allowed", dst, n, limit, window, over)}
		}
		return nil
	}
}

// InOrder finds messages of one sequence that ran out of order. sequence returns the name of a message's sequence, which is empty if
// its order doesn't matter, and its position there. Messages that can't have run are ignored.
func InOrder(sequence func(HandIn) (string, int64)) Check {
	return func(rec Record) (violations []string) {
		type run struct {
			id          string
			position    int64
			first, last time.Duration
		}
		sequences := map[string][]run{}
		seen := map[string]bool{}
		for _, h := range rec.HandIns {
			name, position := sequence(h)
			if name == "" || seen[h.ID] {
				continue
			}
			seen[h.ID] = true
			one := run{id: h.ID, position: position, first: -1}
			for _, c := range rec.CallsOf(h.ID) {
				if c.MayHaveRun() {
					if one.first < 0 {
						one.first = c.At
					}
					one.last = max(one.last, c.At)
				}
			}
			if one.first >= 0 {
				sequences[name] = append(sequences[name], one)
			}
		}
		for name, runs := range sequences {
			sort.SliceStable(runs, func(i, j int) bool { return runs[i].position < runs[j].position })
			for i := 1; i < len(runs); i++ {
				if runs[i].first < runs[i-1].last {
					violations = append(violations, fmt.Sprintf("%s of %q ran before %s had ended", runs[i].id, name, runs[i-1].id))
				}
			}
		}
		slices.Sort(violations)
		return violations
	}
}

// ByKey orders messages by sender and order key. They must have been handed in over one connection after another.
func ByKey(h HandIn) (string, int64) {
	if h.OrderKey == "" || !h.Accepted() {
		return "", 0
	}
	return h.Sender + " " + h.OrderKey, int64(h.At)
}

// ByChannel orders the accepted messages of channels in which each message waits for the one before, whichever sender accepted them.
func ByChannel(h HandIn) (string, int64) {
	if h.Channel == "" || !h.Accepted() {
		return "", 0
	}
	return "channel " + h.Channel, h.Pos
}

// Check applies the named checks to the recorded traffic, and always those for one end, repeated notices, repeated calls, retry-afters,
// draining and the order by key.
func (r *Rig) Check(more ...Check) {
	r.t.Helper()
	rec := r.Record()
	for _, check := range append([]Check{ExactlyOneEnd(Classes), r.RepeatedNotices(), ForbiddenRepeats(Classes), CallsDuringRetryAfter(clockSlack), CallsWhileDraining(time.Second), InOrder(ByKey)}, more...) {
		for _, violation := range check(rec) {
			id, _, _ := strings.Cut(violation, ":")
			r.t.Errorf("%s\n%s", violation, rec.Timeline(id))
		}
	}
}

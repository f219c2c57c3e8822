package fleettest

import (
	"fmt"
	"slices"
	"time"
)

const logLag = 5 * time.Second // for a line that a sender has written to reach its log here, on a busy machine

// RepeatedNotices finds notices that a sender sent again although the platform had answered. A sender repeats the notices of a post that it
// logs as not taken, and those that an earlier process may have sent without learning of the answer.
func (r *Rig) RepeatedNotices() Check {
	return func(rec Record) (violations []string) {
		for _, s := range r.senders {
			repeats := rec.repeatedNotices(s.Name)
			if excess := r.unexplainedRepeats(s, len(repeats)); excess > 0 {
				last := repeats[len(repeats)-1]
				violations = append(violations, fmt.Sprintf("%s: %s sent %d notices again, %d more than it logged as not taken", last.ID, s.Name, len(repeats), excess))
			}
		}
		return violations
	}
}

// repeatedNotices returns the notices that the same process of a sender had sent before, with no hand-in of the same ID in between.
func (r Record) repeatedNotices(sender string) (repeats []Notice) {
	before := map[string]time.Duration{}
	for _, n := range r.Notices {
		if n.Sender != sender {
			continue
		}
		if at, known := before[n.ID]; known && !r.startedBetween(sender, at, n.At) && !r.handedInBetween(n.ID, at, n.At) {
			repeats = append(repeats, n)
		}
		before[n.ID] = n.At
	}
	return repeats
}

// handedInBetween reports whether a message was handed in between two times.
func (r Record) handedInBetween(id string, from, to time.Duration) bool {
	return slices.ContainsFunc(r.HandIns, func(h HandIn) bool { return h.ID == id && h.At >= from && h.At <= to })
}

// unexplainedRepeats returns by how many a number of repeated notices exceeds what the sender logged as not taken.
func (r *Rig) unexplainedRepeats(s *Sender, repeats int) (excess int) {
	for deadline := time.Now().Add(logLag); ; time.Sleep(pollInterval) {
		if excess = max(0, repeats-noticesNotTaken(s)); excess == 0 || time.Now().After(deadline) {
			return excess
		}
	}
}

// noticesNotTaken returns how many notices a sender has logged as not taken by the platform.
func noticesNotTaken(s *Sender) (sum int) {
	for _, line := range logLines(s, "notices not taken") {
		sum += int(line["count"].(float64))
	}
	return sum
}

package choice

import (
	"strconv"
	"strings"
)

// Exchange between senders about receivers. No safety rule relies on it.

const (
	connScarceFor     = 60 * second // µs after a failed connect for which no idle connection is kept there
	maxPeerRetryAfter = 60 * second // µs; longest Retry-After accepted from a peer, which may be wrong
)

// sendNote broadcasts a note about a receiver to the peers, once per span. No safety rule relies on notes: a peer that hears of a recovery sends
// no more than its share of slow start.
func (s *Sender) sendNote(r *receiver, mark string, until *int64, span int64) {
	if s.now >= *until && s.caps.PeerNotes {
		s.host.Broadcast(mark + strconv.FormatUint(uint64(r.id), 10))
	}
	*until = s.now + span
}

// ReceiveNote takes a peer's note of scarce connections, a refusal or a recovery. Idle connections, ours or others', may use up all that a
// receiver accepts; and a sender alone in a large fleet would find a recovery only after minutes.
func (s *Sender) ReceiveNote(text string) {
	number, recovered := strings.CutPrefix(text, recoveryMark)
	number, refused := strings.CutPrefix(number, refusalMark)
	number, rate, _ := strings.Cut(number, rateMark)
	id, err := strconv.ParseUint(number, 10, 32)
	r := s.recvs[uint32(id)]
	switch {
	case err != nil || r == nil:
	case refused:
		s.learnPeerRate(rate)
		r.route.throttle(s.now, s.target(), s.chance())
		s.wake(r.dst)
	case !recovered:
		r.used().connScarceUntil = s.now + connScarceFor
	default:
		s.ReceiveObservation(Observation{Kind: ObservedRecovery, Receiver: r.id})
	}
}

// ReceiveObservation takes a peer's observation. No safety rule relies on it; a false one is corrected in time, as it is not forwarded.
func (s *Sender) ReceiveObservation(v Observation) {
	r := s.recvs[v.Receiver]
	if r == nil {
		return
	}
	seenAt := s.now - v.Age
	r.used()
	switch v.Kind {
	case ObservedRetryAfter:
		r.route.waitUntil = max(r.route.waitUntil, s.now+min(v.RetryAfter, maxPeerRetryAfter))
	case ObservedDown:
		if r.health != closed && r.lastDeliveredAt < seenAt && r.since < seenAt {
			s.closeUnshared(r, seenAt)
		}
	case ObservedRecovery:
		if r.since > seenAt {
			return
		}
		r.recoveryNotedUntil, r.connScarceUntil = s.now+recoveryNoteGap, 0 // the connects failed because of its outage
		if r.health == closed {
			s.setHealth(r, warming)
		}
		if r.route.recovery.phase == suspect { // all senders that hear it have waited long enough to call at once, so their tokens are redrawn
			s.recoveryAnswered(r, false)
			s.drawTokens(r.route)
		}
	case ObservedLimit:
		if r.route.share == 0 && v.PerSec > 0 {
			r.route.announcedLimit = v.PerSec
			r.route.setShare(v.PerSec / float64(s.topology.Senders))
		}
	case ObservedConnShortage:
		r.connScarceUntil = max(r.connScarceUntil, seenAt+connScarceFor)
	}
}

// shareObservation shares what this sender observed itself with the peers.
func (s *Sender) shareObservation(r *receiver, v Observation) {
	v.Receiver, v.Dst = r.id, r.dst.id
	s.host.Share(v)
}

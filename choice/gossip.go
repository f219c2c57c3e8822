package choice

import (
	"strconv"
	"strings"
)

// What senders tell one another of receivers. No rule leans on it.

const (
	scarceFor   = 60 * second // µs after a failed connect for which no connection is kept idle there
	hearsayMost = 60 * second // µs; longest wait taken from a fellow, who may be mistaken
)

// tell notes something of a receiver to the fellows, once in a span. No rule leans on a note: who hears of a
// return sends no more than its share of slow start.
func (s *Sender) tell(r *receiver, mark string, till *int64, span int64) {
	if s.now >= *till && s.allowed.Notes {
		s.host.Note(mark + strconv.FormatUint(uint64(r.id), 10))
	}
	*till = s.now + span
}

// Noted takes a fellow's note: connections are scarce there, or it is back. Dangers: idle connections, ours
// or others', may take all that a receiver has; alone in a large fleet a return is found after minutes.
func (s *Sender) Noted(text string) {
	number, back := strings.CutPrefix(text, backMark)
	number, press := strings.CutPrefix(number, pressMark)
	number, rate, _ := strings.Cut(number, rateMark)
	id, err := strconv.ParseUint(number, 10, 32)
	r := s.recvs[uint32(id)]
	switch {
	case err != nil || r == nil:
	case press:
		s.heardRate(rate)
		r.route.pressed(s.now, s.target(), s.chance())
		s.wake(r.dst)
	case !back:
		r.used().scarceTill = s.now + scarceFor
	default:
		s.Told(Sight{Kind: SeenBack, Receiver: r.id})
	}
}

// Told takes a fellow's sight. No rule leans on it; a false one heals, for it is not told on.
func (s *Sender) Told(v Sight) {
	r := s.recvs[v.Receiver]
	if r == nil {
		return
	}
	seenAt := s.now - v.Age
	r.used()
	switch v.Kind {
	case SeenWait:
		r.route.waitUntil = max(r.route.waitUntil, s.now+min(v.Wait, hearsayMost))
	case SeenDown:
		if r.health != closed && r.okAt < seenAt && r.since < seenAt {
			s.shut(r, seenAt)
		}
	case SeenBack:
		if r.since > seenAt {
			return
		}
		r.toldBack, r.scarceTill = s.now+backEvery, 0 // connects that failed were its outage
		if r.health == closed {
			s.become(r, warming)
		}
		if r.route.recovery.phase == suspect { // danger: all that hear it have waited long enough to call at once
			s.recoveryAnswered(r, false)
			s.drawRecovery(r.route)
		}
	case SeenLimit:
		if r.route.share == 0 && v.PerSec > 0 {
			r.route.told = v.PerSec
			r.route.know(v.PerSec / float64(s.team.Senders))
		}
	case SeenScarce:
		r.scarceTill = max(r.scarceTill, seenAt+scarceFor)
	}
}

// saw has the fellows told what this sender saw itself.
func (s *Sender) saw(r *receiver, v Sight) {
	v.Receiver, v.Dst = r.id, r.dst.id
	s.host.Saw(v)
}

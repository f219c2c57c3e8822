package transport

import (
	"maps"
	"time"
)

// How many exchanges a connection carries. HTTP/1.1 ties an answer to its request by its place on the connection alone, so one answer too
// many, such as a copy of an older one, is taken for the next request's. Two exchanges are free of that: the first one on a connection, to
// which no older answer can come, and the last one, whose request asks for the connection to be closed, for then the answer says so and the
// end of the connection follows it.

const (
	exchangesEach = 2           // of a connection: the first and the last
	unknownRow    = 3           // last answers in a row that could not be known, from which a receiver is doubted; single ones are torn on their way
	doubtFor      = time.Minute // for which the connections to a doubted receiver carry one exchange
	suspectsMost  = 4096        // receivers with such a row at a time; beyond that all are doubted
)

// closes tells whether the exchange that follows so many on a connection is its last one.
func closes(before int) bool { return before+1 >= exchangesEach }

// suspect is a receiver whose latest last answer could not be known: it does not close as it is asked to, or says more than it is asked.
type suspect struct {
	row     int       // of such answers
	doubted time.Time // until when, zero for not yet
}

// uses knows them.
type uses struct {
	suspects map[string]suspect // by receiver, at most suspectsMost; emptied by answers that are known, and when full of those not doubted
	all      time.Time          // until when every receiver is doubted
}

func newUses() uses { return uses{suspects: map[string]suspect{}} }

// mayRest tells whether a connection may be kept for another exchange.
func (u *uses) mayRest(receiver string, now time.Time) bool {
	return !now.Before(u.all) && !now.Before(u.suspects[receiver].doubted)
}

// known takes in that a last answer was known.
func (u *uses) known(receiver string) { delete(u.suspects, receiver) }

// unknown takes in that answers came to a last call, and none was known to be its own.
func (u *uses) unknown(receiver string, now time.Time) {
	s, is := u.suspects[receiver]
	if !is && len(u.suspects) >= suspectsMost {
		maps.DeleteFunc(u.suspects, func(_ string, s suspect) bool { return !now.Before(s.doubted) })
	}
	if !is && len(u.suspects) >= suspectsMost {
		u.all = now.Add(doubtFor)
		return
	}
	if s.row++; s.row >= unknownRow {
		s.doubted = now.Add(doubtFor)
	}
	u.suspects[receiver] = s
}

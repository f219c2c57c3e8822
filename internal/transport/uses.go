package transport

import "time"

// How many exchanges a connection carries. HTTP/1.1 ties an answer to its request by its place on the connection alone, so one answer too
// many, such as a copy of an older one, is taken for the next request's. Two exchanges are free of that: the first one on a connection, to
// which no older answer can come, and the last one, whose request asks for the connection to be closed, for then the answer says so and the
// end of the connection follows it.

const (
	exchangesEach = 2           // of a connection: the first and the last
	doubtFor      = time.Minute // after a closing request whose answer could not be known: the receiver's connections carry one exchange
	doubtedMost   = 4096        // receivers doubted at a time; beyond that all are
)

// closes tells whether the exchange that follows so many on a connection is its last one.
func closes(before int) bool { return before+1 >= exchangesEach }

// uses knows the receivers that do not close as they are asked to, or answer more than they are asked.
type uses struct {
	doubted map[string]time.Time // until when; at most doubtedMost, emptied as their time passes
	all     time.Time            // until when every receiver is doubted
}

func newUses() uses { return uses{doubted: map[string]time.Time{}} }

// mayRest tells whether a connection may be kept for another exchange.
func (u *uses) mayRest(receiver string, now time.Time) bool {
	return !now.Before(u.all) && !now.Before(u.doubted[receiver])
}

// doubt has the connections to a receiver carry one exchange each for a while.
func (u *uses) doubt(receiver string, now time.Time) {
	for r, until := range u.doubted {
		if !now.Before(until) {
			delete(u.doubted, r)
		}
	}
	if _, is := u.doubted[receiver]; !is && len(u.doubted) >= doubtedMost {
		u.all = now.Add(doubtFor)
		return
	}
	u.doubted[receiver] = now.Add(doubtFor)
}

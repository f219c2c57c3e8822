package choice

// Which legs a message that may already have run may still get, and until when.

const (
	answerMargin = second / 100 // µs before the deadline at which the client is answered: two of a usual turn
	keyMargin    = second / 20  // µs; a key counts as forgotten this much earlier, to allow for the network delay
	avoidTargets = 2.0          // target times for which a non-retriable message avoids a receiver after a failed leg
)

// mayReject tells whether another hand-in of the message would be harmless.
func (m *msg) mayReject() bool {
	return m.class.RetryMode == Retriable || m.firstMaybeRun() == nil || m.class.RetryMode == Keyed && m.class.DstWideKeys
}

// mayGoTo prevents duplicate effects: a message that may have run goes only where, and while, its key is still known.
func (m *msg) mayGoTo(r *receiver, now int64) bool {
	l := m.firstMaybeRun()
	return l == nil || m.class.RetryMode == Retriable ||
		m.class.RetryMode == Keyed && now <= m.lastChance() && (m.class.DstWideKeys || r.zone == l.call.r.zone)
}

// lastChance is the latest time at which a leg may start.
func (m *msg) lastChance() int64 {
	if l := m.firstMaybeRun(); l != nil && m.class.RetryMode == Keyed {
		return min(m.expires-answerMargin, l.call.sentAt+m.class.KeyWindow-keyMargin)
	}
	return m.expires - answerMargin
}

// avoids keeps non-retriable messages from a receiver whose latest leg failed; retriable ones find out whether it works.
func (s *Sender) avoids(m *msg, r *receiver) bool {
	until := r.lastFailureAt + int64(avoidTargets*float64(m.class.Target))
	if m.class.RetryMode != NonRetriable || r.failureScore == 0 || until <= s.now {
		return false
	}
	s.wakeBy(m.dst, until)
	return true
}

func (s *Sender) eligible(m *msg, r *receiver) bool { return m.mayGoTo(r, s.now) && !s.avoids(m, r) }

func (l *leg) mayHaveRun() bool { return !l.settled || !l.outcome.NeverRan() }

// firstMaybeRun is the first leg that may have run, nil if there is none.
func (m *msg) firstMaybeRun() *leg {
	for i := range m.legs {
		if m.legs[i].mayHaveRun() {
			return &m.legs[i]
		}
	}
	return nil
}

// MayStart tells whether a leg decided a moment ago may still start: its message is not over, its last chance did not pass while the
// connection was set up, and its receiver may be called. Without it a keyed message whose window ended meanwhile would run twice.
func (s *Sender) MayStart(id string, receiver uint32) bool {
	m := s.msgs[id]
	return m != nil && !m.over() && s.now <= m.lastChance() && s.Reachable(receiver)
}

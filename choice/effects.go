package choice

// What a message that may have run may still be sent, and until when.

const (
	answerMargin = second / 100 // µs before the deadline by which we answer: two of a usual turn
	keyMargin    = second / 20  // µs; a key counts as forgotten this early, for the way there
	waryFor      = 2.0          // target times that what cannot be repeated waits after a leg went wrong
)

// mayPushBack: coming again must be harmless.
func (m *msg) mayPushBack() bool {
	return m.lane.Repeat == Retriable || m.risky() == nil || m.lane.Repeat == Keyed && m.lane.AnyInDst
}

// mayGoTo guards effects: a message that may have run goes only where and while a repeat is known as one.
func (m *msg) mayGoTo(r *receiver, now int64) bool {
	l := m.risky()
	return l == nil || m.lane.Repeat == Retriable ||
		m.lane.Repeat == Keyed && now <= m.lastChance() && (m.lane.AnyInDst || r.zone == l.call.r.zone)
}

// lastChance is until when a leg may go out.
func (m *msg) lastChance() int64 {
	if l := m.risky(); l != nil && m.lane.Repeat == Keyed {
		return min(m.expires-answerMargin, l.call.sentAt+m.lane.Window-keyMargin)
	}
	return m.expires - answerMargin
}

// wary keeps what cannot be repeated from where the latest leg went wrong: others find out.
func (s *Sender) wary(m *msg, r *receiver) bool {
	until := r.struckAt + int64(waryFor*float64(m.lane.Target))
	if m.lane.Repeat != NonRetriable || r.strikes == 0 || until <= s.now {
		return false
	}
	s.wakeBy(m.dst, until)
	return true
}

func (s *Sender) fits(m *msg, r *receiver) bool { return m.mayGoTo(r, s.now) && !s.wary(m, r) }

func (l *leg) mayHaveRun() bool { return !l.settled || !l.outcome.NeverRan() }

// risky is the first leg that may have run, nil if none.
func (m *msg) risky() *leg {
	for i := range m.legs {
		if m.legs[i].mayHaveRun() {
			return &m.legs[i]
		}
	}
	return nil
}

// Stands tells whether a leg decided a moment ago may still begin: its message is not over, its last chance has not
// passed while a connection came up, and its receiver may be sent to. Danger: a keyed message whose window ended
// meanwhile runs a second time.
func (s *Sender) Stands(id string, receiver uint32) bool {
	m := s.msgs[id]
	return m != nil && !m.over() && s.now <= m.lastChance() && s.Reachable(receiver)
}

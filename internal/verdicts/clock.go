package verdicts

// clock estimates another sender's clock from echoes alone. A message that carries an echo was sent after the receiver's own echoed
// timestamp, so its send time has a lower bound on the receiver's clock, and that bounds the transit time of later messages.
type clock struct {
	incarnation                uint64
	known                      bool
	offset                     int64 // lower bound of our clock minus theirs
	offsetAt                   int64 // when it was found, by our clock
	lastSentAt, lastReceivedAt int64 // their latest timestamp, and when it arrived
}

// update evaluates the timestamps of a peer message. transit is an upper bound on the time since it was sent, or -1 if unknown.
func (c *clock) update(now int64, own uint64, m Msg) (transit int64) {
	if m.Incarnation != c.incarnation {
		*c = clock{incarnation: m.Incarnation}
	}
	if c.lastReceivedAt == 0 || m.SentAt > c.lastSentAt {
		c.lastSentAt, c.lastReceivedAt = m.SentAt, now
	}
	if m.EchoOf == own && m.Echo > 0 && m.EchoDelay >= 0 && m.Echo+m.EchoDelay <= now+m.EchoDelay/driftDivisor {
		if offset := m.Echo + m.EchoDelay - m.EchoDelay/driftDivisor - m.SentAt; !c.known || offset > c.offsetNow(now) {
			c.known, c.offset, c.offsetAt = true, offset, now
		}
	}
	if !c.known {
		return -1
	}
	return max(0, now-(c.offsetNow(now)+m.SentAt))
}

// offsetNow is the bound at the given time; clocks may have drifted since it was found.
func (c *clock) offsetNow(now int64) int64 { return c.offset - (now-c.offsetAt)/driftDivisor }

// echo sets the echo of the other sender's latest timestamp in a message.
func (c *clock) echo(now int64, m *Msg) {
	if c.lastReceivedAt > 0 {
		m.EchoOf, m.Echo, m.EchoDelay = c.incarnation, c.lastSentAt, now-c.lastReceivedAt
	}
}

package verdicts

// clock is what is known of another sender's clock, by echoes alone. A letter that carries an echo left after its receiver's own stamp
// did, so the moment of its stamp has a lower bound on the receiver's clock; a later letter's travel is bounded by that.
type clock struct {
	incarnation uint64
	known       bool
	ahead       int64 // at least: our clock less theirs
	since       int64 // of our clock, when that was found
	stamp, came int64 // their newest stamp, and when it came
}

// hear takes in the stamps of a letter; travel is how long it may have been on its way, -1 for not known.
func (c *clock) hear(now int64, own uint64, m Msg) (travel int64) {
	if m.Incarnation != c.incarnation {
		*c = clock{incarnation: m.Incarnation}
	}
	if c.came == 0 || m.Stamp > c.stamp {
		c.stamp, c.came = m.Stamp, now
	}
	if m.EchoOf == own && m.Echo > 0 && m.Held >= 0 && m.Echo+m.Held <= now+m.Held/drift {
		if ahead := m.Echo + m.Held - m.Held/drift - m.Stamp; !c.known || ahead > c.at(now) {
			c.known, c.ahead, c.since = true, ahead, now
		}
	}
	if !c.known {
		return -1
	}
	return max(0, now-(c.at(now)+m.Stamp))
}

// at is the bound now: clocks may have drifted since it was found.
func (c *clock) at(now int64) int64 { return c.ahead - (now-c.since)/drift }

// echo puts what the other wants to know into a letter.
func (c *clock) echo(now int64, m *Msg) {
	if c.came > 0 {
		m.EchoOf, m.Echo, m.Held = c.incarnation, c.stamp, now-c.came
	}
}

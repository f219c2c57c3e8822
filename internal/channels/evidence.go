package channels

import (
	"cmp"
	"slices"
)

// Owed names the messages that this sender owed as it started, whether or not their rows are left. It comes before Restore. Where the rows are
// lost, they show how far the sender had got (see proven).
func (t *Table) Owed(all []Restored) {
	t.owed = map[string][]Restored{}
	for _, m := range all {
		t.owed[m.Channel] = append(t.owed[m.Channel], m)
	}
	for _, some := range t.owed {
		slices.SortFunc(some, func(a, b Restored) int { return cmp.Compare(a.Pos, b.Pos) })
	}
}

// proven gives the messages behind the record of a channel that this sender had taken on when its rows were lost, and the first that it owed
// then. False: it is not known which there were. Whole alone proves it: while one message is owed, nothing behind it can have run, so what is
// behind the record and not owed was never taken on, or ended without a leg. An older copy of the spool proves nothing, which shows as it
// lacks messages that the record counts.
func (t *Table) proven(c *channel) (behind []Restored, first int64, ok bool) {
	owed, record := t.owed[c.name], c.best
	if record.Owner != t.self || record.Doubt > record.Last || c.contract.Mode != Whole || len(owed) == 0 {
		return nil, 0, false
	}
	first = owed[0].Pos
	if first > record.Last+1 || first < c.contract.From {
		return nil, 0, false
	}
	for i, m := range owed {
		if m.Pos != first+int64(i) {
			owed = owed[:i]
			break
		}
	}
	counted := record.Last + 1 - first // of those owed
	if counted > int64(len(owed)) {
		return nil, 0, false
	}
	return owed[counted:], first, true
}

// settleProven ends the doubt about what this sender itself took on before it lost its rows. Those messages have ended undelivered.
func (t *Table) settleProven(c *channel) {
	behind, first, ok := t.proven(c)
	if !ok || c.mine.Doubt <= c.mine.Last {
		return
	}
	for _, m := range behind {
		t.advance(c, m.Pos, sumOf(m.ID))
	}
	if !c.contract.PassFailed {
		c.back(first - 1)
	}
	c.mine.Doubt, c.mine.Before = 0, 0
}

package verdicts

// Forget removes all facts on destinations whose data was purged and rejects, from anyone, facts on them that were observed before now. It
// returns the number of removed facts. A destination is remembered until no fact observed before could be active.
func (t *Table) Forget(now int64, dsts ...int64) (n int) {
	if t.purgedAt == nil {
		t.purgedAt = map[int64]int64{}
	}
	for _, d := range dsts {
		t.purgedAt[d] = now
	}
	for d, at := range t.purgedAt {
		if now-at >= maxRetention {
			delete(t.purgedAt, d)
		}
	}
	t.retain(func(r *record) bool {
		if t.purged(r.entry) {
			n++
			return false
		}
		return true
	})
	return n
}

// maxRetention is the longest retention of any slot, in µs.
var maxRetention = max(slot(Down).retention(), slot(RetryAfter).retention(), slot(Limit).retention(), slot(ConnsScarce).retention())

// purged reports whether a fact was observed before its destination's data was purged.
func (t *Table) purged(e entry) bool {
	at, any := t.purgedAt[e.Dst]
	return any && e.latestSeen <= at
}

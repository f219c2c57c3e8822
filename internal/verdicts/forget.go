package verdicts

// Forget drops all that is held of destinations, and takes nothing of them that was seen before now from anyone: their data was
// purged. How many facts went is told. A destination is remembered so until nothing seen before could count any more.
func (t *Table) Forget(now int64, dsts ...int64) (n int) {
	if t.forgot == nil {
		t.forgot = map[int64]int64{}
	}
	for _, d := range dsts {
		t.forgot[d] = now
	}
	for d, at := range t.forgot {
		if now-at >= oldest {
			delete(t.forgot, d)
		}
	}
	t.sweep(func(h *held) bool {
		if t.purged(h.entry) {
			n++
			return false
		}
		return true
	})
	return n
}

// oldest is the greatest age that any fact is kept for, in µs.
var oldest = max(slot(Down).kept(), slot(Wait).kept(), slot(Limit).kept(), slot(Scarce).kept())

// purged tells whether a fact was seen before its destination's data went.
func (t *Table) purged(e entry) bool {
	at, any := t.forgot[e.Dst]
	return any && e.seen <= at
}

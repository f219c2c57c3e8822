package verdicts

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	snapshotFormat   = 1
	maxSnapshotFacts = 4096 // per snapshot
)

type snapshot struct {
	Format   uint8  `cbor:"1,keyasint"`
	Checksum uint64 `cbor:"2,keyasint"` // of Body
	Body     []byte `cbor:"3,keyasint"`
}

// Errors of Restore. Each of them means that nothing was restored.
var (
	ErrCorrupt       = errors.New("verdict snapshot is truncated or corrupt")
	ErrFormat        = errors.New("verdict snapshot has an unknown format")
	ErrClockWentBack = errors.New("wall clock went back since the verdict snapshot was made")
)

// Snapshot encodes all active and all withdrawn facts for the next start of this sender.
func (t *Table) Snapshot(now int64) ([]byte, error) {
	var facts []wireFact
	for _, s := range t.order {
		for _, r := range t.subjects[s] {
			if (r.active(now) || r.Withdrawn && !r.expired(now)) && len(facts) < maxSnapshotFacts {
				facts = append(facts, pack(r.factAt(now)))
			}
		}
	}
	body, err := cbor.Marshal(facts)
	if err != nil {
		return nil, fmt.Errorf("encode verdict snapshot: %w", err)
	}
	return cbor.Marshal(snapshot{Format: snapshotFormat, Checksum: xxhash.Sum64(body), Body: body})
}

var snapshotDecMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxSnapshotFacts, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // constants above
	}
	return mode
}()

// Restore loads a snapshot that was made downFor µs ago by wall-clock time, and returns how many of its facts are still active. Call it
// before any other method; SetView removes facts of unlisted origins again.
func (t *Table) Restore(now int64, b []byte, downFor int64) (int, error) {
	var s snapshot
	if err := snapshotDecMode.Unmarshal(b, &s); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if s.Format != snapshotFormat {
		return 0, fmt.Errorf("%w: %d", ErrFormat, s.Format)
	}
	if xxhash.Sum64(s.Body) != s.Checksum {
		return 0, ErrCorrupt
	}
	if downFor < 0 {
		return 0, ErrClockWentBack
	}
	var facts []wireFact
	if err := snapshotDecMode.Unmarshal(s.Body, &facts); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	n := 0
	for _, w := range facts {
		f := w.fact()
		if !f.valid() || downFor > maxPlausibleAge || f.Origin == t.self && f.Incarnation >= t.incarnation {
			t.counts.Invalid++
			continue
		}
		e := entry{Fact: f, latestSeen: now - f.Age - downFor, earliestSeen: now - f.Age - f.Slack - downFor}
		e.Age, e.Slack = 0, 0
		if r := t.put(now, e); r != nil {
			r.sendsLeft = 0
			if r.active(now) {
				n++
			}
		}
	}
	return n, nil
}

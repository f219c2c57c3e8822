package verdicts

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	snapshotForm  = 1
	snapshotFacts = 4096 // in one snapshot
)

type snapshot struct {
	Form uint8  `cbor:"1,keyasint"`
	Sum  uint64 `cbor:"2,keyasint"` // of Body
	Body []byte `cbor:"3,keyasint"`
}

// Errors of Restore. Nothing is restored in any of them.
var (
	ErrTorn  = errors.New("snapshot of verdicts is torn")
	ErrForm  = errors.New("snapshot of verdicts has an unknown form")
	ErrClock = errors.New("the clock went back while the sender was down")
)

// Snapshot is all that counts now and all that was withdrawn, for the next start of this sender.
func (t *Table) Snapshot(now int64) ([]byte, error) {
	var facts []wire
	for _, s := range t.order {
		for _, h := range t.subjects[s] {
			if (h.counts(now) || h.Withdrawn && !h.over(now)) && len(facts) < snapshotFacts {
				facts = append(facts, pack(h.at(now)))
			}
		}
	}
	body, err := cbor.Marshal(facts)
	if err != nil {
		return nil, fmt.Errorf("snapshot of verdicts: %w", err)
	}
	return cbor.Marshal(snapshot{Form: snapshotForm, Sum: xxhash.Sum64(body), Body: body})
}

var whole = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: snapshotFacts, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // constants above
	}
	return mode
}()

// Restore takes in a snapshot that was made downFor µs ago, as the difference of wall clocks tells, and returns how many facts of it still
// count. To be called before anything else; facts of origins that View does not list go again.
func (t *Table) Restore(now int64, b []byte, downFor int64) (int, error) {
	var s snapshot
	if err := whole.Unmarshal(b, &s); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrTorn, err)
	}
	if s.Form != snapshotForm {
		return 0, fmt.Errorf("%w: %d", ErrForm, s.Form)
	}
	if xxhash.Sum64(s.Body) != s.Sum {
		return 0, ErrTorn
	}
	if downFor < 0 {
		return 0, ErrClock
	}
	var facts []wire
	if err := whole.Unmarshal(s.Body, &facts); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrTorn, err)
	}
	n := 0
	for _, w := range facts {
		f := w.fact()
		if !f.sane() || downFor > absurdAge || f.Origin == t.self && f.Incarnation >= t.incarnation {
			t.counts.Absurd++
			continue
		}
		e := entry{Fact: f, seen: now - f.Age - downFor, surely: now - f.Age - f.Slack - downFor}
		e.Age, e.Slack = 0, 0
		if h := t.put(now, e); h != nil {
			h.copies = 0
			if h.counts(now) {
				n++
			}
		}
	}
	return n, nil
}

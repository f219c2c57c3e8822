package spool

import (
	"errors"
	"fmt"
)

// DamagedError says that the record of a spilled message cannot be read: it is handed out no more, like what stands behind a torn record.
type DamagedError struct {
	Segment int64 // its number
	Offset  int64 // bytes
	Err     error // of the read, or that the record is not whole
}

func (e *DamagedError) Error() string {
	return fmt.Sprintf("spool: the record at byte %d of segment %d cannot be read: %v", e.Offset, e.Segment, e.Err)
}

func (e *DamagedError) Unwrap() error { return e.Err }

// lose gives up a spilled slot that cannot be read. Its segment goes as if it were over, unless the read itself failed or the index
// is broken: then it stays for the next start.
func (s *Spool) lose(seg *segment, e *entry, err error) {
	b := s.backlog
	if errors.Is(err, errRecord) && !s.trusted(seg) {
		err = errIndex
	}
	b.unspill(seg, e)
	if errors.Is(err, errRecord) {
		s.discard(seg, e)
	} else if seg.sealed != nil {
		seg.sealed.pinned = true
	}
	b.noteDamage(&DamagedError{Segment: seg.number, Offset: e.offset, Err: err})
}

func (b *backlog) noteDamage(err error) {
	if len(b.damaged) < mostDamaged {
		b.damaged = append(b.damaged, err)
	} else {
		b.untold++
	}
}

// told gives the damage that was not told yet.
func (b *backlog) told() error {
	all := b.damaged
	if b.untold > 0 {
		all = append(all, fmt.Errorf("spool: and %d more that cannot be read", b.untold))
	}
	b.damaged, b.untold = nil, 0
	return errors.Join(all...)
}

package spool

import (
	"errors"
	"fmt"
)

// DamagedError reports that the record of a spilled message cannot be read. The message is not loaded any more, like those behind a torn
// record.
type DamagedError struct {
	Segment int64 // segment number
	Offset  int64 // bytes
	Err     error // read error, or an invalid record
}

func (e *DamagedError) Error() string {
	return fmt.Sprintf("spool: the record at byte %d of segment %d cannot be read: %v", e.Offset, e.Segment, e.Err)
}

func (e *DamagedError) Unwrap() error { return e.Err }

// dropDamaged gives up a spilled slot that cannot be read. Its segment may be removed as if the message had completed, unless the read
// itself failed or the index is damaged: then the segment stays for the next start.
func (s *Spool) dropDamaged(seg *segment, e *entry, err error) {
	b := s.backlog
	if errors.Is(err, errBadRecord) && !s.recheckIndex(seg) {
		err = errBadIndex
	}
	b.unspill(seg, e)
	if errors.Is(err, errBadRecord) {
		s.subtractLive(seg, e)
	} else if seg.sealed != nil {
		seg.sealed.pinned = true
	}
	b.addDamage(&DamagedError{Segment: seg.number, Offset: e.offset, Err: err})
}

func (b *backlog) addDamage(err error) {
	if len(b.damaged) < maxDamageErrors {
		b.damaged = append(b.damaged, err)
	} else {
		b.damageOmitted++
	}
}

// takeDamage returns the damage that was not reported yet.
func (b *backlog) takeDamage() error {
	all := b.damaged
	if b.damageOmitted > 0 {
		all = append(all, fmt.Errorf("spool: %d further records cannot be read", b.damageOmitted))
	}
	b.damaged, b.damageOmitted = nil, 0
	return errors.Join(all...)
}

package relay

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"

	"go.uber.org/zap"

	"ravenlink/internal/recent"
	"ravenlink/internal/spool"
)

// Recent remembers how messages ended; recent.Memory is one. Find waits for no I/O.
type Recent interface {
	Find(recent.Fingerprint) (recent.Outcome, bool)
	Remember(recent.Fingerprint, recent.Outcome) error
}

// What a message is not taken on for because it ended before.
var (
	errDeliveredBefore = errors.New("relay: this message was delivered")
	errFailedBefore    = errors.New("relay: this message has failed")
)

// RememberEnds has the engine remember how messages ended. It comes before any message.
func (e *Engine) RememberEnds(r Recent, retriable func(lane string) bool) {
	e.recent, e.retriable = r, retriable
	e.spool.Ended(func(p spool.Print) error {
		switch outcome, is := r.Find(recent.Fingerprint(p)); {
		case !is:
			return nil
		case outcome == recent.Delivered:
			return errDeliveredBefore
		}
		return errFailedBefore
	})
}

// remember notes how a message ended, before its id is free. Those of channels are known by their positions.
func (e *Engine) remember(m *spool.Message, end recent.End) {
	if e.recent == nil || m.Channel != "" || m.Bare {
		return
	}
	end.Retriable = e.retriable(m.Lane)
	outcome, is := end.Remembered()
	if !is {
		return
	}
	print := m.Print
	if print == (spool.Print{}) {
		print = fingerprint(m)
	}
	if err := e.recent.Remember(recent.Fingerprint(print), outcome); err != nil {
		e.log.Warn("an end is remembered in this process alone", zap.Error(err))
	}
}

// printAll gives messages from before the start their fingerprints, so that a client that hands one in again is told that it is owed. It comes
// before any client.
func (e *Engine) printAll(owed []*spool.Message) {
	if e.recent == nil {
		return
	}
	for _, m := range owed {
		if m.Channel == "" && !m.Bare {
			m.Print = fingerprint(m)
		}
	}
}

// fingerprint is made of all that a client says of a message but the time that it has left, which a repeat has less of.
func fingerprint(m *spool.Message) (p spool.Print) {
	h := sha256.New()
	part := func(text []byte) {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(text))))
		_, _ = h.Write(text)
	}
	for _, text := range []string{m.ID, m.Lane, m.Key, m.OrderKey} {
		part([]byte(text))
	}
	part(binary.AppendVarint(nil, m.Dst))
	part(m.Body)
	copy(p[:], h.Sum(nil))
	return p
}

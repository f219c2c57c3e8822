package fleet

import (
	"errors"

	"github.com/fxamacker/cbor/v2"

	"ravenlink/internal/links"
	"ravenlink/internal/members"
	"ravenlink/internal/post"
	"ravenlink/internal/ranked"
	"ravenlink/internal/routing"
)

// Part is one decision module with its lock, as the runtime drives it. Times are µs of the runtime's clock.
type Part interface {
	Kind() links.Kind
	// Hear decodes a frame on the link's goroutine and hands the rest to a worker; an error says that it could not be read.
	Hear(from string, f links.Frame) error
	// Tick hands what is due to workers.
	Tick()
	// Seen takes in a changed view, on a worker of its own.
	Seen(now int64, v members.View)
	// Leave is the last that is called, as the sender ends.
	Leave(now int64)
}

// Module is what the fleet tells this sender's decision module. No call waits for a link, and none is made under a lock of a part.
type Module interface {
	Shared(dst int64, perSec float64)
	Told(receiver string, v routing.Sight)
	Floor(perSec float64)
}

// Bounds of what is heard. Each module has closer ones of its own.
const (
	mostElements = 4096
	mostPairs    = 64
	mostNested   = 8
)

var strictly = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: mostElements, MaxMapPairs: mostPairs, MaxNestedLevels: mostNested,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // constants above
	}
	return mode
}()

var errTorn = errors.New("a letter that cannot be read")

func decode[M any](body []byte) (m M, err error) {
	if err := strictly.Unmarshal(body, &m); err != nil {
		return m, errors.Join(errTorn, err)
	}
	return m, nil
}

// send encodes letters and hands them to the links. It is called with no lock held.
func send[M any](r *Runtime, k links.Kind, letters []post.Letter[M]) {
	ranked.Free("sending letters")
	for _, l := range letters {
		body, err := cbor.Marshal(l.Msg)
		if err != nil {
			r.counts.bad.WithLabelValues(k.String()).Inc()
			continue
		}
		r.counts.sent.WithLabelValues(k.String()).Inc()
		r.links.Send(l.To, links.Frame{Kind: k, Slot: l.Slot, Body: body})
	}
}

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

// Component is one decision module with its mutex, as the runtime drives it. Times are µs of the runtime's clock.
type Component interface {
	Kind() links.Kind
	// Receive decodes a frame on the link's goroutine and submits the rest to a worker; an error means that the frame
	// could not be decoded.
	Receive(from string, f links.Frame) error
	// Tick submits due work to the workers.
	Tick()
	// UpdateMembers processes a changed view, on a worker of its own.
	UpdateMembers(now int64, v members.View)
	// Leave is called last, as the sender shuts down.
	Leave(now int64)
}

// Module is this sender's decision module as the fleet calls it. No call waits for a link, and none is made with a
// component's mutex held.
type Module interface {
	SetLease(dst int64, perSec float64)
	ReceiveObservation(receiver string, v routing.Observation)
	SetRetryFloor(perSec float64)
}

// Limits for decoding peer messages. Each module has tighter ones of its own.
const (
	maxElements = 4096
	maxMapPairs = 64
	maxNesting  = 8
)

var strictMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxMapPairs, MaxNestedLevels: maxNesting,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

var errMalformed = errors.New("malformed message")

func decode[M any](body []byte) (m M, err error) {
	if err := strictMode.Unmarshal(body, &m); err != nil {
		return m, errors.Join(errMalformed, err)
	}
	return m, nil
}

// send encodes messages and passes them to the links. The caller must hold no ranked mutex.
func send[M any](r *Runtime, k links.Kind, messages []post.PeerMessage[M]) {
	ranked.AssertNoneHeld("sending peer messages")
	for _, m := range messages {
		body, err := cbor.Marshal(m.Msg)
		if err != nil {
			r.metrics.malformed.WithLabelValues(k.String()).Inc()
			continue
		}
		r.metrics.sent.WithLabelValues(k.String()).Inc()
		r.links.Send(m.To, links.Frame{Kind: k, Slot: m.Slot, Body: body})
	}
}

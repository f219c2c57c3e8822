package links

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
)

// Kind selects the module that a frame is for.
type Kind uint8

// The kinds of frames.
const (
	Members Kind = iota + 1
	Shares
	Verdicts
	Purge
	Channels
)

func (k Kind) String() string {
	if k < Members || k > Channels {
		return "unknown"
	}
	return [...]string{"members", "shares", "verdicts", "purge", "channels"}[k-Members]
}

// Frame is one message between senders. A newer frame of the same kind and slot replaces an older one that is still
// queued.
type Frame struct {
	Kind Kind
	Slot string
	Body []byte
	Age  int64 // µs; of a received frame: upper bound of the time since Send, if clocks drift little. Send ignores it
}

func (f Frame) withinLimits() bool {
	return len(f.Body) <= maxFrameBytes && len(f.Slot) <= maxSlotBytes
}

func (f Frame) size() int { return len(f.Body) + len(f.Slot) + 16 }

// Hello identifies the sending process.
type Hello struct {
	Fleet, Name         string
	Version             uint16
	Incarnation, Folder uint64
}

// post is the body of one request. Its fields are numbered; unknown fields of later versions are ignored.
//
// Stamp is the receiver's own clock as reported in its latest answer, and Held is how long the sender has had that
// answer. The receiver subtracts both from its clock, which bounds the transit time without comparing two clocks.
type post struct {
	Fleet       string      `cbor:"1,keyasint"`
	Name        string      `cbor:"2,keyasint"`
	Version     uint16      `cbor:"3,keyasint"`
	Incarnation uint64      `cbor:"4,keyasint,omitempty"`
	Folder      uint64      `cbor:"5,keyasint,omitempty"`
	Boot        uint64      `cbor:"6,keyasint,omitempty"`
	Stamp       int64       `cbor:"7,keyasint,omitempty"`
	Held        int64       `cbor:"8,keyasint,omitempty"`
	Frames      []wireFrame `cbor:"9,keyasint,omitempty"`
}

type wireFrame struct {
	Kind   Kind   `cbor:"1,keyasint"`
	Slot   string `cbor:"2,keyasint,omitempty"`
	Body   []byte `cbor:"3,keyasint,omitempty"`
	Waited int64  `cbor:"4,keyasint,omitempty"` // µs in the sender's queue
}

// answer is the response to a post. Fleet, Name and Version are set only in response to a greeting or a rejected stamp.
type answer struct {
	Boot    uint64 `cbor:"1,keyasint"`
	Stamp   int64  `cbor:"2,keyasint"`
	Fleet   string `cbor:"3,keyasint,omitempty"`
	Name    string `cbor:"4,keyasint,omitempty"`
	Version uint16 `cbor:"5,keyasint,omitempty"`
}

var decMode = must(cbor.DecOptions{MaxArrayElements: 4 * maxBatchFrames, MaxMapPairs: 64, MaxNestedLevels: 8,
	IndefLength: cbor.IndefLengthForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF, TagsMd: cbor.TagsForbidden}.DecMode())

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options are constant
	}
	return v
}

var errNegativeTime = errors.New("negative time")

func decodePost(body []byte) (p post, err error) {
	if err = decMode.Unmarshal(body, &p); err != nil {
		return post{}, err
	}
	if p.Held < 0 || p.Stamp < 0 {
		return post{}, errNegativeTime
	}
	for _, f := range p.Frames {
		if f.Waited < 0 {
			return post{}, errNegativeTime
		}
	}
	return p, nil
}

// DecodeBody decodes a request body for tests that inspect the wire. Age of a returned frame is its time in the
// sender's queue.
func DecodeBody(body []byte) (from Hello, frames []Frame, err error) {
	p, err := decodePost(body)
	for _, f := range p.Frames {
		frames = append(frames, Frame{f.Kind, f.Slot, f.Body, f.Waited})
	}
	return p.hello(), frames, err
}

func (p post) hello() Hello {
	return Hello{Fleet: p.Fleet, Name: p.Name, Version: p.Version, Incarnation: p.Incarnation, Folder: p.Folder}
}

// transitTime returns an upper bound of the time a post was in transit, in µs; false if its stamp is not of this
// process.
func (p post) transitTime(boot uint64, now int64) (int64, bool) {
	if p.Boot != boot || p.Stamp > now {
		return 0, false
	}
	return max(0, now-p.Stamp-p.Held+p.Held/driftDivisor), true
}

package links

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
)

// Kind says which module a frame is for.
type Kind uint8

// The kinds.
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

// Frame is one thing told. A newer frame of the same kind and slot takes the place of an older one that waits.
type Frame struct {
	Kind Kind
	Slot string
	Body []byte
	Age  int64 // µs; of a frame heard: at most so long ago it was handed to Send, by clocks that drift little. Not read by Send
}

func (f Frame) fits() bool { return len(f.Body) <= frameBytes && len(f.Slot) <= slotBytes }

func (f Frame) size() int { return len(f.Body) + len(f.Slot) + 16 }

// Hello says who sends.
type Hello struct {
	Fleet, Name         string
	Version             uint16
	Incarnation, Folder uint64
}

// post is one body on the wire. Its fields are numbered; those of later versions are ignored.
//
// Stamp is the hearer's own clock as its latest answer told it, Held for how long the sender has had that answer. What has passed
// since, beyond Held, bounds the time on the way without any comparison of two clocks.
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

// answer is a post's. Fleet, name and version come with a greeting and with a refused stamp alone.
type answer struct {
	Boot    uint64 `cbor:"1,keyasint"`
	Stamp   int64  `cbor:"2,keyasint"`
	Fleet   string `cbor:"3,keyasint,omitempty"`
	Name    string `cbor:"4,keyasint,omitempty"`
	Version uint16 `cbor:"5,keyasint,omitempty"`
}

var decoding = must(cbor.DecOptions{MaxArrayElements: 4 * batchFrames, MaxMapPairs: 64, MaxNestedLevels: 8,
	IndefLength: cbor.IndefLengthForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF, TagsMd: cbor.TagsForbidden}.DecMode())

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // constant options
	}
	return v
}

var errNegative = errors.New("a time below 0")

func decodePost(body []byte) (p post, err error) {
	if err = decoding.Unmarshal(body, &p); err != nil {
		return post{}, err
	}
	if p.Held < 0 || p.Stamp < 0 {
		return post{}, errNegative
	}
	for _, f := range p.Frames {
		if f.Waited < 0 {
			return post{}, errNegative
		}
	}
	return p, nil
}

// Peek reads a post's body as tests see it on the wire. A frame's Age is its time in the queue.
func Peek(body []byte) (from Hello, frames []Frame, err error) {
	p, err := decodePost(body)
	for _, f := range p.Frames {
		frames = append(frames, Frame{f.Kind, f.Slot, f.Body, f.Waited})
	}
	return p.hello(), frames, err
}

func (p post) hello() Hello {
	return Hello{Fleet: p.Fleet, Name: p.Name, Version: p.Version, Incarnation: p.Incarnation, Folder: p.Folder}
}

// onWay bounds the time a post was on its way, in µs; false if it names no stamp of this process.
func (p post) onWay(boot uint64, now int64) (int64, bool) {
	if p.Boot != boot || p.Stamp > now {
		return 0, false
	}
	return max(0, now-p.Stamp-p.Held+p.Held/drift), true
}

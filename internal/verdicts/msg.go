package verdicts

import (
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Flags of a peer message.
const (
	flagEcho   uint8 = 1 << iota // a reply is wanted, for its echo
	flagResend                   // the facts of the message answered could not be dated: send them again
	flagInSync                   // the digest answered is equal here
	flagLast                     // the last message in response to the digest
)

// Msg is a peer message. Timestamps are by the sender's own clock, and only their differences mean anything to others: from an echo of its
// own timestamp a sender derives an upper bound on the transit time of a message.
type Msg struct {
	Incarnation uint64     `cbor:"1,keyasint"`
	SentAt      int64      `cbor:"2,keyasint"`
	EchoOf      uint64     `cbor:"3,keyasint,omitempty"` // the receiver's incarnation that Echo belongs to
	Echo        int64      `cbor:"4,keyasint,omitempty"` // the latest timestamp received from the receiver
	EchoDelay   int64      `cbor:"5,keyasint,omitempty"` // µs since it arrived
	Flags       uint8      `cbor:"6,keyasint,omitempty"`
	Facts       []wireFact `cbor:"7,keyasint,omitempty"`
	Digest      []uint32   `cbor:"8,keyasint,omitempty"` // one element: over all facts; otherwise one per bucket
	WantBuckets uint32     `cbor:"9,keyasint,omitempty"` // bit set of the buckets whose facts are wanted
}

// wireFact is the encoded form of a fact. Ages are in ms, rounded so that the time of the observation stays within its bounds.
type wireFact struct {
	_           struct{} `cbor:",toarray"`
	Dst         int64
	Receiver    string
	Kind        uint8
	Origin      string
	Incarnation uint64
	Version     uint64
	Age         uint32
	Slack       uint32
	Duration    int64
	Value       int64 // thousandths
	Withdrawn   bool
}

func pack(f Fact) wireFact {
	ageMs := f.Age / 1000
	slack := (f.Age - ageMs*1000 + f.Slack + 999) / 1000
	return wireFact{Dst: f.Dst, Receiver: f.Receiver, Kind: uint8(f.Kind), Origin: f.Origin, Incarnation: f.Incarnation, Version: f.Version,
		Age: uint32(ageMs), Slack: uint32(min(slack, maxPlausibleAge/1000)), Duration: f.Duration, Value: int64(math.Round(f.Value * 1000)),
		Withdrawn: f.Withdrawn}
}

func (w wireFact) fact() Fact {
	return Fact{Subject: Subject{w.Dst, w.Receiver}, Kind: Kind(w.Kind), Origin: w.Origin, Incarnation: w.Incarnation, Version: w.Version,
		Age: int64(w.Age) * 1000, Slack: int64(w.Slack) * 1000, Duration: w.Duration, Value: float64(w.Value) / 1000, Withdrawn: w.Withdrawn}
}

// size returns the approximate encoded size in bytes.
func (w wireFact) size() int {
	return 4 + textSize(w.Receiver) + textSize(w.Origin) + intSize(w.Dst) + intSize(int64(w.Incarnation)) + intSize(int64(w.Version)) +
		intSize(int64(w.Age)) + intSize(int64(w.Slack)) + intSize(w.Duration) + intSize(w.Value)
}

// size returns the approximate encoded size in bytes.
func (m Msg) size() int {
	n := 3 + intSize(int64(m.Incarnation)) + intSize(m.SentAt)
	for _, v := range [...]int64{int64(m.EchoOf), m.Echo, m.EchoDelay, int64(m.Flags), int64(m.WantBuckets)} {
		if v != 0 {
			n += 1 + intSize(v)
		}
	}
	for _, w := range m.Facts {
		n += w.size()
	}
	for _, d := range m.Digest {
		n += intSize(int64(d))
	}
	return n + 1 + intSize(int64(len(m.Facts))) + boolToInt(len(m.Digest) > 0)*(1+intSize(int64(len(m.Digest))))
}

func textSize(s string) int { return intSize(int64(len(s))) + len(s) }

// intSize returns the CBOR-encoded size of an integer.
func intSize(n int64) int {
	switch {
	case n < 24:
		return 1
	case n < 1<<8:
		return 2
	case n < 1<<16:
		return 3
	case n < 1<<32:
		return 5
	}
	return 9
}

const (
	maxPreciseSlack = 1_000_000 // µs; entries with this slack or more get another fingerprint
	headerSize      = 40        // approximate bytes of a message without facts and digests, for filling messages
)

// Decode decodes a peer message. Other forms, and more elements than any sender encodes, are errors.
func Decode(b []byte) (Msg, error) {
	var m Msg
	err := messageDecMode.Unmarshal(b, &m)
	return m, err
}

var messageDecMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1024, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // constants above
	}
	return mode
}()

// bucket returns the digest bucket of a subject.
func (s Subject) bucket() int {
	return int(s.hash() % buckets)
}

func (s Subject) hash() uint64 {
	return mix(uint64(s.Dst)) ^ xxhash.Sum64String(s.Receiver)
}

// fingerprint hashes an entry's version for a digest. An entry with large slack hashes differently, so that a peer with tighter bounds on
// its age sends them.
func (e entry) fingerprint() uint32 {
	h := mix(e.hash()+uint64(e.Kind.slot())) ^ xxhash.Sum64String(e.Origin)
	h = mix(mix(h^e.Incarnation)^e.Version) ^ uint64(boolToInt(e.latestSeen-e.earliestSeen >= maxPreciseSlack))
	return uint32(h ^ h>>32)
}

func mix(x uint64) uint64 { // the finisher of splitmix64
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

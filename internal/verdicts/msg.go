package verdicts

import (
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Flags of a letter.
const (
	flagEcho  uint8 = 1 << iota // an answer is wanted, for the sake of its echo
	flagAgain                   // the facts of the letter answered could not be dated: send them again
	flagSame                    // the digest answered is the same here
	flagLast                    // the last letter of those that the digest answered brought about
)

// Msg is what a letter carries. Stamps are of their sender's own clock and mean nothing to others but differences: by an echo of its own
// stamp a sender knows how long a letter travelled at most.
type Msg struct {
	Incarnation uint64   `cbor:"1,keyasint"`
	Stamp       int64    `cbor:"2,keyasint"`
	EchoOf      uint64   `cbor:"3,keyasint,omitempty"` // the receiver's incarnation that Echo is of
	Echo        int64    `cbor:"4,keyasint,omitempty"` // the newest stamp had of the receiver
	Held        int64    `cbor:"5,keyasint,omitempty"` // µs since it came
	Flags       uint8    `cbor:"6,keyasint,omitempty"`
	Facts       []wire   `cbor:"7,keyasint,omitempty"`
	Digest      []uint32 `cbor:"8,keyasint,omitempty"` // one: of all; or one a bucket
	Want        uint32   `cbor:"9,keyasint,omitempty"` // bit a bucket whose facts are wanted
}

// wire is a fact in a letter. Ages are in ms, rounded so that the moment seen stays between its bounds.
type wire struct {
	_           struct{} `cbor:",toarray"`
	Dst         int64
	Receiver    string
	Kind        uint8
	Origin      string
	Incarnation uint64
	Version     uint64
	Age         uint32
	Slack       uint32
	For         int64
	Level       int64 // thousandths
	Withdrawn   bool
}

func pack(f Fact) wire {
	down := f.Age / 1000
	slack := (f.Age - down*1000 + f.Slack + 999) / 1000
	return wire{Dst: f.Dst, Receiver: f.Receiver, Kind: uint8(f.Kind), Origin: f.Origin, Incarnation: f.Incarnation, Version: f.Version,
		Age: uint32(down), Slack: uint32(min(slack, absurdAge/1000)), For: f.For, Level: int64(math.Round(f.Level * 1000)),
		Withdrawn: f.Withdrawn}
}

func (w wire) fact() Fact {
	return Fact{Subject: Subject{w.Dst, w.Receiver}, Kind: Kind(w.Kind), Origin: w.Origin, Incarnation: w.Incarnation, Version: w.Version,
		Age: int64(w.Age) * 1000, Slack: int64(w.Slack) * 1000, For: w.For, Level: float64(w.Level) / 1000, Withdrawn: w.Withdrawn}
}

// size of it in a letter, in bytes.
func (w wire) size() int {
	return 4 + text(w.Receiver) + text(w.Origin) + numeral(w.Dst) + numeral(int64(w.Incarnation)) + numeral(int64(w.Version)) +
		numeral(int64(w.Age)) + numeral(int64(w.Slack)) + numeral(w.For) + numeral(w.Level)
}

// size in bytes.
func (m Msg) size() int {
	n := 3 + numeral(int64(m.Incarnation)) + numeral(m.Stamp)
	for _, v := range [...]int64{int64(m.EchoOf), m.Echo, m.Held, int64(m.Flags), int64(m.Want)} {
		if v != 0 {
			n += 1 + numeral(v)
		}
	}
	for _, w := range m.Facts {
		n += w.size()
	}
	for _, d := range m.Digest {
		n += numeral(int64(d))
	}
	return n + 1 + numeral(int64(len(m.Facts))) + bit(len(m.Digest) > 0)*(1+numeral(int64(len(m.Digest))))
}

func text(s string) int { return numeral(int64(len(s))) + len(s) }

// numeral is how many bytes cbor needs for a whole number.
func numeral(n int64) int {
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
	vague = 1_000_000 // µs of slack
	head  = 40        // bytes of a letter without facts and digests, about; for filling letters
)

// Decode reads a letter; anything not in the form of a Msg, or with more in it than any sender puts there, is an error.
func Decode(b []byte) (Msg, error) {
	var m Msg
	err := strict.Unmarshal(b, &m)
	return m, err
}

var strict = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1024, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // constants above
	}
	return mode
}()

// place of a subject among the buckets.
func (s Subject) bucket() int {
	return int(s.sum() % buckets)
}

func (s Subject) sum() uint64 {
	return mix(uint64(s.Dst)) ^ xxhash.Sum64String(s.Receiver)
}

// mark of an entry's version in a digest. One that came by a slow letter is marked apart: who has a better date of it shall tell.
func (e entry) mark() uint32 {
	h := mix(e.sum()+uint64(e.Kind.slot())) ^ xxhash.Sum64String(e.Origin)
	h = mix(mix(h^e.Incarnation)^e.Version) ^ uint64(bit(e.seen-e.surely >= vague))
	return uint32(h ^ h>>32)
}

func mix(x uint64) uint64 { // the finisher of splitmix64
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

package shares

import "math"

// Kind of a message.
type Kind uint8

// The kinds. Ask and Grant go between a sender and the owner of a destination, Stand and Promise between an owner and the electors.
const (
	Ask Kind = iota + 1
	Grant
	Redirect
	Stand
	Promise
)

// How a limit was learned. A greater one counts for more.
type How uint8

// The ways.
const (
	Listed   How = iota + 1 // the list of receivers names it
	Declared                // the operator's file
	Told                    // the destination itself
)

// Msg is what one sender tells another of one destination: under 150 bytes in CBOR with names of 32 bytes. Rates are in thousandths of a
// call a second. Stamp is of the asker's clock and comes back as it was: nobody else reads it. Life
// marks one life of the asker.
type Msg struct {
	Kind    Kind   `cbor:"1,keyasint"`
	Dst     string `cbor:"2,keyasint"`
	Life    uint64 `cbor:"3,keyasint,omitempty"`
	Stamp   int64  `cbor:"4,keyasint,omitempty"`
	Term    uint64 `cbor:"5,keyasint,omitempty"`  // of the owner: grows with each owner
	Seat    uint64 `cbor:"6,keyasint,omitempty"`  // of the asker with this owner: a new one when its lease had lapsed
	Serial  uint64 `cbor:"7,keyasint,omitempty"`  // of the grant; in an ask: the last one taken in
	Need    uint64 `cbor:"8,keyasint,omitempty"`  // ask: wanted rate
	Waiting uint64 `cbor:"9,keyasint,omitempty"`  // ask: messages held that could go now
	Rate    uint64 `cbor:"10,keyasint,omitempty"` // grant: the standing rate
	Count   uint64 `cbor:"11,keyasint,omitempty"` // single calls on this seat: given (grant), spent or given back (ask), from its start
	Owner   string `cbor:"12,keyasint,omitempty"` // redirect: whom to ask
	Limit   uint64 `cbor:"13,keyasint,omitempty"`
	How     How    `cbor:"14,keyasint,omitempty"`
	Age     int64  `cbor:"15,keyasint,omitempty"` // of the limit, µs
	Doubt   bool   `cbor:"17,keyasint,omitempty"` // ask: the asker goes on with a share of its own until it is answered
	Refused bool   `cbor:"18,keyasint,omitempty"` // ask: a call was refused since the last ask that was answered
	List    uint32 `cbor:"16,keyasint,omitempty"` // digest of the listed names: lists that differ vote apart
}

// sound tells whether a message can be taken in at all.
func (m Msg) sound() bool {
	return m.Kind >= Ask && m.Kind <= Promise && m.Dst != "" && len(m.Dst) <= nameMost && len(m.Owner) <= nameMost &&
		m.Limit <= milli(limitMost) && m.Rate <= milli(limitMost) && m.How <= Told && m.Age >= 0
}

func milli(x float64) uint64 {
	if !(x > 0) {
		return 0
	}
	return uint64(math.Min(x, limitMost) * 1000)
}

func unit(m uint64) float64 { return math.Min(float64(m)/1000, limitMost) }

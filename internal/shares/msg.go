package shares

import "math"

// Kind is the kind of a peer message.
type Kind uint8

// The kinds. Request, Grant and Redirect are exchanged by a sender and an owner or voter, VoteRequest and VoteGrant by a candidate or owner
// and the voters.
const (
	Request Kind = iota + 1
	Grant
	Redirect
	VoteRequest
	VoteGrant
)

// LimitSource is where a limit was learned. A greater value takes precedence.
type LimitSource uint8

// The sources.
const (
	Listed   LimitSource = iota + 1 // the list of receivers
	Declared                        // the operator's file
	Reported                        // the destination itself
)

// Msg is a peer message about one destination: under 150 bytes in CBOR with names of 32 bytes. Rates are in thousandths of a call per
// second. SentAt is by the requester's clock and is returned unchanged; no other member interprets it. RunID identifies one run of the
// requester's process.
type Msg struct {
	Kind        Kind        `cbor:"1,keyasint"`
	Dst         string      `cbor:"2,keyasint"`
	RunID       uint64      `cbor:"3,keyasint,omitempty"`
	SentAt      int64       `cbor:"4,keyasint,omitempty"`
	Term        uint64      `cbor:"5,keyasint,omitempty"`  // of the owner; increases with each owner
	Session     uint64      `cbor:"6,keyasint,omitempty"`  // of the requester with this owner; a new one after its lease has lapsed
	Serial      uint64      `cbor:"7,keyasint,omitempty"`  // of the grant; in a request: the last one applied
	Demand      uint64      `cbor:"8,keyasint,omitempty"`  // request: wanted rate
	Waiting     uint64      `cbor:"9,keyasint,omitempty"`  // request: queued messages that could be sent now
	Rate        uint64      `cbor:"10,keyasint,omitempty"` // grant: the standing rate
	Calls       uint64      `cbor:"11,keyasint,omitempty"` // single calls since the start of the session: granted (grant), made or returned (request)
	Owner       string      `cbor:"12,keyasint,omitempty"` // redirect: where to send requests
	Limit       uint64      `cbor:"13,keyasint,omitempty"`
	LimitSource LimitSource `cbor:"14,keyasint,omitempty"`
	LimitAge    int64       `cbor:"15,keyasint,omitempty"` // age of the limit in µs
	Fallback    bool        `cbor:"17,keyasint,omitempty"` // request: the requester uses its fallback share until it is answered
	Refused     bool        `cbor:"18,keyasint,omitempty"` // request: a call was refused since the last answered request
	ListDigest  uint32      `cbor:"16,keyasint,omitempty"` // digest of the listed names; members with different lists ignore each other's votes
}

// valid reports whether the fields are within bounds.
func (m Msg) valid() bool {
	return m.Kind >= Request && m.Kind <= VoteGrant && m.Dst != "" && len(m.Dst) <= maxNameLen && len(m.Owner) <= maxNameLen &&
		m.Limit <= toMilli(maxLimit) && m.Rate <= toMilli(maxLimit) && m.LimitSource <= Reported && m.LimitAge >= 0
}

func toMilli(x float64) uint64 {
	if !(x > 0) {
		return 0
	}
	return uint64(math.Min(x, maxLimit) * 1000)
}

func fromMilli(m uint64) float64 { return math.Min(float64(m)/1000, maxLimit) }

package channels

import "ravenlink/internal/post"

// Kind is the type of a peer message.
type Kind uint8

// The kinds of peer messages: requests, which are repeated until answered, and their replies.
const (
	RequestVote     Kind = 1 + iota // candidate to voter: asks for a promise of this fence
	Grant                           // voter: promised; carries its record and contract
	Deny                            // voter or owner: refused; carries the fence, the known owner and the remaining time
	Replicate                       // owner to voter: the record under its fence; renews the lease
	ReplicateAck                    // voter: on disk
	Abandon                         // candidate to voter: gives the promised fence back
	RequestHandover                 // candidate to owner: a client of the channel is connected to the candidate
	Tail                            // fenced owner to voter: its final record, for its successor
	Declare                         // to voter: a contract
	DeclareAck                      // voter: on disk
	DeclareReject                   // voter: rejected for good; carries the cause
	TailAck                         // voter: on disk
)

// Record is the state of a channel that its owner replicates on the voters. The higher fence wins, then the higher seq.
type Record struct {
	Owner          string   `cbor:"1,keyasint"`
	Fence          uint64   `cbor:"2,keyasint"`
	Seq            uint64   `cbor:"3,keyasint"`
	Last           int64    `cbor:"4,keyasint"`            // highest position accepted without a gap
	Ceiling        int64    `cbor:"5,keyasint"`            // no position above it was ever accepted
	Clean          bool     `cbor:"6,keyasint,omitempty"`  // the owner has released the channel and none of its legs can still run
	Closed         uint64   `cbor:"7,keyasint,omitempty"`  // the contract version whose gap rule closed the channel
	Uncertain      int64    `cbor:"9,keyasint,omitempty"`  // an earlier owner may have accepted positions above Last up to this one
	UncertainFence uint64   `cbor:"10,keyasint,omitempty"` // the fence of that earlier owner
	OwnedSince     uint64   `cbor:"11,keyasint,omitempty"` // the first fence of the current, uninterrupted ownership
	IDHashes       []uint64 `cbor:"8,keyasint,omitempty"`  // hashes of the ids at the positions up to Last, oldest first; 0 for a skipped position
}

func (r Record) newer(o Record) bool { return r.Fence > o.Fence || r.Fence == o.Fence && r.Seq > o.Seq }

// Msg is one message between senders.
type Msg struct {
	Kind        Kind      `cbor:"1,keyasint"`
	Channel     string    `cbor:"2,keyasint"`
	Fence       uint64    `cbor:"3,keyasint,omitempty"`
	Incarnation uint64    `cbor:"4,keyasint,omitempty"` // of the requester, echoed in the reply
	SentAt      int64     `cbor:"5,keyasint,omitempty"` // by the requester's clock, echoed in the reply; never compared with another clock
	Owner       string    `cbor:"6,keyasint,omitempty"`
	Remaining   int64     `cbor:"7,keyasint,omitempty"` // µs
	Rec         *Record   `cbor:"8,keyasint,omitempty"`
	Contract    *Contract `cbor:"9,keyasint,omitempty"`
	Next        *Contract `cbor:"10,keyasint,omitempty"`
	Cause       string    `cbor:"11,keyasint,omitempty"`
	Tails       []Record  `cbor:"14,keyasint,omitempty"` // final records of fenced owners, while a successor may still be uncertain about them
	Seq         uint64    `cbor:"13,keyasint,omitempty"` // of the record that a ReplicateAck acknowledges
	NoRecord    bool      `cbor:"12,keyasint,omitempty"` // the voter has no record of the channel
}

// valid reports whether a peer could have sent m. An invalid message changes nothing.
func (m Msg) valid() bool {
	if len(m.Tails) > maxTails || m.Remaining < 0 || len(m.Cause) > maxCause {
		return false
	}
	for _, r := range m.Tails {
		if !r.valid() {
			return false
		}
	}
	for _, k := range []*Contract{m.Contract, m.Next} {
		if k != nil && (k.Validate() != nil || k.Channel != m.Channel || len(k.Voters) > maxVoters) {
			return false
		}
	}
	return m.Rec == nil || m.Rec.valid()
}

func (r Record) valid() bool {
	far := 4 * maxPos // above any ceiling
	return len(r.IDHashes) <= MaxWindow && len(r.Owner) <= maxName && r.Last >= 0 && r.Last <= far && r.Ceiling >= 0 && r.Ceiling <= far &&
		r.Uncertain >= 0 && r.Uncertain <= far
}

// Row is a durable key and value; a nil Value deletes the key.
type Row struct {
	Key   string
	Value []byte
}

// Abort is a message to be ended now: rejected if it never ran.
type Abort struct {
	ID         string
	Pos        int64
	RetryAfter int64 // µs
}

// Effects are the actions that a call requests. Rows are written first, in one durable step; only then are peer messages sent,
// messages released to the engine or aborted, and the client answered. If the rows cannot be written, nothing else of the call
// may be done, and Disable is called.
type Effects struct {
	Rows         []Row
	PeerMessages []post.PeerMessage[Msg]
	Release      []string // ids of messages that may be sent now
	Aborts       []Abort
}

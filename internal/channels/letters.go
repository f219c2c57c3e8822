package channels

import "ravenlink/internal/post"

// Kind of a letter.
type Kind uint8

// The letters. Each is a question that is repeated until it is answered, or the answer to one.
const (
	Ask       Kind = 1 + iota // candidate to elector: promise me this fence
	Grant                     // elector: promised; carries what it knows
	Deny                      // elector: no; carries the fence and the owner it knows, and for how long
	Hold                      // owner to elector: the record under my fence; renews the lease
	Held                      // elector: on disk
	Drop                      // candidate to elector: I do without
	Want                      // candidate to owner: a client of the channel is here
	Tail                      // a fenced owner to the one that followed: how far I had got
	Declare                   // a contract, to electors
	Declared                  // elector: on disk
	Refused                   // elector: never; carries the cause
	TailHeard                 // the one that followed: taken in
)

// Record is what an owner has electors write down. Of two, the one with the higher fence counts, then the higher seq.
type Record struct {
	Owner     string   `cbor:"1,keyasint"`
	Fence     uint64   `cbor:"2,keyasint"`
	Seq       uint64   `cbor:"3,keyasint"`
	Last      int64    `cbor:"4,keyasint"`            // taken on, without a gap
	Ceil      int64    `cbor:"5,keyasint"`            // nothing above it was ever taken on
	Clean     bool     `cbor:"6,keyasint,omitempty"`  // its owner has stopped, no leg of it can run
	Closed    uint64   `cbor:"7,keyasint,omitempty"`  // the version whose gap rule closed the channel
	Doubt     int64    `cbor:"9,keyasint,omitempty"`  // up to here an owner before may have taken on more than Last
	Before    uint64   `cbor:"10,keyasint,omitempty"` // the fence that Doubt is about
	Since     uint64   `cbor:"11,keyasint,omitempty"` // the first fence since which nobody else owned the channel
	Retracted bool     `cbor:"12,keyasint,omitempty"` // of a row: positions were taken back after a restart, before it was told again
	Sums      []uint64 `cbor:"8,keyasint,omitempty"`  // of ids at positions up to Last, the newest last; 0 where one was skipped
}

func (r Record) newer(o Record) bool { return r.Fence > o.Fence || r.Fence == o.Fence && r.Seq > o.Seq }

// Msg is one letter.
type Msg struct {
	Kind     Kind      `cbor:"1,keyasint"`
	Channel  string    `cbor:"2,keyasint"`
	Fence    uint64    `cbor:"3,keyasint,omitempty"`
	Life     uint64    `cbor:"4,keyasint,omitempty"` // the asker's incarnation, told back
	At       int64     `cbor:"5,keyasint,omitempty"` // the asker's own clock, told back and compared with nobody else's
	Owner    string    `cbor:"6,keyasint,omitempty"`
	Left     int64     `cbor:"7,keyasint,omitempty"` // µs
	Rec      *Record   `cbor:"8,keyasint,omitempty"`
	Contract *Contract `cbor:"9,keyasint,omitempty"`
	Next     *Contract `cbor:"10,keyasint,omitempty"`
	Cause    string    `cbor:"11,keyasint,omitempty"`
	Tails    []Record  `cbor:"14,keyasint,omitempty"` // of owners that were fenced, while somebody may be in doubt of them
	Seq      uint64    `cbor:"13,keyasint,omitempty"` // of the record that a Held answers
	Blank    bool      `cbor:"12,keyasint,omitempty"` // the elector knows nothing of the channel
}

// sound tells whether a letter can be what one of us sent; another changes nothing.
func (m Msg) sound() bool {
	if len(m.Tails) > mostTails || m.Left < 0 || len(m.Cause) > longestCause {
		return false
	}
	for _, r := range m.Tails {
		if !r.sound() {
			return false
		}
	}
	for _, k := range []*Contract{m.Contract, m.Next} {
		if k != nil && (k.Check() != nil || k.Channel != m.Channel || len(k.Electors) > mostElectors) {
			return false
		}
	}
	return m.Rec == nil || m.Rec.sound()
}

func (r Record) sound() bool {
	far := 4 * mostPos // beyond any ceiling
	return len(r.Sums) <= MostWindow && len(r.Owner) <= longestName && r.Last >= 0 && r.Last <= far && r.Ceil >= 0 && r.Ceil <= far &&
		r.Doubt >= 0 && r.Doubt <= far
}

// Row is one thing that must be durable; a nil Value deletes it.
type Row struct {
	Key   string
	Value []byte
}

// GivenUp is a message that is to end now: pushed back if it never ran.
type GivenUp struct {
	ID     string
	Pos    int64
	Advice int64 // µs
}

// Effects are what a call asks for. Rows come first, in one durable step; only then letters leave, messages go to the
// decisions or end, and the client has its answer. If rows cannot be written, nothing else of the call may be done
// and Break is called.
type Effects struct {
	Rows    []Row
	Letters []post.Letter[Msg]
	Release []string // ids whose turn has come
	GiveUp  []GivenUp
}

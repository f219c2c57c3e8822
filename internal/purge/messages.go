package purge

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
)

// Epoch numbers the fences of a tenant: N increases, and Issuer, one start of a sender, keeps epochs of different senders distinct.
type Epoch struct {
	N      uint64 `json:"n" cbor:"1,keyasint"`
	Issuer string `json:"by" cbor:"2,keyasint"`
}

// Less reports whether e is lower than o.
func (e Epoch) Less(o Epoch) bool {
	return cmp.Or(cmp.Compare(e.N, o.N), cmp.Compare(e.Issuer, o.Issuer)) < 0
}

// Msg is a message between senders; exactly one field is set.
type Msg struct {
	Execution *Execution `cbor:"1,keyasint,omitempty"`
	Report    *Report    `cbor:"2,keyasint,omitempty"`
	Fences    *Fences    `cbor:"3,keyasint,omitempty"`
}

// Execution is an order and its progress, as its coordinator has it. Every sender stores a copy.
type Execution struct {
	Order         Order          `cbor:"1,keyasint"`
	Epoch         Epoch          `cbor:"2,keyasint"`
	Coordinator   string         `cbor:"3,keyasint"`
	Term          uint64         `cbor:"4,keyasint"` // increases by one with each takeover
	Version       uint64         `cbor:"5,keyasint"` // increases with each change within a term
	State         State          `cbor:"6,keyasint"`
	Confirmations []Confirmation `cbor:"7,keyasint,omitempty"`  // sorted by name and folder
	RequestID     uint64         `cbor:"8,keyasint,omitempty"`  // request to the addressed member; 0 in copies
	Cause         string         `cbor:"9,keyasint,omitempty"`  // reason of an end other than completion
	WaitNotices   int            `cbor:"10,keyasint,omitempty"` // number of waiting notices sent to the customer
}

// Confirmation is one sender's statement that a folder holds no more data, or an operator's declaration in its place.
type Confirmation struct {
	Name        string `json:"sender" cbor:"1,keyasint"`
	Folder      Hex    `json:"folder" cbor:"2,keyasint"`
	Incarnation uint64 `json:"incarnation" cbor:"3,keyasint"`
	Fence       int64  `json:"fence" cbor:"4,keyasint"` // cutoff: data accepted up to here is erased
	Counts      Counts `json:"counts" cbor:"5,keyasint"`
	DestroyedBy string `json:"declared_destroyed_by,omitempty" cbor:"6,keyasint,omitempty"`
}

// Hex is a folder id. JSON has it as hexadecimal digits, because many parsers lose the low digits of large numbers.
type Hex uint64

// MarshalText implements encoding.TextMarshaler.
func (h Hex) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%016x", uint64(h)), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hex) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	*h = Hex(n)
	return err
}

// Counts is the amount of data that was erased.
type Counts struct {
	EndedMessages int64 `json:"messages_ended" cbor:"1,keyasint"`
	DeadLetters   int64 `json:"kept_erased" cbor:"2,keyasint"`
	Learned       int64 `json:"learned_erased" cbor:"3,keyasint"`
	Segments      int64 `json:"segments_rewritten" cbor:"4,keyasint"`
	Bytes         int64 `json:"bytes_rewritten" cbor:"5,keyasint"`
}

func (c *Counts) add(o Counts) {
	c.EndedMessages += o.EndedMessages
	c.DeadLetters += o.DeadLetters
	c.Learned += o.Learned
	c.Segments += o.Segments
	c.Bytes += o.Bytes
}

// Report is a sender's answer to an Execution.
type Report struct {
	Key          Key           `cbor:"1,keyasint"`
	Term         uint64        `cbor:"2,keyasint"`
	Version      uint64        `cbor:"3,keyasint"` // version of the order's state that the sender has
	RequestID    uint64        `cbor:"4,keyasint"`
	Folder       uint64        `cbor:"5,keyasint"`
	Incarnation  uint64        `cbor:"6,keyasint"`
	Phase        Phase         `cbor:"7,keyasint"`
	Fence        int64         `cbor:"8,keyasint"`
	Counts       Counts        `cbor:"9,keyasint"`
	Cause        string        `cbor:"10,keyasint,omitempty"` // why the job is not making progress
	HigherFence  Epoch         `cbor:"11,keyasint,omitempty"` // if set: the order's epoch is below this fence and must be raised above it
	KnownFolders []KnownFolder `cbor:"12,keyasint,omitempty"` // sent from phase Verified on
}

// KnownFolder is a folder that a sender knows of.
type KnownFolder struct {
	Name        string `cbor:"1,keyasint"`
	Folder      uint64 `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	DestroyedBy string `cbor:"4,keyasint,omitempty"` // who declared it destroyed
	Returns     uint64 `cbor:"5,keyasint,omitempty"` // how often the folder came back after it was declared destroyed
}

// Fences holds all fences of a sender.
type Fences struct {
	Entries     []FenceEntry `cbor:"1,keyasint,omitempty"`
	Digest      uint64       `cbor:"2,keyasint"`           // digest of the addressed member's fences as received; 0 for none
	ReplyWanted bool         `cbor:"3,keyasint,omitempty"` // the addressed member is to send its fences
}

// FenceEntry is a fence as announced to peers.
type FenceEntry struct {
	Tenant string `cbor:"1,keyasint"`
	Kind   int    `cbor:"2,keyasint"`
	Epoch  Epoch  `cbor:"3,keyasint"`
}

func sortConfirmations(ws []Confirmation) {
	slices.SortFunc(ws, func(a, b Confirmation) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Folder, b.Folder))
	})
}

// clone returns a deep copy.
func (c *Execution) clone() *Execution {
	n := *c
	n.Confirmations = slices.Clone(c.Confirmations)
	return &n
}

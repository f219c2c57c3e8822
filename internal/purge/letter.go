package purge

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
)

// Epoch numbers fences of a tenant: N grows, and By, one life of a sender, keeps all apart.
type Epoch struct {
	N  uint64 `json:"n" cbor:"1,keyasint"`
	By string `json:"by" cbor:"2,keyasint"`
}

// Less orders epochs.
func (e Epoch) Less(o Epoch) bool { return cmp.Or(cmp.Compare(e.N, o.N), cmp.Compare(e.By, o.By)) < 0 }

// Msg is what senders tell one another; one of its fields is set.
type Msg struct {
	Case   *Case   `cbor:"1,keyasint,omitempty"`
	Report *Report `cbor:"2,keyasint,omitempty"`
	Fences *Fences `cbor:"3,keyasint,omitempty"`
}

// Case is an order on its way, as its coordinator has it. A copy of it lies with every sender.
type Case struct {
	Order   Order  `cbor:"1,keyasint"`
	Epoch   Epoch  `cbor:"2,keyasint"`
	Owner   string `cbor:"3,keyasint"` // its coordinator
	Term    uint64 `cbor:"4,keyasint"` // grows by one when another takes over
	Version uint64 `cbor:"5,keyasint"` // grows with each change of a term
	State   State  `cbor:"6,keyasint"`
	Words   []Word `cbor:"7,keyasint,omitempty"`  // sorted by name and folder
	Ask     uint64 `cbor:"8,keyasint,omitempty"`  // asked of the one it is sent to; 0 in copies
	Cause   string `cbor:"9,keyasint,omitempty"`  // of an end other than completion
	Waits   int    `cbor:"10,keyasint,omitempty"` // messages to the customer that said who is missing
}

// Word is what one sender has said of one folder, or an operator in its place.
type Word struct {
	Name        string `json:"sender" cbor:"1,keyasint"`
	Folder      Hex    `json:"folder" cbor:"2,keyasint"`
	Incarnation uint64 `json:"incarnation" cbor:"3,keyasint"`
	Fence       int64  `json:"fence" cbor:"4,keyasint"` // what it took on up to here is gone
	Counts      Counts `json:"counts" cbor:"5,keyasint"`
	Destroyed   string `json:"declared_destroyed_by,omitempty" cbor:"6,keyasint,omitempty"`
}

// Hex is a folder's number, in JSON as hexadecimal digits: readers of JSON lose the last of so long numbers.
type Hex uint64

// MarshalText is for JSON.
func (h Hex) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%016x", uint64(h)), nil }

// UnmarshalText reads what MarshalText wrote.
func (h *Hex) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	*h = Hex(n)
	return err
}

// Counts is what was erased.
type Counts struct {
	Ended    int64 `json:"messages_ended" cbor:"1,keyasint"`
	Kept     int64 `json:"kept_erased" cbor:"2,keyasint"`
	Learned  int64 `json:"learned_erased" cbor:"3,keyasint"`
	Segments int64 `json:"segments_rewritten" cbor:"4,keyasint"`
	Bytes    int64 `json:"bytes_rewritten" cbor:"5,keyasint"`
}

func (c *Counts) add(o Counts) {
	c.Ended += o.Ended
	c.Kept += o.Kept
	c.Learned += o.Learned
	c.Segments += o.Segments
	c.Bytes += o.Bytes
}

// Report answers a case.
type Report struct {
	Key         Key    `cbor:"1,keyasint"`
	Term        uint64 `cbor:"2,keyasint"`
	Version     uint64 `cbor:"3,keyasint"` // of the case that it has
	Ask         uint64 `cbor:"4,keyasint"`
	Folder      uint64 `cbor:"5,keyasint"`
	Incarnation uint64 `cbor:"6,keyasint"`
	Phase       Phase  `cbor:"7,keyasint"`
	Fence       int64  `cbor:"8,keyasint"`
	Counts      Counts `cbor:"9,keyasint"`
	Cause       string `cbor:"10,keyasint,omitempty"` // why it does not get on
	Low         Epoch  `cbor:"11,keyasint,omitempty"` // set: the case's epoch is below this fence, and must be raised over it
	Seen        []Seen `cbor:"12,keyasint,omitempty"` // with a phase that counts
}

// Seen is a folder that a sender knows of.
type Seen struct {
	Name        string `cbor:"1,keyasint"`
	Folder      uint64 `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Destroyed   string `cbor:"4,keyasint,omitempty"` // by whose word
	Returns     uint64 `cbor:"5,keyasint,omitempty"` // how often it came back though it was declared so
}

// Fences is all that a sender has fenced.
type Fences struct {
	All    []Mark `cbor:"1,keyasint,omitempty"`
	Digest uint64 `cbor:"2,keyasint"`           // of what the one it is sent to has said; 0 for nothing
	Open   bool   `cbor:"3,keyasint,omitempty"` // an answer is owed
}

// Mark is a fence as others need to know it.
type Mark struct {
	Tenant string `cbor:"1,keyasint"`
	Kind   int    `cbor:"2,keyasint"`
	Epoch  Epoch  `cbor:"3,keyasint"`
}

func sortWords(ws []Word) {
	slices.SortFunc(ws, func(a, b Word) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Folder, b.Folder)) })
}

// copied is a case that shares nothing with the one it is of.
func (c *Case) copied() *Case {
	n := *c
	n.Words = slices.Clone(c.Words)
	return &n
}

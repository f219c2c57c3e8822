// Package purge coordinates the erasure of a tenant's data on every sender: the orders, the fence and the erasure at each sender, and
// the notices to the customer. It is a deterministic state machine without I/O, clock or goroutines.
package purge

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Kinds is a set of the kinds of data that senders hold for a tenant.
type Kinds uint8

// Kinds of data. Unused file space that still holds message bodies counts towards both DeadLetters and Pending.
const (
	DeadLetters Kinds = 1 << iota // messages that ended undelivered, and their histories
	Pending                       // messages that are not finished
	Learned                       // learned receiver health, limit shares, channel contracts and positions
	All         = DeadLetters | Pending | Learned
)

const numKinds = 3

// Actions that an order can request.
const (
	ActionPurge  = "purge"
	ActionCancel = "cancel"
)

const (
	maxOrderBytes = 2048 // size limit of an order in bytes; the longest valid order takes a third of it
	maxNameLen    = 64   // length limit of a tenant name, an order id or a class name, as for message ids
)

// Order is a customer's request to purge data or to cancel a purge. Notices about it go to NotifyTarget.
type Order struct {
	Action       string       `json:"order" cbor:"1,keyasint"`
	Tenant       string       `json:"tenant" cbor:"2,keyasint"`
	Scope        string       `json:"scope,omitempty" cbor:"3,keyasint,omitempty"`
	ID           string       `json:"id" cbor:"4,keyasint"`
	NotifyTarget NotifyTarget `json:"tell" cbor:"5,keyasint"`
	Replaces     string       `json:"replaces,omitempty" cbor:"6,keyasint,omitempty"` // id of an order of the same tenant that this one supersedes
}

// NotifyTarget is the destination and the traffic class of notices to a customer.
type NotifyTarget struct {
	Dst   int64  `json:"destination" cbor:"1,keyasint"`
	Class string `json:"lane" cbor:"2,keyasint"`
}

// Key identifies an order.
type Key struct {
	Tenant string `cbor:"1,keyasint"`
	ID     string `cbor:"2,keyasint"` // empty for a fence that was learned from a peer without its order
}

func (k Key) String() string { return k.Tenant + "/" + k.ID }

// Key returns the key of the order.
func (o Order) Key() Key { return Key{o.Tenant, o.ID} }

var kindsByScope = map[string]Kinds{"kept": DeadLetters, "held": Pending, "learned": Learned, "all": All}

// Kinds returns the kinds of data that the order's scope covers.
func (o Order) Kinds() Kinds { return kindsByScope[o.Scope] }

// Parse decodes and validates an order. It rejects unknown, duplicate and missing fields and trailing data.
func Parse(body []byte) (o Order, err error) {
	if len(body) > maxOrderBytes {
		return o, fmt.Errorf("order: %d bytes, more than %d", len(body), maxOrderBytes)
	}
	if err := checkDuplicateFields(body); err != nil {
		return o, err
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&o); err != nil {
		return o, fmt.Errorf("order: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return o, errors.New("order: there is something after the object")
	}
	return o, o.validate()
}

// checkDuplicateFields rejects an object that names a field twice: encoding/json would use the last value, other parsers the first.
func checkDuplicateFields(body []byte) error {
	d := json.NewDecoder(bytes.NewReader(body))
	var seen []map[string]bool
	name := false // whether the next token of the innermost object is a field name
	for {
		t, err := d.Token()
		if err != nil {
			return nil // the syntax error is reported by the decoder in Parse
		}
		switch v := t.(type) {
		case json.Delim:
			switch v {
			case '{':
				seen, name = append(seen, map[string]bool{}), true
				continue
			case '[':
				return errors.New("order: no field is a list")
			}
			if len(seen) > 0 {
				seen = seen[:len(seen)-1]
			}
			name = true
			continue
		case string:
			if name && len(seen) > 0 {
				if lower := strings.ToLower(v); seen[len(seen)-1][lower] {
					return fmt.Errorf("order: %q stands there twice", v)
				} else {
					seen[len(seen)-1][lower] = true
				}
				name = false
				continue
			}
		}
		name = true
	}
}

func (o Order) validate() error {
	for _, f := range []struct{ name, text string }{{"tenant", o.Tenant}, {"id", o.ID}} {
		if !isPlain(f.text) || f.text == "" {
			return fmt.Errorf("order: %s is 1 to %d plain characters", f.name, maxNameLen)
		}
	}
	switch o.Action {
	case ActionCancel:
		if o.Scope != "" || o.Replaces != "" {
			return errors.New("order: a cancel takes tenant, id and tell only")
		}
		return nil
	case ActionPurge:
	default:
		return fmt.Errorf("order: %q is neither %s nor %s", o.Action, ActionPurge, ActionCancel)
	}
	switch {
	case o.Kinds() == 0:
		return fmt.Errorf("order: scope %q is none of kept, held, learned, all", o.Scope)
	case !isPlain(o.NotifyTarget.Class) || o.NotifyTarget.Class == "":
		return errors.New("order: tell names no lane")
	case !isPlain(o.Replaces) || o.Replaces == o.ID:
		return errors.New("order: replaces is the id of another order")
	}
	return nil
}

func isPlain(s string) bool {
	return len(s) <= maxNameLen && strings.IndexFunc(s, func(c rune) bool { return c <= ' ' || c > '~' || c == '/' }) < 0
}

// noticeID derives the id of a notice from the order alone, so that the receiver deduplicates it whichever sender hands it in, and
// however often.
func noticeID(k Key, kind string, number int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s/%s/%d", k, kind, number))
	return "purge-" + kind + "-" + hex.EncodeToString(sum[:16])
}

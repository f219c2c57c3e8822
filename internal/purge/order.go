// Package purge decides how a tenant's data leaves every sender: the order, the fence each sender sets, its erasing, and when the
// customer is told that all of it is gone. It has no I/O, no clock and no goroutine.
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

// Kinds is a set of what senders hold of a tenant.
type Kinds uint8

// The kinds. Dead space that holds bodies goes with Kept and with Held.
const (
	Kept    Kinds = 1 << iota // messages that ended undelivered, and their histories
	Held                      // messages not yet over
	Learned                   // verdicts, shares, contracts, positions
	All     = Kept | Held | Learned
)

const kinds = 3

// The acts that an order may ask for.
const (
	ActPurge  = "purge"
	ActCancel = "cancel"
)

const (
	mostOrder = 2048 // bytes of an order; the longest with all fields takes a third of it
	mostName  = 64   // bytes of a tenant's name, an id or a lane, as ids of messages
)

// Order is what a customer asks for. Tell is where it wants to hear of it.
type Order struct {
	Act      string `json:"order" cbor:"1,keyasint"`
	Tenant   string `json:"tenant" cbor:"2,keyasint"`
	Scope    string `json:"scope,omitempty" cbor:"3,keyasint,omitempty"`
	ID       string `json:"id" cbor:"4,keyasint"`
	Tell     Tell   `json:"tell" cbor:"5,keyasint"`
	Replaces string `json:"replaces,omitempty" cbor:"6,keyasint,omitempty"` // id of an order of the same tenant that ends with this one
}

// Tell is a destination and a lane.
type Tell struct {
	Dst  int64  `json:"destination" cbor:"1,keyasint"`
	Lane string `json:"lane" cbor:"2,keyasint"`
}

// Key names an order.
type Key struct {
	Tenant string `cbor:"1,keyasint"`
	ID     string `cbor:"2,keyasint"` // empty for a fence heard without its order
}

func (k Key) String() string { return k.Tenant + "/" + k.ID }

// Key gives the order's.
func (o Order) Key() Key { return Key{o.Tenant, o.ID} }

var scopes = map[string]Kinds{"kept": Kept, "held": Held, "learned": Learned, "all": All}

// Kinds gives what the scope covers.
func (o Order) Kinds() Kinds { return scopes[o.Scope] }

// Parse reads an order. An unknown, doubled or missing field is a fault, and so is anything after the object.
func Parse(body []byte) (o Order, err error) {
	if len(body) > mostOrder {
		return o, fmt.Errorf("order: %d bytes, more than %d", len(body), mostOrder)
	}
	if err := doubled(body); err != nil {
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
	return o, o.check()
}

// doubled refuses a field named twice in one object: encoding/json would take the last, another reader the first.
func doubled(body []byte) error {
	d := json.NewDecoder(bytes.NewReader(body))
	var seen []map[string]bool
	name := false // the next token of the innermost object is a name
	for {
		t, err := d.Token()
		if err != nil {
			return nil // the decoder proper names what is wrong
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

func (o Order) check() error {
	for _, f := range []struct{ name, text string }{{"tenant", o.Tenant}, {"id", o.ID}} {
		if !plain(f.text) || f.text == "" {
			return fmt.Errorf("order: %s is 1 to %d plain characters", f.name, mostName)
		}
	}
	switch o.Act {
	case ActCancel:
		if o.Scope != "" || o.Replaces != "" {
			return errors.New("order: a cancel takes tenant, id and tell only")
		}
		return nil
	case ActPurge:
	default:
		return fmt.Errorf("order: %q is neither %s nor %s", o.Act, ActPurge, ActCancel)
	}
	switch {
	case o.Kinds() == 0:
		return fmt.Errorf("order: scope %q is none of kept, held, learned, all", o.Scope)
	case !plain(o.Tell.Lane) || o.Tell.Lane == "":
		return errors.New("order: tell names no lane")
	case !plain(o.Replaces) || o.Replaces == o.ID:
		return errors.New("order: replaces is the id of another order")
	}
	return nil
}

func plain(s string) bool {
	return len(s) <= mostName && strings.IndexFunc(s, func(c rune) bool { return c <= ' ' || c > '~' || c == '/' }) < 0
}

// noticeID is the id of a message to the customer: drawn from the order alone, so that whoever sends it, and however often, its
// receiver sees one.
func noticeID(k Key, kind string, number int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s/%s/%d", k, kind, number))
	return "purge-" + kind + "-" + hex.EncodeToString(sum[:16])
}

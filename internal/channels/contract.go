package channels

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Mode is the ordering mode of a channel: which of its messages wait for each other.
type Mode string

// The modes.
const (
	None   Mode = "none"    // no order; positions only detect duplicates
	PerKey Mode = "per-key" // ordered by order key
	Whole  Mode = "whole"   // all in order of position
)

// Gap is the rule for messages behind a missing position.
type Gap string

// The gap rules. Each applies once the contract's wait is over.
const (
	Wait  Gap = "wait"  // they are rejected; the missing position may still be handed in
	Skip  Gap = "skip"  // they are sent; the missing positions are refused from then on
	Close Gap = "close" // they are aborted and the channel is closed until a newer version is declared
)

// Limits of a contract. They bound the size of the table and the time that a message waits.
const (
	MaxWindow     = 1024                  // remembered positions, and held messages; 8 bytes each in every renewal
	maxWait       = int64(600_000_000)    // µs; clients' deadlines are shorter
	maxHold       = int64(86_400_000_000) // µs; one day, longer than the deadline of any class
	maxCause      = 1 << 10               // bytes
	maxName       = 64                    // bytes, like ids on the wire
	maxPos        = int64(1) << 53        // positions are exact in any client's numbers, float64 included
	defaultWindow = 64                    // positions
	defaultHold   = 10 * int64(1_000_000) // µs
)

// Contract is a tenant's declaration of a channel. Tenant and destination never change, nor do the voters, which are chosen by the
// first sender that accepts version 1.
type Contract struct {
	Channel    string   `cbor:"1,keyasint"`
	Tenant     string   `cbor:"2,keyasint"`
	Dst        int64    `cbor:"3,keyasint"`
	Mode       Mode     `cbor:"4,keyasint"`
	Gap        Gap      `cbor:"5,keyasint"`
	Wait       int64    `cbor:"6,keyasint"` // µs
	Window     int      `cbor:"7,keyasint"` // maximum number of remembered positions and of held messages
	PassFailed bool     `cbor:"8,keyasint"` // whether messages behind one that ended undelivered may be sent
	MaxHold    int64    `cbor:"9,keyasint"` // µs; maximum time for which a message is held
	Version    uint64   `cbor:"10,keyasint"`
	From       int64    `cbor:"11,keyasint"` // the first position that this version applies to
	Withdrawn  bool     `cbor:"12,keyasint,omitempty"`
	Voters     []string `cbor:"13,keyasint,omitempty"`
	Instance   uint64   `cbor:"14,keyasint,omitempty"` // generated with version 1; differs for a channel declared again after a purge
}

// contractOrder is the JSON form of a contract in an order.
type contractOrder struct {
	Order      string `json:"order"`
	Channel    string `json:"channel"`
	Tenant     string `json:"tenant"`
	Dst        *int64 `json:"dst"`
	Mode       Mode   `json:"mode"`
	Gap        Gap    `json:"gap"`
	Wait       string `json:"wait"`
	Window     *int   `json:"window"`
	PassFailed *bool  `json:"pass_failed"`
	MaxHold    string `json:"most_hold"`
	Version    uint64 `json:"version"`
	From       int64  `json:"from"`
	Withdrawn  bool   `json:"withdrawn"`
}

// IsContract reports whether an order is a contract, well formed or not.
func IsContract(order []byte) bool {
	var d struct {
		Order string `json:"order"`
	}
	return json.Unmarshal(order, &d) == nil && d.Order == "contract"
}

// DecodeContract parses a contract from an order: one JSON object without unknown fields, with durations such as "30s". It returns all
// errors joined.
func DecodeContract(text []byte) (Contract, error) {
	var d contractOrder
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return Contract{}, fmt.Errorf("contract: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Contract{}, errors.New("contract: more follows the object")
	}
	k := Contract{Channel: d.Channel, Tenant: d.Tenant, Mode: d.Mode, Gap: d.Gap, Window: defaultWindow, PassFailed: true, MaxHold: defaultHold,
		Version: d.Version, From: max(d.From, 1), Withdrawn: d.Withdrawn}
	var faults []error
	if d.Order != "" && d.Order != "contract" {
		faults = append(faults, fmt.Errorf("order: %q is no contract", d.Order))
	}
	if d.Dst == nil {
		faults = append(faults, errors.New("dst: missing"))
	} else {
		k.Dst = *d.Dst
	}
	if d.Window != nil {
		k.Window = *d.Window
	}
	if d.PassFailed != nil {
		k.PassFailed = *d.PassFailed
	}
	span := func(name, text string, to *int64) {
		if text == "" {
			return
		}
		v, err := time.ParseDuration(text)
		if err != nil {
			faults = append(faults, fmt.Errorf("%s: %q is no span of time such as 30s", name, text))
		}
		*to = v.Microseconds()
	}
	span("wait", d.Wait, &k.Wait)
	span("most_hold", d.MaxHold, &k.MaxHold)
	return k, errors.Join(append(faults, k.Validate())...)
}

// Validate reports every invalid field of a contract, without regard to earlier declarations.
func (k Contract) Validate() error {
	var faults []error
	fault := func(format string, a ...any) { faults = append(faults, fmt.Errorf(format, a...)) }
	if !ValidName(k.Channel) {
		fault("channel: 1 to %d plain characters without comma and equals sign", maxName)
	}
	if k.Tenant == "" || len(k.Tenant) > maxName {
		fault("tenant: 1 to %d bytes", maxName)
	}
	if !slices.Contains([]Mode{None, PerKey, Whole}, k.Mode) {
		fault("mode: %q is none of none, per-key, whole", k.Mode)
	}
	if !slices.Contains([]Gap{Wait, Skip, Close}, k.Gap) {
		fault("gap: %q is none of wait, skip, close", k.Gap)
	}
	if k.Wait < 0 || k.Wait > maxWait {
		fault("wait: not within 0 and %ds", maxWait/1_000_000)
	}
	if k.Gap == Wait && k.Wait == 0 {
		fault("wait: a gap that waits needs a time")
	}
	if k.Window < 1 || k.Window > MaxWindow {
		fault("window: %d is not within 1 and %d", k.Window, MaxWindow)
	}
	if k.MaxHold <= 0 || k.MaxHold > maxHold {
		fault("most_hold: not within 0 and one day")
	}
	if !k.PassFailed && k.Mode != Whole {
		fault("pass_failed: false needs mode whole, for with %q later positions may be over already", k.Mode)
	}
	if k.Version == 0 {
		fault("version: counts from 1")
	}
	if k.From < 1 || k.From > maxPos {
		fault("from: positions run from 1 to %d", maxPos)
	}
	if k.Version == 1 && k.Withdrawn {
		fault("withdrawn: version 1 declares")
	}
	return errors.Join(faults...)
}

// ValidName reports whether a string is a valid channel name on the wire.
func ValidName(s string) bool {
	return s != "" && len(s) <= maxName && !strings.ContainsFunc(s, func(c rune) bool { return c <= ' ' || c > '~' || c == ',' || c == '=' })
}

// follows returns why k cannot follow known, the newest known version of its channel. The same version with the same content is no
// error: it was declared twice.
func (k Contract) follows(known *Contract) error {
	if known == nil {
		return nil
	}
	switch {
	case k.Version < known.Version:
		return fmt.Errorf("version %d is older than %d, which is known", k.Version, known.Version)
	case k.Version == known.Version && !k.same(*known):
		return fmt.Errorf("version %d was declared with other content", k.Version)
	case k.Tenant != known.Tenant || k.Dst != known.Dst:
		return fmt.Errorf("channel %s is tenant %s's, to destination %d; neither ever changes", k.Channel, known.Tenant, known.Dst)
	case k.Version > known.Version && known.Withdrawn:
		return fmt.Errorf("channel %s was withdrawn by version %d", k.Channel, known.Version)
	}
	return nil
}

func (k Contract) same(o Contract) bool {
	k.Voters, o.Voters, k.Instance, o.Instance = nil, nil, 0, 0
	return fmt.Sprint(k) == fmt.Sprint(o)
}

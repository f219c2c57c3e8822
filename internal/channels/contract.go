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

// Mode says which messages of a channel wait for each other.
type Mode string

// The modes.
const (
	None   Mode = "none"    // none do: positions only keep doubled ones out
	PerKey Mode = "per-key" // those of one order key
	Whole  Mode = "whole"   // all
)

// Gap says what becomes of messages that stand behind a position which is missing.
type Gap string

// The rules for gaps. Each acts once the contract's wait is over.
const (
	Wait  Gap = "wait"  // they are given up, pushed back; the position stays owed
	Skip  Gap = "skip"  // they go; the missing positions are refused from then on
	Close Gap = "close" // they are given up and the channel closes until a newer version is declared
)

// Bounds of a contract, so that no declaration makes a table large or a wait endless.
const (
	MostWindow   = 1024                  // positions remembered, and messages held; 8 bytes each in every letter of renewal
	longestWait  = int64(600_000_000)    // µs; clients' deadlines are shorter
	longestHold  = int64(86_400_000_000) // µs; one day, longer than any lane's deadline
	longestCause = 1 << 10               // bytes
	longestName  = 64                    // bytes, as ids on the wire
	mostPos      = int64(1) << 53        // positions stay exact in any client's numbers
	usualWindow  = 64                    // positions
	usualHold    = 10 * int64(1_000_000) // µs
)

// Contract is what a tenant declared for a channel. Tenant and destination never change, nor do the electors, which are
// named by the first sender that takes version 1 on.
type Contract struct {
	Channel    string   `cbor:"1,keyasint"`
	Tenant     string   `cbor:"2,keyasint"`
	Dst        int64    `cbor:"3,keyasint"`
	Mode       Mode     `cbor:"4,keyasint"`
	Gap        Gap      `cbor:"5,keyasint"`
	Wait       int64    `cbor:"6,keyasint"` // µs
	Window     int      `cbor:"7,keyasint"` // positions remembered, and messages held at once
	PassFailed bool     `cbor:"8,keyasint"` // whether a message that ended undelivered lets the next pass
	MostHold   int64    `cbor:"9,keyasint"` // µs; the longest that a message waits for its turn
	Version    uint64   `cbor:"10,keyasint"`
	From       int64    `cbor:"11,keyasint"` // the first position that it holds for
	Withdrawn  bool     `cbor:"12,keyasint,omitempty"`
	Electors   []string `cbor:"13,keyasint,omitempty"`
	Born       uint64   `cbor:"14,keyasint,omitempty"` // drawn with version 1: a channel declared anew after a purge is another one
}

// declaration is the form of a contract in an order.
type declaration struct {
	Order      string `json:"order"`
	Channel    string `json:"channel"`
	Tenant     string `json:"tenant"`
	Dst        *int64 `json:"dst"`
	Mode       Mode   `json:"mode"`
	Gap        Gap    `json:"gap"`
	Wait       string `json:"wait"`
	Window     *int   `json:"window"`
	PassFailed *bool  `json:"pass_failed"`
	MostHold   string `json:"most_hold"`
	Version    uint64 `json:"version"`
	From       int64  `json:"from"`
	Withdrawn  bool   `json:"withdrawn"`
}

// IsContract tells whether an order is a contract, well formed or not.
func IsContract(order []byte) bool {
	var d struct {
		Order string `json:"order"`
	}
	return json.Unmarshal(order, &d) == nil && d.Order == "contract"
}

// DecodeContract reads a contract as an order tells it: one JSON object, no unknown fields, spans such as "30s". All faults
// come joined.
func DecodeContract(text []byte) (Contract, error) {
	var d declaration
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return Contract{}, fmt.Errorf("contract: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Contract{}, errors.New("contract: more follows the object")
	}
	k := Contract{Channel: d.Channel, Tenant: d.Tenant, Mode: d.Mode, Gap: d.Gap, Window: usualWindow, PassFailed: true, MostHold: usualHold,
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
	span("most_hold", d.MostHold, &k.MostHold)
	return k, errors.Join(append(faults, k.Check())...)
}

// Check names what is absurd in a contract, whatever was declared before.
func (k Contract) Check() error {
	var faults []error
	fault := func(format string, a ...any) { faults = append(faults, fmt.Errorf(format, a...)) }
	if !Name(k.Channel) {
		fault("channel: 1 to %d plain characters without comma and equals sign", longestName)
	}
	if k.Tenant == "" || len(k.Tenant) > longestName {
		fault("tenant: 1 to %d bytes", longestName)
	}
	if !slices.Contains([]Mode{None, PerKey, Whole}, k.Mode) {
		fault("mode: %q is none of none, per-key, whole", k.Mode)
	}
	if !slices.Contains([]Gap{Wait, Skip, Close}, k.Gap) {
		fault("gap: %q is none of wait, skip, close", k.Gap)
	}
	if k.Wait < 0 || k.Wait > longestWait {
		fault("wait: not within 0 and %ds", longestWait/1_000_000)
	}
	if k.Gap == Wait && k.Wait == 0 {
		fault("wait: a gap that waits needs a time")
	}
	if k.Window < 1 || k.Window > MostWindow {
		fault("window: %d is not within 1 and %d", k.Window, MostWindow)
	}
	if k.MostHold <= 0 || k.MostHold > longestHold {
		fault("most_hold: not within 0 and one day")
	}
	if !k.PassFailed && k.Mode != Whole {
		fault("pass_failed: false needs mode whole, for with %q later positions may be over already", k.Mode)
	}
	if k.Version == 0 {
		fault("version: counts from 1")
	}
	if k.From < 1 || k.From > mostPos {
		fault("from: positions run from 1 to %d", mostPos)
	}
	if k.Version == 1 && k.Withdrawn {
		fault("withdrawn: version 1 declares")
	}
	return errors.Join(faults...)
}

// Name tells whether a text may name a channel on the wire.
func Name(s string) bool {
	return s != "" && len(s) <= longestName && !strings.ContainsFunc(s, func(c rune) bool { return c <= ' ' || c > '~' || c == ',' || c == '=' })
}

// follows says why k may not come after what is known of its channel: the newest version seen. Same version and content
// is no fault: it was declared twice.
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
	k.Electors, o.Electors, k.Born, o.Born = nil, nil, 0, 0
	return fmt.Sprint(k) == fmt.Sprint(o)
}

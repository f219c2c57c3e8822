package purge

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
)

// The kinds of messages to a customer.
const (
	accepted = "accepted"
	waiting  = "waiting"
	complete = "complete"
	stopped  = "ended"
)

const (
	mostListed = 48 << 10  // bytes of a body that lists senders; a longer one has their number and the digest
	waitTerms  = 1_000_000 // numbers of messages that say who is missing, a term
)

// Notice is a message to a customer. Key is its id too: its receiver takes it once, whichever sender hands it on.
type Notice struct {
	ID   string `cbor:"1,keyasint"`
	Dst  int64  `cbor:"2,keyasint"`
	Lane string `cbor:"3,keyasint"`
	Body []byte `cbor:"4,keyasint"`
}

// Missing is one whose word an order waits for.
type Missing struct {
	Name   string `json:"sender"`
	Folder Hex    `json:"folder"`
	Why    string `json:"why"`
	Since  int64  `json:"since_us_ago"` // -1: not known
}

// Certificate says what is gone. Digest is the SHA-256 of Words as JSON.
type Certificate struct {
	Epoch       Epoch  `json:"fence"`
	Coordinator string `json:"coordinator"`
	Term        uint64 `json:"term"`
	Senders     int    `json:"senders"`
	Total       Counts `json:"total"`
	Words       []Word `json:"words,omitempty"`
	Digest      string `json:"sha256"`
}

// body is what a customer reads.
type body struct {
	Purge       string       `json:"purge"`
	Tenant      string       `json:"tenant"`
	ID          string       `json:"id"`
	Scope       string       `json:"scope"`
	State       string       `json:"state,omitempty"`
	Cause       string       `json:"cause,omitempty"`
	Done        int          `json:"done,omitempty"`
	Missing     []Missing    `json:"missing,omitempty"`
	More        int          `json:"missing_more,omitempty"`
	RosterFull  bool         `json:"roster_full,omitempty"`
	Certificate *Certificate `json:"certificate,omitempty"`
}

// parcel is a notice until it is handed in.
type parcel struct {
	ParcelMemo
	out     bool
	round   uint64
	retryAt int64
}

// ParcelMemo is one on disk.
type ParcelMemo struct {
	Key    Key    `cbor:"1,keyasint"`
	Kind   string `cbor:"2,keyasint"`
	Notice Notice `cbor:"3,keyasint"`
}

const mostMissing = 100 // named in one message

// tell has a customer told. A message of the same kind that was not handed in yet gives way.
func (p *Machine) tell(l *lead, kind string, number int) {
	o := l.Order
	b := body{Purge: kind, Tenant: o.Tenant, ID: o.ID, Scope: o.Scope}
	switch kind {
	case waiting:
		b.Missing, b.Done, b.RosterFull = p.missing(l), len(l.Words), p.roster.full
		if n := len(b.Missing); n > mostMissing {
			b.Missing, b.More = b.Missing[:mostMissing], n-mostMissing
		}
		number += int(l.Term) * waitTerms
	case complete:
		b.Certificate = certify(&l.Case)
	case stopped:
		b.State, b.Cause = l.State.String(), l.Cause
	}
	p.post(o, kind, noticeID(o.Key(), kind, number), b)
}

// tellOther tells a customer whose order has the id of another one that was followed instead.
func (p *Machine) tellOther(l *lead, c *Case) {
	o := l.Order
	cause := "the same id was handed in at " + c.Owner + " with other content, and that order is followed"
	p.post(o, stopped, noticeID(o.Key(), "refused-"+p.me.Name, 0), body{Purge: stopped, Tenant: o.Tenant, ID: o.ID, Scope: o.Scope,
		State: "refused", Cause: cause})
}

func (p *Machine) post(o Order, kind, id string, b body) {
	text, _ := json.Marshal(b) // of strings and numbers alone: it cannot fail
	maps.DeleteFunc(p.outbox, func(_ string, old *parcel) bool {
		return old.Key == o.Key() && (old.Kind == kind || old.Kind == waiting)
	})
	p.outbox[id] = &parcel{ParcelMemo: ParcelMemo{o.Key(), kind, Notice{ID: id, Dst: o.Tell.Dst, Lane: o.Tell.Lane, Body: text}}}
	p.out.Save = true
	p.ship()
}

// certify makes the certificate of a case that is complete.
func certify(c *Case) *Certificate {
	text, _ := json.Marshal(c.Words)
	sum := sha256.Sum256(text)
	cert := &Certificate{Epoch: c.Epoch, Coordinator: c.Owner, Term: c.Term, Senders: len(c.Words), Digest: hex.EncodeToString(sum[:])}
	for _, w := range c.Words {
		cert.Total.add(w.Counts)
	}
	if len(text) <= mostListed {
		cert.Words = c.Words
	}
	return cert
}

// ship hands in what waits for it.
func (p *Machine) ship() {
	for _, id := range slices.Sorted(maps.Keys(p.outbox)) {
		o := p.outbox[id]
		if o.out || p.now < o.retryAt {
			continue
		}
		p.round++
		o.out, o.round = true, p.round
		p.out.Acts = append(p.out.Acts, Act{Kind: Post, Key: o.Key, Round: o.round, Notice: &o.Notice})
	}
}

// shipped takes in how that went: once the message is taken on, the relay carries it as any other.
func (p *Machine) shipped(d Done) {
	o := p.outbox[d.Notice]
	if o == nil || o.round != d.Round {
		return
	}
	if d.Fault != "" {
		o.out, o.retryAt = false, p.now+retryEvery
		return
	}
	delete(p.outbox, d.Notice)
	p.out.Save = true
}

// again answers an order that is handed in once more: the customer hears how it stands.
func (p *Machine) again(l *lead) {
	switch l.State {
	case Running:
		p.tell(l, accepted, 0)
	case Complete:
		p.tell(l, complete, 0)
	default:
		p.tell(l, stopped, 0)
	}
}

package purge

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
)

// Kinds of notices to a customer.
const (
	noticeAccepted = "accepted"
	noticeWaiting  = "waiting"
	noticeComplete = "complete"
	noticeEnded    = "ended"
)

const (
	maxCertificateBytes = 48 << 10  // bytes of a certificate's list of senders; a longer list is left out, its count and digest stay
	waitNoticesPerTerm  = 1_000_000 // ids of waiting notices reserved per term
)

// Notice is a message to a customer. Its id is also its idempotency key: the receiver takes it once, whichever sender delivers it.
type Notice struct {
	ID    string `cbor:"1,keyasint"`
	Dst   int64  `cbor:"2,keyasint"`
	Class string `cbor:"3,keyasint"`
	Body  []byte `cbor:"4,keyasint"`
}

// Missing is a folder of a sender whose confirmation an order waits for.
type Missing struct {
	Name      string `json:"sender"`
	Folder    Hex    `json:"folder"`
	Reason    string `json:"why"`
	SilentFor int64  `json:"since_us_ago"` // -1 if unknown
}

// Certificate states what was erased. Digest is the SHA-256 of Confirmations as JSON.
type Certificate struct {
	Epoch         Epoch          `json:"fence"`
	Coordinator   string         `json:"coordinator"`
	Term          uint64         `json:"term"`
	Senders       int            `json:"senders"`
	Total         Counts         `json:"total"`
	Confirmations []Confirmation `json:"words,omitempty"`
	Digest        string         `json:"sha256"`
}

// body is the payload of a notice.
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

// outboxEntry is a notice that is not handed in yet.
type outboxEntry struct {
	PendingNotice
	inFlight bool
	round    uint64
	retryAt  int64
}

// PendingNotice is the persistent form of a notice in the outbox.
type PendingNotice struct {
	Key    Key    `cbor:"1,keyasint"`
	Kind   string `cbor:"2,keyasint"`
	Notice Notice `cbor:"3,keyasint"`
}

const maxMissingListed = 100 // entries of one notice

// notify queues a notice to the customer. It replaces a queued one of the same kind, and a queued waiting notice.
func (p *Machine) notify(l *execution, kind string, number int) {
	o := l.Order
	b := body{Purge: kind, Tenant: o.Tenant, ID: o.ID, Scope: o.Scope}
	switch kind {
	case noticeWaiting:
		b.Missing, b.Done, b.RosterFull = p.missingSenders(l), len(l.Confirmations), p.roster.full
		if n := len(b.Missing); n > maxMissingListed {
			b.Missing, b.More = b.Missing[:maxMissingListed], n-maxMissingListed
		}
		number += int(l.Term) * waitNoticesPerTerm
	case noticeComplete:
		b.Certificate = newCertificate(&l.Execution)
	case noticeEnded:
		b.State, b.Cause = l.State.String(), l.Cause
	}
	p.queueNotice(o, kind, noticeID(o.Key(), kind, number), b)
}

// notifyConflict tells a customer that its order was dropped in favor of another one with the same id.
func (p *Machine) notifyConflict(l *execution, c *Execution) {
	o := l.Order
	cause := "the same id was handed in at " + c.Coordinator + " with other content, and that order is followed"
	p.queueNotice(o, noticeEnded, noticeID(o.Key(), "refused-"+p.me.Name, 0), body{Purge: noticeEnded, Tenant: o.Tenant, ID: o.ID, Scope: o.Scope,
		State: "refused", Cause: cause})
}

func (p *Machine) queueNotice(o Order, kind, id string, b body) {
	text, _ := json.Marshal(b) // cannot fail: the body has only strings and numbers
	maps.DeleteFunc(p.outbox, func(_ string, old *outboxEntry) bool {
		return old.Key == o.Key() && (old.Kind == kind || old.Kind == noticeWaiting)
	})
	p.outbox[id] = &outboxEntry{PendingNotice: PendingNotice{o.Key(), kind,
		Notice{ID: id, Dst: o.NotifyTarget.Dst, Class: o.NotifyTarget.Class, Body: text}}}
	p.effects.Save = true
	p.handInNotices()
}

// newCertificate builds the certificate of a completed order.
func newCertificate(c *Execution) *Certificate {
	text, _ := json.Marshal(c.Confirmations)
	sum := sha256.Sum256(text)
	cert := &Certificate{Epoch: c.Epoch, Coordinator: c.Coordinator, Term: c.Term, Senders: len(c.Confirmations), Digest: hex.EncodeToString(sum[:])}
	for _, w := range c.Confirmations {
		cert.Total.add(w.Counts)
	}
	if len(text) <= maxCertificateBytes {
		cert.Confirmations = c.Confirmations
	}
	return cert
}

// handInNotices hands in the queued notices.
func (p *Machine) handInNotices() {
	for _, id := range slices.Sorted(maps.Keys(p.outbox)) {
		o := p.outbox[id]
		if o.inFlight || p.now < o.retryAt {
			continue
		}
		p.round++
		o.inFlight, o.round = true, p.round
		p.effects.Actions = append(p.effects.Actions, Action{Kind: Post, Key: o.Key, Round: o.round, Notice: &o.Notice})
	}
}

// noticeHandled handles the result of a hand-in. Once accepted, the relay delivers the notice like any other message.
func (p *Machine) noticeHandled(d ActionResult) {
	o := p.outbox[d.Notice]
	if o == nil || o.round != d.Round {
		return
	}
	if d.Failure != "" {
		o.inFlight, o.retryAt = false, p.now+retryInterval
		return
	}
	delete(p.outbox, d.Notice)
	p.effects.Save = true
}

// repeatNotice answers an order that is handed in again with a notice of its current state.
func (p *Machine) repeatNotice(l *execution) {
	switch l.State {
	case Running:
		p.notify(l, noticeAccepted, 0)
	case Complete:
		p.notify(l, noticeComplete, 0)
	default:
		p.notify(l, noticeEnded, 0)
	}
}

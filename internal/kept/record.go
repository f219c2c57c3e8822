// Package kept decides what happens to dead letters, messages that ended undelivered and were stored: which are held for an operator,
// which are deleted, and which are resent and when, if that is allowed at all. It has no I/O and no clock.
package kept

import (
	"fmt"
	"strconv"
)

// State is the state of a dead letter. All changes go through Transition.
type State string

// States of a dead letter.
const (
	Waiting     State = "waiting"  // awaits a decision by the rules
	Held        State = "held"     // awaits an operator
	Resending   State = "intended" // recorded on disk before the first byte goes out; after a crash it counts as resent
	Resent      State = "sent"     // resent, or it may have been
	Delivered   State = "done"     // the resent message was delivered
	FailedAgain State = "followed" // the resent message ended undelivered and is stored as a dead letter itself
	Dropped     State = "dropped"
)

// transitions lists the allowed changes of state.
var transitions = map[State][]State{
	Waiting:     {Held, Resending, Dropped},
	Held:        {Waiting, Resending, Dropped},
	Resending:   {Resent, Waiting}, // back only if it is certain that nothing was sent
	Resent:      {Delivered, FailedAgain, Dropped},
	Delivered:   {Dropped},
	FailedAgain: {Dropped},
}

// Leg is one leg of a message, as far as it is known.
type Leg struct {
	At         int64  `json:"at_us"`
	Elapsed    int64  `json:"took_us,omitempty"`
	Receiver   string `json:"receiver,omitempty"`
	Result     string `json:"result,omitempty"` // empty: unknown to the process that stored it
	RetryAfter int64  `json:"wait_us,omitempty"`
	NeverRan   bool   `json:"never_ran,omitempty"`
}

// StateChange is an entry of a record's history, for operators.
type StateChange struct {
	At     int64  `json:"at_us"`
	State  State  `json:"state"`
	Reason string `json:"why"`
}

// maxHistory is the maximum length of a history; the first entry and the latest ones stay.
const maxHistory = 32

// Record is a dead letter.
type Record struct {
	ID             string        `json:"id"`
	Class          string        `json:"lane"`
	Dst            int64         `json:"destination"`
	Key            string        `json:"key,omitempty"`
	OrderKey       string        `json:"order_key,omitempty"`
	Body           []byte        `json:"body"`
	StoredAt       int64         `json:"kept_at_us"`
	Rejected       bool          `json:"pushed_back"`
	RetryAfter     int64         `json:"advice_us,omitempty"`
	Legs           []Leg         `json:"legs"`
	State          State         `json:"state"`
	History        []StateChange `json:"history"`
	Generation     int           `json:"generation"`        // number of earlier resends
	FirstID        string        `json:"first,omitempty"`   // id of the first generation
	ResentFrom     string        `json:"before,omitempty"`  // id of the dead letter that was resent as this message
	ResentAs       string        `json:"sent_as,omitempty"` // id of the message that it was resent as
	ResendApproved bool          `json:"cleared,omitempty"` // an operator allowed a resend although the message may have run
	AcceptSeq      int64         `json:"taken,omitempty"`   // sequence number of the first generation's acceptance; valid in its sender's folder only
	FirstRunAt     int64         `json:"first_run_us"`      // when the first leg that may have run was sent, over all generations; 0 for none
}

// MayHaveRun reports whether any leg of the message may have had an effect.
func (r *Record) MayHaveRun() bool { return r.FirstRunAt > 0 }

// Transition changes the state and records the change.
func (r *Record) Transition(to State, at int64, reason string) error {
	for _, s := range transitions[r.State] {
		if s != to {
			continue
		}
		r.State = to
		r.History = append(r.History, StateChange{at, to, reason})
		if len(r.History) > maxHistory {
			r.History = append(r.History[:1], r.History[2:]...)
		}
		return nil
	}
	return fmt.Errorf("message %s is %s, and does not become %s", r.ID, r.State, to)
}

// NextID returns the id to resend the message under. It depends on the generation alone, so that repeated attempts of one resend are not
// taken for different messages.
func (r *Record) NextID() string {
	first := r.FirstID
	if first == "" {
		first = r.ID
	}
	return first + "-r" + strconv.Itoa(r.Generation+1)
}

// New returns the record of a message that has just ended; before is the dead letter that it was resent from, or nil.
func New(id, class string, dst int64, key, orderKey string, body []byte, at int64, rejected bool, retryAfter int64, legs []Leg,
	before *Record) *Record {
	r := &Record{ID: id, Class: class, Dst: dst, Key: key, OrderKey: orderKey, Body: body, StoredAt: at, Rejected: rejected,
		RetryAfter: retryAfter, Legs: legs, State: Waiting, History: []StateChange{{at, Waiting, "ended undelivered"}}}
	r.FirstRunAt = firstPossibleRun(legs)
	if before != nil {
		r.Generation, r.ResentFrom, r.FirstID = before.Generation+1, before.ID, before.FirstID
		if r.FirstID == "" {
			r.FirstID = before.ID
		}
		if before.AcceptSeq > 0 {
			r.AcceptSeq = before.AcceptSeq // a purge that covers the first generation covers all later ones
		}
		if before.FirstRunAt > 0 {
			r.FirstRunAt = before.FirstRunAt // an effect of an earlier generation is an effect of this message
		}
	}
	return r
}

// firstPossibleRun returns when the first leg that may have run was sent, or 0 if none may have run.
func firstPossibleRun(legs []Leg) (at int64) {
	for _, l := range legs {
		if !l.NeverRan && (at == 0 || l.At < at) {
			at = l.At
		}
	}
	return at
}

// MarkNeverRan marks legs that were proven never to have run after the record was made, and reports whether any is new. A FirstRunAt from an
// earlier generation is kept.
func (r *Record) MarkNeverRan(legs []Leg) (changed bool) {
	own := r.FirstRunAt == firstPossibleRun(r.Legs)
	for _, proven := range legs {
		for i, l := range r.Legs {
			if proven.NeverRan && l.At == proven.At && !l.NeverRan {
				r.Legs[i], changed = proven, true
			}
		}
	}
	if own {
		r.FirstRunAt = firstPossibleRun(r.Legs)
	}
	return changed
}

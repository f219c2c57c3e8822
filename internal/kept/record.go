// Package kept decides what becomes of messages that ended undelivered and are kept: what is held for a person, what is
// dropped, what is sent again and when, and what must never be. It has no I/O and no clock.
package kept

import (
	"fmt"
	"strconv"
)

// State of a kept message. Every change goes through Turn.
type State string

// The states.
const (
	Waiting  State = "waiting"  // a rule says what becomes of it
	Held     State = "held"     // for a person
	Intended State = "intended" // to be sent again: on disk before the first byte; after a crash it counts as sent
	Sent     State = "sent"     // out again, or it may be
	Done     State = "done"     // what was sent again was delivered
	Followed State = "followed" // what was sent again ended undelivered, and is kept itself
	Dropped  State = "dropped"
)

// steps are the changes allowed.
var steps = map[State][]State{
	Waiting:  {Held, Intended, Dropped},
	Held:     {Waiting, Intended, Dropped},
	Intended: {Sent, Waiting}, // back only by one that surely sent nothing
	Sent:     {Done, Followed, Dropped},
	Done:     {Dropped},
	Followed: {Dropped},
}

// Leg is one of a message's legs, as far as it is known.
type Leg struct {
	At       int64  `json:"at_us"`
	Took     int64  `json:"took_us,omitempty"`
	Receiver string `json:"receiver,omitempty"`
	Result   string `json:"result,omitempty"` // empty: not known to the process that kept it
	Wait     int64  `json:"wait_us,omitempty"`
	NeverRan bool   `json:"never_ran,omitempty"`
}

// Step is one change of a record's state, for people.
type Step struct {
	At    int64  `json:"at_us"`
	State State  `json:"state"`
	Why   string `json:"why"`
}

// mostSteps is how many changes a record remembers; the first and the latest stay.
const mostSteps = 32

// Record is a kept message.
type Record struct {
	ID         string `json:"id"`
	Lane       string `json:"lane"`
	Dst        int64  `json:"destination"`
	Key        string `json:"key,omitempty"`
	OrderKey   string `json:"order_key,omitempty"`
	Body       []byte `json:"body"`
	KeptAt     int64  `json:"kept_at_us"`
	PushedBack bool   `json:"pushed_back"`
	Advice     int64  `json:"advice_us,omitempty"`
	Legs       []Leg  `json:"legs"`
	State      State  `json:"state"`
	History    []Step `json:"history"`
	Generation int    `json:"generation"`        // times that it has been sent again before
	First      string `json:"first,omitempty"`   // the id that it had at first
	Before     string `json:"before,omitempty"`  // the id that it was sent again from
	SentAs     string `json:"sent_as,omitempty"` // the id that it was sent again under
	Cleared    bool   `json:"cleared,omitempty"` // a person has said that it may go again though it may have run

	// ClientMayRepeat: the client of its first generation was told that it may hand it in again.
	ClientMayRepeat bool `json:"client_may_repeat,omitempty"`
	// RepeatCleared: a person has said that it may go again though its client may have handed it in again.
	RepeatCleared bool `json:"repeat_cleared,omitempty"`

	Taken    int64 `json:"taken,omitempty"` // the sender's count when its first generation was taken on; of use in its folder alone
	FirstRun int64 `json:"first_run_us"`    // when the first leg that may have run went out, over all generations; 0 for none
}

// MayHaveRun tells whether any leg of it may have had an effect.
func (r *Record) MayHaveRun() bool { return r.FirstRun > 0 }

// MayComeAgain tells whether its client may hand it in again, as a message of its own: the client of the first generation was told so. No
// client knows the ids of later ones. Records of older versions say so by how they ended alone.
func (r *Record) MayComeAgain() bool { return r.ClientMayRepeat || r.PushedBack && r.Generation == 0 }

// Turn changes the state.
func (r *Record) Turn(to State, at int64, why string) error {
	for _, s := range steps[r.State] {
		if s != to {
			continue
		}
		r.State = to
		r.History = append(r.History, Step{at, to, why})
		if len(r.History) > mostSteps {
			r.History = append(r.History[:1], r.History[2:]...)
		}
		return nil
	}
	return fmt.Errorf("message %s is %s, and does not become %s", r.ID, r.State, to)
}

// NextID is the id under which it is sent again: the same for the same generation, so that no two attempts to send it
// again look like two messages.
func (r *Record) NextID() string {
	first := r.First
	if first == "" {
		first = r.ID
	}
	return first + "-r" + strconv.Itoa(r.Generation+1)
}

// New makes the record of a message that has just ended. before is the record that it was sent again from, nil for none.
func New(id, lane string, dst int64, key, orderKey string, body []byte, at int64, pushedBack bool, advice int64, legs []Leg,
	before *Record) *Record {
	r := &Record{ID: id, Lane: lane, Dst: dst, Key: key, OrderKey: orderKey, Body: body, KeptAt: at, PushedBack: pushedBack,
		Advice: advice, Legs: legs, State: Waiting, History: []Step{{at, Waiting, "ended undelivered"}}}
	r.FirstRun = firstRun(legs)
	r.ClientMayRepeat = pushedBack && before == nil
	if before != nil {
		r.ClientMayRepeat = before.MayComeAgain()
		r.Generation, r.Before, r.First = before.Generation+1, before.ID, before.First
		if r.First == "" {
			r.First = before.ID
		}
		if before.Taken > 0 {
			r.Taken = before.Taken // a purge that was before the first is before all
		}
		if before.FirstRun > 0 {
			r.FirstRun = before.FirstRun // an effect of an earlier generation is one of this message
		}
	}
	return r
}

// firstRun is when the first of some legs that may have run went out, 0 for none.
func firstRun(legs []Leg) (at int64) {
	for _, l := range legs {
		if !l.NeverRan && (at == 0 || l.At < at) {
			at = l.At
		}
	}
	return at
}

// mostLegs is how many legs a record remembers over all hand-ins under its id.
const mostLegs = 256

// Join takes in the end of a further message that its client handed in under the same id: what that one may have done counts for the record too.
func (r *Record) Join(later *Record) {
	r.Legs = append(r.Legs, later.Legs[:min(len(later.Legs), max(0, mostLegs-len(r.Legs)))]...)
	if r.FirstRun == 0 || later.FirstRun > 0 && later.FirstRun < r.FirstRun {
		r.FirstRun = later.FirstRun
	}
	r.Taken, r.PushedBack, r.Advice = later.Taken, later.PushedBack, later.Advice
	r.ClientMayRepeat = r.ClientMayRepeat || later.ClientMayRepeat
	r.Cleared = false // a person's word was for what was known
}

// Prove takes in legs that surely never ran, which was not known when the record was made. It tells whether any is new. When an earlier
// generation may have run, that stays.
func (r *Record) Prove(legs []Leg) (changed bool) {
	own := r.FirstRun == firstRun(r.Legs)
	for _, proven := range legs {
		for i, l := range r.Legs {
			if proven.NeverRan && l.At == proven.At && !l.NeverRan {
				r.Legs[i], changed = proven, true
			}
		}
	}
	if own {
		r.FirstRun = firstRun(r.Legs)
	}
	return changed
}

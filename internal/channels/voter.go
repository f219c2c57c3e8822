package channels

import "slices"

// voterState is what a voter stores about a channel. Everything but the end of the promise is durable; after a restart a promise lasts
// its full time again.
type voterState struct {
	Contract    *Contract `cbor:"1,keyasint,omitempty"`
	Next        *Contract `cbor:"2,keyasint,omitempty"` // declared, not yet in force
	Fence       uint64    `cbor:"3,keyasint"`
	Owner       string    `cbor:"4,keyasint"` // to whom Fence is promised; empty if the promise has ended
	Incarnation uint64    `cbor:"5,keyasint"`
	Rec         Record    `cbor:"6,keyasint"`
	NoRecord    bool      `cbor:"7,keyasint,omitempty"` // it lost its state directory: it has the contract, but grants no vote until a record arrives

	Tails []Record `cbor:"8,keyasint,omitempty"`

	until     int64
	touched   int64
	scheduled bool // an alarm is set
}

// handleRequestVote promises a fence or denies it. A promise to another sender is kept until it expires.
func (t *Table) handleRequestVote(now int64, from string, m Msg) {
	s := t.voterStates[m.Channel]
	if s == nil || s.NoRecord {
		t.send(from, Msg{Kind: Deny, Channel: m.Channel, SentAt: m.SentAt, Incarnation: m.Incarnation, Fence: m.Fence, NoRecord: true})
		return
	}
	other := s.Owner != "" && s.Owner != from && now < s.until
	if other || m.Fence < s.Fence || m.Fence == s.Fence && s.Owner != from {
		t.deny(now, from, m, s)
		return
	}
	s.Fence, s.Owner, s.Incarnation, s.until = m.Fence, from, m.Incarnation, now+t.t.promiseTime()
	t.saveVoterState(now, m.Channel, s)
	rec := s.Rec
	t.send(from, Msg{Kind: Grant, Channel: m.Channel, Fence: m.Fence, SentAt: m.SentAt, Incarnation: m.Incarnation,
		Rec: &rec, Contract: s.Contract, Next: s.Next, Tails: s.Tails})
}

func (t *Table) deny(now int64, to string, m Msg, s *voterState) {
	d := Msg{Kind: Deny, Channel: m.Channel, Fence: s.Fence, SentAt: m.SentAt, Incarnation: m.Incarnation, Contract: s.Contract}
	if s.Owner != "" && now < s.until {
		d.Owner, d.Remaining = s.Owner, s.until-now
		if s.Rec.Fence < s.Fence { // it does not own the channel yet, and may abandon the fence soon
			d.Remaining = min(d.Remaining, 2*t.t.ReplyTimeout)
		}
	}
	rec := s.Rec
	rec.IDHashes = nil
	d.Rec = &rec
	t.send(to, d)
}

// handleReplicate stores a record. A fence above the promised one comes from an owner whose majority did not include this voter.
func (t *Table) handleReplicate(now int64, from string, m Msg) {
	s := t.voterStates[m.Channel]
	if m.Rec == nil || m.Contract == nil {
		t.malformed++
		return
	}
	if s == nil {
		if len(t.voterStates) >= t.limits.Channels {
			t.send(from, Msg{Kind: Deny, Channel: m.Channel, SentAt: m.SentAt, Incarnation: m.Incarnation, Fence: m.Fence, NoRecord: true})
			return
		}
		s = &voterState{}
		t.voterStates[m.Channel] = s
	}
	if m.Fence < s.Fence || m.Fence == s.Fence && s.Owner != from && !m.Rec.Clean {
		t.deny(now, from, m, s)
		return
	}
	s.Fence, s.Owner, s.Incarnation, s.until, s.NoRecord = m.Fence, from, m.Incarnation, now+t.t.promiseTime(), false
	if m.Rec.newer(s.Rec) {
		s.Rec = *m.Rec
	}
	if s.Rec.Uncertain <= s.Rec.Last && (s.Rec.Clean || s.Rec.Fence == m.Fence) { // nobody is uncertain about earlier owners any more
		s.Tails = slices.DeleteFunc(slices.Clone(s.Tails), func(r Record) bool { return r.Fence < s.Rec.Fence })
	}
	if s.Rec.Clean {
		s.Owner, s.until = "", 0
	}
	if s.Contract == nil || m.Contract.Version >= s.Contract.Version {
		s.Contract = m.Contract
	}
	if s.Next != nil && s.Next.Version <= s.Contract.Version {
		s.Next = nil
	}
	t.saveVoterState(now, m.Channel, s)
	t.send(from, Msg{Kind: ReplicateAck, Channel: m.Channel, Fence: m.Fence, SentAt: m.SentAt, Incarnation: m.Incarnation,
		Seq: m.Rec.Seq, Next: s.Next, Tails: s.Tails})
}

// handleAbandon ends a promise that its candidate abandoned: that candidate never owns the channel under this fence.
func (t *Table) handleAbandon(now int64, from string, m Msg) {
	s := t.voterStates[m.Channel]
	if s == nil || s.Owner != from || s.Fence != m.Fence || s.Incarnation != m.Incarnation {
		return
	}
	s.Owner, s.until = "", 0
	t.saveVoterState(now, m.Channel, s)
}

// handleTail stores the final record of a fenced owner.
func (t *Table) handleTail(now int64, from string, m Msg) {
	s := t.voterStates[m.Channel]
	if s == nil || m.Rec == nil || m.Rec.Owner != from {
		t.malformed++
		return
	}
	if !slices.ContainsFunc(s.Tails, func(r Record) bool { return r.Fence == m.Rec.Fence }) {
		s.Tails = append(slices.Clone(s.Tails), *m.Rec)
		s.Tails = s.Tails[max(0, len(s.Tails)-maxTails):]
		t.saveVoterState(now, m.Channel, s)
	}
	t.send(from, Msg{Kind: TailAck, Channel: m.Channel, Fence: m.Rec.Fence})
}

// handleDeclare accepts a contract, or rejects it with the reason. Only version 1 creates a state that may vote: with any other version this
// voter has lost what it knew.
func (t *Table) handleDeclare(now int64, from string, m Msg) {
	k := m.Contract
	if k == nil {
		t.malformed++
		return
	}
	answer := Msg{Kind: DeclareAck, Channel: k.Channel, Fence: k.Version}
	s := t.voterStates[k.Channel]
	if s == nil && len(t.voterStates) >= t.limits.Channels {
		answer.Kind, answer.Cause = DeclareReject, "no room for another channel"
	} else if s == nil {
		t.voterStates[k.Channel] = &voterState{Contract: k, NoRecord: k.Version != 1}
		t.saveVoterState(now, k.Channel, t.voterStates[k.Channel])
	} else if err := k.follows(s.newest()); err != nil {
		answer.Kind, answer.Cause = DeclareReject, err.Error()
	} else if k.Version > s.newest().Version {
		next := *k
		next.Voters, next.Instance = s.Contract.Voters, s.Contract.Instance
		s.Next = &next
		t.saveVoterState(now, k.Channel, s)
	}
	t.send(from, answer)
}

func (s *voterState) newest() *Contract {
	if s.Next != nil {
		return s.Next
	}
	return s.Contract
}

func (t *Table) saveVoterState(now int64, name string, s *voterState) {
	s.touched = now
	t.putRow(voterKey+name, s)
	if !s.scheduled {
		s.scheduled = true
		t.wakeAt(now+t.t.Forget, name, true)
	}
}

// expireVoterState deletes what need not be kept of an unused channel: the id hashes and final records, and everything of a withdrawn
// one.
func (t *Table) expireVoterState(now int64, name string) {
	s := t.voterStates[name]
	if s == nil {
		return
	}
	s.scheduled = false
	switch {
	case now < s.touched+t.t.Forget || s.Owner != "" && now < s.until:
		s.scheduled = true
		t.wakeAt(max(s.touched+t.t.Forget, s.until), name, true)
	case s.newest().Withdrawn:
		delete(t.voterStates, name)
		t.deleteRow(voterKey + name)
	case s.Rec.IDHashes != nil || s.Tails != nil:
		s.Rec.IDHashes, s.Tails = nil, nil
		t.putRow(voterKey+name, s)
	}
}

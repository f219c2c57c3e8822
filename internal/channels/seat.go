package channels

import "slices"

// seat is what an elector keeps of a channel. All but the end of the promise is durable; after a restart a promise counts
// in full again.
type seat struct {
	Contract *Contract `cbor:"1,keyasint,omitempty"`
	Next     *Contract `cbor:"2,keyasint,omitempty"` // declared, not yet in force
	Fence    uint64    `cbor:"3,keyasint"`
	Owner    string    `cbor:"4,keyasint"` // whom Fence is promised to; empty: nobody any more
	Life     uint64    `cbor:"5,keyasint"`
	Rec      Record    `cbor:"6,keyasint"`
	Blank    bool      `cbor:"7,keyasint,omitempty"` // knows the contract, not the record: it lost its folder. No votes until a record comes

	Tails []Record `cbor:"8,keyasint,omitempty"`

	until   int64
	touched int64
	waiting bool  // in the heap
	claimed int64 // bytes of the budget
	ids     int   // that the record has room for
}

// hearAsk promises a fence, or says why not. A promise to another is kept to its end.
func (t *Table) hearAsk(now int64, from string, m Msg) {
	s := t.seats[m.Channel]
	if s == nil || s.Blank {
		t.send(from, Msg{Kind: Deny, Channel: m.Channel, At: m.At, Life: m.Life, Fence: m.Fence, Blank: true})
		return
	}
	other := s.Owner != "" && s.Owner != from && now < s.until
	if other || m.Fence < s.Fence || m.Fence == s.Fence && s.Owner != from {
		t.deny(now, from, m, s)
		return
	}
	s.Fence, s.Owner, s.Life, s.until = m.Fence, from, m.Life, now+t.t.promise()
	t.keepSeat(now, m.Channel, s)
	rec := s.Rec
	t.send(from, Msg{Kind: Grant, Channel: m.Channel, Fence: m.Fence, At: m.At, Life: m.Life, Rec: &rec, Contract: s.Contract, Next: s.Next, Tails: s.Tails})
}

func (t *Table) deny(now int64, to string, m Msg, s *seat) {
	d := Msg{Kind: Deny, Channel: m.Channel, Fence: s.Fence, At: m.At, Life: m.Life, Contract: s.Contract}
	if s.Owner != "" && now < s.until {
		d.Owner, d.Left = s.Owner, s.until-now
		if s.Rec.Fence < s.Fence { // it has not begun, and may give up soon
			d.Left = min(d.Left, 2*t.t.Answer)
		}
	}
	rec := s.Rec
	rec.Sums = nil
	d.Rec = &rec
	t.send(to, d)
}

// hearHold writes a record down. A fence above the one promised comes from an owner whose majority was without this elector.
func (t *Table) hearHold(now int64, from string, m Msg) {
	s := t.seats[m.Channel]
	if m.Rec == nil || m.Contract == nil {
		t.bad++
		return
	}
	if s == nil {
		if s = t.newSeat(m.Channel, &seat{Contract: m.Contract}); s == nil {
			t.send(from, Msg{Kind: Deny, Channel: m.Channel, At: m.At, Life: m.Life, Fence: m.Fence, Blank: true})
			return
		}
	}
	if m.Fence < s.Fence || m.Fence == s.Fence && s.Owner != from && !m.Rec.Clean {
		t.deny(now, from, m, s)
		return
	}
	if !t.claimContract(m, s) {
		return // without an answer it is not counted on
	}
	s.Fence, s.Owner, s.Life, s.until, s.Blank = m.Fence, from, m.Life, now+t.t.promise(), false
	if m.Rec.newer(s.Rec) {
		s.Rec = *m.Rec
		s.Rec.Sums = newest(s.Rec.Sums, t.seatIDs(m.Channel, s, len(s.Rec.Sums)))
	}
	if s.Rec.Doubt <= s.Rec.Last && (s.Rec.Clean || s.Rec.Fence == m.Fence) { // nobody is in doubt of those before
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
	t.keepSeat(now, m.Channel, s)
	t.send(from, Msg{Kind: Held, Channel: m.Channel, Fence: m.Fence, At: m.At, Life: m.Life, Seq: m.Rec.Seq, Next: s.Next, Tails: s.Tails})
}

// newSeat has a channel known here; nil where there is no room for it.
func (t *Table) newSeat(name string, s *seat) *seat {
	s.ids = idsOf(s.Contract.Window)
	if len(t.seats) >= t.room.Channels || !t.claimSeat(name, s) {
		return nil
	}
	t.seats[name] = s
	return s
}

// claimContract claims what the contract that an owner tells takes beyond the one at hand. False: there is no room for it.
func (t *Table) claimContract(m Msg, s *seat) bool {
	if s.Contract != nil && m.Contract.Version <= s.Contract.Version {
		return true
	}
	changed := *s
	changed.Contract, changed.ids = m.Contract, max(s.ids, idsOf(m.Contract.Window))
	t.dropLongTails(&changed)
	if !t.claimSeat(m.Channel, &changed) {
		return false
	}
	s.claimed, s.ids, s.Tails = changed.claimed, changed.ids, changed.Tails
	return true
}

// hearDrop ends a promise that its candidate does without: it never owns under that fence.
func (t *Table) hearDrop(now int64, from string, m Msg) {
	s := t.seats[m.Channel]
	if s == nil || s.Owner != from || s.Fence != m.Fence || s.Life != m.Life {
		return
	}
	s.Owner, s.until = "", 0
	t.keepSeat(now, m.Channel, s)
}

// hearTail writes down how far a fenced owner had got.
func (t *Table) hearTail(now int64, from string, m Msg) {
	s := t.seats[m.Channel]
	if s == nil || m.Rec == nil || m.Rec.Owner != from {
		t.bad++
		return
	}
	if !slices.ContainsFunc(s.Tails, func(r Record) bool { return r.Fence == m.Rec.Fence }) {
		longer := *s
		if !t.claimTail(m.Channel, &longer, *m.Rec) {
			return // it tells it again
		}
		s.Tails, s.claimed = longer.Tails, longer.claimed
		t.keepSeat(now, m.Channel, s)
	}
	t.send(from, Msg{Kind: TailHeard, Channel: m.Channel, Fence: m.Rec.Fence})
}

// hearDeclare takes a contract on, or says why never. Only version 1 may make a seat that votes: any other finds an elector that has
// lost what it knew.
func (t *Table) hearDeclare(now int64, from string, m Msg) {
	k := m.Contract
	if k == nil {
		t.bad++
		return
	}
	answer := Msg{Kind: Declared, Channel: k.Channel, Fence: k.Version}
	s := t.seats[k.Channel]
	if s == nil {
		if s = t.newSeat(k.Channel, &seat{Contract: k, Blank: k.Version != 1}); s == nil {
			answer.Kind, answer.Cause = Refused, "no room for another channel"
		} else {
			t.keepSeat(now, k.Channel, s)
		}
	} else if err := k.follows(s.newest()); err != nil {
		answer.Kind, answer.Cause = Refused, err.Error()
	} else if k.Version > s.newest().Version {
		changed, next := *s, *k
		next.Electors, next.Born = s.Contract.Electors, s.Contract.Born
		changed.Next = &next
		changed.ids = max(s.ids, idsOf(next.Window))
		if t.claimSeat(k.Channel, &changed) {
			s.Next, s.claimed, s.ids = &next, changed.claimed, changed.ids
			t.keepSeat(now, k.Channel, s)
		} else {
			answer.Kind, answer.Cause = Refused, "no room for this version"
		}
	}
	t.send(from, answer)
}

func (s *seat) newest() *Contract {
	if s.Next != nil {
		return s.Next
	}
	return s.Contract
}

func (t *Table) keepSeat(now int64, name string, s *seat) {
	s.touched = now
	t.row(seatKey+name, s)
	if !s.waiting {
		s.waiting = true
		t.wakeAt(now+t.t.Forget, name, true)
	}
}

// forgetSeat lets go of what an unused channel need not keep: the ids, and all of one that was withdrawn.
func (t *Table) forgetSeat(now int64, name string) {
	s := t.seats[name]
	if s == nil {
		return
	}
	s.waiting = false
	switch {
	case now < s.touched+t.t.Forget || s.Owner != "" && now < s.until:
		s.waiting = true
		t.wakeAt(max(s.touched+t.t.Forget, s.until), name, true)
	case s.newest().Withdrawn:
		t.dropSeat(name, s)
	case s.Rec.Sums != nil || s.Tails != nil:
		s.Rec.Sums, s.Tails = nil, nil
		t.row(seatKey+name, s)
	}
}

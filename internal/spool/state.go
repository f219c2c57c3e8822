package spool

// Flag bits of an open state.
const (
	flagEnded = 1 << iota
	flagRejected
	flagErased
	flagLoaded
)

// untouched reports whether a message was accepted and nothing else happened to it: after a restart it is spilled.
func (m *Message) untouched() bool {
	return len(m.Legs) == 0 && !m.Ended && m.Channel == "" && !m.loaded
}

func encodeStates(active map[string]*Message) encoder {
	n := int64(0)
	for _, m := range active {
		if !m.untouched() {
			n++
		}
	}
	e := encoder(nil).varint(n)
	for _, m := range active {
		if m.untouched() {
			continue
		}
		flags := boolToInt(m.Ended)*flagEnded | boolToInt(m.Rejected)*flagRejected | boolToInt(m.Erased)*flagErased | boolToInt(m.loaded)*flagLoaded
		e = e.varint(m.segment.number).varint(int64(m.slot)).varint(m.offset).varint(m.length).varint(flags).varint(m.RetryAfter)
		e = e.varint(m.Dst).varint(int64(m.entry().key)).varint(int64(len(m.Legs)))
		for _, l := range m.Legs {
			e = e.leg(l)
		}
	}
	return e
}

// state is the open state of one active message: the position of its accepted record, and what changed since.
type state struct {
	segment           int64
	entry             // only slot, offset, length, dst and key
	flags, retryAfter int64
	legs              []Leg
}

func decodeStates(data []byte) (all []state) {
	d := &decoder{rest: data}
	for n := d.varint(); n > 0 && !d.failed; n-- {
		var st state
		st.segment, st.slot = d.varint(), uint32(d.varint())
		st.offset, st.length, st.flags, st.retryAfter = d.varint(), uint32(d.varint()), d.varint(), d.varint()
		st.dst, st.key = d.varint(), uint64(d.varint())
		for legs := d.varint(); legs > 0 && !d.failed; legs-- {
			st.legs = append(st.legs, decodeLeg(d))
		}
		if !d.failed {
			all = append(all, st)
		}
	}
	return all
}

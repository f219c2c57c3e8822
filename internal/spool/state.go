package spool

// The bits of a state.
const (
	stateEnded = 1 << iota
	statePushedBack
	stateBare
	stateDrawn
)

// fresh tells whether nothing is known of a message but that it was taken on: after a restart it rests.
func (m *Message) fresh() bool { return len(m.Legs) == 0 && !m.Ended && m.Channel == "" && !m.drawn }

func encodeStates(working map[string]*Message) encoder {
	n := int64(0)
	for _, m := range working {
		if !m.fresh() {
			n++
		}
	}
	e := encoder(nil).number(n)
	for _, m := range working {
		if m.fresh() {
			continue
		}
		flags := flag(m.Ended)*stateEnded | flag(m.PushedBack)*statePushedBack | flag(m.Bare)*stateBare | flag(m.drawn)*stateDrawn
		e = e.number(m.segment.number).number(int64(m.slot)).number(m.offset).number(m.length).number(flags).number(m.Advice)
		e = e.number(m.Dst).number(int64(m.entry().key)).number(int64(len(m.Legs)))
		for _, l := range m.Legs {
			e = e.leg(l)
		}
	}
	return e
}

// state is one open state: where the taken record of a message stands, and what came to it since.
type state struct {
	segment       int64
	entry         // slot, offset, length, dst and key alone
	flags, advice int64
	legs          []Leg
}

func decodeStates(data []byte) (all []state) {
	d := &decoder{left: data}
	for n := d.number(); n > 0 && !d.bad; n-- {
		var st state
		st.segment, st.slot = d.number(), uint32(d.number())
		st.offset, st.length, st.flags, st.advice = d.number(), uint32(d.number()), d.number(), d.number()
		st.dst, st.key = d.number(), uint64(d.number())
		for legs := d.number(); legs > 0 && !d.bad; legs-- {
			st.legs = append(st.legs, readLeg(d))
		}
		if !d.bad {
			all = append(all, st)
		}
	}
	return all
}

package channels

// Phase is the state of a channel at one sender.
type Phase uint8

// The phases.
const (
	Idle      Phase = iota // not owned here, no state held
	Asking                 // the voters are asked for a fence, one after another
	Holding                // a majority promised the fence; the record is being replicated
	Quiet                  // owned, but legs of a previous owner that did not stop cleanly may still run
	Owning                 // owned
	Yielding               // owned; accepts no new messages, held ones end
	Releasing              // all messages have ended; the voters are told
	Lapsed                 // was owned; the lease expired or the process restarted, and messages or a record remain
	Fenced                 // another sender has owned it since; held messages are being aborted
)

func (p Phase) String() string {
	return [...]string{"idle", "asking", "holding", "quiet", "owning", "yielding", "releasing", "lapsed", "fenced"}[p]
}

// transitions lists the phases that may follow each phase.
var transitions = map[Phase][]Phase{
	Idle:      {Asking},
	Asking:    {Holding, Idle, Lapsed, Fenced},
	Holding:   {Quiet, Owning, Idle, Lapsed, Fenced},
	Quiet:     {Owning, Idle, Lapsed, Fenced},
	Owning:    {Yielding, Idle, Lapsed, Fenced},
	Yielding:  {Releasing, Lapsed, Fenced},
	Releasing: {Idle, Lapsed, Fenced},
	Lapsed:    {Asking, Idle, Fenced},
	Fenced:    {Idle},
}

// setPhase is the only function that changes a channel's phase.
func (t *Table) setPhase(c *channel, to Phase) {
	for _, p := range transitions[c.phase] {
		if p == to {
			c.phase = to
			return
		}
	}
	t.invalidTransitions++
}

// mayStartLegs reports whether the phase and the lease allow legs of the channel to start.
func (c *channel) mayStartLegs(now int64, t *Table) bool {
	return (c.phase == Owning || c.phase == Yielding) && now < c.leaseEnd(t)
}

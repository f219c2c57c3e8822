package channels

// Phase is where a sender stands with a channel.
type Phase uint8

// The phases.
const (
	Idle      Phase = iota // not ours, nothing of it here
	Asking                 // electors are asked for a fence, one after another
	Holding                // a majority promised; the record goes to all
	Quiet                  // ours, but legs of an owner that was not seen to stop may still run
	Owning                 // ours
	Yielding               // ours; nothing new is taken on, what is here ends
	Releasing              // all is over here; electors are told so
	Lapsed                 // it was ours; the lease ran out or the process began anew, and messages or a record are here
	Fenced                 // somebody else owned it since; what is here is being ended
)

func (p Phase) String() string {
	return [...]string{"idle", "asking", "holding", "quiet", "owning", "yielding", "releasing", "lapsed", "fenced"}[p]
}

// plan says which phase may follow which.
var plan = map[Phase][]Phase{
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

// turn changes a channel's phase; nothing else does.
func (t *Table) turn(c *channel, to Phase) {
	for _, p := range plan[c.phase] {
		if p == to {
			c.phase = to
			if to == Holding && c.stranger { // a majority of its electors knows its contract
				c.stranger = false
				t.strangers--
			}
			return
		}
	}
	t.odd++
}

// lets tells whether legs of the channel may begin, by the lease and the phase.
func (c *channel) lets(now int64, t *Table) bool {
	return (c.phase == Owning || c.phase == Yielding) && now < c.leaseEnd(t)
}

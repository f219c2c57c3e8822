package members

// Flags of a message.
const (
	flagMonitored uint8 = 1 << iota // the receiver gets every heartbeat and is relied on to monitor the sender
	flagReply                       // a heartbeat in return is wanted
	flagFullList                    // the full list is wanted too
	flagLeaving                     // the sender leaves
)

// Msg is a heartbeat with updates on other members. All keys are optional for a decoder; it ignores unknown ones.
type Msg struct {
	Incarnation uint64   `cbor:"1,keyasint"`
	Folder      uint64   `cbor:"2,keyasint"`
	Heartbeat   uint64   `cbor:"3,keyasint"` // counts from 1 in each incarnation
	Flags       uint8    `cbor:"4,keyasint,omitempty"`
	Updates     []Update `cbor:"5,keyasint,omitempty"`
	Queried     []uint32 `cbor:"6,keyasint,omitempty"` // members that the sender has not heard from for a while
}

// Claims of an update about a member.
const (
	claimHeard   uint8 = iota
	claimSuspect       // unanswered probes by the sender of the update
	claimDead          // confirmed by others
	claimLeft
)

// Update is what one member knows of another: its latest heartbeat and the age of that.
type Update struct {
	_           struct{} `cbor:",toarray"`
	Member      uint32   // hash of its name
	Incarnation uint64
	Folder      uint64
	Heartbeat   uint64
	Age         uint32 // ms, rounded up, without transit time
	Claim       uint8
}

func (d *Detector) ownHeartbeat() Msg {
	return Msg{Incarnation: d.self.Incarnation, Folder: d.self.Folder, Heartbeat: d.self.heartbeat}
}

func (d *Detector) updateOn(now int64, p *peer) Update {
	claim := claimHeard
	switch p.State {
	case Suspect:
		if p.probedSince > 0 && now-p.probedSince >= d.timing.ProbeAfter && now-p.heardAt >= d.timing.SuspectAfter {
			claim = claimSuspect
		}
	case Dead:
		claim = claimDead
	case Left:
		claim = claimLeft
	}
	age := min(max(0, (now-p.heardAt+999)/1000), 1<<31)
	return Update{Member: p.id, Incarnation: p.Incarnation, Folder: p.Folder, Heartbeat: p.heartbeat, Age: uint32(age), Claim: claim}
}

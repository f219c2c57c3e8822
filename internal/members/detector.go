package members

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"ravenlink/internal/post"
)

// Timing holds the parameters of failure detection. Times are in µs.
type Timing struct {
	HeartbeatInterval int64 // between heartbeats of a member
	ProbeAfter        int64 // silence of a monitored member after which it is probed, directly and through others
	SuspectAfter      int64 // silence, despite probes, after which it is suspect
	ConfirmAfter      int64 // minimum duration of a suspicion before the member is dead
	MaxSilence        int64 // silence on all paths after which a suspicion needs no quorum
	RecoveryBeats     int   // heartbeat intervals without a gap before a member is alive again; doubled for each return in the last minutes
	Watchers          int   // members that receive every heartbeat of a member
	RoundRobin        int   // further members per heartbeat, in list order; these heartbeats carry updates
	MaxUpdates        int   // updates per message to those
	Quorum            int   // members, including this one, that must suspect a member before it is dead; fewer where fewer are left
}

// DefaultTiming returns the timing for a fleet of n. In a large fleet, where most pairs rarely exchange messages, probes get more time.
func DefaultTiming(n int) Timing {
	t := Timing{HeartbeatInterval: 250_000, RecoveryBeats: 3, Watchers: 5, RoundRobin: 1, MaxUpdates: 8, Quorum: 3}
	t.ProbeAfter, t.SuspectAfter, t.ConfirmAfter, t.MaxSilence =
		2*t.HeartbeatInterval, 5*t.HeartbeatInterval, 3*t.HeartbeatInterval, 30*t.HeartbeatInterval
	if n > 100 {
		t.MaxUpdates, t.SuspectAfter, t.ConfirmAfter, t.MaxSilence = 4, 8*t.HeartbeatInterval, 4*t.HeartbeatInterval, int64(3*n)*t.HeartbeatInterval
	}
	return t
}

const (
	maxProbes          = 32         // members probed at once; the rest wait their turn
	helpersPerProbe    = 2          // helpers asked to probe each of them per heartbeat
	maxSuspectedBy     = 8          // suspecting members remembered per member; further ones have no effect
	maxPastStarts      = 4          // former folders remembered per member
	maxFlaps           = 4          // doublings of RecoveryBeats at most
	flapDecay          = 60_000_000 // µs after which one return is forgotten
	maxIncarnationJump = 1 << 20    // a larger jump of the incarnation is rejected
	recentWindow       = 30_000_000 // µs for which a change is included in round-robin updates
	updateCopies       = 6          // messages that carry a change, for each member that learns of it
	fullListGap        = 1_000_000  // µs between two full lists to one requester
	fullListChunk      = 64         // updates per message of a full list
	maxUpdates         = 256        // per message; more is rejected
)

// start identifies one start of a member: its folder and incarnation.
type start struct{ folder, incarnation uint64 }

type peer struct {
	Member
	id              uint32
	heartbeat       uint64 // latest known in this incarnation
	heardAt         int64  // when it was sent, estimated from ages
	monitored       bool   // it relies on us to receive every heartbeat
	probedSince     int64  // start of probing; 0 if not probed
	suspectedBy     []string
	recoveringSince int64 // start of its recovery; 0 for none
	pingedAt        int64 // when it was pinged in its turn; 0 once answered
	wasAlive        bool  // has been alive since it was first known or last left
	flaps           int
	flappedAt       int64
	sendsLeft       int // messages that are still to carry its update
	fullListAt      int64
	pastStarts      []start
}

// Counts counts rejected messages by cause.
type Counts struct{ Unlisted, Stale, Invalid, StaleCopy uint64 }

// Detector is the failure detector of one sender for the other listed members. It is not safe for concurrent use.
type Detector struct {
	timing        Timing
	self          *peer
	peers         []*peer // others, sorted by name
	byName        map[string]*peer
	byID          map[uint32]*peer // nil where two names share an ID: those are judged by their own heartbeats alone
	ring          []*peer          // others in the order in which we rely on them to monitor us
	epoch         uint64
	nextHeartbeat int64 // time of our next heartbeat
	lastTick      int64 // time of the latest Tick
	roundRobin    int   // index of the next member that gets a round-robin heartbeat
	helperCursor  int   // counts probes, to rotate through the helpers
	recentCursor  int   // index of the next update on a recent change
	fillCursor    int   // index of the next update that fills a message
	hasStarted    bool
	leaving       bool
	counts        Counts
}

// New returns a detector for the listed members. incarnation and folder are self's own, both above zero.
func New(self string, listed []string, incarnation, folder uint64, t Timing) *Detector {
	d := &Detector{timing: t, byName: map[string]*peer{}, byID: map[uint32]*peer{}, epoch: 1}
	names := append([]string{self}, listed...)
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		p := &peer{Member: Member{Name: name, State: Suspect}, id: nameHash(name)}
		d.byName[name] = p
		if _, duplicate := d.byID[p.id]; duplicate {
			d.byID[p.id] = nil
		} else {
			d.byID[p.id] = p
		}
		if name != self {
			d.peers = append(d.peers, p)
		}
	}
	d.self = d.byName[self]
	d.self.State, d.self.Incarnation, d.self.Folder = Alive, incarnation, folder
	d.ring = slices.Clone(d.peers)
	slices.SortFunc(d.ring, func(a, b *peer) int {
		x, y := a.id-d.self.id, b.id-d.self.id // distance around the ring of ids
		if x == y {
			return 0
		}
		if x < y {
			return -1
		}
		return 1
	})
	if n := len(d.peers); n > 0 { // members start at different positions
		d.roundRobin, d.helperCursor, d.fillCursor = int(d.self.id)%n, int(d.self.id/7)%n, int(d.self.id/31)%n
	}
	return d
}

func nameHash(name string) uint32 {
	h := xxhash.Sum64String(name)
	return uint32(h ^ h>>32)
}

// View returns the current view of the fleet.
func (d *Detector) View() View {
	v := View{Self: d.self.Name, Epoch: d.epoch, Members: make([]Member, 0, len(d.byName))}
	for _, p := range d.peers {
		v.Members = append(v.Members, p.Member)
	}
	v.Members = append(v.Members, d.self.Member)
	slices.SortFunc(v.Members, func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return v
}

// Epoch returns the epoch of View without building it.
func (d *Detector) Epoch() uint64 { return d.epoch }

// Counts returns the counters.
func (d *Detector) Counts() Counts { return d.counts }

// event is an event that may change a member's state.
type event uint8

const (
	started       event = iota // it runs in a newer incarnation or on another folder
	recovered                  // it sent enough heartbeats in a row
	unresponsive               // it did not answer probes
	confirmed                  // enough others found the same, for long enough
	leftAnnounced              // it announced that it leaves
)

// transition is the only method that changes a member's state, incarnation or folder.
func (d *Detector) transition(now int64, p *peer, e event, s start) {
	before := p.Member
	switch {
	case e == started:
		if p.Folder != 0 && p.Folder != s.folder {
			p.pastStarts = append(p.pastStarts, start{p.Folder, p.Incarnation})
			p.pastStarts = p.pastStarts[max(0, len(p.pastStarts)-maxPastStarts):]
		}
		p.Folder, p.Incarnation, p.heartbeat = s.folder, s.incarnation, 0
		if p.State == Left {
			p.State, p.wasAlive = Dead, false // until it has sent enough heartbeats; leaving does not count as flapping
		}
		p.recoveringSince = 0
	case e == leftAnnounced:
		p.State = Left
	case e == recovered && (p.State == Suspect || p.State == Dead):
		p.State = Alive
	case e == unresponsive && p.State == Alive:
		p.State = Suspect
	case e == confirmed && p.State == Suspect:
		p.State = Dead
	}
	if p.Member != before {
		p.Since, p.sendsLeft = now, updateCopies
		d.epoch++
	}
}

// Leave announces to all members that this sender leaves and keeps its folder. Tick sends nothing afterwards.
func (d *Detector) Leave(now int64) []post.PeerMessage[Msg] {
	d.ensureStarted(now)
	d.leaving = true
	m := d.ownHeartbeat()
	m.Flags = flagLeaving
	return []post.PeerMessage[Msg]{{Slot: "beat", Msg: m}}
}

func (d *Detector) ensureStarted(now int64) {
	if d.hasStarted {
		return
	}
	d.hasStarted, d.nextHeartbeat, d.lastTick, d.self.Since = true, now, now, now
	for _, p := range d.peers {
		p.heardAt, p.Since = now, now
	}
}

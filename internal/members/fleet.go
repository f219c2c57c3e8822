package members

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"ravenlink/internal/post"
)

// Timing says how a fleet watches itself. Times in µs.
type Timing struct {
	Beat     int64 // between two beats of a member
	Ask      int64 // silence of a watched member after which it and others are asked
	Doubt    int64 // silence, asked for in vain, after which it is doubted
	Confirm  int64 // how long a doubt stands at least before the member is gone
	Silence  int64 // silence on every path after which no second voice is needed
	Returns  int   // beats long it is heard without a gap before it is back; doubled for each return in the last minutes
	Watchers int   // members that hear every beat of one
	Turns    int   // further members a beat, in turn through the list; their beats carry words
	Words    int   // words a letter to those
	Agree    int   // voices that have to agree before a doubt becomes gone, the own included; fewer where fewer are left
}

// Usual is the timing of a fleet of n. In a vast one, where most pairs hear one another seldom, questions get more time.
func Usual(n int) Timing {
	t := Timing{Beat: 250_000, Returns: 3, Watchers: 5, Turns: 1, Words: 8, Agree: 3}
	t.Ask, t.Doubt, t.Confirm, t.Silence = 2*t.Beat, 5*t.Beat, 3*t.Beat, 30*t.Beat
	if n > 100 {
		t.Words, t.Doubt, t.Confirm, t.Silence = 4, 8*t.Beat, 4*t.Beat, int64(3*n)*t.Beat
	}
	return t
}

const (
	probes    = 32         // members asked about at once; the rest wait their turn
	asks      = 2          // others asked on each of them a beat
	doubtersN = 8          // voices remembered on one member; more change nothing
	pastN     = 4          // former folders remembered of one member
	flapsMost = 4          // doublings of Returns at most
	flapFade  = 60_000_000 // µs after which one return is forgotten
	leap      = 1 << 20    // an incarnation further ahead than this of what is known is refused
	lately    = 30_000_000 // µs for which a change is told in turn
	copies    = 6          // letters that carry a change, for each member that takes it in
	wholeGap  = 1_000_000  // µs between two whole lists to one asker
	wholeMost = 64         // words a letter of a whole list
	mostWords = 256        // in any letter; more is refused
)

// start is one start of a member on one folder.
type start struct{ folder, incarnation uint64 }

type peer struct {
	Member
	id       uint32
	beat     uint64 // newest heard of in this incarnation
	heard    int64  // when that one left, as far as ages tell
	watched  bool   // it counts on us to hear every beat
	asked    int64  // since when it is in question here; 0 for not
	doubters []string
	base     int64 // when its way back began; 0 for none
	pinged   int64 // when it was asked in its turn; 0 for answered
	lived    bool  // it has been alive since it was first heard of, or last left
	flaps    int
	flapped  int64
	hot      int // letters that shall still carry its word
	whole    int64
	past     []start
}

// Counts of what was refused, by cause.
type Counts struct{ Unlisted, Stale, Absurd, Twin uint64 }

// Fleet is one sender's watch over the listed others. Not for use by several goroutines at once.
type Fleet struct {
	t       Timing
	self    *peer
	peers   []*peer // others, sorted by name
	byName  map[string]*peer
	byID    map[uint32]*peer // nil where two names share an id: those are judged by their own beats alone
	ring    []*peer          // others in the order in which we count on them to watch us
	epoch   uint64
	next    int64 // of our next beat
	last    int64 // latest Tick
	turn    int   // place in the list of whom the next beat goes to
	asking  int   // counts questions, so that watchers are asked by turns
	late    int   // place of the next word on a late change
	fill    int   // place of the next word that fills a letter
	begun   bool
	leaving bool
	counts  Counts
}

// New watches over listed. incarnation and folder are self's own, both above zero.
func New(self string, listed []string, incarnation, folder uint64, t Timing) *Fleet {
	f := &Fleet{t: t, byName: map[string]*peer{}, byID: map[uint32]*peer{}, epoch: 1}
	names := append([]string{self}, listed...)
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		p := &peer{Member: Member{Name: name, State: Doubted}, id: ident(name)}
		f.byName[name] = p
		if _, twin := f.byID[p.id]; twin {
			f.byID[p.id] = nil
		} else {
			f.byID[p.id] = p
		}
		if name != self {
			f.peers = append(f.peers, p)
		}
	}
	f.self = f.byName[self]
	f.self.State, f.self.Incarnation, f.self.Folder = Alive, incarnation, folder
	f.ring = slices.Clone(f.peers)
	slices.SortFunc(f.ring, func(a, b *peer) int {
		x, y := a.id-f.self.id, b.id-f.self.id // distance around the ring of ids
		if x == y {
			return 0
		}
		if x < y {
			return -1
		}
		return 1
	})
	if n := len(f.peers); n > 0 { // members do not all begin with the same one
		f.turn, f.asking, f.fill = int(f.self.id)%n, int(f.self.id/7)%n, int(f.self.id/31)%n
	}
	return f
}

func ident(name string) uint32 {
	h := xxhash.Sum64String(name)
	return uint32(h ^ h>>32)
}

// View is the fleet as seen now.
func (f *Fleet) View() View {
	v := View{Self: f.self.Name, Epoch: f.epoch, Members: make([]Member, 0, len(f.byName))}
	for _, p := range f.peers {
		v.Members = append(v.Members, p.Member)
	}
	v.Members = append(v.Members, f.self.Member)
	slices.SortFunc(v.Members, func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return v
}

// Epoch is that of View, without its cost.
func (f *Fleet) Epoch() uint64 { return f.epoch }

// Counts tells what was refused so far.
func (f *Fleet) Counts() Counts { return f.counts }

// event is what may change a member's state.
type event uint8

const (
	started event = iota // it is known to run in a newer incarnation or on another folder
	steady               // it beat often enough in a row
	silent               // it was asked for in vain
	agreed               // enough others found the same, and for long enough
	told                 // it said that it leaves
)

// step is the only place where a member's state, incarnation or folder changes.
func (f *Fleet) step(now int64, p *peer, e event, s start) {
	was := p.Member
	switch {
	case e == started:
		if p.Folder != 0 && p.Folder != s.folder {
			p.past = append(p.past, start{p.Folder, p.Incarnation})
			p.past = p.past[max(0, len(p.past)-pastN):]
		}
		p.Folder, p.Incarnation, p.beat = s.folder, s.incarnation, 0
		if p.State == Left {
			p.State, p.lived = Gone, false // until it has beaten often enough; to leave is not to flap
		}
		p.base = 0
	case e == told:
		p.State = Left
	case e == steady && (p.State == Doubted || p.State == Gone):
		p.State = Alive
	case e == silent && p.State == Alive:
		p.State = Doubted
	case e == agreed && p.State == Doubted:
		p.State = Gone
	}
	if p.Member != was {
		p.Since, p.hot = now, copies
		f.epoch++
	}
}

// Leaving tells all that this sender leaves with its folder kept. Afterwards Tick says nothing more.
func (f *Fleet) Leaving(now int64) []post.Letter[Msg] {
	f.begin(now)
	f.leaving = true
	m := f.own()
	m.Flags = flagLeaves
	return []post.Letter[Msg]{{Slot: "beat", Msg: m}}
}

func (f *Fleet) begin(now int64) {
	if f.begun {
		return
	}
	f.begun, f.next, f.last, f.self.Since = true, now, now, now
	for _, p := range f.peers {
		p.heard, p.Since = now, now
	}
}

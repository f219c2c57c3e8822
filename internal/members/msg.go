package members

// Flags of a letter.
const (
	flagWatch  uint8 = 1 << iota // the receiver hears every beat and is counted on
	flagAnswer                   // a beat in return is wanted
	flagWhole                    // so is the whole list
	flagLeaves                   // the sender of it leaves
)

// Msg is a beat: that its sender lives, and what it heard of others. All keys are optional for a decoder; unknown ones are ignored.
type Msg struct {
	Incarnation uint64   `cbor:"1,keyasint"`
	Folder      uint64   `cbor:"2,keyasint"`
	Beat        uint64   `cbor:"3,keyasint"` // counts from 1 in each incarnation
	Flags       uint8    `cbor:"4,keyasint,omitempty"`
	Words       []Word   `cbor:"5,keyasint,omitempty"`
	Asked       []uint32 `cbor:"6,keyasint,omitempty"` // members whom the sender of it has not heard for a while
}

// What a word says of a member.
const (
	saidHeard uint8 = iota
	saidDoubt       // asked for in vain by the one who says it
	saidGone        // and by others
	saidLeft
)

// Word is what one member knows of another: its newest beat, and how long ago that was.
type Word struct {
	_           struct{} `cbor:",toarray"`
	Member      uint32   // hash of its name
	Incarnation uint64
	Folder      uint64
	Beat        uint64
	Age         uint32 // ms, rounded up; travel is not in it
	Said        uint8
}

func (f *Fleet) own() Msg {
	return Msg{Incarnation: f.self.Incarnation, Folder: f.self.Folder, Beat: f.self.beat}
}

func (f *Fleet) word(now int64, p *peer) Word {
	said := saidHeard
	switch p.State {
	case Doubted:
		if p.asked > 0 && now-p.asked >= f.t.Ask && now-p.heard >= f.t.Doubt {
			said = saidDoubt
		}
	case Gone:
		said = saidGone
	case Left:
		said = saidLeft
	}
	age := min(max(0, (now-p.heard+999)/1000), 1<<31)
	return Word{Member: p.id, Incarnation: p.Incarnation, Folder: p.Folder, Beat: p.beat, Age: uint32(age), Said: said}
}

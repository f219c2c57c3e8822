// Package told decides which list of receivers stands, and keeps what a sender was told of them over a restart: an older list, from whatever
// source, must not take a newer one's place, or messages go to receivers that are gone, and to whoever has their addresses by now.
package told

// Verdict is what becomes of a list that came in.
type Verdict uint8

// The verdicts.
const (
	Stands Verdict = iota // it is as new as what is known, or newer
	Older                 // what is known stays in force
	Begins                // discovery numbers anew: all that is known gives way
)

// renumberedAfter is for how long discovery may have nothing but older lists until it counts as numbering anew. An agent runs 9 s behind for half
// a minute at most.
const renumberedAfter = int64(120_000_000) // µs

// Standing is the revision that stands. It has no I/O and no clock.
type Standing struct {
	Revision int64

	older int64 // µs; since when lists were older, 0 where the latest was not
}

// Hear decides on a list of a revision, at a time in µs. Of one that is told as Begins the whole list has to be asked for.
func (s *Standing) Hear(revision, now int64) Verdict {
	switch {
	case revision >= s.Revision:
		s.Revision, s.older = revision, 0
		return Stands
	case s.older == 0:
		s.older = now
	case now-s.older >= renumberedAfter:
		s.Revision, s.older = 0, 0
		return Begins
	}
	return Older
}

// filePart is how much of the folder the file of what was told may have: one byte in so many; its next version stands beside it for a moment.
const filePart = 100

// Room is how many bytes the file may have in a folder with a limit in bytes.
func Room(disk int64) int64 { return disk / filePart }

package fleetlog

import "sync"

// otherPart: one byte in so many of the room is kept from channels, so that an order to purge finds a place in a log full of them.
const otherPart = 8

// usage is how many bytes records take, as they are counted.
type usage struct{ channels, other int64 }

func (u *usage) add(b Bucket, n int64) {
	if b == Channels {
		u.channels += n
	} else {
		u.other += n
	}
}

// room divides the bytes of records between channels, which claim theirs before they write, and the other modules. Its lock is a leaf
// and is held over no I/O.
type room struct {
	mu      sync.Mutex
	most    int64 // bytes
	claimed int64 // by channels
	other   int64 // taken by the other modules, also by a step under way
}

// Room is how many bytes of records a log of so many bytes may hold.
func Room(most int64) int64 { return (most - 2*base) / livePart }

func channelPart(room int64) int64 { return room - room/otherPart }

// claim keeps so many bytes for records of channels, in the place of those claimed before. False: they are not to be had, and the
// claim stands as it was.
func (r *room) claim(bytes int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if bytes > r.claimed && (bytes > channelPart(r.most) || bytes+r.other > r.most) {
		return false
	}
	r.claimed = bytes
	return true
}

// admit says whether a step may take the records from one usage to another. What does not grow is always let through.
func (r *room) admit(from, to usage) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if to.channels > from.channels && to.channels+to.other > r.most {
		return ErrFull
	}
	if to.other > from.other && to.other+max(to.channels, r.claimed) > r.most {
		return ErrFull
	}
	r.other = to.other
	return nil
}

func (r *room) otherIs(bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.other = bytes
}

// Claim keeps so many bytes for records of channels, in the place of those claimed before. False: there is no room for them, and the
// claim stands as it was. It waits for no I/O.
func (l *Log) Claim(bytes int64) bool { return l.room.claim(bytes) }

// ChannelRoom is how many bytes channels may claim.
func (l *Log) ChannelRoom() int64 { return channelPart(l.room.most) }

// Cost is how many bytes a record counts towards the room.
func Cost(key, value int) int64 { return sealedCost(key, sealed+value) }

// LargestValue is how many bytes a record's value may have.
const LargestValue = mostValue

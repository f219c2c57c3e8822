package transport

import "time"

// What clients' connections may hold together, and who gives way where that is short. Each connection has a small part of the memory of its
// own; a command beyond that takes its bytes from one bound that all connections share, so that neither the number of connections nor what they
// announce decides how much memory the process needs.

const (
	connectionCost = 20 << 10 // bytes that a connection takes beside a long command: its goroutine's stack, buffers and a short command
	connectionPart = 4        // of the memory, one part in so many is for connections
	commandPart    = 8        // and one part in so many for long commands that are being read or decided on

	grantWait   = 200 * time.Millisecond // for bytes of a long command to come free; the client leaves after 400
	stalledFrom = 100 * time.Millisecond // without a byte, from which a command that holds bytes gives way to one that waits for them
)

// ClientBounds is what clients may hold together.
type ClientBounds struct {
	Connections  int
	CommandBytes int64 // of long commands
}

// BoundsFor gives the bounds for a memory limit in bytes and the most connections that descriptors allow.
func BoundsFor(memory int64, descriptors int) ClientBounds {
	return ClientBounds{Connections: max(1, min(descriptors, int(memory/connectionPart/connectionCost))), CommandBytes: memory / commandPart}
}

// holder is a connection whose command holds bytes, as the decision on who gives way sees it.
type holder struct {
	served  bool      // it has had a command answered before
	leaves  bool      // it was told to go already
	begun   time.Time // when its command began
	latest  time.Time // when its latest byte came
	command time.Duration
}

// givesWay tells whether a command that holds bytes may be cut off for one that waits for them: it stalls, or takes longer than a usual client
// does. To a client that was served before, one that never was gives way at once.
func (h holder) givesWay(now time.Time, toServed bool) bool {
	switch {
	case h.leaves:
		return false
	case toServed && !h.served:
		return true
	}
	return now.Sub(h.latest) >= stalledFrom || now.Sub(h.begun) >= h.command
}

// compare orders holders by who gives way sooner: those that were never served, then those that stall longest.
func (h holder) compare(o holder) int {
	switch {
	case h.served != o.served && o.served:
		return -1
	case h.served != o.served:
		return 1
	}
	return h.latest.Compare(o.latest)
}

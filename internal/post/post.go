// Package post defines the messages that a decision module of the fleet sends to other senders. It transports nothing
// itself: the runtime in internal/fleet encodes the messages and hands them to internal/links.
package post

// PeerMessage is one message to other senders. Msg is the module's own type, encoded by the runtime.
type PeerMessage[M any] struct {
	To   string // a member's name; empty for all other members
	Slot string // identifies the fact: a newer message replaces a queued one with the same slot and member
	Msg  M
}

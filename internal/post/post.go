// Package post is what a decision module of the fleet wants other senders told. It carries nothing itself: the runtime in
// internal/fleet encodes letters and hands them to internal/links.
package post

// Letter is one thing to be told. M is the module's own kind of message, encoded by the runtime.
type Letter[M any] struct {
	To   string // a member's name; empty for every other member
	Slot string // names the fact: a newer letter of a slot takes the place of an older one that still waits for the same member
	Msg  M
}

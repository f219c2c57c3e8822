package fleettest

import (
	"strings"
	"testing"
	"time"

	"ravenlink/internal/links"
)

// Compares whole exchanges with the approved transcripts. Each scenario is written so that events happen one at a time.
func TestTranscripts(t *testing.T) {
	t.Parallel()
	hello := Message{ID: "m1", Class: "again", Dst: 7, Body: "hello"}
	ended := func(r *Rig, ids ...string) {
		for _, id := range ids {
			r.Until(id+" ends", func(rec Record) bool { return rec.Ended(id) })
		}
	}
	called := func(r *Rig, n int) {
		r.Until("calls are answered", func(rec Record) bool { return len(rec.Calls) >= n && rec.Calls[n-1].Answered > 0 })
	}
	for name, c := range map[string]struct {
		operator func(*Sender) string
		play     func(r *Rig, s *Transcript)
	}{
		"told-wait": {nil, func(r *Rig, s *Transcript) {
			r.Conduct(7, Conduct{Status: 429, RetryAfter: 400 * time.Millisecond})
			r.Client(0).HandIn(hello)
			called(r, 1)
			s.Phase("the destination sends a retry-after")
			r.Conduct(7, Conduct{})
			ended(r, "m1")
			s.Phase("the message is delivered after it")
		}},
		"errored-once": {nil, func(r *Rig, s *Transcript) {
			r.Conduct(7, Conduct{Status: 500})
			r.Client(0).HandIn(Message{ID: "m1", Class: "once", Dst: 7, Body: "hello"})
			ended(r, "m1")
			s.Phase("a non-retriable message that may have run fails")
			r.Sender("a").Term()
			s.Disk(r.Sender("a"))
		}},
		"no-answer": {nil, func(r *Rig, s *Transcript) {
			m := hello
			m.Timeout = 2 * time.Second // senders allow for delays of 0.15 s; a busy machine can delay one for more than 0.3 s
			r.Conduct(7, Conduct{Silent: true})
			r.Client(0).HandIn(m)
			ended(r, "m1")
			s.Phase("no answer before the message's deadline")
		}},
		"bad-hand-ins": {nil, func(r *Rig, s *Transcript) {
			c := r.Client(2)
			c.HandIn(Message{ID: "m1", Class: "no-such", Dst: 7})
			c.HandIn(Message{ID: "m2", Class: "once", Dst: 7, Timeout: -time.Second})
			c.HandIn(Message{ID: "a b", Class: "once", Dst: 7})
			c.HandIn(Message{ID: "m3", Class: "once", Dst: 99})
			c.HandIn(Message{ID: "m4", Class: "once", Dst: 7, Channel: "x", Pos: 1})
			s.Phase("invalid hand-ins")
		}},
		"same-id-twice": {nil, func(r *Rig, s *Transcript) {
			r.Conduct(7, Conduct{Silent: true})
			c := r.Client(0)
			c.HandIn(hello)
			r.Until("the leg is open", func(rec Record) bool { return len(rec.Calls) == 1 })
			c.HandIn(hello)
			s.Phase("the ID of an open message is handed in again")
		}},
		"drain-and-back": {nil, func(r *Rig, s *Transcript) {
			r.Conduct(7, Conduct{Silent: true})
			m := hello
			m.Timeout = 20 * time.Second
			r.Client(0).HandIn(m)
			r.Until("the leg is open", func(rec Record) bool { return len(rec.Calls) == 1 })
			r.Sender("a").Term()
			s.Phase("a drains with an open leg that is not answered")
			s.Disk(r.Sender("a"))
			r.Conduct(7, Conduct{})
			r.Sender("a").Start()
			ended(r, "m1")
			s.Phase("a is back and delivers it")
		}},
		"old-copy-of-a-folder": {nil, func(r *Rig, s *Transcript) {
			a := r.Sender("a")
			r.Conduct(7, Conduct{Silent: true})
			m := hello
			m.Class, m.Timeout = "notice", 20*time.Second
			r.Client(0).HandIn(m)
			r.Until("the leg is open", func(rec Record) bool { return len(rec.Calls) == 1 })
			a.Kill()
			a.SaveFolder("owing")
			s.Phase("a is killed while it owes a message, and its folder is copied")
			r.Conduct(7, Conduct{})
			a.Start()
			ended(r, "m1")
			a.Term()
			s.Phase("a delivers it")
			s.Disk(a)
			a.RestoreFolder("owing")
			s.Disk(a)
			a.Start()
			r.Until("it is delivered again", func(rec Record) bool { return len(rec.Calls) == 3 && rec.Calls[2].Answered > 0 })
			s.Phase("a restarts on the copy and delivers it again, with the same key")
		}},
		"client-goes-on-elsewhere": {nil, func(r *Rig, s *Transcript) {
			c := r.Client(0)
			c.HandIn(hello)
			ended(r, "m1")
			r.Sender("a").Kill()
			s.Phase("a is killed while a client is connected")
			c.HandIn(Message{ID: "m2", Class: "again", Dst: 7, Body: "lost on the way"})
			c.HandIn(Message{ID: "m3", Class: "again", Dst: 7, Body: "hello again"})
			ended(r, "m3")
			s.Phase("the client continues at b")
		}},
		"fleet-told-wait": {fleetOperatorFile, func(r *Rig, s *Transcript) {
			r.Until("all have synced", func(rec Record) bool { return len(rec.Posts) > 60 })
			r.Conduct(8, Conduct{Status: 429, RetryAfter: 2 * time.Second})
			m := hello
			m.Dst, m.Timeout = 8, 8*time.Second
			r.Client(0).HandIn(m)
			called(r, 1)
			r.Until("b and c have the fact", func(rec Record) bool { return rec.factSeen("a", "b", newFacts) && rec.factSeen("a", "c", newFacts) })
			r.Conduct(8, Conduct{})
			s.Phase("a gets a retry-after and announces it to b and c")
			s.Links(newFacts)
			ended(r, "m1")
			s.Phase("a delivers the message after it")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := New(t, Setup{Senders: 3, Destinations: []int64{7, 8}, OperatorFile: c.operator})
			r.Start()
			s := r.Transcript()
			s.Phase("three senders start")
			c.play(r, s)
			s.Compare(name)
		})
	}
}

// newFacts labels verdicts that a observed itself, when they are new. What senders relay of each other depends on timing.
func newFacts(p Post, f links.Frame) string {
	if p.From == "a" && f.Kind == links.Verdicts && strings.HasPrefix(f.Slot, "new/") {
		return "new fact about a destination"
	}
	return ""
}

// factSeen reports whether a fact with a label was delivered over a link.
func (r Record) factSeen(from, to string, label func(Post, links.Frame) string) bool {
	for _, p := range r.Posts {
		for _, f := range p.Frames {
			if p.From == from && p.To == to && p.Outcome == "delivered" && label(p, f) != "" {
				return true
			}
		}
	}
	return false
}

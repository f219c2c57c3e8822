package fleettest

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"ravenlink/internal/members"
	"ravenlink/internal/post"
	"ravenlink/internal/purge"
)

// purgeNode is the purge machine of one sender, with the content of its folder.
type purgeNode struct {
	s           *purgeSimulation
	name        string
	machine     *purge.Machine
	folder      purgeFolder
	incarnation uint64
	starts      uint64
}

type purgeFolder struct {
	id         uint64
	snapshot   purge.Snapshot
	seq        int64
	messages   map[string][]int64 // sequence numbers of the accepted messages, by tenant
	eraseFails bool               // erasing returns an error
}

func (f purgeFolder) clone() purgeFolder {
	c := f
	c.messages = map[string][]int64{}
	for t, all := range f.messages {
		c.messages[t] = slices.Clone(all)
	}
	return c
}

type purgeSimulation struct {
	*simulation[purge.Msg]
	all map[string]*purgeNode
}

func newPurgeSimulation(t *testing.T) *purgeSimulation {
	s := &purgeSimulation{newSimulation[purge.Msg](t), map[string]*purgeNode{}}
	s.tickInterval = second / 10
	s.phase("three senders, each with two messages of acme and one of bee")
	for i, name := range s.names {
		e := &purgeNode{s: s, name: name, folder: purgeFolder{id: uint64(0x10 + i), seq: 3, messages: map[string][]int64{"acme": {1, 3}, "bee": {2}}}}
		s.all[name], s.nodes[name] = e, e
		s.start(name)
	}
	s.updateViews()
	s.advance(2 * second)
	return s
}

func (s *purgeSimulation) start(name string) {
	e := s.all[name]
	s.down[name] = false
	e.incarnation++
	e.starts++
	e.machine = purge.New(purge.Identity{Name: name, Folder: e.folder.id, Incarnation: e.incarnation, BootID: e.starts << 8}, []string{"acme", "bee"}, e.folder.snapshot)
	s.logf("%s starts on folder %02x, which holds %v", name, e.folder.id, e.folder.messages)
	s.send(name, e.apply(e.machine.Start(s.now)))
}

func (s *purgeSimulation) kill(name string) {
	s.logf("%s is killed", name)
	s.down[name] = true
}

// updateViews gives all senders their view of the members: who is down or cut off is dead to them.
func (s *purgeSimulation) updateViews() {
	for _, name := range s.names {
		if s.down[name] {
			continue
		}
		v := members.View{Self: name, Epoch: uint64(s.now)}
		for _, other := range s.names {
			e := s.all[other]
			m := members.Member{Name: other, Incarnation: e.incarnation, Folder: e.folder.id, Since: s.now}
			if s.down[other] || s.cut[[2]string{other, name}] {
				m.State = members.Dead
			}
			v.Members = append(v.Members, m)
		}
		s.send(name, s.all[name].apply(s.all[name].machine.UpdateMembers(s.now, v)))
	}
}

func (e *purgeNode) tick(now int64) []post.PeerMessage[purge.Msg] {
	return e.apply(e.machine.Tick(now))
}

func (e *purgeNode) receive(now int64, from string, m purge.Msg) []post.PeerMessage[purge.Msg] {
	return e.apply(e.machine.Receive(now, from, m))
}

// apply applies the effects of an event: it saves the snapshot first, then performs the actions, each of which finishes at once.
func (e *purgeNode) apply(out purge.Effects) []post.PeerMessage[purge.Msg] {
	if out.Save {
		e.folder.snapshot = e.machine.Snapshot()
	}
	for _, n := range out.LogLines {
		e.s.logf("%s logs: %s", e.name, n)
	}
	messages := out.PeerMessages
	for _, a := range out.Actions {
		messages = append(messages, e.apply(e.machine.HandleResult(e.s.now, e.perform(a)))...)
	}
	return messages
}

func (e *purgeNode) perform(a purge.Action) purge.ActionResult {
	d := purge.ActionResult{Kind: a.Kind, Key: a.Key, Round: a.Round}
	old := func(seq int64) bool { return seq <= a.Cutoff }
	mine := e.folder.messages[a.Key.Tenant]
	switch a.Kind {
	case purge.Fence:
		d.Cutoff = e.folder.seq
		e.s.logf("%s: %s is fenced at %d", e.name, a.Key, d.Cutoff)
	case purge.Recall:
		d.Counts.EndedMessages = int64(len(mine))
	case purge.Erase:
		if e.folder.eraseFails {
			d.Failure = "disk full"
			break
		}
		n := len(mine)
		e.folder.messages[a.Key.Tenant] = slices.DeleteFunc(mine, old)
		d.Counts.DeadLetters = int64(n - len(e.folder.messages[a.Key.Tenant]))
		e.s.logf("%s: %s erases %d up to %d", e.name, a.Key, d.Counts.DeadLetters, a.Cutoff)
	case purge.Verify:
		if slices.ContainsFunc(mine, old) {
			d.Remaining = 1
		}
		e.s.logf("%s: %s verifies the files: %d remaining; they hold %v", e.name, a.Key, d.Remaining, e.folder.messages)
	case purge.Post:
		d.Notice = a.Notice.ID
		e.s.logf("%s to the customer, %s: %s", e.name, a.Notice.ID, a.Notice.Body)
	}
	return d
}

func (s *purgeSimulation) order(at, more string) {
	text := fmt.Sprintf(`{"order":"purge","tenant":"acme","scope":"all","tell":{"destination":9,"lane":"again"}%s}`, more)
	s.orderText(at, text)
}

func (s *purgeSimulation) orderText(at, text string) {
	s.logf("customer to %s: %s", at, text[:min(len(text), 200)])
	o, err := purge.Parse([]byte(text))
	if err == nil {
		var out purge.Effects
		if out, err = s.all[at].machine.Accept(s.now, o); err == nil {
			s.logf("%s to customer: +OK", at)
			s.send(at, s.all[at].apply(out))
			return
		}
	}
	s.logf("%s to customer: -ERR %s", at, strings.ReplaceAll(err.Error(), "\n", "; "))
}

func TestTranscriptsOfPurges(t *testing.T) {
	t.Parallel()
	one := `,"id":"one"`
	for name, run := range map[string]func(s *purgeSimulation){
		"split": func(s *purgeSimulation) {
			s.phase("c is cut off; the order is handed in at a")
			s.setCut("c", "ab", true)
			s.updateViews()
			s.order("a", one)
			s.advance(10 * second)
			s.phase("after five minutes the customer is notified which senders are missing")
			s.advance(300 * second)
			s.phase("the partition heals")
			s.setCut("c", "ab", false)
			s.updateViews()
			s.advance(5 * second)
		},
		"down-old-folder": func(s *purgeSimulation) {
			old := s.all["c"].folder.clone()
			s.phase("c is down when the order is handed in at a")
			s.kill("c")
			s.updateViews()
			s.order("a", one)
			s.advance(10 * second)
			s.phase("c is back with its folder")
			s.start("c")
			s.updateViews()
			s.advance(5 * second)
			s.phase("c is killed and restarted with a copy of its folder from before the purge")
			s.kill("c")
			s.updateViews()
			s.all["c"].folder = old
			s.start("c")
			s.updateViews()
			s.advance(5 * second)
		},
		"coordinator-killed": func(s *purgeSimulation) {
			s.phase("a accepts the order; its copies reach b and c, and it is killed before their replies arrive")
			s.order("a", one)
			s.now += networkDelay
			for len(s.inFlight) > 0 { // messages from a arrive, the replies do not
				l := s.inFlight[0]
				s.inFlight = s.inFlight[1:]
				if l.from == "a" {
					s.send(l.to, s.nodes[l.to].receive(s.now, l.from, l.m))
				}
			}
			s.kill("a")
			s.updateViews()
			s.phase("40 s without a message from the coordinator: another one takes over, and waits for a's folder")
			s.advance(60 * second)
			s.phase("a is back with its folder")
			s.start("a")
			s.updateViews()
			s.advance(60 * second)
		},
		"folder-lost": func(s *purgeSimulation) {
			s.phase("c's folder is lost: it starts on a new one, and the order is handed in at b")
			s.kill("c")
			s.updateViews()
			s.all["c"].folder, s.all["c"].incarnation = purgeFolder{id: 0x99, messages: map[string][]int64{}}, 0
			s.start("c")
			s.updateViews()
			s.order("b", one)
			s.advance(10 * second)
			s.phase("the operator declares folder 12 of c destroyed")
			for _, name := range s.names {
				s.send(name, s.all[name].apply(s.all[name].machine.DeclareDestroyed(s.now, "c", 0x12, "operator's file")))
			}
			s.advance(5 * second)
		},
		"disk-full": func(s *purgeSimulation) {
			s.phase("b's disk is full when the order is handed in at a")
			s.all["b"].folder.eraseFails = true
			s.order("a", one)
			s.advance(7 * second)
			s.phase("b's disk has free space again")
			s.all["b"].folder.eraseFails = false
			s.advance(6 * second)
		},
		"orders-refused": func(s *purgeSimulation) {
			s.phase("invalid orders")
			s.orderText("a", `purge acme`)
			s.order("a", one+`,"why":"gdpr"`)
			s.order("a", one+`,"id":"two"`)
			s.order("a", one+`}{`)
			s.order("a", ``)
			s.orderText("a", `{"order":"erase","tenant":"acme","scope":"all","id":"one","tell":{"destination":9,"lane":"again"}}`)
			s.orderText("a", `{"order":"purge","tenant":"acme","scope":"some","id":"one","tell":{"destination":9,"lane":"again"}}`)
			s.orderText("a", `{"order":"purge","tenant":"nobody","scope":"all","id":"one","tell":{"destination":9,"lane":"again"}}`)
			s.orderText("a", `{"order":"cancel","tenant":"acme","id":"one"}`)
			s.orderText("a", `{"order":"purge","tenant":"acme","scope":"all","id":"`+strings.Repeat("long", 600)+`"}`)
		},
		"orders-together": func(s *purgeSimulation) {
			s.phase("c is down; one order is replaced by another, which is handed in again, also at b, and cancelled")
			s.kill("c")
			s.updateViews()
			s.order("a", one)
			s.advance(second)
			s.order("a", `,"id":"two","replaces":"one"`)
			s.advance(second)
			s.order("a", `,"id":"two","replaces":"one"`)
			s.order("b", `,"id":"two","replaces":"one"`)
			s.order("b", `,"id":"two"`)
			s.advance(second)
			s.orderText("a", `{"order":"cancel","tenant":"acme","id":"two"}`)
			s.advance(second)
			s.phase("c is back: fences stay in force")
			s.start("c")
			s.updateViews()
			s.advance(5 * second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newPurgeSimulation(t)
			run(s)
			s.compare("purge-" + name)
		})
	}
}

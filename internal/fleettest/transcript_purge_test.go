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

// purgePart is one sender's part in purges, with what its folder holds: where each message was taken on, by tenant.
type purgePart struct {
	s       *purgeStage
	name    string
	machine *purge.Machine
	folder  purgeFolder
	life    uint64
	started uint64
}

type purgeFolder struct {
	number uint64
	memo   purge.Memo
	seq    int64
	items  map[string][]int64
	slow   bool // erasing faults
}

func (f purgeFolder) copied() purgeFolder {
	c := f
	c.items = map[string][]int64{}
	for t, all := range f.items {
		c.items[t] = slices.Clone(all)
	}
	return c
}

type purgeStage struct {
	*stage[purge.Msg]
	all map[string]*purgePart
}

func newPurgeStage(t *testing.T) *purgeStage {
	s := &purgeStage{newStage[purge.Msg](t), map[string]*purgePart{}}
	s.turn = sec / 10
	s.phase("three senders, each with two messages of acme and one of bee")
	for i, name := range s.names {
		e := &purgePart{s: s, name: name, folder: purgeFolder{number: uint64(0x10 + i), seq: 3, items: map[string][]int64{"acme": {1, 3}, "bee": {2}}}}
		s.all[name], s.parts[name] = e, e
		s.start(name)
	}
	s.look()
	s.pass(2 * sec)
	return s
}

func (s *purgeStage) start(name string) {
	e := s.all[name]
	s.down[name] = false
	e.life++
	e.started++
	e.machine = purge.New(purge.Me{Name: name, Folder: e.folder.number, Incarnation: e.life, Boot: e.started << 8}, []string{"acme", "bee"}, e.folder.memo)
	s.say("%s starts on folder %02x, which holds %v", name, e.folder.number, e.folder.items)
	s.send(name, e.do(e.machine.Begin(s.now)))
}

func (s *purgeStage) kill(name string) {
	s.say("%s is killed", name)
	s.down[name] = true
}

// look gives all senders their view: who is down or cut off is gone to them.
func (s *purgeStage) look() {
	for _, name := range s.names {
		if s.down[name] {
			continue
		}
		v := members.View{Self: name, Epoch: uint64(s.now)}
		for _, other := range s.names {
			e := s.all[other]
			m := members.Member{Name: other, Incarnation: e.life, Folder: e.folder.number, Since: s.now}
			if s.down[other] || s.apart[[2]string{other, name}] {
				m.State = members.Gone
			}
			v.Members = append(v.Members, m)
		}
		s.send(name, s.all[name].do(s.all[name].machine.Seen(s.now, v)))
	}
}

func (e *purgePart) tick(now int64) []post.Letter[purge.Msg] { return e.do(e.machine.Tick(now)) }

func (e *purgePart) hear(now int64, from string, m purge.Msg) []post.Letter[purge.Msg] {
	return e.do(e.machine.Hear(now, from, m))
}

// do carries out what comes of an event: the disk first, then acts, each of which is done at once.
func (e *purgePart) do(out purge.Out) []post.Letter[purge.Msg] {
	if out.Save {
		e.folder.memo = e.machine.Memo()
	}
	for _, n := range out.Notes {
		e.s.say("%s notes: %s", e.name, n)
	}
	letters := out.Letters
	for _, a := range out.Acts {
		letters = append(letters, e.do(e.machine.Did(e.s.now, e.act(a)))...)
	}
	return letters
}

func (e *purgePart) act(a purge.Act) purge.Done {
	d := purge.Done{Kind: a.Kind, Key: a.Key, Round: a.Round}
	old := func(seq int64) bool { return seq <= a.Cut }
	mine := e.folder.items[a.Key.Tenant]
	switch a.Kind {
	case purge.Fence:
		d.Cut = e.folder.seq
		e.s.say("%s: %s is fenced at %d", e.name, a.Key, d.Cut)
	case purge.Recall:
		d.Counts.Ended = int64(len(mine))
	case purge.Erase:
		if e.folder.slow {
			d.Fault = "disk full"
			break
		}
		n := len(mine)
		e.folder.items[a.Key.Tenant] = slices.DeleteFunc(mine, old)
		d.Counts.Kept = int64(n - len(e.folder.items[a.Key.Tenant]))
		e.s.say("%s: %s erases %d up to %d", e.name, a.Key, d.Counts.Kept, a.Cut)
	case purge.Verify:
		if slices.ContainsFunc(mine, old) {
			d.Found = 1
		}
		e.s.say("%s: %s reads the files back, found %d; they hold %v", e.name, a.Key, d.Found, e.folder.items)
	case purge.Post:
		d.Notice = a.Notice.ID
		e.s.say("%s to the customer, %s: %s", e.name, a.Notice.ID, a.Notice.Body)
	}
	return d
}

func (s *purgeStage) order(at, more string) {
	text := fmt.Sprintf(`{"order":"purge","tenant":"acme","scope":"all","tell":{"destination":9,"lane":"again"}%s}`, more)
	s.orderText(at, text)
}

func (s *purgeStage) orderText(at, text string) {
	s.say("customer to %s: %s", at, text[:min(len(text), 200)])
	o, err := purge.Parse([]byte(text))
	if err == nil {
		var out purge.Out
		if out, err = s.all[at].machine.Accept(s.now, o); err == nil {
			s.say("%s to customer: +OK", at)
			s.send(at, s.all[at].do(out))
			return
		}
	}
	s.say("%s to customer: -ERR %s", at, strings.ReplaceAll(err.Error(), "\n", "; "))
}

func TestTranscriptsOfPurges(t *testing.T) {
	t.Parallel()
	one := `,"id":"one"`
	for name, story := range map[string]func(s *purgeStage){
		"split": func(s *purgeStage) {
			s.phase("c is cut off; the order comes in at a")
			s.cut("c", "ab", true)
			s.look()
			s.order("a", one)
			s.pass(10 * sec)
			s.phase("after five minutes the customer hears who is missing")
			s.pass(300 * sec)
			s.phase("the cut heals")
			s.cut("c", "ab", false)
			s.look()
			s.pass(5 * sec)
		},
		"down-old-folder": func(s *purgeStage) {
			old := s.all["c"].folder.copied()
			s.phase("c is down when the order comes in at a")
			s.kill("c")
			s.look()
			s.order("a", one)
			s.pass(10 * sec)
			s.phase("c is back with its folder")
			s.start("c")
			s.look()
			s.pass(5 * sec)
			s.phase("c is killed and comes back with a copy of its folder from before all this")
			s.kill("c")
			s.look()
			s.all["c"].folder = old
			s.start("c")
			s.look()
			s.pass(5 * sec)
		},
		"coordinator-killed": func(s *purgeStage) {
			s.phase("a takes the order on; its copies reach b and c, and it is killed before their words reach it")
			s.order("a", one)
			s.now += onWay
			for len(s.mail) > 0 { // what a has sent arrives; the answers do not
				l := s.mail[0]
				s.mail = s.mail[1:]
				if l.from == "a" {
					s.send(l.to, s.parts[l.to].hear(s.now, l.from, l.m))
				}
			}
			s.kill("a")
			s.look()
			s.phase("40 s without a word of the coordinator: another goes on, and waits for a's folder")
			s.pass(60 * sec)
			s.phase("a is back with its folder")
			s.start("a")
			s.look()
			s.pass(60 * sec)
		},
		"folder-lost": func(s *purgeStage) {
			s.phase("c's folder is lost: it starts on a new one, and the order comes in at b")
			s.kill("c")
			s.look()
			s.all["c"].folder, s.all["c"].life = purgeFolder{number: 0x99, items: map[string][]int64{}}, 0
			s.start("c")
			s.look()
			s.order("b", one)
			s.pass(10 * sec)
			s.phase("the operator declares folder 12 of c destroyed")
			for _, name := range s.names {
				s.send(name, s.all[name].do(s.all[name].machine.Declare(s.now, "c", 0x12, "operator's file")))
			}
			s.pass(5 * sec)
		},
		"disk-full": func(s *purgeStage) {
			s.phase("b's disk is full when the order comes in at a")
			s.all["b"].folder.slow = true
			s.order("a", one)
			s.pass(7 * sec)
			s.phase("b's disk has room again")
			s.all["b"].folder.slow = false
			s.pass(6 * sec)
		},
		"orders-refused": func(s *purgeStage) {
			s.phase("orders that are none")
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
		"orders-together": func(s *purgeStage) {
			s.phase("c is down; one order is replaced by another, which is handed in again, also at b, and cancelled")
			s.kill("c")
			s.look()
			s.order("a", one)
			s.pass(sec)
			s.order("a", `,"id":"two","replaces":"one"`)
			s.pass(sec)
			s.order("a", `,"id":"two","replaces":"one"`)
			s.order("b", `,"id":"two","replaces":"one"`)
			s.order("b", `,"id":"two"`)
			s.pass(sec)
			s.orderText("a", `{"order":"cancel","tenant":"acme","id":"two"}`)
			s.pass(sec)
			s.phase("c is back: what was fenced stays fenced")
			s.start("c")
			s.look()
			s.pass(5 * sec)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newPurgeStage(t)
			story(s)
			s.compare("purge-" + name)
		})
	}
}

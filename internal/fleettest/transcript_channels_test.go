package fleettest

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"ravenlink/internal/channels"
	"ravenlink/internal/post"
)

// channelNode is the channel table of one sender, with its disk and its open legs.
type channelNode struct {
	s           *channelSimulation
	name        string
	incarnation uint64
	table       *channels.Table
	disk        map[string][]byte
	openLegs    []int64 // positions with an open leg
	held        map[string]int64
}

// channelSimulation simulates one channel, "x", and its client.
type channelSimulation struct {
	*simulation[channels.Msg]
	channelNodes map[string]*channelNode
}

var channelTiming = channels.Timing{Lease: 3 * second, Drift: 1000, ReplyTimeout: second / 5, Leg: second, Live: second / 2, Drain: 3 * second / 10, Idle: 40 * second, Forget: 600 * second}

func newChannelSimulation(t *testing.T, contract string) *channelSimulation {
	s := &channelSimulation{newSimulation[channels.Msg](t, "request vote", "grant", "deny", "replicate", "replicate ack", "abandon", "request handover", "tail", "declare",
		"declare ack", "declare reject", "tail ack"), map[string]*channelNode{}}
	for _, name := range s.names {
		l := &channelNode{s: s, name: name, incarnation: 1, disk: map[string][]byte{}, held: map[string]int64{}}
		l.table = channels.New(name, 1, s.names, channelTiming, channels.Limits{Channels: 10, Held: 100})
		s.channelNodes[name], s.nodes[name] = l, l
	}
	s.phase("three senders; the contract is declared at a")
	s.declare("a", contract)
	s.advance(second / 10)
	return s
}

func contractJSON(more string) string {
	return `{"order":"contract","channel":"x","tenant":"north","dst":7,"mode":"whole","wait":"1s","window":4,"version":1` + more + `}`
}

func (s *channelSimulation) declare(at, text string) {
	s.logf("order to %s: %s", at, text)
	k, err := channels.DecodeContract([]byte(text))
	if err == nil {
		var e channels.Effects
		if e, err = s.channelNodes[at].table.Declare(s.now, k); err == nil {
			s.logf("order accepted at %s", at)
			s.send(at, s.channelNodes[at].apply(e))
			return
		}
	}
	s.logf("order rejected: %s", strings.ReplaceAll(err.Error(), "\n", "; "))
}

func (l *channelNode) tick(now int64) []post.PeerMessage[channels.Msg] {
	return l.apply(l.table.Tick(now))
}

func (l *channelNode) receive(now int64, from string, m channels.Msg) []post.PeerMessage[channels.Msg] {
	return l.apply(l.table.Receive(now, from, m))
}

// apply applies effects, the disk writes first.
func (l *channelNode) apply(e channels.Effects) []post.PeerMessage[channels.Msg] {
	l.writeRows(e.Rows)
	l.release(e)
	return e.PeerMessages
}

func (l *channelNode) writeRows(rows []channels.Row) {
	for _, r := range rows {
		if r.Value == nil {
			delete(l.disk, r.Key)
			l.s.logOnce("%s's disk: %q is deleted", l.name, r.Key)
			continue
		}
		l.disk[r.Key] = r.Value
		l.s.logOnce("%s's disk: %q", l.name, r.Key)
	}
}

func (l *channelNode) release(e channels.Effects) {
	for _, id := range e.Release {
		pos := l.held[id]
		if l.table.MayBegin(l.s.now, "x", pos) {
			l.s.logf("%s: a leg of %s begins", l.name, id)
			l.openLegs = append(l.openLegs, pos)
		} else {
			l.s.logf("%s: %s may not begin", l.name, id)
		}
	}
	for _, g := range e.Aborts {
		if slices.Contains(l.openLegs, g.Pos) {
			l.s.logf("%s: %s ends with its leg", l.name, g.ID)
			continue
		}
		l.s.logf("%s: %s is rejected", l.name, g.ID)
		delete(l.held, g.ID)
	}
}

// endLegs ends the open legs of a sender.
func (s *channelSimulation) endLegs(at string, delivered bool) {
	l := s.channelNodes[at]
	openLegs := l.openLegs
	l.openLegs = nil
	for _, pos := range openLegs {
		s.logf("%s: the leg of x%d has ended, delivered: %v", at, pos, delivered)
		delete(l.held, fmt.Sprint("x", pos))
		s.send(at, l.apply(l.table.Ended(s.now, "x", pos, delivered, !delivered)))
	}
	s.deliver()
}

// handIn hands a position in at a sender and writes the answer as the client reads it.
func (s *channelSimulation) handIn(at string, pos int64) channels.HandInResult {
	return s.handInAs(at, pos, fmt.Sprint("x", pos))
}

func (s *channelSimulation) handInAs(at string, pos int64, id string) channels.HandInResult {
	l := s.channelNodes[at]
	v, e := l.table.HandIn(s.now, channels.HandInRequest{Channel: "x", Pos: pos, ID: id, Dst: 7, Deadline: s.now + 20*second, Settle: second / 2})
	suffix := ""
	if v.Pos >= 0 {
		suffix = fmt.Sprint(" pos=", v.Pos)
	}
	text := "+OK" + suffix
	switch v.Outcome {
	case channels.Accepted:
		l.held[id] = pos
	case channels.Busy:
		text = fmt.Sprintf("-BUSY %d%s", v.RetryAfter/1000, suffix)
	case channels.Rejected:
		text = "-ERR " + v.Cause + suffix
	}
	s.logf("client to %s: %s at %d", at, id, pos)
	l.writeRows(e.Rows)
	s.logf("%s to client: %s", at, text)
	l.release(e)
	s.send(at, e.PeerMessages)
	s.deliver()
	return v
}

// handInUntilNotBusy hands a position in until the answer is not BUSY. Of the attempts after the first only the last is written.
func (s *channelSimulation) handInUntilNotBusy(at string, pos int64) {
	v := s.handIn(at, pos)
	for n := 0; v.Outcome == channels.Busy && n < 400; n++ {
		s.advance(min(max(v.RetryAfter, s.tickInterval), second/2))
		mark := s.text.Len()
		if v = s.handIn(at, pos); v.Outcome == channels.Busy {
			kept := s.text.String()[:mark]
			s.text.Reset()
			s.text.WriteString(kept)
		}
	}
	if v.Outcome == channels.Busy {
		s.t.Errorf("sender %s still answers BUSY to position %d after 400 attempts", at, pos)
	}
}

func (s *channelSimulation) kill(at string) {
	s.logf("%s is killed", at)
	s.down[at] = true
}

// restart restarts a sender with its folder. Its open legs end undelivered; they may have run.
func (s *channelSimulation) restart(at string) {
	l := s.channelNodes[at]
	l.incarnation++
	s.down[at] = false
	l.table = channels.New(at, l.incarnation, s.names, channelTiming, channels.Limits{Channels: 10, Held: 100})
	var rows []channels.Row
	for _, k := range slices.Sorted(maps.Keys(l.disk)) {
		rows = append(rows, channels.Row{Key: k, Value: l.disk[k]})
		s.logf("%s starts and finds %q", at, k)
	}
	ran := l.openLegs
	held, err := l.table.Restore(s.now, rows, func(id string) bool { return slices.Contains(ran, l.held[id]) })
	if err != nil {
		s.t.Fatal(err)
	}
	for _, h := range held {
		s.logf("%s still holds %s", at, h.ID)
	}
	s.endLegs(at, false)
}

func TestTranscriptsOfChannels(t *testing.T) {
	t.Parallel()
	for name, play := range map[string]struct {
		contract string
		run      func(s *channelSimulation)
	}{
		"owner-killed": {contractJSON(`,"gap":"wait"`), func(s *channelSimulation) {
			s.phase("a accepts two positions; the second has an open leg when a is killed")
			s.handInUntilNotBusy("a", 1)
			s.endLegs("a", true)
			s.handIn("a", 2)
			s.kill("a")
			s.phase("the client continues at b, which waits for the leases and the leg to end; nobody knows what a has accepted since")
			s.handIn("b", 3)
			s.advance(8 * second)
			s.handIn("b", 3)
			s.phase("a restarts with its folder and reports what it had accepted")
			s.restart("a")
			s.handInUntilNotBusy("b", 3)
			s.endLegs("b", true)
		}},
		"owner-killed-skip": {contractJSON(`,"gap":"skip"`), func(s *channelSimulation) {
			s.phase("a accepts two positions and is killed after both are delivered")
			s.handInUntilNotBusy("a", 1)
			s.endLegs("a", true)
			s.handInUntilNotBusy("a", 2)
			s.endLegs("a", true)
			s.kill("a")
			s.phase("b continues above a's ceiling and says so in its answer")
			s.handInUntilNotBusy("b", 3)
		}},
		"doubled": {contractJSON(`,"gap":"wait"`), func(s *channelSimulation) {
			s.phase("a position is handed in twice, and once with another ID")
			s.handInUntilNotBusy("a", 1)
			s.handIn("a", 1)
			s.endLegs("a", true)
			s.handIn("a", 1)
			s.handInAs("a", 1, "other")
		}},
		"ahead": {contractJSON(`,"gap":"wait"`), func(s *channelSimulation) {
			s.phase("three positions ahead, one of them beyond the window; then what was missing")
			s.handInUntilNotBusy("a", 1)
			s.endLegs("a", true)
			s.handIn("a", 3)
			s.handIn("a", 4)
			s.handIn("a", 9)
			s.handInUntilNotBusy("a", 2)
			for range 3 {
				s.endLegs("a", true)
			}
		}},
		"gap-wait": {contractJSON(`,"gap":"wait"`), func(s *channelSimulation) {
			s.phase("position 2 never arrives: what is behind it is rejected, and position 2 is still expected")
			s.handInUntilNotBusy("a", 1)
			s.endLegs("a", true)
			s.handIn("a", 3)
			s.advance(2 * second)
			s.handIn("a", 3)
			s.handInUntilNotBusy("a", 2)
			s.endLegs("a", true)
		}},
		"gap-skip": {contractJSON(`,"gap":"skip"`), func(s *channelSimulation) {
			s.phase("position 2 never arrives: what is behind it is delivered, and position 2 is rejected from then on")
			s.handInUntilNotBusy("a", 1)
			s.endLegs("a", true)
			s.handIn("a", 3)
			s.advance(2 * second)
			s.endLegs("a", true)
			s.handIn("a", 2)
			s.handIn("a", 4)
		}},
		"gap-close": {contractJSON(`,"gap":"close"`), func(s *channelSimulation) {
			s.phase("position 2 never arrives: the channel closes")
			s.handInUntilNotBusy("a", 1)
			s.endLegs("a", true)
			s.handIn("a", 3)
			s.advance(2 * second)
			s.handIn("a", 2)
			s.phase("a newer version opens it again at position 4")
			s.declare("b", strings.Replace(contractJSON(`,"gap":"close","from":4`), `"version":1`, `"version":2`, 1))
			s.advance(3 * second)
			s.handIn("a", 4)
		}},
		"contract-changed": {contractJSON(`,"gap":"wait"`), func(s *channelSimulation) {
			s.phase("version 2 applies from position 3, after all messages under version 1 have ended")
			s.handInUntilNotBusy("a", 1)
			s.declare("b", strings.Replace(contractJSON(`,"gap":"wait","from":3`), `"mode":"whole"`, `"mode":"none"`, 1))
			s.declare("b", strings.Replace(strings.Replace(contractJSON(`,"gap":"wait","from":3`), `"mode":"whole"`, `"mode":"none"`, 1), `"version":1`, `"version":2`, 1))
			s.advance(3 * second)
			for pos := int64(2); pos < 5; pos++ {
				s.handIn("a", pos)
			}
			s.endLegs("a", true)
			s.endLegs("a", true)
			s.endLegs("a", true)
		}},
		"ten-claimants": {contractJSON(`,"gap":"wait"`), func(s *channelSimulation) {
			s.phase("ten clients claim the channel at once, at three senders")
			for i := range 10 {
				s.handInAs(s.names[i%3], 1, fmt.Sprint("claim", i))
			}
			s.advance(2 * second)
			for _, at := range s.names {
				s.handInAs(at, 1, "again")
				for _, v := range s.channelNodes[at].table.View() {
					s.logf("%s sees the channel: %v, owner %q, %d held", at, v.Phase, v.Owner, v.Held)
				}
			}
		}},
		"moved": {contractJSON(`,"gap":"wait"`), func(s *channelSimulation) {
			s.phase("a has an open leg and one message behind it when the client connects to b")
			s.handInUntilNotBusy("a", 1)
			s.handIn("a", 2)
			s.advance(second)
			s.handIn("b", 3)
			s.advance(second / 2)
			s.endLegs("a", true)
			s.phase("a hands the channel over with nothing open; b continues at the next position")
			s.handInUntilNotBusy("b", 2)
			s.endLegs("b", true)
			s.handIn("a", 3)
		}},
		"owner-cut-off": {contractJSON(`,"gap":"wait"`), func(s *channelSimulation) {
			s.phase("a is cut off from b and c with a message behind an open leg: after its lease it starts no leg")
			s.handInUntilNotBusy("a", 1)
			s.handIn("a", 2)
			s.setCut("a", "bc", true)
			s.advance(4 * second)
			s.endLegs("a", true)
			s.handIn("a", 3)
			s.phase("the client continues at b; then the partition heals, and a is fenced")
			s.handIn("b", 2)
			s.advance(8 * second)
			s.setCut("a", "bc", false)
			s.handInUntilNotBusy("b", 2)
			s.endLegs("b", true)
			s.handIn("a", 3)
		}},
		"contracts-refused": {contractJSON(`,"gap":"wait"`), func(s *channelSimulation) {
			s.phase("invalid contracts, and contracts that conflict with the known one")
			s.declare("a", contractJSON(`,"gap":"wait","colour":"red"`))
			s.declare("a", contractJSON(`,"gap":"wait"`)+contractJSON(`,"gap":"wait"`))
			s.declare("a", `{"channel":"x y","tenant":"","mode":"some","gap":"hope","wait":"soon","window":0,"most_hold":"48h","from":-1}`)
			s.declare("a", `{"channel":"y","tenant":"north","dst":7,"mode":"per-key","gap":"wait","pass_failed":false,"version":1}`)
			s.declare("a", `{"channel":"y","tenant":"north","dst":7,"mode":"whole","gap":"skip","version":1,"withdrawn":true}`)
			s.declare("b", contractJSON(`,"gap":"wait","most_hold":"3s"`))
			s.declare("b", strings.Replace(strings.Replace(contractJSON(`,"gap":"wait"`), `"dst":7`, `"dst":8`, 1), `"version":1`, `"version":2`, 1))
			s.declare("c", strings.Replace(contractJSON(`,"gap":"wait","withdrawn":true`), `"version":1`, `"version":2`, 1))
			s.advance(second / 10)
			s.declare("c", contractJSON(`,"gap":"wait"`))
			s.declare("a", strings.Replace(contractJSON(`,"gap":"wait"`), `"version":1`, `"version":3`, 1))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newChannelSimulation(t, play.contract)
			play.run(s)
			s.compare("channel-" + name)
		})
	}
}

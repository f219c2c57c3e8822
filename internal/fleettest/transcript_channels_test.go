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

// channelPart is one sender's part in channels, with its disk and the legs that are out.
type channelPart struct {
	s     *channelStage
	name  string
	life  uint64
	table *channels.Table
	disk  map[string][]byte
	out   []int64 // positions whose leg is out
	held  map[string]int64
}

// channelStage is a stage with one channel, "x", and its client.
type channelStage struct {
	*stage[channels.Msg]
	lanes map[string]*channelPart
}

var spans = channels.Timing{Lease: 3 * sec, Drift: 1000, Answer: sec / 5, Leg: sec, Live: sec / 2, Drain: 3 * sec / 10, Idle: 40 * sec, Forget: 600 * sec}

func newChannelStage(t *testing.T, contract string) *channelStage {
	s := &channelStage{newStage[channels.Msg](t, "ask", "grant", "deny", "hold", "held", "drop", "want", "tail", "declare", "declared", "refused",
		"tail heard"), map[string]*channelPart{}}
	for _, name := range s.names {
		l := &channelPart{s: s, name: name, life: 1, disk: map[string][]byte{}, held: map[string]int64{}}
		l.table = channels.New(name, 1, s.names, spans, channels.Room{Channels: 10, Held: 100})
		s.lanes[name], s.parts[name] = l, l
	}
	s.phase("three senders; the contract is declared at a")
	s.declare("a", contract)
	s.pass(sec / 10)
	return s
}

func contractJSON(more string) string {
	return `{"order":"contract","channel":"x","tenant":"north","dst":7,"mode":"whole","wait":"1s","window":4,"version":1` + more + `}`
}

func (s *channelStage) declare(at, text string) {
	s.say("order to %s: %s", at, text)
	k, err := channels.DecodeContract([]byte(text))
	if err == nil {
		var e channels.Effects
		if e, err = s.lanes[at].table.Declare(s.now, k); err == nil {
			s.say("order taken on at %s", at)
			s.send(at, s.lanes[at].do(e))
			return
		}
	}
	s.say("order refused: %s", strings.ReplaceAll(err.Error(), "\n", "; "))
}

func (l *channelPart) tick(now int64) []post.Letter[channels.Msg] { return l.do(l.table.Tick(now)) }

func (l *channelPart) hear(now int64, from string, m channels.Msg) []post.Letter[channels.Msg] {
	return l.do(l.table.Heard(now, from, m))
}

// do carries effects out: the disk first.
func (l *channelPart) do(e channels.Effects) []post.Letter[channels.Msg] {
	l.write(e.Rows)
	l.release(e)
	return e.Letters
}

func (l *channelPart) write(rows []channels.Row) {
	for _, r := range rows {
		if r.Value == nil {
			delete(l.disk, r.Key)
			l.s.once("%s's disk: %q goes", l.name, r.Key)
			continue
		}
		l.disk[r.Key] = r.Value
		l.s.once("%s's disk: %q", l.name, r.Key)
	}
}

func (l *channelPart) release(e channels.Effects) {
	for _, id := range e.Release {
		pos := l.held[id]
		if l.table.MayBegin(l.s.now, "x", pos) {
			l.s.say("%s: a leg of %s begins", l.name, id)
			l.out = append(l.out, pos)
		} else {
			l.s.say("%s: %s may not begin", l.name, id)
		}
	}
	for _, g := range e.GiveUp {
		if slices.Contains(l.out, g.Pos) {
			l.s.say("%s: %s is to end with its leg", l.name, g.ID)
			continue
		}
		l.s.say("%s: %s is pushed back", l.name, g.ID)
		delete(l.held, g.ID)
	}
}

// over ends the legs that are out at a sender.
func (s *channelStage) over(at string, delivered bool) {
	l := s.lanes[at]
	out := l.out
	l.out = nil
	for _, pos := range out {
		s.say("%s: the leg of x%d is over, delivered: %v", at, pos, delivered)
		delete(l.held, fmt.Sprint("x", pos))
		s.send(at, l.do(l.table.Ended(s.now, "x", pos, delivered, !delivered)))
	}
	s.settle()
}

// handIn hands a position in at a sender, and writes the answer as a client reads it.
func (s *channelStage) handIn(at string, pos int64) channels.Verdict {
	return s.hand(at, pos, fmt.Sprint("x", pos))
}

func (s *channelStage) hand(at string, pos int64, id string) channels.Verdict {
	l := s.lanes[at]
	v, e := l.table.HandIn(s.now, channels.In{Channel: "x", Pos: pos, ID: id, Dst: 7, Until: s.now + 20*sec, Settle: sec / 2})
	told := ""
	if v.Pos >= 0 {
		told = fmt.Sprint(" pos=", v.Pos)
	}
	text := "+OK" + told
	switch v.Way {
	case channels.Taken:
		l.held[id] = pos
	case channels.Busy:
		text = fmt.Sprintf("-BUSY %d%s", v.Wait/1000, told)
	case channels.Barred:
		text = "-ERR " + v.Cause + told
	}
	s.say("client to %s: %s at %d", at, id, pos)
	l.write(e.Rows)
	s.say("%s to client: %s", at, text)
	l.release(e)
	s.send(at, e.Letters)
	s.settle()
	return v
}

// until hands a position in until the answer is not BUSY; what was BUSY in between is left out.
func (s *channelStage) until(at string, pos int64) {
	v := s.handIn(at, pos)
	for n := 0; v.Way == channels.Busy && n < 400; n++ {
		s.pass(min(max(v.Wait, s.turn), sec/2))
		mark := s.text.Len()
		if v = s.handIn(at, pos); v.Way == channels.Busy {
			kept := s.text.String()[:mark]
			s.text.Reset()
			s.text.WriteString(kept)
		}
	}
	if v.Way == channels.Busy {
		s.t.Errorf("%s is BUSY for ever with %d", at, pos)
	}
}

func (s *channelStage) kill(at string) {
	s.say("%s is killed", at)
	s.down[at] = true
}

// start brings a sender back with its folder, its legs having run or not.
func (s *channelStage) start(at string) {
	l := s.lanes[at]
	l.life++
	s.down[at] = false
	l.table = channels.New(at, l.life, s.names, spans, channels.Room{Channels: 10, Held: 100})
	var rows []channels.Row
	for _, k := range slices.Sorted(maps.Keys(l.disk)) {
		rows = append(rows, channels.Row{Key: k, Value: l.disk[k]})
		s.say("%s starts and finds %q", at, k)
	}
	ran := l.out
	held, err := l.table.Restore(s.now, rows, func(id string) bool { return slices.Contains(ran, l.held[id]) })
	if err != nil {
		s.t.Fatal(err)
	}
	for _, h := range held {
		s.say("%s has %s from before", at, h.ID)
	}
	s.over(at, false)
}

func TestTranscriptsOfChannels(t *testing.T) {
	t.Parallel()
	for name, play := range map[string]struct {
		contract string
		story    func(s *channelStage)
	}{
		"owner-killed": {contractJSON(`,"gap":"wait"`), func(s *channelStage) {
			s.phase("a takes two positions on; the second is out when a is killed")
			s.until("a", 1)
			s.over("a", true)
			s.handIn("a", 2)
			s.kill("a")
			s.phase("the client goes on at b, which waits the promises and the leg out; what a had taken on since nobody knows")
			s.handIn("b", 3)
			s.pass(8 * sec)
			s.handIn("b", 3)
			s.phase("a comes back with its folder: its word ends the doubt")
			s.start("a")
			s.until("b", 3)
			s.over("b", true)
		}},
		"owner-killed-skip": {contractJSON(`,"gap":"skip"`), func(s *channelStage) {
			s.phase("a takes two positions on and is killed with both delivered")
			s.until("a", 1)
			s.over("a", true)
			s.until("a", 2)
			s.over("a", true)
			s.kill("a")
			s.phase("b goes on above a's ceiling, and says so")
			s.until("b", 3)
		}},
		"doubled": {contractJSON(`,"gap":"wait"`), func(s *channelStage) {
			s.phase("a position is handed in twice, and once with another id")
			s.until("a", 1)
			s.handIn("a", 1)
			s.over("a", true)
			s.handIn("a", 1)
			s.hand("a", 1, "other")
		}},
		"ahead": {contractJSON(`,"gap":"wait"`), func(s *channelStage) {
			s.phase("three positions ahead, one of them beyond the window; then what was missing")
			s.until("a", 1)
			s.over("a", true)
			s.handIn("a", 3)
			s.handIn("a", 4)
			s.handIn("a", 9)
			s.until("a", 2)
			for range 3 {
				s.over("a", true)
			}
		}},
		"gap-wait": {contractJSON(`,"gap":"wait"`), func(s *channelStage) {
			s.phase("position 2 never comes: what is behind it is pushed back, the position stays owed")
			s.until("a", 1)
			s.over("a", true)
			s.handIn("a", 3)
			s.pass(2 * sec)
			s.handIn("a", 3)
			s.until("a", 2)
			s.over("a", true)
		}},
		"gap-skip": {contractJSON(`,"gap":"skip"`), func(s *channelStage) {
			s.phase("position 2 never comes: what is behind it goes, and position 2 is refused from then on")
			s.until("a", 1)
			s.over("a", true)
			s.handIn("a", 3)
			s.pass(2 * sec)
			s.over("a", true)
			s.handIn("a", 2)
			s.handIn("a", 4)
		}},
		"gap-close": {contractJSON(`,"gap":"close"`), func(s *channelStage) {
			s.phase("position 2 never comes: the channel closes")
			s.until("a", 1)
			s.over("a", true)
			s.handIn("a", 3)
			s.pass(2 * sec)
			s.handIn("a", 2)
			s.phase("a newer version opens it again at position 4")
			s.declare("b", strings.Replace(contractJSON(`,"gap":"close","from":4`), `"version":1`, `"version":2`, 1))
			s.pass(3 * sec)
			s.handIn("a", 4)
		}},
		"contract-changed": {contractJSON(`,"gap":"wait"`), func(s *channelStage) {
			s.phase("version 2 holds from position 3: it waits until all under version 1 are over")
			s.until("a", 1)
			s.declare("b", strings.Replace(contractJSON(`,"gap":"wait","from":3`), `"mode":"whole"`, `"mode":"none"`, 1))
			s.declare("b", strings.Replace(strings.Replace(contractJSON(`,"gap":"wait","from":3`), `"mode":"whole"`, `"mode":"none"`, 1), `"version":1`, `"version":2`, 1))
			s.pass(3 * sec)
			for pos := int64(2); pos < 5; pos++ {
				s.handIn("a", pos)
			}
			s.over("a", true)
			s.over("a", true)
			s.over("a", true)
		}},
		"ten-claimants": {contractJSON(`,"gap":"wait"`), func(s *channelStage) {
			s.phase("ten clients claim the channel at once, at three senders")
			for i := range 10 {
				s.hand(s.names[i%3], 1, fmt.Sprint("claim", i))
			}
			s.pass(2 * sec)
			for _, at := range s.names {
				s.hand(at, 1, "again")
				for _, v := range s.lanes[at].table.View() {
					s.say("%s sees the channel: %v, owner %q, %d held", at, v.Phase, v.Owner, v.Held)
				}
			}
		}},
		"moved": {contractJSON(`,"gap":"wait"`), func(s *channelStage) {
			s.phase("a has a leg out and one message behind it when the client turns up at b")
			s.until("a", 1)
			s.handIn("a", 2)
			s.pass(sec)
			s.handIn("b", 3)
			s.pass(sec / 2)
			s.over("a", true)
			s.phase("a gives the channel up with a clean record; b goes on where it was")
			s.until("b", 2)
			s.over("b", true)
			s.handIn("a", 3)
		}},
		"owner-cut-off": {contractJSON(`,"gap":"wait"`), func(s *channelStage) {
			s.phase("a is cut off from b and c with a message behind a leg: it begins nothing after its lease")
			s.until("a", 1)
			s.handIn("a", 2)
			s.cut("a", "bc", true)
			s.pass(4 * sec)
			s.over("a", true)
			s.handIn("a", 3)
			s.phase("the client goes on at b; then the cut heals, and a is fenced")
			s.handIn("b", 2)
			s.pass(8 * sec)
			s.cut("a", "bc", false)
			s.until("b", 2)
			s.over("b", true)
			s.handIn("a", 3)
		}},
		"contracts-refused": {contractJSON(`,"gap":"wait"`), func(s *channelStage) {
			s.phase("what is absurd, and what does not follow from what is known")
			s.declare("a", contractJSON(`,"gap":"wait","colour":"red"`))
			s.declare("a", contractJSON(`,"gap":"wait"`)+contractJSON(`,"gap":"wait"`))
			s.declare("a", `{"channel":"x y","tenant":"","mode":"some","gap":"hope","wait":"soon","window":0,"most_hold":"48h","from":-1}`)
			s.declare("a", `{"channel":"y","tenant":"north","dst":7,"mode":"per-key","gap":"wait","pass_failed":false,"version":1}`)
			s.declare("a", `{"channel":"y","tenant":"north","dst":7,"mode":"whole","gap":"skip","version":1,"withdrawn":true}`)
			s.declare("b", contractJSON(`,"gap":"wait","most_hold":"3s"`))
			s.declare("b", strings.Replace(strings.Replace(contractJSON(`,"gap":"wait"`), `"dst":7`, `"dst":8`, 1), `"version":1`, `"version":2`, 1))
			s.declare("c", strings.Replace(contractJSON(`,"gap":"wait","withdrawn":true`), `"version":1`, `"version":2`, 1))
			s.pass(sec / 10)
			s.declare("c", contractJSON(`,"gap":"wait"`))
			s.declare("a", strings.Replace(contractJSON(`,"gap":"wait"`), `"version":1`, `"version":3`, 1))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newChannelStage(t, play.contract)
			play.story(s)
			s.compare("channel-" + name)
		})
	}
}

package fleettest

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravenlink/internal/shares"
)

const (
	limited = 7  // its limit of perSec is declared to all senders
	perSec  = 40 // calls a second
	each    = 36 // messages handed in at each sender in one burst: together more than the limit and the bound in one second
)

// overMost is what the sum of three senders may be over in any second: what owner and leases save up, what a lease of the time before a
// trouble still allows beside those of the time after it, and doubt shares of a part that is cut off.
var overMost = int(math.Ceil(shares.Burst(perSec) + perSec/2))

func inFleet(limits bool) func(*Sender) string {
	return func(s *Sender) string {
		text := "version = 1\n" + s.LinksTOML("fleet", `beat = "50ms"`) + "[fleet.verdicts]\n"
		if limits {
			text += fmt.Sprintf("[fleet.limits]\nlease = \"500ms\"\n[[fleet.limits.declared]]\ndst = %d\nper_sec = %d\n", limited, perSec)
		}
		return text
	}
}

// press hands more in at each sender than the limit lets go.
func press(r *Rig, round int) {
	for i := range r.Senders() {
		c := r.Client(i)
		for n := range each {
			c.HandIn(Message{ID: fmt.Sprintf("m%d-%d-%d", round, i, n), Lane: "notice", Dst: limited})
		}
		c.Leave()
	}
}

// passed waits until so many calls more have come than now: the troubles follow what passes, not the clock.
func passed(r *Rig, n int) {
	from := len(r.Record().Calls)
	r.Until(fmt.Sprint(n, " further calls"), func(rec Record) bool { return len(rec.Calls) >= from+n || len(rec.Owed()) == 0 })
}

func all(r *Rig, f Faults) {
	for _, a := range r.Senders() {
		for _, b := range r.Senders() {
			if a != b {
				r.Link(a.Name, b.Name).Set(f)
			}
		}
	}
}

// fewAtOnce has three rigs run at a time: more are too many for a small machine, where calls come late that went in time.
var fewAtOnce = make(chan struct{}, 3)

func TestTheSumStaysWithinTheBoundWhateverTheLinksDo(t *testing.T) {
	t.Parallel()
	for name, trouble := range map[string]func(r *Rig){
		"calm":       func(*Rig) {},
		"links slow": func(r *Rig) { all(r, Faults{Delay: 100 * time.Millisecond}) },
		"loss":       func(r *Rig) { all(r, Faults{Loss: 0.3}) },
		"doubled":    func(r *Rig) { all(r, Faults{Doubles: 0.5, Disorder: 0.5, ReplayWait: 50 * time.Millisecond}) },
		"one way":    func(r *Rig) { r.Link("a", "b").Set(Faults{Cut: true}); r.Link("a", "c").Set(Faults{Cut: true}) },
		"half open": func(r *Rig) {
			r.Link("b", "a").Set(Faults{HalfOpen: true})
			r.Link("b", "c").Set(Faults{HalfOpen: true})
		},
		"one apart":        func(r *Rig) { r.Cut([]string{"a"}, []string{"b", "c"}) },
		"all apart":        func(r *Rig) { all(r, Faults{Cut: true}) },
		"no answers":       func(r *Rig) { all(r, Faults{Mute: true}) },
		"killed, restarts": func(r *Rig) { r.Sender("b").Kill(); r.Sender("b").Start() },
		"left, restarts":   func(r *Rig) { r.Sender("c").Term(); r.Sender("c").Start() },
		"stopped, goes on": func(r *Rig) {
			r.Sender("a").Stop()
			passed(r, perSec/4)
			r.Sender("a").Cont()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fewAtOnce <- struct{}{}
			defer func() { <-fewAtOnce }()
			r := New(t, Setup{Senders: 3, Operator: inFleet(true)})
			r.Start()
			press(r, 0)
			passed(r, perSec/2)
			trouble(r)
			press(r, 1)
			passed(r, perSec/4)
			r.Heal()
			r.UntilEnded()
			t.Logf("%+d calls in the worst second, of %+d allowed", r.Record().Over(limited, perSec, time.Second), overMost)
			r.Judge(WithinLimit(limited, perSec, time.Second, overMost))
		})
	}
}

// Without shares the same press is far beyond the bound: the judge can fail.
func TestWithoutSharesTheSumIsOver(t *testing.T) {
	t.Parallel()
	r := New(t, Setup{Senders: 3, Operator: inFleet(false)})
	r.Start()
	press(r, 0)
	r.UntilEnded()
	assert.NotEmpty(t, WithinLimit(limited, perSec, time.Second, overMost)(r.Record()))
}

func TestAWaitToldToOneIsHeededByAll(t *testing.T) {
	t.Parallel()
	r := New(t, Setup{Senders: 3, Operator: inFleet(false)})
	r.Start()
	r.Conduct(limited, Conduct{Limit: 1, Window: time.Hour, Wait: 2 * time.Second})
	press(r, 0)
	r.Until("a wait is told", func(rec Record) bool {
		for _, c := range rec.Calls {
			if c.Wait > 0 {
				return true
			}
		}
		return false
	})
	r.UntilEnded()
	r.Judge(WaitsOfAll(time.Second))
}

func TestARestartIsALaterIncarnationToTheOthers(t *testing.T) {
	t.Parallel()
	r := New(t, Setup{Senders: 3, Operator: inFleet(true)})
	r.Start()
	says := func(s, what string) func(Record) bool {
		return func(Record) bool { return strings.Contains(r.Sender(s).Log(), what) }
	}
	r.Until("a knows b", says("a", `"name":"b","state":"alive","incarnation":1`))
	r.Sender("b").Kill()
	r.Until("a doubts b", says("a", `"name":"b","state":"doubted","incarnation":1`))
	r.Until("b is gone to a", says("a", `"name":"b","state":"gone","incarnation":1`))
	r.Sender("b").Start()
	r.Until("b is back", says("a", `"name":"b","state":"alive","incarnation":2`))
	r.Sender("b").Term()
	r.Until("b left", says("c", `"name":"b","state":"left","incarnation":2`))
	require.NotContains(t, r.Sender("a").Log(), "without the fleet")
}

package fleettest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravenlink/internal/loopback"
)

// Outage is how a destination fails.
type Outage string

// The outages.
const (
	Refuses Outage = "refuses" // connections are refused
	Hangs   Outage = "hangs"   // calls are taken and not answered; those still open at the return are reset
	Errors  Outage = "errors"  // most calls are answered 500
	Shut    Outage = "shut"    // all calls are refused: 503, or 429 where a wait is told
)

// ReturnPlay is a fleet of built senders that meets an outage of some destinations and their return. Times are since all senders answer.
type ReturnPlay struct {
	Seed        uint64
	Senders     int
	Capacities  []float64 // calls a second of each destination when warm; number 1 first
	Out         int       // so many of the first destinations fail
	Endpoints   int       // of each of those; the others have one
	How         Outage
	Tells       time.Duration // wait that each refusal of Shut tells; 0 for none
	From, Until time.Duration // of the outage
	Apart       bool          // each destination returns at a time of its own between returnFirst and returnLast, and Until is for the play
	Again       bool          // and fails once more for returnOut, returnAgain or up to 3 s more after its return
	Load        float64       // hand-ins in parts of all capacities
	Killed      float64       // share of the senders that are killed during the outage, and start again
	LateKills   float64       // share that is killed so that it is back right after the return
	Weights     string        // weight_source of the settings
	Notes       bool          // senders hear each other's datagrams
	Joins       bool          // each destination that is out gets one more endpoint during the outage
	Signals     float64       // share of the senders that get signals in series, and are killed in the end
	Crowd       int           // idle clients at the first sender
	Copies      bool          // connections to destinations carry copies of answers
	Within      time.Duration // the time of a message; returnWithin if 0
	Settle      time.Duration // after the last hand-in, in which every message has to end; not judged if 0
}

const (
	returnShare  = 0.22 // of the capacity right after the return
	returnWarm   = 10 * time.Second
	returnFactor = 2
	returnWindow = 2 * time.Second
	returnWatch  = 6 * time.Second // so long the return is watched
	returnDown   = 600 * time.Millisecond
	returnFirst  = 5 * time.Second        // since second 0, earliest own return,
	returnLast   = 13 * time.Second       // and the latest
	returnAgain  = 2 * time.Second        // to a second outage, at least
	returnOut    = 2 * time.Second        // of a second outage
	returnTook   = 150 * time.Millisecond // of a call
	returnTarget = 2500 * time.Millisecond
	returnWithin = 28 * time.Second
	mostHandIns  = 3 // of one message
	beatOfList   = time.Second

	firstNotesPort = 20_000
)

// returnRig plays it.
type returnRig struct {
	ReturnPlay
	t       testing.TB
	dir     string
	start   time.Time
	dsts    []*returning
	senders []*returnSender
	agent   *http.Server
	agentAt string
	work    sync.WaitGroup
	done    chan struct{}
	stalls  stalls
	planned []event // as it is drawn
	begun   bool    // no event is only planned any more

	mu         sync.Mutex
	draw       *rand.Rand
	handIns    map[string]int // hand-ins of a message so far, by its name without its number
	holder     map[string]int // the sender that has a message
	lines      []string       // of the list
	more       chan struct{}
	messages   map[string]*handed // by id
	unanswered []string           // requests that were read and not answered
	notesPort  int
	relays     []*net.UDPConn // of notes: what sender i writes to all comes to relays[i], which its peers know it by
}

func (p *returnRig) now() time.Duration { return time.Since(p.start) }

// Play plays it and gives the worst window of each destination that was out.
func (r ReturnPlay) Play(t testing.TB) []fallen {
	t.Helper()
	dir, err := os.MkdirTemp("", "return")
	require.NoError(t, err)
	p := &returnRig{ReturnPlay: r, t: t, dir: dir, done: make(chan struct{}), more: make(chan struct{}),
		draw: rand.New(rand.NewPCG(r.Seed, 44)), handIns: map[string]int{}, holder: map[string]int{}, messages: map[string]*handed{}}
	defer p.close()
	p.setUp()
	for _, s := range p.senders {
		p.spawn(s)
	}
	for _, s := range p.senders {
		require.Eventually(t, func() bool { return (&Sender{Listen: s.listen.Addr.String()}).ping() }, long, looks)
	}
	p.schedule()
	p.start = time.Now()
	p.work.Go(func() { p.stalls.watch(p) })
	p.begin()
	p.sleepUntil(p.Until + returnWatch)
	ws := p.judge()
	if p.Settle > 0 {
		p.sleepUntil(p.Until + returnWatch + p.Settle)
		faults := p.broken()
		assert.Empty(t, faults)
		p.tellOf(faults)
	}
	return ws
}

func (p *returnRig) setUp() {
	host := ownHost()
	for i, c := range p.Capacities {
		d := &returning{p: p, number: i + 1, capacity: c, draw: rand.New(rand.NewPCG(p.Seed, uint64(i)))}
		n := 1
		if i < p.Out {
			n = p.Endpoints
		}
		for range n {
			d.addEndpoint(host)
		}
		p.dsts = append(p.dsts, d)
	}
	p.serveAgent()
	for i := range p.Senders {
		s := &returnSender{number: i, dir: filepath.Join(p.dir, fmt.Sprint("n", i)), part: p.draw.ExpFloat64() + 0.1}
		var err error
		s.listen, err = loopback.Reserve(host)
		require.NoError(p.t, err)
		require.NoError(p.t, os.MkdirAll(filepath.Join(s.dir, "state"), 0o700))
		p.senders = append(p.senders, s)
	}
	if p.Notes {
		p.relayNotes()
	}
}

// event is something to be done at a time of the play.
type event struct {
	when time.Duration
	do   func()
}

// at does something at a time of the play, unless it is over by then. Nothing is done before the schedule is drawn: events draw as well, from
// the same source.
func (p *returnRig) at(when time.Duration, do func()) {
	if !p.begun {
		p.planned = append(p.planned, event{when, do})
		return
	}
	p.work.Go(func() {
		t := time.NewTimer(when - p.now())
		defer t.Stop()
		select {
		case <-p.done:
		case <-t.C:
			do()
		}
	})
}

// begin sets going what is planned.
func (p *returnRig) begin() {
	p.begun = true
	for _, e := range p.planned {
		p.at(e.when, e.do)
	}
	p.planned = nil
}

// restart kills a sender's process at a time and starts it again. Danger: as two timers of their own, both late, they may come the other way
// round, and the new process is the one that is killed.
func (p *returnRig) restart(s *returnSender, at time.Duration) {
	p.at(at, func() {
		s.kill()
		p.at(at+returnDown, func() { p.spawn(s) })
	})
}

// schedule draws all that happens.
func (p *returnRig) schedule() {
	for _, d := range p.dsts[:p.Out] {
		p.outages(d)
		if p.Joins {
			p.at(p.From+time.Duration(p.draw.Float64()*float64(p.Until-p.From)), func() { p.join(d) })
		}
	}
	killed, late := int(p.Killed*float64(p.Senders)), int(p.LateKills*float64(p.Senders))
	for i, s := range p.senders[:killed+late] {
		kill := p.From + time.Duration(p.draw.Float64()*float64(p.lastFirstReturn()-p.From-returnDown))
		if i >= killed {
			kill = p.Until - returnDown + time.Duration(p.draw.Float64()*float64(returnDown))
		}
		p.restart(s, kill)
	}
	p.signals()
	p.crowd()
	total := 0.0
	for _, c := range p.Capacities {
		total += c
	}
	for at, i := 0.0, 0; at < (p.Until + returnWatch).Seconds(); i++ {
		to, dst := p.drawSender(), p.drawDestination(total)
		p.at(time.Duration(at*float64(time.Second)), func() { p.handIn(fmt.Sprintf("%08x", i), dst, to) })
		at += p.draw.ExpFloat64() / (p.Load * total)
	}
}

// lastFirstReturn is when the first outage is over everywhere.
func (p *returnRig) lastFirstReturn() time.Duration {
	if p.Apart {
		return returnLast
	}
	return p.Until
}

// outages schedules those of one destination, and notes its returns.
func (p *returnRig) outages(d *returning) {
	back := p.Until
	if p.Apart {
		back = returnFirst + time.Duration(p.draw.Float64()*float64(returnLast-returnFirst))
	}
	p.outage(d, p.From, back)
	if p.Again {
		from := back + returnAgain + time.Duration(p.draw.Float64()*float64(returnAgain*3/2))
		p.outage(d, from, from+returnOut)
	}
}

func (p *returnRig) outage(d *returning, from, until time.Duration) {
	p.at(from, func() { d.fail(p.How) })
	p.at(until, d.back)
	d.outages = append(d.outages, span{from, until})
}

func (p *returnRig) sleepUntil(at time.Duration) { time.Sleep(at - p.now()) }

func (p *returnRig) close() {
	close(p.done)
	p.killAll()
	_ = p.agent.Close()
	for _, c := range p.relays {
		_ = c.Close()
	}
	for _, d := range p.dsts {
		for _, e := range d.endpoints {
			if e.server != nil {
				_ = e.server.Close()
			}
			e.at.Release()
		}
	}
	p.work.Wait()
	p.killAll() // one may have been starting meanwhile
	for _, s := range p.senders {
		s.listen.Release()
	}
	_ = os.RemoveAll(p.dir)
}

func (p *returnRig) killAll() {
	for _, s := range p.senders {
		s.kill()
	}
}

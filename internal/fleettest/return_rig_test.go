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

// OutageKind is how a destination fails.
type OutageKind string

// Kinds of outages.
const (
	RefusesConnections OutageKind = "refuses" // connections are refused
	HangsCalls         OutageKind = "hangs"   // calls are accepted and not answered; those still open at the return are reset
	AnswersErrors      OutageKind = "errors"  // most calls are answered with 500
	RejectsCalls       OutageKind = "shut"    // all calls are rejected with 503, or with 429 and a Retry-After header
)

// ReturnScenario is a run of a fleet of sender processes through an outage of some destinations and their return. Times are relative to when
// all senders answer (second 0).
type ReturnScenario struct {
	Seed                   uint64
	Senders                int
	Capacities             []float64 // calls per second of each destination once warm, in order of destination number from 1
	FailingDestinations    int       // the first destinations, this many, fail
	Endpoints              int       // of each failing destination; the others have one
	Outage                 OutageKind
	RetryAfter             time.Duration // Retry-After of each rejection of RejectsCalls; 0 for none
	OutageStart, OutageEnd time.Duration // bounds of the outage
	SeparateReturns        bool          // each destination returns at a random time from earliestReturn to latestReturn; OutageEnd then applies to the scenario as a whole
	SecondOutage           bool          // each destination fails again for secondOutageLength, at least secondOutageDelay and at most 3 s more after its return
	LoadFactor             float64       // hand-in rate as a fraction of the total capacity
	KilledShare            float64       // share of the senders killed and restarted during the outage
	LateKilledShare        float64       // share of the senders killed so that they restart right after the return
	Weights                string        // weight_source of the settings
	Notes                  bool          // senders receive each other's notes
	AddEndpoints           bool          // each failing destination gets one more endpoint during the outage
	SignaledShare          float64       // share of the senders that get a series of signals and are finally killed and restarted
	IdleClients            int           // idle connections to the first sender
	Deadline               time.Duration // of a message; defaultDeadline if 0
	SettleTime             time.Duration // after the last hand-in, within which every message must end; not checked if 0
}

const (
	returnStartShare     = 0.22 // share of the capacity that a destination has right after its return
	returnWarmUp         = 10 * time.Second
	returnOverloadFactor = 2
	returnWindow         = 2 * time.Second
	returnObservation    = 6 * time.Second // how long a return is observed
	restartDelay         = 600 * time.Millisecond
	earliestReturn       = 5 * time.Second  // if destinations return separately
	latestReturn         = 13 * time.Second // if destinations return separately
	secondOutageDelay    = 2 * time.Second  // minimum from the first return to the second outage
	secondOutageLength   = 2 * time.Second
	callDuration         = 150 * time.Millisecond // processing time of a destination
	classAim             = 2500 * time.Millisecond
	defaultDeadline      = 28 * time.Second
	maxHandIns           = 3 // of one message, including the first
	listHeartbeat        = time.Second

	firstNotesPort = 20_000
)

// returnRig runs a ReturnScenario.
type returnRig struct {
	ReturnScenario
	t            testing.TB
	dir          string
	startTime    time.Time
	destinations []*returnDestination
	senders      []*returnSender
	platform     *http.Server
	platformAddr string
	running      sync.WaitGroup
	done         chan struct{}
	scheduled    []scheduledEvent // before startTime
	stalls       stalls

	mu          sync.Mutex
	rng         *rand.Rand
	handIns     map[string]int // number of hand-ins so far by message name, the first 8 characters of the id
	holders     map[string]int // index of the sender at which a message was handed in, by id
	listUpdates []string       // lines sent to the senders by discovery
	listChanged chan struct{}
	messages    map[string]*messageRecord // by id
	unanswered  []string                  // descriptions of requests that were read and not answered
	notesPort   int
	noteRelays  []*net.UDPConn // notes that sender i sends to all peers arrive at noteRelays[i], which the peers know as its address
}

func (p *returnRig) now() time.Duration { return time.Since(p.startTime) }

// Execute runs the scenario and returns the worst window of each return of a failing destination.
func (r ReturnScenario) Execute(t testing.TB) []windowResult {
	t.Helper()
	dir, err := os.MkdirTemp("", "return")
	require.NoError(t, err)
	p := &returnRig{ReturnScenario: r, t: t, dir: dir, done: make(chan struct{}), listChanged: make(chan struct{}),
		rng: rand.New(rand.NewPCG(r.Seed, 44)), handIns: map[string]int{}, holders: map[string]int{}, messages: map[string]*messageRecord{}}
	defer p.close()
	p.setUp()
	for _, s := range p.senders {
		p.startSender(s)
	}
	for _, s := range p.senders {
		require.Eventually(t, func() bool { return (&Sender{ClientAddr: s.reservation.Addr.String()}).ping() }, waitLimit, pollInterval)
	}
	p.schedule()
	p.startSchedule()
	p.running.Go(func() { p.stalls.watch(p) })
	p.sleepUntil(p.OutageEnd + returnObservation)
	results := p.worstWindows()
	if p.SettleTime > 0 {
		p.sleepUntil(p.OutageEnd + returnObservation + p.SettleTime)
		faults := p.violations()
		assert.Empty(t, faults)
		p.logFaults(faults)
	}
	return results
}

func (p *returnRig) setUp() {
	host := ownHost()
	for i, c := range p.Capacities {
		d := &returnDestination{p: p, number: i + 1, capacity: c, rng: rand.New(rand.NewPCG(p.Seed, uint64(i)))}
		n := 1
		if i < p.FailingDestinations {
			n = p.Endpoints
		}
		for range n {
			d.addEndpoint(host)
		}
		p.destinations = append(p.destinations, d)
	}
	p.startPlatform()
	for i := range p.Senders {
		s := &returnSender{number: i, dir: filepath.Join(p.dir, fmt.Sprint("n", i)), trafficWeight: p.rng.ExpFloat64() + 0.1}
		var err error
		s.reservation, err = loopback.Reserve(host)
		require.NoError(p.t, err)
		require.NoError(p.t, os.MkdirAll(filepath.Join(s.dir, "state"), 0o700))
		p.senders = append(p.senders, s)
	}
	if p.Notes {
		p.startNoteRelays()
	}
}

// scheduledEvent is a function that runs at a time of the scenario.
type scheduledEvent struct {
	when time.Duration
	do   func()
}

// startSchedule starts the scenario with the events scheduled so far. Drawing them takes long on a busy machine: events that ran meanwhile would
// draw from the same generator, and later ones would be late.
func (p *returnRig) startSchedule() {
	events := p.scheduled
	p.scheduled, p.startTime = nil, time.Now()
	for _, e := range events {
		p.at(e.when, e.do)
	}
}

// at runs a function at a time of the scenario, unless the scenario has ended by then.
func (p *returnRig) at(when time.Duration, do func()) {
	if p.startTime.IsZero() {
		p.scheduled = append(p.scheduled, scheduledEvent{when, do})
		return
	}
	p.running.Go(func() {
		t := time.NewTimer(when - p.now())
		defer t.Stop()
		select {
		case <-p.done:
		case <-t.C:
			do()
		}
	})
}

// restart kills a sender's process and starts it again. The kill schedules the start: two late timers could fire in reverse order and kill
// the new process.
func (p *returnRig) restart(s *returnSender, at time.Duration) {
	p.at(at, func() {
		s.kill()
		p.at(at+restartDelay, func() { p.startSender(s) })
	})
}

// schedule draws and schedules all events of the scenario.
func (p *returnRig) schedule() {
	for _, d := range p.destinations[:p.FailingDestinations] {
		p.scheduleOutages(d)
		if p.AddEndpoints {
			p.at(p.OutageStart+time.Duration(p.rng.Float64()*float64(p.OutageEnd-p.OutageStart)), func() { p.announceEndpoint(d) })
		}
	}
	killed, late := int(p.KilledShare*float64(p.Senders)), int(p.LateKilledShare*float64(p.Senders))
	for i, s := range p.senders[:killed+late] {
		kill := p.OutageStart + time.Duration(p.rng.Float64()*float64(p.latestFirstReturn()-p.OutageStart-restartDelay))
		if i >= killed {
			kill = p.OutageEnd - restartDelay + time.Duration(p.rng.Float64()*float64(restartDelay))
		}
		p.restart(s, kill)
	}
	p.scheduleSignals()
	p.openIdleClients()
	total := 0.0
	for _, c := range p.Capacities {
		total += c
	}
	for at, i := 0.0, 0; at < (p.OutageEnd + returnObservation).Seconds(); i++ {
		to, dst := p.pickSender(), p.pickDestination(total)
		p.at(time.Duration(at*float64(time.Second)), func() { p.handIn(fmt.Sprintf("%08x", i), dst, to) })
		at += p.rng.ExpFloat64() / (p.LoadFactor * total)
	}
}

// latestFirstReturn is the time by which the first outage of every destination has ended.
func (p *returnRig) latestFirstReturn() time.Duration {
	if p.SeparateReturns {
		return latestReturn
	}
	return p.OutageEnd
}

// scheduleOutages schedules and records the outages of one destination.
func (p *returnRig) scheduleOutages(d *returnDestination) {
	back := p.OutageEnd
	if p.SeparateReturns {
		back = earliestReturn + time.Duration(p.rng.Float64()*float64(latestReturn-earliestReturn))
	}
	p.scheduleOutage(d, p.OutageStart, back)
	if p.SecondOutage {
		from := back + secondOutageDelay + time.Duration(p.rng.Float64()*float64(secondOutageDelay*3/2))
		p.scheduleOutage(d, from, from+secondOutageLength)
	}
}

func (p *returnRig) scheduleOutage(d *returnDestination, from, until time.Duration) {
	p.at(from, func() { d.startOutage(p.Outage) })
	p.at(until, d.endOutage)
	d.outages = append(d.outages, interval{from, until})
}

func (p *returnRig) sleepUntil(at time.Duration) { time.Sleep(at - p.now()) }

func (p *returnRig) close() {
	close(p.done)
	for _, s := range p.senders {
		s.kill()
		s.reservation.Release()
	}
	_ = p.platform.Close()
	for _, c := range p.noteRelays {
		_ = c.Close()
	}
	for _, d := range p.destinations {
		for _, e := range d.endpoints {
			if e.server != nil {
				_ = e.server.Close()
			}
			e.port.Release()
		}
	}
	p.running.Wait()
	_ = os.RemoveAll(p.dir)
}

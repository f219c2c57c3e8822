package capacity

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// RAVENLINK_CAPACITY selects measurements of the long form: destinations, tight (the same with a memory limit of 128 MB), met (a message
// delivered to each destination), owed (messages held in memory), backlog (messages spilled to disk), or several of these, separated by
// commas. The results go to docs/capacity/sender.json:
//
//	RAVENLINK_CAPACITY=destinations,tight,met,owed,backlog go test -count=1 -timeout 30m -run TestSenderAlone -v ./internal/capacity
const longFormEnv = "RAVENLINK_CAPACITY"

const (
	senderFile       = "../../docs/capacity/sender.json"
	settleTime       = 2 * time.Second // before memory is read, so that the runtime has returned what it is about to; less in the short form
	idlePeriod       = 5 * time.Second
	downDestinations = 1485 // of the planned deployment, down at any time
)

// measureDestinations measures one sender that knows n destinations.
func measureDestinations(t *testing.T, f *seriesSet, n int64, idlePeriod, settleTime time.Duration, deliveries int64, memoryMB int) {
	env := newEnvironment(t)
	env.writeConfig(startConfig{destinations: n, memoryMB: memoryMB})
	p := env.startSender()
	x := float64(n)
	startTime, err := p.waitServing(stepTimeout)
	require.NoError(t, err)
	f.addPoint("destination_start_seconds", "from a sender's start until it serves, with a start file that knows so many destinations and nothing owed", "s", "destination", x, startTime.Seconds())
	wait(settleTime)
	cpuTime := p.cpuTime()
	wait(idlePeriod)
	f.addPoint("destination_idle_core", "processor time of a sender that knows so many destinations and has nothing to do", "core", "destination", x, (p.cpuTime()-cpuTime).Seconds()/idlePeriod.Seconds())
	anon, rss := p.residentMemory()
	f.addPoint("destination_rss_anon", "RssAnon of a sender that knows so many destinations from its start file, idle", "B", "destination", x, anon)
	f.addPoint("destination_rss", "VmRSS of the same", "B", "destination", x, rss)
	env.listUpdates <- env.destinationList(2, 0, n+1, false)
	elapsed, err := env.waitAccepted(n+1, "change", stepTimeout)
	require.NoError(t, err)
	f.addPoint("destination_change_seconds", "from discovery's telling one new destination until a message for it is taken on", "s", "destination", x, elapsed.Seconds())
	if deliveries > 0 {
		cpuTime, before := p.cpuTime(), env.calls.Load()
		ok, _, _ := env.handInMany(0, deliveries, func(i int64) int64 { return 1 + i*7919%n }, stepTimeout)
		require.Equal(t, deliveries, ok)
		require.Eventually(t, func() bool { return env.calls.Load()-before >= deliveries }, stepTimeout, 10*time.Millisecond)
		f.addPoint("destination_carried_core_seconds", "processor time for a message taken on and delivered, mostly on a new connection, while so many destinations are known", "s", "destination", x, (p.cpuTime()-cpuTime).Seconds()/float64(deliveries))
	}
	completeList := env.destinationList(3, n+1, n+2, true)
	f.addPoint("destination_list_bytes", "one object of discovery with a whole list", "B", "destination", x, float64(len(completeList)))
	env.listUpdates <- completeList
	elapsed, err = env.waitAccepted(n+2, "whole", 15*time.Second)
	if errors.Is(err, errTimeout) {
		t.Logf("%d destinations: a complete list of %d bytes is not in force after %v", n, len(completeList), elapsed)
		return
	}
	require.NoError(t, err)
	f.addPoint("destination_list_seconds", "from discovery's telling the whole list anew until a message for a destination that is new in it is taken on", "s", "destination", x, elapsed.Seconds())
	wait(settleTime)
	anon, _ = p.residentMemory()
	f.addPoint("destination_list_rss_anon", "RssAnon after a whole list was told anew", "B", "destination", x, anon)
	f.addPoint("destination_list_peak_rss", "VmHWM by then", "B", "destination", x, p.peakRSS())
}

// measureDelivered measures a sender that has delivered a message to each of n known destinations, batchSize at a time.
func measureDelivered(t *testing.T, f *seriesSet, n int64) {
	const batchSize = 500
	env := newEnvironment(t)
	env.writeConfig(startConfig{destinations: n})
	p := env.startSender()
	_, err := p.waitServing(stepTimeout)
	require.NoError(t, err)
	for first := int64(0); first < n; first += batchSize {
		last := min(n, first+batchSize)
		ok, _, _ := env.handInMany(first, last, func(i int64) int64 { return 1 + i }, stepTimeout)
		require.Equal(t, last-first, ok)
		require.Eventually(t, func() bool { return env.calls.Load() >= last }, stepTimeout, time.Millisecond)
	}
	wait(settleTime)
	anon, _ := p.residentMemory()
	f.addPoint("met_rss_anon", "RssAnon of a sender that has delivered a message to each destination that it knows", "B", "destination", float64(n), anon)
	f.addPoint("met_peak_rss", "VmHWM by then", "B", "destination", float64(n), p.peakRSS())
}

// owedResult is the measurement of a sender that owes messages.
type owedResult struct {
	owed, anon, rss, diskUsage float64
	handIn, handInLoaded       time.Duration // CPU time of one hand-in, with few messages owed and with all
	startTime                  time.Duration
	startTimedOut              bool
}

// messageStore selects where a sender stores owed messages.
type messageStore struct {
	name     string // prefix of the series names
	maxHeld  int    // messages held in memory
	operator string // content of the operator's file
}

var (
	inMemory = messageStore{name: "owed", maxHeld: 20_000_000}
	onDisk   = messageStore{name: "backlog", maxHeld: 20_000, operator: "version = 1\n[backlog]\n"}
)

// measureOwed measures one sender that owes n messages for destinations that are down.
func measureOwed(t *testing.T, f *seriesSet, store messageStore, n int64, idlePeriod, settleTime, startTimeout time.Duration) (o owedResult) {
	env := newEnvironment(t)
	env.downCount = downDestinations
	env.writeConfig(startConfig{destinations: downDestinations + 15, maxHeld: store.maxHeld, operator: store.operator})
	p := env.startSender()
	_, err := p.waitServing(stepTimeout)
	require.NoError(t, err)
	dst := func(i int64) int64 { return 1 + i%downDestinations }
	const warmUp, probe = downDestinations, 1000
	cpuTime := p.cpuTime()
	ok, _, _ := env.handInMany(0, warmUp, dst, stepTimeout)
	require.EqualValues(t, warmUp, ok)
	wait(settleTime) // until calls to all destinations have failed
	f.addPoint(store.name+"_first_hand_in_core_seconds", "processor time for one hand-in and the first calls of it, where the sender does not know yet that the destination is down", "s", "message owed", 0, (p.cpuTime()-cpuTime).Seconds()/warmUp)
	measureHandIn := func(first int64) (perHandIn time.Duration) {
		cpuTime := p.cpuTime()
		ok, _, elapsed := env.handInMany(first, first+probe, dst, stepTimeout)
		require.EqualValues(t, probe, ok)
		perHandIn = (p.cpuTime() - cpuTime) / probe
		f.addPoint(store.name+"_hand_in_core_seconds", "processor time for one hand-in for a destination that is known to be down, while so many messages are owed", "s", "message owed", float64(first), perHandIn.Seconds())
		f.addPoint(store.name+"_hand_in_seconds", "time for one such hand-in, four clients with 64 under way each", "s", "message owed", float64(first), elapsed.Seconds()/probe)
		return perHandIn
	}
	o.handIn = measureHandIn(warmUp)
	moreAccepted, rejected, elapsed := env.handInMany(warmUp+probe, n, dst, stepTimeout)
	require.Zero(t, rejected)
	ok += probe + moreAccepted
	x := float64(ok)
	if ok < n {
		t.Logf("%d messages owed after %v, %d were requested", ok, elapsed, n)
	}
	wait(settleTime)
	cpuTime = p.cpuTime()
	wait(idlePeriod)
	f.addPoint(store.name+"_idle_core", "processor time of a sender that owes so many messages for 1,485 destinations that are down", "core", "message owed", x, (p.cpuTime()-cpuTime).Seconds()/idlePeriod.Seconds())
	o.owed = x
	o.anon, o.rss = p.residentMemory()
	o.diskUsage = env.diskUsage()
	f.addPoint(store.name+"_rss_anon", "RssAnon of a sender that owes so many messages with bodies of 20 bytes", "B", "message owed", x, o.anon)
	f.addPoint(store.name+"_rss", "VmRSS of the same", "B", "message owed", x, o.rss)
	f.addPoint(store.name+"_disk", "bytes of the state folder", "B", "message owed", x, o.diskUsage)
	o.handInLoaded = measureHandIn(n)
	p.kill()
	p = env.startSender()
	o.startTime, err = p.waitServing(startTimeout)
	if o.startTimedOut = errors.Is(err, errTimeout); o.startTimedOut {
		t.Logf("%.0f messages owed: not serving after %v", x+probe, startTimeout)
		return o
	}
	require.NoError(t, err)
	f.addPoint(store.name+"_start_seconds", "from a start after SIGKILL until the sender serves", "s", "message owed", x+probe, o.startTime.Seconds())
	wait(settleTime)
	anon, _ := p.residentMemory()
	f.addPoint(store.name+"_start_rss_anon", "RssAnon after such a start", "B", "message owed", x+probe, anon)
	f.addPoint(store.name+"_start_peak_rss", "VmHWM after such a start", "B", "message owed", x+probe, p.peakRSS())
	p.kill()
	return o
}

// wait leaves a sender alone for a measured period; no condition depends on its length.
func wait(d time.Duration) { <-time.After(d) }

// TestSenderAlone is the long form; see longFormEnv.
func TestSenderAlone(t *testing.T) {
	requested := os.Getenv(longFormEnv)
	if requested == "" {
		t.Skipf("set %s to run the long form", longFormEnv)
	}
	if strings.Contains(requested, "destinations") {
		f, run := &seriesSet{}, describeRun("TestSenderAlone", "")
		for _, n := range []int64{1000, 1000, 3000, 3000, 7600, 7600, 20000, 50000, 99000} {
			t.Logf("%d destinations", n)
			measureDestinations(t, f, n, idlePeriod, settleTime, 2000, 0)
		}
		f.writeFile(t, senderFile, run)
	}
	if strings.Contains(requested, "tight") {
		f, run := &seriesSet{}, describeRun("TestSenderAlone", ", 128 MB told")
		for _, n := range []int64{1000, 1000, 7600, 7600, 20000, 50000, 99000} {
			t.Logf("%d destinations, memory limit of 128 MB", n)
			all := &seriesSet{}
			measureDestinations(t, all, n, idlePeriod, settleTime, 2000, 128)
			for _, name := range []string{"destination_rss_anon", "destination_list_rss_anon", "destination_list_peak_rss", "destination_carried_core_seconds"} {
				if s := all.byName[name]; s != nil {
					f.addPoint("tight_"+name, s.Description+"; 128 MB of memory are told", s.Unit, s.Per, s.Points[0][0], s.Points[0][1])
				}
			}
		}
		f.writeFile(t, senderFile, run)
	}
	if strings.Contains(requested, "met") {
		f, run := &seriesSet{}, describeRun("TestSenderAlone", "")
		for _, n := range []int64{1000, 1000, 5000, 5000, 10000, 20000, 40000} {
			t.Logf("%d destinations, each with a message delivered", n)
			measureDelivered(t, f, n)
		}
		f.writeFile(t, senderFile, run)
	}
	if strings.Contains(requested, "owed") {
		f, run := &seriesSet{}, describeRun("TestSenderAlone", "")
		for _, n := range []int64{5000, 5000, 10000, 10000, 30000, 30000, 100000, 300000, 1000000} {
			t.Logf("%d messages owed", n)
			measureOwed(t, f, inMemory, n, idlePeriod, settleTime, stepTimeout)
		}
		f.writeFile(t, senderFile, run)
	}
	if strings.Contains(requested, "backlog") {
		f, run := &seriesSet{}, describeRun("TestSenderAlone", ", [backlog], room for 20,000 in memory")
		for _, n := range []int64{30000, 30000, 100000, 100000, 300000, 1000000} {
			t.Logf("%d messages owed, those beyond the memory limit on disk", n)
			measureOwed(t, f, onDisk, n, idlePeriod, settleTime, stepTimeout)
		}
		f.writeFile(t, senderFile, run)
	}
}

// Bounds of the short form. Each is a ratio or far above the measured value, so that only a change in the order of growth exceeds it.
const (
	maxDestinationBytes = 6000. // memory per additional destination
	maxOwedBytes        = 8000. // total memory per owed message with a body of 20 bytes
	maxOwedDiskBytes    = 200.  // on disk per such message
	maxHandInRatio      = 8.    // CPU time of a hand-in with thousands of messages owed, relative to one with few
	maxChangeSeconds    = 5.    // until a change of the list is in force
	maxStartSeconds     = 10.   // until a restarted sender serves
)

// TestSenderAloneStaysInBounds is the short form, which runs without the environment variable.
func TestSenderAloneStaysInBounds(t *testing.T) {
	const few, many = 500, 4500
	f := &seriesSet{}
	for _, n := range []int64{few, many} {
		measureDestinations(t, f, n, time.Second, settleTime/4, 0, 0)
	}
	o := measureOwed(t, f, inMemory, 3000, time.Second, settleTime/4, 2*maxStartSeconds*time.Second)
	require.Empty(t, exceededBounds(f, o), "%+v", o)
}

// exceededBounds describes the bounds that a run exceeded.
func exceededBounds(f *seriesSet, o owedResult) (exceeded []string) {
	check := func(isOver bool, format string, a ...any) {
		if isOver {
			exceeded = append(exceeded, fmt.Sprintf(format, a...))
		}
	}
	slopeOf := func(name string) float64 {
		p := f.byName[name].Points
		a, b := p[0], p[len(p)-1]
		return (b[1] - a[1]) / (b[0] - a[0])
	}
	perDestination := slopeOf("destination_rss_anon")
	check(perDestination > maxDestinationBytes, "a destination takes %.0f bytes of memory, limit %.0f", perDestination, maxDestinationBytes)
	for _, p := range f.byName["destination_change_seconds"].Points {
		check(p[1] > maxChangeSeconds, "a change is in force after %.1f s at %.0f destinations", p[1], p[0])
	}
	check(o.anon/o.owed > maxOwedBytes, "an owed message takes %.0f bytes of memory, including the fixed part", o.anon/o.owed)
	check(o.diskUsage/o.owed > maxOwedDiskBytes, "an owed message takes %.0f bytes on disk", o.diskUsage/o.owed)
	check(o.handInLoaded.Seconds() > maxHandInRatio*o.handIn.Seconds(), "a hand-in takes %v of CPU time with %.0f messages owed, %v with few", o.handInLoaded, o.owed, o.handIn)
	check(o.startTimedOut || o.startTime.Seconds() > maxStartSeconds, "a start with %.0f messages owed takes %v", o.owed, o.startTime)
	return exceeded
}

// TestExceededBoundsAreReported exceeds one bound at a time.
func TestExceededBoundsAreReported(t *testing.T) {
	good := func() (*seriesSet, owedResult) {
		f := &seriesSet{}
		for _, x := range []float64{500, 4500} {
			f.addPoint("destination_rss_anon", "", "", "", x, 1e7+2400*x)
			f.addPoint("destination_change_seconds", "", "", "", x, 0.1)
		}
		return f, owedResult{owed: 1000, anon: 4e6, diskUsage: 9e4, handIn: time.Millisecond, handInLoaded: time.Millisecond, startTime: time.Second}
	}
	f, o := good()
	require.Empty(t, exceededBounds(f, o))
	for name, exceed := range map[string]func(*seriesSet, *owedResult){
		"memory":      func(f *seriesSet, _ *owedResult) { f.byName["destination_rss_anon"].Points[1][1] += 2e7 },
		"change":      func(f *seriesSet, _ *owedResult) { f.byName["destination_change_seconds"].Points[1][1] = 6 },
		"owed memory": func(_ *seriesSet, o *owedResult) { o.anon *= 3 },
		"disk":        func(_ *seriesSet, o *owedResult) { o.diskUsage *= 3 },
		"hand-in":     func(_ *seriesSet, o *owedResult) { o.handInLoaded *= 9 },
		"slow start":  func(_ *seriesSet, o *owedResult) { o.startTime = 11 * time.Second },
		"not started": func(_ *seriesSet, o *owedResult) { o.startTimedOut = true },
	} {
		f, o := good()
		exceed(f, &o)
		require.Len(t, exceededBounds(f, o), 1, name)
	}
}

func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(min(4, runtime.GOMAXPROCS(0)))
	code := m.Run()
	_ = os.RemoveAll(build.dir)
	os.Exit(code)
}

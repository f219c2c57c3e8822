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

// RAVENLINK_CAPACITY asks for the long form: destinations, tight (the same with 128 MB told), met (each had a message), owed, backlog (what is beyond the holding room on disk), or several. It writes docs/capacity/sender.json:
//
//	RAVENLINK_CAPACITY=destinations,tight,met,owed,backlog go test -count=1 -timeout 30m -run TestSenderAlone -v ./internal/capacity
const longForm = "RAVENLINK_CAPACITY"

const (
	senderFile = "../../docs/capacity/sender.json"
	settle     = 2 * time.Second // before memory is read, so that the runtime has given back what it will soon; less in the short form
	idleFor    = 5 * time.Second
	downs      = 1485 // destinations that are down at any time
)

// atDestinations measures one sender that knows so many destinations.
func atDestinations(t *testing.T, f *figures, n int64, idle, settle time.Duration, carried int64, memoryMB int) {
	s := newSurroundings(t)
	s.configure(told{destinations: n, memoryMB: memoryMB})
	p := s.start()
	x := float64(n)
	started, err := p.served(long)
	require.NoError(t, err)
	f.add("destination_start_seconds", "from a sender's start until it serves, with a start file that knows so many destinations and nothing owed", "s", "destination", x, started.Seconds())
	rest(settle)
	used := p.used()
	rest(idle)
	f.add("destination_idle_core", "processor time of a sender that knows so many destinations and has nothing to do", "core", "destination", x, (p.used()-used).Seconds()/idle.Seconds())
	anon, rss := p.memory()
	f.add("destination_rss_anon", "RssAnon of a sender that knows so many destinations from its start file, idle", "B", "destination", x, anon)
	f.add("destination_rss", "VmRSS of the same", "B", "destination", x, rss)
	s.pushed <- s.list(2, 0, n+1, false)
	took, err := s.takenFor(n+1, "change", long)
	require.NoError(t, err)
	f.add("destination_change_seconds", "from discovery's telling one new destination until a message for it is taken on", "s", "destination", x, took.Seconds())
	if carried > 0 {
		used, before := p.used(), s.calls.Load()
		ok, _, _ := s.handInMany(0, carried, func(i int64) int64 { return 1 + i*7919%n }, long)
		require.Equal(t, carried, ok)
		require.Eventually(t, func() bool { return s.calls.Load()-before >= carried }, long, 10*time.Millisecond)
		f.add("destination_carried_core_seconds", "processor time for a message taken on and delivered, mostly on a new connection, while so many destinations are known", "s", "destination", x, (p.used()-used).Seconds()/float64(carried))
	}
	whole := s.list(3, n+1, n+2, true)
	f.add("destination_list_bytes", "one object of discovery with a whole list", "B", "destination", x, float64(len(whole)))
	s.pushed <- whole
	took, err = s.takenFor(n+2, "whole", 15*time.Second)
	if errors.Is(err, errNotReached) {
		t.Logf("%d destinations: a whole list of %d bytes is not in force after %v", n, len(whole), took)
		return
	}
	require.NoError(t, err)
	f.add("destination_list_seconds", "from discovery's telling the whole list anew until a message for a destination that is new in it is taken on", "s", "destination", x, took.Seconds())
	rest(settle)
	anon, _ = p.memory()
	f.add("destination_list_rss_anon", "RssAnon after a whole list was told anew", "B", "destination", x, anon)
	f.add("destination_list_peak_rss", "VmHWM by then", "B", "destination", x, p.peak())
}

// atMet measures a sender that has delivered a message to each destination that it knows, a few at a time.
func atMet(t *testing.T, f *figures, n int64) {
	const few = 500
	s := newSurroundings(t)
	s.configure(told{destinations: n})
	p := s.start()
	_, err := p.served(long)
	require.NoError(t, err)
	for first := int64(0); first < n; first += few {
		last := min(n, first+few)
		ok, _, _ := s.handInMany(first, last, func(i int64) int64 { return 1 + i }, long)
		require.Equal(t, last-first, ok)
		require.Eventually(t, func() bool { return s.calls.Load() >= last }, long, time.Millisecond)
	}
	rest(settle)
	anon, _ := p.memory()
	f.add("met_rss_anon", "RssAnon of a sender that has delivered a message to each destination that it knows", "B", "destination", float64(n), anon)
	f.add("met_peak_rss", "VmHWM by then", "B", "destination", float64(n), p.peak())
}

// owedOne is what a sender that owes messages shows.
type owedOne struct {
	owed, anon, rss, disk float64
	handIn, handInMore    time.Duration // processor time of one hand-in, with few owed and with all
	started               time.Duration
	notStarted            bool
}

// owing is where a sender keeps what it owes.
type owing struct {
	name     string // of the series
	held     int    // messages that its holding room takes
	operator string // its operator's file
}

var (
	inMemory = owing{name: "owed", held: 20_000_000}
	onDisk   = owing{name: "backlog", held: 20_000, operator: "version = 1\n[backlog]\n"}
)

// atOwed measures one sender that owes so many messages for destinations that are down.
func atOwed(t *testing.T, f *figures, kind owing, n int64, idle, settle, patience time.Duration) (o owedOne) {
	s := newSurroundings(t)
	s.down = downs
	s.configure(told{destinations: downs + 15, held: kind.held, operator: kind.operator})
	p := s.start()
	_, err := p.served(long)
	require.NoError(t, err)
	dst := func(i int64) int64 { return 1 + i%downs }
	const warm, probe = downs, 1000
	used := p.used()
	ok, _, _ := s.handInMany(0, warm, dst, long)
	require.EqualValues(t, warm, ok)
	rest(settle) // the calls to all of them fail meanwhile
	f.add(kind.name+"_first_hand_in_core_seconds", "processor time for one hand-in and the first calls of it, where the sender does not know yet that the destination is down", "s", "message owed", 0, (p.used()-used).Seconds()/warm)
	hand := func(first int64) (each time.Duration) {
		used := p.used()
		ok, _, took := s.handInMany(first, first+probe, dst, long)
		require.EqualValues(t, probe, ok)
		each = (p.used() - used) / probe
		f.add(kind.name+"_hand_in_core_seconds", "processor time for one hand-in for a destination that is known to be down, while so many messages are owed", "s", "message owed", float64(first), each.Seconds())
		f.add(kind.name+"_hand_in_seconds", "time for one such hand-in, four clients with 64 under way each", "s", "message owed", float64(first), took.Seconds()/probe)
		return each
	}
	o.handIn = hand(warm)
	more, busy, took := s.handInMany(warm+probe, n, dst, long)
	require.Zero(t, busy)
	ok += probe + more
	x := float64(ok)
	if ok < n {
		t.Logf("%d owed after %v, %d were wanted", ok, took, n)
	}
	rest(settle)
	used = p.used()
	rest(idle)
	f.add(kind.name+"_idle_core", "processor time of a sender that owes so many messages for 1,485 destinations that are down", "core", "message owed", x, (p.used()-used).Seconds()/idle.Seconds())
	o.owed = x
	o.anon, o.rss = p.memory()
	o.disk = s.disk()
	f.add(kind.name+"_rss_anon", "RssAnon of a sender that owes so many messages with bodies of 20 bytes", "B", "message owed", x, o.anon)
	f.add(kind.name+"_rss", "VmRSS of the same", "B", "message owed", x, o.rss)
	f.add(kind.name+"_disk", "bytes of the state folder", "B", "message owed", x, o.disk)
	o.handInMore = hand(n)
	p.kill()
	p = s.start()
	o.started, err = p.served(patience)
	if o.notStarted = errors.Is(err, errNotReached); o.notStarted {
		t.Logf("%.0f owed: serves not after %v", x+probe, patience)
		return o
	}
	require.NoError(t, err)
	f.add(kind.name+"_start_seconds", "from a start after SIGKILL until the sender serves", "s", "message owed", x+probe, o.started.Seconds())
	rest(settle)
	anon, _ := p.memory()
	f.add(kind.name+"_start_rss_anon", "RssAnon after such a start", "B", "message owed", x+probe, anon)
	f.add(kind.name+"_start_peak_rss", "VmHWM after such a start", "B", "message owed", x+probe, p.peak())
	p.kill()
	return o
}

// rest lets a sender stand for a while that is measured; nothing is decided by it.
func rest(d time.Duration) { <-time.After(d) }

// TestSenderAlone is the long form; the file's head says how it is asked for.
func TestSenderAlone(t *testing.T) {
	wanted := os.Getenv(longForm)
	if wanted == "" {
		t.Skipf("the long form runs where %s names it", longForm)
	}
	if strings.Contains(wanted, "destinations") {
		f, run := &figures{}, machine("TestSenderAlone", "")
		for _, n := range []int64{1000, 1000, 3000, 3000, 7600, 7600, 20000, 50000, 99000} {
			t.Logf("%d destinations", n)
			atDestinations(t, f, n, idleFor, settle, 2000, 0)
		}
		f.write(t, senderFile, run)
	}
	if strings.Contains(wanted, "tight") {
		f, run := &figures{}, machine("TestSenderAlone", ", 128 MB told")
		for _, n := range []int64{1000, 1000, 7600, 7600, 20000, 50000, 99000} {
			t.Logf("%d destinations, 128 MB told", n)
			all := &figures{}
			atDestinations(t, all, n, idleFor, settle, 2000, 128)
			for _, name := range []string{"destination_rss_anon", "destination_list_rss_anon", "destination_list_peak_rss", "destination_carried_core_seconds"} {
				if s := all.by[name]; s != nil {
					f.add("tight_"+name, s.What+"; 128 MB of memory are told", s.Unit, s.Per, s.Points[0][0], s.Points[0][1])
				}
			}
		}
		f.write(t, senderFile, run)
	}
	if strings.Contains(wanted, "met") {
		f, run := &figures{}, machine("TestSenderAlone", "")
		for _, n := range []int64{1000, 1000, 5000, 5000, 10000, 20000, 40000} {
			t.Logf("%d destinations, each with a message delivered", n)
			atMet(t, f, n)
		}
		f.write(t, senderFile, run)
	}
	if strings.Contains(wanted, "owed") {
		f, run := &figures{}, machine("TestSenderAlone", "")
		for _, n := range []int64{5000, 5000, 10000, 10000, 30000, 30000, 100000, 300000, 1000000} {
			t.Logf("%d owed", n)
			atOwed(t, f, inMemory, n, idleFor, settle, long)
		}
		f.write(t, senderFile, run)
	}
	if strings.Contains(wanted, "backlog") {
		f, run := &figures{}, machine("TestSenderAlone", ", [backlog], room for 20,000 in memory")
		for _, n := range []int64{30000, 30000, 100000, 100000, 300000, 1000000} {
			t.Logf("%d owed, beyond the holding room on disk", n)
			atOwed(t, f, onDisk, n, idleFor, settle, long)
		}
		f.write(t, senderFile, run)
	}
}

// The bounds of the short form. Each is a ratio, or far above what was measured, so that only a change of form breaks it.
const (
	mostDestination = 6000. // bytes of memory for a further destination
	mostOwed        = 8000. // bytes of memory for a message of 20 bytes, all else shared out
	mostOwedDisk    = 200.  // bytes on disk for it
	mostHandIn      = 8.    // times: a hand-in with thousands owed to one with none
	mostChange      = 5.    // seconds until a change is in force
	mostStart       = 10.   // seconds until a sender serves again
)

// TestSenderAloneStaysInBounds is the short form.
func TestSenderAloneStaysInBounds(t *testing.T) {
	const few, many = 500, 4500
	f := &figures{}
	for _, n := range []int64{few, many} {
		atDestinations(t, f, n, time.Second, settle/4, 0, 0)
	}
	o := atOwed(t, f, inMemory, 3000, time.Second, settle/4, 2*mostStart*time.Second)
	require.Empty(t, broken(f, o), "%+v", o)
}

// broken names the bounds that a run broke.
func broken(f *figures, o owedOne) (faults []string) {
	say := func(over bool, format string, a ...any) {
		if over {
			faults = append(faults, fmt.Sprintf(format, a...))
		}
	}
	step := func(name string) float64 {
		p := f.by[name].Points
		a, b := p[0], p[len(p)-1]
		return (b[1] - a[1]) / (b[0] - a[0])
	}
	each := step("destination_rss_anon")
	say(each > mostDestination, "a destination takes %.0f bytes, %.0f are allowed", each, mostDestination)
	for _, p := range f.by["destination_change_seconds"].Points {
		say(p[1] > mostChange, "a change is in force after %.1f s at %.0f destinations", p[1], p[0])
	}
	say(o.anon/o.owed > mostOwed, "a message takes %.0f bytes, with all else", o.anon/o.owed)
	say(o.disk/o.owed > mostOwedDisk, "a message takes %.0f bytes on disk", o.disk/o.owed)
	say(o.handInMore.Seconds() > mostHandIn*o.handIn.Seconds(), "a hand-in takes %v with %.0f owed, %v with few", o.handInMore, o.owed, o.handIn)
	say(o.notStarted || o.started.Seconds() > mostStart, "a start with %.0f owed takes %v", o.owed, o.started)
	return faults
}

// TestBrokenBoundsAreNamed plants each fault.
func TestBrokenBoundsAreNamed(t *testing.T) {
	good := func() (*figures, owedOne) {
		f := &figures{}
		for _, x := range []float64{500, 4500} {
			f.add("destination_rss_anon", "", "", "", x, 1e7+2400*x)
			f.add("destination_change_seconds", "", "", "", x, 0.1)
		}
		return f, owedOne{owed: 1000, anon: 4e6, disk: 9e4, handIn: time.Millisecond, handInMore: time.Millisecond, started: time.Second}
	}
	f, o := good()
	require.Empty(t, broken(f, o))
	for name, plant := range map[string]func(*figures, *owedOne){
		"memory":      func(f *figures, _ *owedOne) { f.by["destination_rss_anon"].Points[1][1] += 2e7 },
		"change":      func(f *figures, _ *owedOne) { f.by["destination_change_seconds"].Points[1][1] = 6 },
		"owed memory": func(_ *figures, o *owedOne) { o.anon *= 3 },
		"disk":        func(_ *figures, o *owedOne) { o.disk *= 3 },
		"hand-in":     func(_ *figures, o *owedOne) { o.handInMore *= 9 },
		"slow start":  func(_ *figures, o *owedOne) { o.started = 11 * time.Second },
		"not started": func(_ *figures, o *owedOne) { o.notStarted = true },
	} {
		f, o := good()
		plant(f, &o)
		require.Len(t, broken(f, o), 1, name)
	}
}

func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(min(4, runtime.GOMAXPROCS(0)))
	code := m.Run()
	_ = os.RemoveAll(built.dir)
	os.Exit(code)
}

package fleettest

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenlink/internal/loopback"
)

const (
	waitLimit    = 30 * time.Second      // of Until; a passing run never reaches it
	pollInterval = 10 * time.Millisecond // for conditions that change without notice
)

// Setup configures a Rig.
type Setup struct {
	Senders      int                    // named a, b, c and so on; 3 to 9
	Destinations []int64                // one receiver each; only 7 if empty
	Settings     string                 // of the start file; the constant Settings if empty
	OperatorFile func(s *Sender) string // returns a sender's operator's file; nil for none
	Seed         uint64
}

// Settings are the default settings of a start file, with the classes notice (keyed), once (non-retriable), again (retriable) and
// lined (retriable, in order).
const Settings = `{"balancers":3,"discovery":"automatic","weight_source":"off","machine_types":["m"],"zones":["z"],
"classes":[{"name":"notice","aim":2000,"deadline":8000,"group":"all","importance":1,"late_worth":0.5,"repeat":"by_key","window":15000},
{"name":"once","aim":2000,"deadline":8000,"group":"all","importance":1,"late_worth":0.5,"repeat":"once"},
{"name":"again","aim":2000,"deadline":8000,"group":"all","importance":1,"late_worth":0.5,"repeat":"repeatable"},
{"name":"lined","aim":2000,"deadline":8000,"group":"all","importance":1,"late_worth":0.5,"repeat":"repeatable","sequential":true}],
"family_info":{"max_calls":20,"own_limits":[false],"batch_by_kind":[1],"late":"halves"},
"limits":{"most_held":200,"send_cap":6,"probes":true,"cancel":true,"retry_after":true,"max_retry_after":2000,"connect_timeout":1000,"conn_idle":5000},
"rules":{"start_capacity":0.2,"warm_within":1000,"overload_factor":2}}`

// Classes describes the classes of Settings to the checks.
var Classes = map[string]Class{"notice": {Keyed: true, Window: 15 * time.Second}, "once": {}, "again": {Retriable: true},
	"lined": {Retriable: true, InOrder: true}}

// Rig is a fleet on loopback together with everything it talks to. Its methods must be called from the test's goroutine; Until and
// the methods of a Client may also be called from others.
type Rig struct {
	t          testing.TB
	setup      Setup
	rec        *recorder
	senders    []*Sender
	dsts       map[int64]*destination
	links      map[[2]string]*Link
	done       chan struct{} // closed by close
	background sync.WaitGroup
}

// New creates the emulated receivers, platforms and links. It starts no process.
func New(t testing.TB, s Setup) *Rig {
	t.Helper()
	if s.Settings == "" {
		s.Settings = Settings
	}
	if len(s.Destinations) == 0 {
		s.Destinations = []int64{7}
	}
	r := &Rig{t: t, setup: s, rec: newRecorder(), dsts: map[int64]*destination{}, links: map[[2]string]*Link{},
		done: make(chan struct{})}
	r.background.Go(func() { r.rec.recordStalls(r.done) })
	for _, dst := range s.Destinations {
		r.dsts[dst] = &destination{r: r, dst: dst, conduct: Conduct{Window: time.Second}, changed: make(chan struct{}), serving: true}
	}
	root, err := os.MkdirTemp("", "fleet")
	require.NoError(t, err)
	ports := reserveAddrs(t, 2*s.Senders)
	for i := range s.Senders {
		one := &Sender{Name: string(rune('a' + i)), ClientAddr: ports[2*i], LinkAddr: ports[2*i+1], r: r, receivers: map[int64]*httptest.Server{}}
		one.dir = filepath.Join(root, one.Name)
		require.NoError(t, os.MkdirAll(one.dir, 0o700))
		one.platform = newPlatform(r, one.Name)
		for _, dst := range s.Destinations {
			one.receivers[dst] = r.dsts[dst].serve(one.Name)
		}
		r.senders = append(r.senders, one)
	}
	for _, from := range r.senders {
		for _, to := range r.senders {
			if from != to {
				r.links[[2]string{from.Name, to.Name}] = newLink(r, from.Name, to.Name, to.LinkAddr, s.Seed)
			}
		}
	}
	t.Cleanup(func() { r.close(root) })
	return r
}

// ownHost returns a loopback address derived from the process ID of this test program, so that no other test program takes a port while
// a sender is down.
func ownHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 64+pid>>8%128, pid%256)
}

// newServer starts an HTTP server on ownHost. On a shared address it could get requests from senders of other test programs whose peer
// had used the same port before.
func newServer(h http.Handler) *httptest.Server {
	l, err := net.Listen("tcp", ownHost()+":0")
	if err != nil {
		panic(err) // as httptest does
	}
	s := &httptest.Server{Listener: l, Config: &http.Server{Handler: h}}
	s.Start()
	return s
}

// reserveAddrs reserves addresses until the test ends, so that a process which listens there can stop and start again.
func reserveAddrs(t testing.TB, n int) (addrs []string) {
	for range n {
		r, err := loopback.Reserve(ownHost())
		require.NoError(t, err)
		t.Cleanup(r.Release)
		addrs = append(addrs, r.Addr.String())
	}
	return addrs
}

func (r *Rig) close(root string) {
	for _, s := range r.senders {
		if s.cmd != nil {
			_ = s.cmd.Process.Kill()
			<-s.exited
		}
		if r.t.Failed() {
			r.t.Logf("log of sender %s:\n%s", s.Name, s.Log())
		}
		s.platform.server.CloseClientConnections()
		s.platform.server.Close()
		for _, d := range s.receivers {
			d.CloseClientConnections()
			d.Close()
		}
	}
	for _, l := range r.links {
		l.close()
	}
	close(r.done)
	r.background.Wait()
	_ = os.RemoveAll(root)
}

// Start starts all senders except the named ones and waits until they answer.
func (r *Rig) Start(except ...string) {
	r.t.Helper()
	for _, s := range r.senders {
		if !slices.Contains(except, s.Name) {
			s.Spawn()
		}
	}
	for _, s := range r.senders {
		if s.Running() {
			r.Until(s.Name+" answers", func(Record) bool { return s.ping() })
		}
	}
}

// Sender returns the sender with a name.
func (r *Rig) Sender(name string) *Sender { return r.senders[name[0]-'a'] }

// Senders returns all senders.
func (r *Rig) Senders() []*Sender { return r.senders }

// Link returns the proxy on the link from one sender to another.
func (r *Rig) Link(from, to string) *Link { return r.links[[2]string{from, to}] }

// Cut partitions two groups of senders by cutting the links between them in both directions.
func (r *Rig) Cut(group, others []string) {
	for _, a := range group {
		for _, b := range others {
			r.Link(a, b).Set(Faults{Cut: true})
			r.Link(b, a).Set(Faults{Cut: true})
		}
	}
}

// Heal removes the faults of all links.
func (r *Rig) Heal() {
	for _, l := range r.links {
		l.Set(Faults{})
	}
}

// Record returns a copy of the traffic recorded so far.
func (r *Rig) Record() Record {
	rec, _ := r.rec.snapshot()
	return rec
}

// Until waits until a condition on the recorded traffic holds, and fails the test after waitLimit.
func (r *Rig) Until(what string, done func(Record) bool) {
	r.t.Helper()
	limit := time.NewTimer(waitLimit)
	defer limit.Stop()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		rec, changed := r.rec.snapshot()
		if done(rec) {
			return
		}
		select {
		case <-changed:
		case <-ticker.C:
		case <-limit.C:
			require.FailNow(r.t, "timed out waiting until "+what)
		}
	}
}

// UntilEnded waits until every accepted message has ended.
func (r *Rig) UntilEnded() {
	r.t.Helper()
	defer func() {
		for _, id := range r.Record().Unended() {
			r.t.Log(r.Record().Timeline(id))
		}
	}()
	r.Until("all messages have ended", func(rec Record) bool { return len(rec.Unended()) == 0 })
}

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
	long  = 30 * time.Second      // a limit that no good run reaches
	looks = 10 * time.Millisecond // between looks at what tells no news of itself
)

// Setup says what is set up.
type Setup struct {
	Senders      int                    // named a, b, c and so on; 3 to 9
	Destinations []int64                // each one receiver; 7 alone if none is named
	Settings     string                 // of the start file; Settings if empty
	Operator     func(s *Sender) string // each sender's operator's file; nil for none
	Seed         uint64
}

// Settings are a start file's: lanes notice (keyed), once (non-retriable), again (retriable) and lined (retriable, in order).
const Settings = `{"balancers":3,"discovery":"automatic","weight_source":"off","machine_types":["m"],"zones":["z"],
"classes":[{"name":"notice","aim":2000,"deadline":8000,"group":"all","importance":1,"late_worth":0.5,"repeat":"by_key","window":15000},
{"name":"once","aim":2000,"deadline":8000,"group":"all","importance":1,"late_worth":0.5,"repeat":"once"},
{"name":"again","aim":2000,"deadline":8000,"group":"all","importance":1,"late_worth":0.5,"repeat":"repeatable"},
{"name":"lined","aim":2000,"deadline":8000,"group":"all","importance":1,"late_worth":0.5,"repeat":"repeatable","sequential":true}],
"family_info":{"max_calls":20,"own_limits":[false],"batch_by_kind":[1],"late":"halves"},
"limits":{"most_held":200,"send_cap":6,"probes":true,"cancel":true,"retry_after":true,"max_retry_after":2000,"connect_timeout":1000,"conn_idle":5000},
"rules":{"start_capacity":0.2,"warm_within":1000,"overload_factor":2}}`

// Lanes of Settings, for the judges.
var Lanes = map[string]Lane{"notice": {Keyed: true, Window: 15 * time.Second}, "once": {}, "again": {Retriable: true},
	"lined": {Retriable: true, InOrder: true}}

// Rig is a fleet on loopback and all that it talks to. Its methods are for the test's goroutine; Client's and Until's may be called from others.
type Rig struct {
	t       testing.TB
	setup   Setup
	rec     *recorder
	senders []*Sender
	dsts    map[int64]*destination
	links   map[[2]string]*Link
	done    chan struct{} // closed at the end
	pulse   sync.WaitGroup
}

// New sets all up; no process runs yet.
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
	r.pulse.Go(func() { r.rec.watch(r.done) })
	for _, dst := range s.Destinations {
		r.dsts[dst] = &destination{r: r, dst: dst, conduct: Conduct{Window: time.Second}, changed: make(chan struct{}), serving: true}
	}
	root, err := os.MkdirTemp("", "fleet")
	require.NoError(t, err)
	ports := reserved(t, 2*s.Senders)
	for i := range s.Senders {
		one := &Sender{Name: string(rune('a' + i)), Listen: ports[2*i], Links: ports[2*i+1], r: r, reach: map[int64]*httptest.Server{}}
		one.dir = filepath.Join(root, one.Name)
		require.NoError(t, os.MkdirAll(one.dir, 0o700))
		one.platform = newPlatform(r, one.Name)
		for _, dst := range s.Destinations {
			one.reach[dst] = r.dsts[dst].serve(one.Name)
		}
		r.senders = append(r.senders, one)
	}
	for _, from := range r.senders {
		for _, to := range r.senders {
			if from != to {
				r.links[[2]string{from.Name, to.Name}] = newLink(r, from.Name, to.Name, to.Links, s.Seed)
			}
		}
	}
	t.Cleanup(func() { r.close(root) })
	return r
}

// ownHost is a loopback address of this test program's own, so that no other one takes a port while a sender is down.
func ownHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 64+pid>>8%128, pid%256)
}

// newServer serves at an address of this program's own: elsewhere senders of other test programs may come by, that had somebody at that port.
func newServer(h http.Handler) *httptest.Server {
	l, err := net.Listen("tcp", ownHost()+":0")
	if err != nil {
		panic(err) // as httptest does
	}
	s := &httptest.Server{Listener: l, Config: &http.Server{Handler: h}}
	s.Start()
	return s
}

// reserved are addresses that nobody else is given until the test ends; what listens there may end and start again.
func reserved(t testing.TB, n int) (addrs []string) {
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
			<-s.ended
		}
		if r.t.Failed() {
			r.t.Logf("sender %s wrote:\n%s", s.Name, s.Log())
		}
		s.platform.server.CloseClientConnections()
		s.platform.server.Close()
		for _, d := range s.reach {
			d.CloseClientConnections()
			d.Close()
		}
	}
	for _, l := range r.links {
		l.close()
	}
	close(r.done)
	r.pulse.Wait()
	_ = os.RemoveAll(root)
}

// Start starts all senders but these, and waits until they answer.
func (r *Rig) Start(but ...string) {
	r.t.Helper()
	for _, s := range r.senders {
		if !slices.Contains(but, s.Name) {
			s.Spawn()
		}
	}
	for _, s := range r.senders {
		if s.Running() {
			r.Until(s.Name+" answers", func(Record) bool { return s.ping() })
		}
	}
}

// Sender finds one by name.
func (r *Rig) Sender(name string) *Sender { return r.senders[name[0]-'a'] }

// Senders are all of them.
func (r *Rig) Senders() []*Sender { return r.senders }

// Link finds the proxy from one sender to another.
func (r *Rig) Link(from, to string) *Link { return r.links[[2]string{from, to}] }

// Cut cuts both directions between each of one side and each of the other; Heal mends all links.
func (r *Rig) Cut(one, other []string) {
	for _, a := range one {
		for _, b := range other {
			r.Link(a, b).Set(Faults{Cut: true})
			r.Link(b, a).Set(Faults{Cut: true})
		}
	}
}

// Heal mends all links.
func (r *Rig) Heal() {
	for _, l := range r.links {
		l.Set(Faults{})
	}
}

// Record is what has passed so far.
func (r *Rig) Record() Record {
	rec, _ := r.rec.read()
	return rec
}

// Until waits for a condition on what has passed.
func (r *Rig) Until(what string, done func(Record) bool) {
	r.t.Helper()
	limit := time.NewTimer(long)
	defer limit.Stop()
	look := time.NewTicker(looks)
	defer look.Stop()
	for {
		rec, news := r.rec.read()
		if done(rec) {
			return
		}
		select {
		case <-news:
		case <-look.C:
		case <-limit.C:
			require.FailNow(r.t, "never: "+what)
		}
	}
}

// UntilEnded waits until every message that was taken on has ended.
func (r *Rig) UntilEnded() {
	r.t.Helper()
	defer func() {
		for _, id := range r.Record().Owed() {
			r.t.Log(r.Record().Story(id))
		}
	}()
	r.Until("all messages end", func(rec Record) bool { return len(rec.Owed()) == 0 })
}

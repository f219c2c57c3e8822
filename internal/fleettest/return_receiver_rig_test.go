package fleettest

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"ravenlink/internal/loopback"
	"slices"
	"sync"
	"time"

	"github.com/stretchr/testify/require"
)

// Destinations of a return play: their endpoints, outages and returns.

// span is a time of the play.
type span struct{ From, Until time.Duration }

// arrival is a call or probe as a destination saw it.
type arrival struct {
	At      time.Duration
	Message string // empty for a probe
	By      int    // the sender
}

// endpoint is one address of a destination.
type endpoint struct {
	d      *returning
	at     *loopback.Reservation
	server *http.Server // nil while it refuses
}

// returning is a destination of the play.
type returning struct {
	p        *returnRig
	number   int
	capacity float64

	mu        sync.Mutex
	endpoints []*endpoint
	hangs     bool
	errs      bool
	shut      bool
	outages   []span        // in their order
	changed   chan struct{} // closed at the return
	draw      *rand.Rand
	came      []arrival
}

func (d *returning) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	_, _ = io.Copy(io.Discard, in.Body)
	id := in.Header.Get("X-Txn")
	d.mu.Lock()
	d.came = append(d.came, arrival{d.p.now(), id, d.p.handedTo(id)})
	hangs, fails, shut, changed := d.hangs, d.errs && d.draw.Float64() < 0.8, d.shut, d.changed
	d.mu.Unlock()
	if shut {
		d.refuse(out)
		return
	}
	d.p.ran(id)
	if hangs {
		select {
		case <-changed:
		case <-in.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	if fails {
		out.WriteHeader(http.StatusInternalServerError)
		return
	}
	if id != "" {
		time.Sleep(returnTook) // the call's work; decides nothing
		d.p.over(id)
	}
	out.WriteHeader(http.StatusOK)
}

func (d *returning) refuse(out http.ResponseWriter) {
	if d.p.Tells == 0 {
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	out.Header().Set("Retry-After", fmt.Sprint(d.p.Tells.Seconds()))
	out.WriteHeader(http.StatusTooManyRequests)
}

func (d *returning) open(e *endpoint) {
	l, err := e.at.Listen()
	require.NoError(d.p.t, err)
	if d.p.Copies {
		l = &copyingListener{Listener: l, seed: d.p.Seed<<8 | uint64(d.number)}
	}
	e.server = &http.Server{Handler: d}
	d.p.work.Go(func() { _ = e.server.Serve(l) })
}

// fail begins the outage, and back ends it.
func (d *returning) fail(how Outage) {
	d.mu.Lock()
	d.hangs, d.errs, d.shut, d.changed = how == Hangs, how == Errors, how == Shut, make(chan struct{})
	es := slices.Clone(d.endpoints)
	d.mu.Unlock()
	for _, e := range es {
		if how == Refuses {
			_ = e.server.Close()
			e.server = nil
		}
	}
}

func (d *returning) back() {
	d.mu.Lock()
	d.hangs, d.errs, d.shut = false, false, false
	close(d.changed)
	es := slices.Clone(d.endpoints)
	d.mu.Unlock()
	for _, e := range es {
		if e.server == nil {
			d.open(e)
		}
	}
}

// member is the entry of an endpoint in discovery's list.
func (d *returning) member(i int) string {
	return fmt.Sprintf(`{"id":"s-%d-%d","host_port":"%s","locality":"z","flavor":"m","cell":%d,"phase":"SERVING","size":%g}`, d.number, i,
		d.endpoints[i].at.Addr, d.number, d.capacity)
}

func (d *returning) addEndpoint(host string) {
	at, err := loopback.Reserve(host)
	require.NoError(d.p.t, err)
	e := &endpoint{d: d, at: at}
	d.open(e) // first: the outage may end just now, which opens all that are listed and shut
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endpoints = append(d.endpoints, e)
}

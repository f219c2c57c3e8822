package fleettest

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"ravenlink/internal/loopback"
)

// Destinations of a return scenario: their endpoints, outages and returns.

// interval is a time interval of the scenario.
type interval struct{ From, Until time.Duration }

// arrival is a call or probe received by a destination.
type arrival struct {
	At      time.Duration
	Message string // empty for a probe
	Sender  int    // index of the sender, -1 if unknown
}

// endpoint is one address of a destination.
type endpoint struct {
	d      *returnDestination
	port   *loopback.Reservation
	server *http.Server // nil while connections are refused
}

// returnDestination is a destination of the scenario.
type returnDestination struct {
	p        *returnRig
	number   int
	capacity float64

	mu            sync.Mutex
	endpoints     []*endpoint
	hangs         bool
	answersErrors bool
	rejects       bool
	outages       []interval    // in chronological order
	returned      chan struct{} // closed when the outage ends
	rng           *rand.Rand
	arrivals      []arrival
}

func (d *returnDestination) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	_, _ = io.Copy(io.Discard, in.Body)
	id := in.Header.Get("X-Txn")
	d.mu.Lock()
	d.arrivals = append(d.arrivals, arrival{d.p.now(), id, d.p.senderOf(id)})
	hangs, fails, rejects, returned := d.hangs, d.answersErrors && d.rng.Float64() < 0.8, d.rejects, d.returned
	d.mu.Unlock()
	if rejects {
		d.reject(out)
		return
	}
	d.p.recordRun(id)
	if hangs {
		select {
		case <-returned:
		case <-in.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	if fails {
		out.WriteHeader(http.StatusInternalServerError)
		return
	}
	if id != "" {
		time.Sleep(callDuration) // emulated processing time; no condition depends on it
		d.p.recordEnd(id)
	}
	out.WriteHeader(http.StatusOK)
}

func (d *returnDestination) reject(out http.ResponseWriter) {
	if d.p.RetryAfter == 0 {
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	out.Header().Set("Retry-After", fmt.Sprint(d.p.RetryAfter.Seconds()))
	out.WriteHeader(http.StatusTooManyRequests)
}

func (d *returnDestination) listen(e *endpoint) {
	l, err := e.port.Listen()
	require.NoError(d.p.t, err)
	e.server = &http.Server{Handler: d}
	d.p.running.Go(func() { _ = e.server.Serve(l) })
}

// startOutage begins an outage, and endOutage ends it.
func (d *returnDestination) startOutage(how OutageKind) {
	d.mu.Lock()
	d.hangs, d.answersErrors, d.rejects, d.returned = how == HangsCalls, how == AnswersErrors, how == RejectsCalls, make(chan struct{})
	es := slices.Clone(d.endpoints)
	d.mu.Unlock()
	for _, e := range es {
		if how == RefusesConnections {
			_ = e.server.Close()
			e.server = nil
		}
	}
}

func (d *returnDestination) endOutage() {
	d.mu.Lock()
	d.hangs, d.answersErrors, d.rejects = false, false, false
	close(d.returned)
	es := slices.Clone(d.endpoints)
	d.mu.Unlock()
	for _, e := range es {
		if e.server == nil {
			d.listen(e)
		}
	}
}

// memberEntry is the entry of an endpoint in discovery's list.
func (d *returnDestination) memberEntry(i int) string {
	return fmt.Sprintf(`{"id":"s-%d-%d","host_port":"%s","locality":"z","flavor":"m","cell":%d,"phase":"SERVING","size":%g}`, d.number, i,
		d.endpoints[i].port.Addr, d.number, d.capacity)
}

func (d *returnDestination) addEndpoint(host string) {
	port, err := loopback.Reserve(host)
	require.NoError(d.p.t, err)
	e := &endpoint{d: d, port: port}
	d.mu.Lock()
	d.endpoints = append(d.endpoints, e)
	d.mu.Unlock()
	d.listen(e)
}

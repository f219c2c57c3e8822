package fleettest

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// connectionsMeasureVar has TestMeasureConnections play; it measures, and decides nothing.
const connectionsMeasureVar = "CONNECTIONS_MEASURE"

const (
	measuredFor  = 8 * time.Second
	measuredWork = 10 * time.Millisecond // of a call
)

// connCounts are connections of a server.
type connCounts struct{ made, open, most, calls atomic.Int64 }

func (n *connCounts) change(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		n.made.Add(1)
		open := n.open.Add(1)
		for most := n.most.Load(); open > most && !n.most.CompareAndSwap(most, open); most = n.most.Load() {
		}
	case http.StateClosed, http.StateHijacked:
		n.open.Add(-1)
	}
}

// What one sender makes and holds of connections at a load without any fault: so many messages a second, or as many as it takes (0).
func TestMeasureConnections(t *testing.T) {
	if os.Getenv(connectionsMeasureVar) == "" {
		t.Skip("by hand, with " + connectionsMeasureVar)
	}
	for _, perSecond := range []int{20, 100, 400, 0} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) { measureConnections(t, perSecond) })
	}
}

func measureConnections(t *testing.T, perSecond int) {
	counts := &connCounts{}
	r := New(t, Setup{Senders: 1, Destinations: []int64{7, 8, 9}})
	s := r.Sender("a")
	for dst, old := range s.reach {
		old.Close()
		l, err := net.Listen("tcp", ownHost()+":0")
		if err != nil {
			t.Fatal(err)
		}
		one := &httptest.Server{Listener: l, Config: &http.Server{ConnState: counts.change,
			Handler: http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
				time.Sleep(measuredWork) // the call's work; decides nothing
				counts.calls.Add(1)
			})}}
		one.Start()
		s.reach[dst] = one
	}
	r.Start()
	const clients = 8
	var work sync.WaitGroup
	var taken atomic.Int64
	begun := time.Now()
	for n := range clients {
		work.Go(func() {
			c := r.Client(0)
			for i := 0; time.Since(begun) < measuredFor; i++ {
				if perSecond > 0 {
					time.Sleep(time.Until(begun.Add(time.Duration(i) * time.Second * clients / time.Duration(perSecond))))
				}
				if c.HandIn(Message{ID: fmt.Sprintf("%d-%d", n, i), Lane: "notice", Dst: int64(7 + (n+i)%3)}) == "+OK" {
					taken.Add(1)
				}
			}
		})
	}
	work.Wait()
	for until := time.Now().Add(long); counts.calls.Load() < taken.Load() && time.Now().Before(until); {
		time.Sleep(looks)
	}
	t.Logf("%d asked for a second: %.0f delivered a second, %d calls on %d connections (%.2f calls each), %d at once at most",
		perSecond, float64(counts.calls.Load())/time.Since(begun).Seconds(), counts.calls.Load(), counts.made.Load(),
		float64(counts.calls.Load())/float64(counts.made.Load()), counts.most.Load())
}

package links

import (
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

type countingListener struct {
	net.Listener
	in, out *atomic.Int64
}

type countedConn struct {
	net.Conn
	l countingListener
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, l}, err
}

func (c countedConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.l.in.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (n int, err error) {
	n, err = c.Conn.Write(p)
	c.l.out.Add(int64(n))
	return n, err
}

// BenchmarkPost measures the bytes on the wire of one post, both ways, by the number of 40-byte frames in it.
func BenchmarkPost(b *testing.B) {
	for _, frames := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(frames), func(b *testing.B) {
			receiver := open(b, zap.NewNop(), "b", "127.0.0.1:0", Peer{"a", "127.0.0.1:1"})
			receiver.listener = countingListener{receiver.listener, &atomic.Int64{}, &atomic.Int64{}}
			a := open(b, zap.NewNop(), "a", "127.0.0.1:0", Peer{"b", receiver.Addr()})
			stopB, stopA := receiver.run(b), a.run(b)
			round := func(n int) {
				for i := range frames {
					a.Send("b", verdictFrame(fmt.Sprintf("d%d", i), fmt.Sprintf("%40d", n)))
				}
				require.Eventually(b, receiver.has(fmt.Sprintf("d%d", frames-1), fmt.Sprintf("%40d", n)), testTimeout, pollInterval)
			}
			round(-1) // sends the greeting
			l := receiver.listener.(countingListener)
			in, out, posts := l.in.Load(), l.out.Load(), a.Counts().Posts
			for n := range b.N {
				round(n)
			}
			n := float64(a.Counts().Posts - posts)
			b.ReportMetric(float64(l.in.Load()-in)/n, "B-post")
			b.ReportMetric(float64(l.out.Load()-out)/n, "B-answer")
			stopA()
			stopB()
		})
	}
}

// BenchmarkPeers measures the memory of each of 99 peers with an empty queue and a live connection each way.
func BenchmarkPeers(b *testing.B) {
	for range b.N {
		const n = 99
		peers := []Peer{}
		var stops []func()
		for i := range n {
			e := open(b, zap.NewNop(), fmt.Sprint("p", i), "127.0.0.1:0", Peer{"hub", "127.0.0.1:1"})
			stops, peers = append(stops, e.run(b)), append(peers, Peer{e.hello.Name, e.Addr()})
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		hub := open(b, zap.NewNop(), "hub", "127.0.0.1:0", peers...)
		stop := hub.run(b)
		hub.Send("", verdictFrame("d", "x"))
		require.Eventually(b, func() bool { return hub.Counts().Sent == n }, testTimeout, 10*time.Millisecond)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/n, "B/link-both-ends")
		stop()
		for _, end := range stops {
			end()
		}
	}
}

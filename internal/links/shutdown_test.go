package links

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// faultyProxy starts a proxy in front of a peer that passes each post to intercept, with its number, and forwards it if
// intercept returns true.
func faultyProxy(t *testing.T, peer *recorder, intercept func(number int64, out http.ResponseWriter, in *http.Request) (passes bool)) (addr string, posts *atomic.Int64) {
	t.Helper()
	posts = new(atomic.Int64)
	target := &url.URL{Scheme: "http", Host: peer.Addr()}
	proxy := httputil.NewSingleHostReverseProxy(target)
	s := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		body, err := io.ReadAll(in.Body)
		if err != nil {
			return
		}
		in.Body = io.NopCloser(bytes.NewReader(body))
		if intercept(posts.Add(1), out, in) {
			proxy.ServeHTTP(out, in)
		}
	}))
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String(), posts
}

// A sender that shuts down tells its peers, also if its previous post failed. On a loaded machine the others saw a
// sender time out instead of leaving: only a link whose latest post had been answered made a last attempt.
func TestFlushAfterFailedPost(t *testing.T) {
	t.Parallel()
	b := open(t, zap.NewNop(), "b", "127.0.0.1:0", Peer{"a", "127.0.0.1:1"})
	const failing = 3 // the greeting and a first frame pass
	addr, _ := faultyProxy(t, b, func(number int64, _ http.ResponseWriter, _ *http.Request) bool {
		if number == failing {
			panic(http.ErrAbortHandler)
		}
		return true
	})
	a := open(t, zap.NewNop(), "a", "127.0.0.1:0", Peer{"b", addr})
	a.shutdownTimeout = testTimeout
	b.run(t)
	stop := a.run(t)
	a.Send("b", verdictFrame("d", "first"))
	require.Eventually(t, b.has("d", "first"), testTimeout, pollInterval)
	a.Send("b", verdictFrame("d", "second"))
	require.Eventually(t, func() bool { return a.Counts().Failed == 1 }, testTimeout, pollInterval)
	a.Send("b", verdictFrame("e", "last words"))
	stop() // during the link's backoff
	require.Eventually(t, b.has("e", "last words"), testTimeout, pollInterval)
}

// A post hangs while the sender shuts down, as to an overloaded peer: the last frames do not wait for it, and need no
// greeting first.
func TestFlushDoesNotWaitForHangingPost(t *testing.T) {
	t.Parallel()
	b := open(t, zap.NewNop(), "b", "127.0.0.1:0", Peer{"a", "127.0.0.1:1"})
	const hanging = 3
	hangs := make(chan struct{})
	addr, posts := faultyProxy(t, b, func(number int64, _ http.ResponseWriter, in *http.Request) bool {
		if number == hanging {
			close(hangs)
			<-in.Context().Done()
			panic(http.ErrAbortHandler)
		}
		return true
	})
	a := open(t, zap.NewNop(), "a", "127.0.0.1:0", Peer{"b", addr})
	b.run(t)
	stop := a.run(t)
	a.Send("b", verdictFrame("d", "first"))
	require.Eventually(t, b.has("d", "first"), testTimeout, pollInterval)
	a.Send("b", verdictFrame("d", "second"))
	<-hangs
	a.Send("b", verdictFrame("e", "last words"))
	stop()
	require.Eventually(t, b.has("e", "last words"), testTimeout, pollInterval)
	require.EqualValues(t, hanging+1, posts.Load(), "no greeting before the last frames")
}

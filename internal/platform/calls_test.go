package platform

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravenlink/internal/protocol"
	"ravenlink/internal/relay"
	"ravenlink/internal/routing"
	"ravenlink/internal/spool"
	"ravenlink/internal/transport"
)

func TestResultOfStageAndStatus(t *testing.T) {
	for _, c := range []struct {
		stage transport.Stage
		a     protocol.Response
		want  routing.Result
		wait  int64
	}{
		{transport.NotStarted, protocol.Response{}, routing.NotSent, 0},
		{transport.NoCapacity, protocol.Response{}, routing.NotSent, 0},
		{transport.NotConnected, protocol.Response{}, routing.NotConnected, 0},
		{transport.NotWritten, protocol.Response{}, routing.NotConnected, 0},
		{transport.Broken, protocol.Response{}, routing.Reset, 0},
		{transport.Broken, protocol.Response{Status: 200}, routing.Delivered, 0},
		{transport.Broken, protocol.Response{Status: 503}, routing.Reset, 0},
		{transport.TimedOut, protocol.Response{}, routing.TimedOut, 0},
		{transport.Cancelled, protocol.Response{}, routing.Cancelled, 0},
		{transport.Done, protocol.Response{Status: 200}, routing.Delivered, 0},
		{transport.Done, protocol.Response{Status: 500}, routing.Errored, 0},
		{transport.Done, protocol.Response{Status: 429, RetryAfterMicros: 250}, routing.Refused, 250},
		{transport.Done, protocol.Response{Status: 503}, routing.Refused, 0},
		{transport.Done, protocol.Response{Status: 503, NoSlot: true}, routing.NotSent, 0},
		{transport.Done, protocol.Response{Status: 503, NoSlot: true, Close: true}, routing.NotSent, 0},
		{transport.Done, protocol.Response{Status: 503, Close: true}, routing.NotConnected, 0},
		{transport.Done, protocol.Response{Status: 429, Close: true, RetryAfterMicros: 250}, routing.Refused, 250},
		{transport.Done, protocol.Response{Status: 504}, routing.NotSent, 0},
		{transport.Done, protocol.Response{Status: 410}, routing.Gone, 0},
		{transport.Done, protocol.Response{Status: 302}, routing.Reset, 0},
	} {
		got, wait := resultOf(c.stage, c.a)
		assert.Equal(t, c.want, got, "%+v", c)
		assert.Equal(t, c.wait, wait, "%+v", c)
	}
}

const (
	testTimeout  = 20 * time.Second // not reached by a passing run
	shortTimeout = 2 * time.Second  // expires, but well after a connection is established on a busy machine
)

// What the receiver does after the first bytes of its response.
const (
	holdsOpen     = "holds the connection and says no more"
	closesConn    = "ends its connection"
	resetsConn    = "resets"
	tricklesBytes = "sends one more byte now and then, for ever"
)

// startReceiver starts a receiver that answers one call. Unless it closes the connection itself, it waits for
// the sender to do so.
func startReceiver(t *testing.T, answer, then string) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if in, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, in.Body)
		}
		_, _ = io.WriteString(c, answer)
		switch then {
		case resetsConn:
			_ = c.(*net.TCPConn).SetLinger(0)
		case holdsOpen:
			_, _ = io.Copy(io.Discard, c)
		case tricklesBytes:
			for err == nil {
				time.Sleep(time.Millisecond)
				_, err = io.WriteString(c, "x")
			}
		}
	}()
	t.Cleanup(func() { _ = l.Close(); <-done })
	return l.Addr().String()
}

// A response may be truncated, invalid or endless. What has arrived of it decides at once; where it decides
// nothing, the message may have been processed.
func TestPartialResponseDecidesResult(t *testing.T) {
	const tooMany = "HTTP/1.1 429 Too Many\r\nRetry-After: 2\r\n"
	for _, c := range []struct {
		answer, then string
		want         routing.Result
		wait         int64
	}{
		{"HTTP/1.1 200 OK\r\n", holdsOpen, routing.Delivered, 0},
		{"HTTP/1.1 200 OK\r\n", resetsConn, routing.Delivered, 0},
		{"HTTP/1.1 200 OK\r\nX: ", tricklesBytes, routing.Delivered, 0},
		{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", tricklesBytes, routing.Delivered, 0},
		{"HTTP/1.1 200 OK", closesConn, routing.Reset, 0},
		{tooMany + "\r\n", closesConn, routing.Refused, 2_000_000},
		{tooMany + "Content-Length: 60000\r\n\r\n", tricklesBytes, routing.Refused, 2_000_000},
		{tooMany + "Transfer-Encoding: Chunked\r\n\r\n", holdsOpen, routing.Refused, 2_000_000},
		{tooMany + "X: ", tricklesBytes, routing.Refused, 2_000_000},
		{tooMany + "Content-Le", resetsConn, routing.Refused, 2_000_000},
		{tooMany + "no field\r\n\r\n", holdsOpen, routing.Refused, 2_000_000},
		{"HTTP/1.1 429 Too Many\r\nRetry-Aft", closesConn, routing.Reset, 0},
		{"HTTP/1.1 503 Busy\r\nContent-Length: 9\r\n\r\nab", closesConn, routing.Refused, 0},
		{"HTTP/1.1 503 Busy\r\nContent-Length: 9\r\n\r\nab", resetsConn, routing.Refused, 0},
		{"HTTP/1.1 503 Busy\r\nX-Line-Busy: 1\r\nContent-Length: 9\r\n\r\n", holdsOpen, routing.NotSent, 0},
		{"HTTP/1.1 503 Busy\r\nX-Line-B", closesConn, routing.Reset, 0},
		{"HTTP/1.1 503 Busy\r\nContent-Length: -9\r\n\r\n", holdsOpen, routing.Refused, 0},
		{"HTTP/1.1 503 Busy\r\nno field\r\n\r\n", holdsOpen, routing.Reset, 0},
		{"HTTP/1.1 429 Too Many\r\nRetry-After: NaN\r\n\r\n", holdsOpen, routing.Refused, 0},
		{"HTTP/1.1 429 Too Many\r\nRetry-After: -1\r\nContent-Length: 0\r\n\r\n", holdsOpen, routing.Refused, 0},
		{"HTTP/1.1 429 Too Many\r\nRetry-After: Wed, 21 Oct 2026 07:28:00 GMT\r\n\r\n", holdsOpen, routing.Refused, 0},
		{"HTTP/1.1 504 No\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", holdsOpen, routing.NotSent, 0},
		{"HTTP/1.1 410 Gone\r\nContent-Length: 1\r\n\r\nmore than it says", holdsOpen, routing.Gone, 0},
		{"HTTP/1.1 500 Oh\r\nContent-Length: 9\r\n\r\n", holdsOpen, routing.Errored, 0},
		{"HTTP/1.1 200 OHTTP/1.1 503 Busy\r\n\r\n", holdsOpen, routing.Reset, 0},
		{"", closesConn, routing.Reset, 0},
		{"", resetsConn, routing.Reset, 0},
	} {
		pool := transport.NewPool(time.Second, time.Second, 9)
		calls := NewCaller(pool, relay.NewClock(), nil, false)
		yes := func() bool { return true }
		started := time.Now()
		j := calls.Send(context.Background(), relay.Leg{Msg: &spool.Message{ID: "a"}, Timeout: testTimeout, Authorize: yes, Confirm: yes,
			Receiver: routing.Receiver{ID: "s", Addr: startReceiver(t, c.answer, c.then)}})
		assert.Equal(t, c.want, j.Result, "%+v", c)
		assert.Equal(t, c.wait, j.RetryAfter, "%+v", c)
		assert.Less(t, time.Since(started), testTimeout/2, "it is told at once: %+v", c)
		pool.Close()
	}
}

// A header that decides nothing is awaited until the timeout.
func TestEndlessHeaderTimesOut(t *testing.T) {
	for name, answer := range map[string]string{"nothing": "", "refusal": "HTTP/1.1 503 Busy\r\nX: ",
		"interim": "HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 103 x\r\nX: "} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			then := tricklesBytes
			if answer == "" {
				then = holdsOpen
			}
			yes := func() bool { return true }
			j := NewCaller(transport.NewPool(time.Second, time.Second, 9), relay.NewClock(), nil, false).Send(context.Background(), relay.Leg{
				Msg: &spool.Message{ID: "a"}, Timeout: shortTimeout, Authorize: yes, Confirm: yes, Receiver: routing.Receiver{ID: "s", Addr: startReceiver(t, answer, then)}})
			assert.Equal(t, routing.TimedOut, j.Result)
		})
	}
}

// A receiver short of connections responds and closes as soon as a connection is established. What is written
// after that is certainly not processed, whether it is sent in one piece or in many.
func TestResponseBeforeRequestNeverRan(t *testing.T) {
	for _, size := range []int{1, 8 << 20} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		shut := make(chan struct{})
		go func() {
			defer close(shut)
			if c, err := l.Accept(); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
				_ = c.Close()
			}
		}()
		pool := transport.NewPool(time.Second, time.Second, 9)
		j := NewCaller(pool, relay.NewClock(), nil, false).Send(context.Background(), relay.Leg{Msg: &spool.Message{ID: "a", Body: make([]byte, size)},
			Timeout: testTimeout, Authorize: func() bool { <-shut; return true }, Confirm: func() bool { return true }, Receiver: routing.Receiver{ID: "s", Addr: l.Addr().String()}})
		assert.True(t, j.Result.NeverRan(), "%d: %s", size, j.Result)
		assert.Zero(t, pool.OpenConns())
		_ = l.Close()
	}
}

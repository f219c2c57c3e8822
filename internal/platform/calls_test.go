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

func TestTableOfOutcomes(t *testing.T) {
	for _, c := range []struct {
		stage transport.Stage
		a     protocol.Answer
		want  routing.Result
		wait  int64
	}{
		{transport.NotReady, protocol.Answer{}, routing.NotSent, 0},
		{transport.NoRoom, protocol.Answer{}, routing.NotSent, 0},
		{transport.NotConnected, protocol.Answer{}, routing.NotConnected, 0},
		{transport.NotWritten, protocol.Answer{}, routing.NotConnected, 0},
		{transport.Broken, protocol.Answer{}, routing.Reset, 0},
		{transport.Broken, protocol.Answer{Status: 200}, routing.Delivered, 0},
		{transport.Broken, protocol.Answer{Status: 503}, routing.Reset, 0},
		{transport.TimedOut, protocol.Answer{}, routing.TimedOut, 0},
		{transport.CalledOff, protocol.Answer{}, routing.CalledOff, 0},
		{transport.Done, protocol.Answer{Status: 200}, routing.Delivered, 0},
		{transport.Done, protocol.Answer{Status: 500}, routing.Errored, 0},
		{transport.Done, protocol.Answer{Status: 429, WaitMicros: 250}, routing.TurnedAway, 250},
		{transport.Done, protocol.Answer{Status: 503}, routing.TurnedAway, 0},
		{transport.Done, protocol.Answer{Status: 503, NoSlot: true}, routing.NotSent, 0},
		{transport.Done, protocol.Answer{Status: 503, NoSlot: true, Close: true}, routing.NotSent, 0},
		{transport.Done, protocol.Answer{Status: 503, Close: true}, routing.NotConnected, 0},
		{transport.Done, protocol.Answer{Status: 429, Close: true, WaitMicros: 250}, routing.TurnedAway, 250},
		{transport.Done, protocol.Answer{Status: 504}, routing.NotSent, 0},
		{transport.Done, protocol.Answer{Status: 410}, routing.GoneThere, 0},
		{transport.Done, protocol.Answer{Status: 302}, routing.Reset, 0},
		{transport.Unasked, protocol.Answer{}, routing.NotConnected, 0},
		{transport.Unasked, protocol.Answer{Status: 200}, routing.NotConnected, 0},
		{transport.Unasked, protocol.Answer{Status: 410}, routing.NotConnected, 0},
		{transport.Unasked, protocol.Answer{Status: 503}, routing.TurnedAway, 0},
		{transport.Unasked, protocol.Answer{Status: 503, Close: true}, routing.NotConnected, 0},
		{transport.Unasked, protocol.Answer{Status: 429, WaitMicros: 250}, routing.TurnedAway, 250},
	} {
		got, wait := result(c.stage, c.a)
		assert.Equal(t, c.want, got, "%+v", c)
		assert.Equal(t, c.wait, wait, "%+v", c)
	}
}

const (
	long    = 20 * time.Second // a limit that no good run reaches
	shortly = 2 * time.Second  // a patience that runs out, well after a connection is up on a busy machine
)

// How an answer goes on after its first bytes.
const (
	holds    = "holds the connection and says no more"
	leaves   = "ends its connection"
	resets   = "resets"
	dribbles = "sends one more byte now and then, for ever"
)

// receiverOf is a receiver that answers one call. It holds its connection until the sender ends it, where it does not end it itself.
func receiverOf(t *testing.T, answer, then string) (addr string) {
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
		case resets:
			_ = c.(*net.TCPConn).SetLinger(0)
		case holds:
			_, _ = io.Copy(io.Discard, c)
		case dribbles:
			for err == nil {
				time.Sleep(time.Millisecond)
				_, err = io.WriteString(c, "x")
			}
		}
	}()
	t.Cleanup(func() { _ = l.Close(); <-done })
	return l.Addr().String()
}

// An answer may be cut, spoilt or without end. What has come of it decides, at once; where nothing does, the call may have run.
func TestWhatHasComeOfAnAnswerDecides(t *testing.T) {
	const told = "HTTP/1.1 429 Too Many\r\nRetry-After: 2\r\n"
	for _, c := range []struct {
		answer, then string
		want         routing.Result
		wait         int64
	}{
		{"HTTP/1.1 200 OK\r\n", holds, routing.Delivered, 0},
		{"HTTP/1.1 200 OK\r\n", resets, routing.Delivered, 0},
		{"HTTP/1.1 200 OK\r\nX: ", dribbles, routing.Delivered, 0},
		{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", dribbles, routing.Delivered, 0},
		{"HTTP/1.1 200 OK", leaves, routing.Reset, 0},
		{told + "\r\n", leaves, routing.TurnedAway, 2_000_000},
		{told + "Content-Length: 60000\r\n\r\n", dribbles, routing.TurnedAway, 2_000_000},
		{told + "Transfer-Encoding: Chunked\r\n\r\n", holds, routing.TurnedAway, 2_000_000},
		{told + "X: ", dribbles, routing.TurnedAway, 2_000_000},
		{told + "Content-Le", resets, routing.TurnedAway, 2_000_000},
		{told + "no field\r\n\r\n", holds, routing.TurnedAway, 2_000_000},
		{"HTTP/1.1 429 Too Many\r\nRetry-Aft", leaves, routing.Reset, 0},
		{"HTTP/1.1 503 Busy\r\nContent-Length: 9\r\n\r\nab", leaves, routing.TurnedAway, 0},
		{"HTTP/1.1 503 Busy\r\nContent-Length: 9\r\n\r\nab", resets, routing.TurnedAway, 0},
		{"HTTP/1.1 503 Busy\r\nX-Line-Busy: 1\r\nContent-Length: 9\r\n\r\n", holds, routing.NotSent, 0},
		{"HTTP/1.1 503 Busy\r\nX-Line-B", leaves, routing.Reset, 0},
		{"HTTP/1.1 503 Busy\r\nContent-Length: -9\r\n\r\n", holds, routing.TurnedAway, 0},
		{"HTTP/1.1 503 Busy\r\nno field\r\n\r\n", holds, routing.Reset, 0},
		{"HTTP/1.1 429 Too Many\r\nRetry-After: NaN\r\n\r\n", holds, routing.TurnedAway, 0},
		{"HTTP/1.1 429 Too Many\r\nRetry-After: -1\r\nContent-Length: 0\r\n\r\n", holds, routing.TurnedAway, 0},
		{"HTTP/1.1 429 Too Many\r\nRetry-After: Wed, 21 Oct 2026 07:28:00 GMT\r\n\r\n", holds, routing.TurnedAway, 0},
		{"HTTP/1.1 504 No\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", holds, routing.NotSent, 0},
		{"HTTP/1.1 410 Gone\r\nContent-Length: 1\r\n\r\nmore than it says", holds, routing.GoneThere, 0},
		{"HTTP/1.1 500 Oh\r\nContent-Length: 9\r\n\r\n", holds, routing.Errored, 0},
		{"HTTP/1.1 200 OHTTP/1.1 503 Busy\r\n\r\n", holds, routing.Reset, 0},
		{"", leaves, routing.Reset, 0},
		{"", resets, routing.Reset, 0},
	} {
		pool := transport.NewPool(time.Second, time.Second, 9)
		calls := NewCalls(pool, relay.NewClock(), nil, false)
		yes := func() bool { return true }
		begun := time.Now()
		j := calls.Carry(context.Background(), relay.Leg{Msg: &spool.Message{ID: "a"}, Patience: long, Ready: yes, Still: yes,
			To: routing.Receiver{ID: "s", Addr: receiverOf(t, c.answer, c.then)}})
		assert.Equal(t, c.want, j.Result, "%+v", c)
		assert.Equal(t, c.wait, j.Wait, "%+v", c)
		assert.Less(t, time.Since(begun), long/2, "it is told at once: %+v", c)
		pool.Close()
	}
}

// A head that decides nothing is waited for as long as there is patience.
func TestHeadThatNeverEndsMayHaveRun(t *testing.T) {
	for name, answer := range map[string]string{"nothing": "", "refusal": "HTTP/1.1 503 Busy\r\nX: ",
		"interim": "HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 103 x\r\nX: "} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			then := dribbles
			if answer == "" {
				then = holds
			}
			yes := func() bool { return true }
			j := NewCalls(transport.NewPool(time.Second, time.Second, 9), relay.NewClock(), nil, false).Carry(context.Background(), relay.Leg{
				Msg: &spool.Message{ID: "a"}, Patience: shortly, Ready: yes, Still: yes, To: routing.Receiver{ID: "s", Addr: receiverOf(t, answer, then)}})
			assert.Equal(t, routing.TimedOut, j.Result)
		})
	}
}

// A receiver short of connections answers and closes as soon as one is up. What is written then surely never runs, in one piece or in many; nor
// does it where the answer says that it did.
func TestAnswerBeforeTheCallMeansItNeverRan(t *testing.T) {
	for _, status := range []string{"503 Busy", "200 OK", "410 Gone"} {
		for _, size := range []int{1, 8 << 20} {
			answerBeforeTheCall(t, status, size)
		}
	}
}

func answerBeforeTheCall(t *testing.T, status string, size int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	shut := make(chan struct{})
	go func() {
		defer close(shut)
		if c, err := l.Accept(); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			_ = c.Close()
		}
	}()
	pool := transport.NewPool(time.Second, time.Second, 9)
	j := NewCalls(pool, relay.NewClock(), nil, false).Carry(context.Background(), relay.Leg{Msg: &spool.Message{ID: "a", Body: make([]byte, size)},
		Patience: long, Ready: func() bool { <-shut; return true }, Still: func() bool { return true }, To: routing.Receiver{ID: "s", Addr: l.Addr().String()}})
	assert.True(t, j.Result.NeverRan() && j.Result != routing.GoneThere, "%s, %d: %s", status, size, j.Result)
	assert.Zero(t, pool.Open())
	_ = l.Close()
}

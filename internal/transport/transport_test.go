package transport

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"ravenlink/internal/loopback"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testTimeout  = 10 * time.Second       // not reached by a passing run
	shortTimeout = 200 * time.Millisecond // expires, connecting included
)

// testPeer is the remote side: it handles each connection with the given function.
type testPeer struct {
	addr  string
	conns atomic.Int64
}

func startPeer(t *testing.T, handle func(c net.Conn, number int64)) *testPeer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &testPeer{addr: l.Addr().String()}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go handle(c, f.conns.Add(1))
		}
	}()
	t.Cleanup(func() { _ = l.Close(); <-done })
	return f
}

// echo answers each line with itself.
func echo(c net.Conn, _ int64) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, line)
	}
}

// lineExchange sends a line and stores the response in got.
func lineExchange(text string, got *string) Exchange {
	return Exchange{Authorize: func() bool { return true },
		Write: func(w *bufio.Writer) error { _, err := w.WriteString(text + "\n"); return err },
		Read: func(r *bufio.Reader, _ func()) (bool, error) {
			line, err := r.ReadString('\n')
			*got = strings.TrimSpace(line)
			return true, err
		}}
}

func newTestPool(t *testing.T, idle time.Duration, limit int) *Pool {
	p := NewPool(time.Second, idle, limit)
	t.Cleanup(func() {
		p.Close()
		assert.Eventually(t, func() bool { return p.OpenConns() == 0 }, testTimeout, time.Millisecond, "all connections are closed")
	})
	return p
}

func TestConnectionIsKeptAndCarriesOneCallAtATime(t *testing.T) {
	f := startPeer(t, echo)
	p := newTestPool(t, testTimeout, 9)
	for _, text := range []string{"one", "two", strings.Repeat("x", 200_000)} {
		var got string
		require.Equal(t, Done, p.Do(context.Background(), "r", f.addr, testTimeout, lineExchange(text, &got)))
		assert.Equal(t, text, got)
	}
	assert.EqualValues(t, 1, f.conns.Load())
}

func TestClosedIdleConnectionsAreNotUsedAgain(t *testing.T) {
	f := startPeer(t, echo)
	p := newTestPool(t, testTimeout, 9)
	var got string
	p.Do(context.Background(), "r", f.addr, testTimeout, lineExchange("one", &got))
	p.CloseIdle("r")
	require.Equal(t, Done, p.Do(context.Background(), "r", f.addr, testTimeout, lineExchange("two", &got)))
	assert.EqualValues(t, 2, f.conns.Load())
}

func TestConnectionOlderThanTheIdleTimeIsNotUsed(t *testing.T) {
	f := startPeer(t, echo)
	p := newTestPool(t, time.Millisecond, 9)
	var got string
	p.Do(context.Background(), "r", f.addr, testTimeout, lineExchange("one", &got))
	assert.Eventually(t, func() bool { return p.OpenConns() == 0 }, testTimeout, time.Millisecond)
	require.Equal(t, Done, p.Do(context.Background(), "r", f.addr, testTimeout, lineExchange("two", &got)))
	assert.EqualValues(t, 2, f.conns.Load())
}

func TestCloseByPeerWhileIdleIsHarmless(t *testing.T) {
	f := startPeer(t, func(c net.Conn, n int64) {
		if n > 1 {
			echo(c, n)
			return
		}
		line, _ := bufio.NewReader(c).ReadString('\n')
		_, _ = io.WriteString(c, line)
		_ = c.Close()
	})
	p := newTestPool(t, testTimeout, 9)
	var got string
	require.Equal(t, Done, p.Do(context.Background(), "r", f.addr, testTimeout, lineExchange("one", &got)))
	require.Eventually(t, func() bool { return p.OpenConns() == 0 }, testTimeout, time.Millisecond)
	require.Equal(t, Done, p.Do(context.Background(), "r", f.addr, testTimeout, lineExchange("two", &got)))
}

func TestStages(t *testing.T) {
	var got string
	whole := func() Exchange { return lineExchange("call", &got) }
	reset := startPeer(t, func(c net.Conn, _ int64) {
		_, _ = bufio.NewReader(c).ReadString('\n')
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	silent := startPeer(t, func(c net.Conn, _ int64) { _, _ = io.Copy(io.Discard, c); _ = c.Close() })
	resetEarly := startPeer(t, func(c net.Conn, _ int64) {
		_, _ = c.Read(make([]byte, 1))
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	nobody, err := loopback.Reserve("127.0.0.1") // so that no other process gets the address meanwhile
	require.NoError(t, err)
	t.Cleanup(nobody.Release)

	p := newTestPool(t, testTimeout, 9)
	bg := context.Background()
	assert.Equal(t, NotConnected, p.Do(bg, "nobody", nobody.Addr.String(), testTimeout, whole()))
	assert.Equal(t, Broken, p.Do(bg, "reset", reset.addr, testTimeout, whole()))
	assert.Equal(t, TimedOut, p.Do(bg, "silent", silent.addr, shortTimeout, whole()))
	x := whole()
	x.Authorize = func() bool { return false }
	assert.Equal(t, NotStarted, p.Do(bg, "silent", silent.addr, testTimeout, x))

	huge := whole()
	huge.Write = func(w *bufio.Writer) error {
		_, err := w.Write(bytes.Repeat([]byte{'x'}, 32<<20)) // more than the kernel buffers
		return err
	}
	assert.Equal(t, NotWritten, p.Do(bg, "gone", resetEarly.addr, testTimeout, huge))

	ctx, cancel := context.WithCancel(bg)
	out := whole()
	read := out.Read
	out.Read = func(r *bufio.Reader, decided func()) (bool, error) { cancel(); return read(r, decided) }
	assert.Equal(t, Cancelled, p.Do(ctx, "silent", silent.addr, testTimeout, out))
	assert.Equal(t, NotStarted, p.Do(ctx, "silent", silent.addr, testTimeout, whole()))
}

// A lack of descriptors is local: the call waits for one as long as for its connection, and it does not count
// as a failure of the receiver.
func TestCallWaitsForDescriptorWithoutBlamingReceiver(t *testing.T) {
	f := startPeer(t, echo)
	for name, lack := range map[string]syscall.Errno{"of the process": syscall.EMFILE, "of the machine": syscall.ENFILE} {
		const forever = 1 << 30
		try := func(ctx context.Context, lacks int64, each func()) (stage Stage, got string, attempts int64) {
			p := newTestPool(t, testTimeout, 9)
			if p.connectTimeout = testTimeout; lacks == forever && ctx.Done() == nil {
				p.connectTimeout = shortTimeout
			}
			p.connect = func(ctx context.Context, addr string, until time.Time) (*Conn, error) {
				if attempts++; attempts <= lacks {
					each()
					return nil, fmt.Errorf("connect: %w", &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("socket", lack)})
				}
				return connect(ctx, addr, until)
			}
			stage = p.Do(ctx, "r", f.addr, testTimeout, lineExchange("call", &got))
			return stage, got, attempts
		}
		stage, got, attempts := try(context.Background(), 5, func() {})
		assert.Equal(t, Done, stage, name)
		assert.Equal(t, "call", got, name)
		assert.EqualValues(t, 6, attempts, name)

		stage, got, attempts = try(context.Background(), forever, func() {})
		assert.Equal(t, NoCapacity, stage, "never one: "+name)
		assert.Empty(t, got, name)
		assert.Greater(t, attempts, int64(1), name)

		ctx, cancel := context.WithCancel(context.Background())
		stage, _, attempts = try(ctx, forever, cancel)
		assert.Equal(t, NotStarted, stage, "called off: "+name)
		assert.EqualValues(t, 1, attempts, name)
	}
	assert.EqualValues(t, 2, f.conns.Load())
}

// Confirm is called before any byte is sent, however much there is to write, and a call that it refuses counts
// as not started.
func TestNothingIsSentWithoutConfirmation(t *testing.T) {
	var received atomic.Int64
	f := startPeer(t, func(c net.Conn, _ int64) {
		n, _ := io.Copy(io.Discard, c)
		received.Add(n)
		_ = c.Close()
	})
	p := newTestPool(t, testTimeout, 9)
	const timeout = time.Second // a connection is established well before
	for name, spoil := range map[string]func(x *Exchange, cancel func()){
		"its caller says no": func(x *Exchange, _ func()) { x.Confirm = func() bool { return false } },
		"called off": func(x *Exchange, cancel func()) {
			x.Authorize = func() bool { cancel(); return true }
		},
		"called off as it is put in the buffer": func(x *Exchange, cancel func()) {
			write := x.Write
			x.Write = func(w *bufio.Writer) error { cancel(); return write(w) }
		},
		"time is up": func(x *Exchange, _ func()) { // as after a suspension of the process
			x.Authorize = func() bool { time.Sleep(timeout); return true }
		},
	} {
		for _, size := range []int{1, 1 << 20} { // the ring buffers grow to 64 KiB
			var got string
			ctx, cancel := context.WithCancel(context.Background())
			x := lineExchange(strings.Repeat("x", size), &got)
			spoil(&x, cancel)
			assert.Equal(t, NotStarted, p.Do(ctx, "r", f.addr, timeout, x), name)
			cancel()
		}
	}
	require.Eventually(t, func() bool { return p.OpenConns() == 0 }, testTimeout, time.Millisecond, "what holds bytes is not used again")
	var got string
	x := lineExchange("call", &got)
	asked := 0
	x.Confirm = func() bool { asked++; return true }
	assert.Equal(t, Done, p.Do(context.Background(), "e", startPeer(t, echo).addr, testTimeout, x))
	assert.Equal(t, 1, asked)
	assert.Zero(t, received.Load())
}

// Data that arrives on an idle connection between the first check and the first byte of a call spoils only
// that connection.
func TestInputRightBeforeCallSpoilsOnlyItsConnection(t *testing.T) {
	for _, extra := range []string{"one\n", "half a li", ""} {
		spoil, received := make(chan struct{}), make(chan string, 1)
		f := startPeer(t, func(c net.Conn, n int64) {
			if n > 1 {
				echo(c, n)
				return
			}
			r := bufio.NewReader(c)
			_, _ = r.ReadString('\n')
			_, _ = io.WriteString(c, "one\n")
			<-spoil
			if _, _ = io.WriteString(c, extra); extra == "" {
				_ = c.(*net.TCPConn).CloseWrite()
			}
			more, _ := io.ReadAll(r)
			received <- string(more)
			_ = c.Close()
		})
		p := newTestPool(t, testTimeout, 9)
		var got string
		require.Equal(t, Done, p.Do(context.Background(), "r", f.addr, testTimeout, lineExchange("one", &got)))
		resting := p.idle["r"][0].conn
		x := lineExchange("two", &got)
		x.Authorize = func() bool {
			close(spoil)
			return assert.Eventually(t, func() bool { return resting.peekState() != stateIdle }, testTimeout, time.Millisecond)
		}
		asked := 0
		x.Confirm = func() bool { asked++; return true }
		assert.Equal(t, Done, p.Do(context.Background(), "r", f.addr, testTimeout, x), "%q", extra)
		assert.Equal(t, "two", got, "%q", extra)
		assert.Equal(t, 2, asked, "the new connection took its time to come up: %q", extra)
		assert.Empty(t, <-received, "nothing is written to what was spoilt: %q", extra)
	}
}

// A receiver accepts a new connection and closes it at once. Nothing of the call was written, so it was never
// processed.
func TestNewConnectionClosedBeforeRequestNeverRan(t *testing.T) {
	shut := make(chan struct{})
	f := startPeer(t, func(c net.Conn, _ int64) { _ = c.Close(); close(shut) })
	p := newTestPool(t, testTimeout, 9)
	var ours *Conn
	p.connect = func(ctx context.Context, addr string, until time.Time) (c *Conn, err error) {
		c, err = connect(ctx, addr, until)
		ours = c
		return c, err
	}
	var got string
	x := lineExchange("call", &got)
	x.Authorize = func() bool {
		<-shut
		return assert.Eventually(t, func() bool { return ours.peekState() == stateClosed }, testTimeout, time.Millisecond)
	}
	assert.Equal(t, NotConnected, p.Do(context.Background(), "r", f.addr, testTimeout, x))
}

// An expired connection that is still open, because its goroutine has not run yet, is not used.
func TestExpiredOpenConnectionIsNotUsed(t *testing.T) {
	f := startPeer(t, echo)
	p := newTestPool(t, testTimeout, 9)
	var got string
	require.Equal(t, Done, p.Do(context.Background(), "r", f.addr, testTimeout, lineExchange("one", &got)))
	p.mu.Lock()
	p.idle["r"][0].idleSince = time.Now().Add(-testTimeout)
	p.mu.Unlock()
	require.Equal(t, Done, p.Do(context.Background(), "r", f.addr, testTimeout, lineExchange("two", &got)))
	assert.EqualValues(t, 2, f.conns.Load())
}

// closeRecorder records when a connection is closed.
type closeRecorder struct {
	*net.TCPConn
	closed *atomic.Bool
}

func (c closeRecorder) Close() error {
	defer c.closed.Store(true)
	return c.TCPConn.Close()
}

// Once a call is reported as given up, its message may be sent again at once, so the first call must have been
// closed by then.
func TestFailedCallIsClosedBeforeItIsReported(t *testing.T) {
	f := startPeer(t, func(c net.Conn, _ int64) { // half a response
		_, _ = bufio.NewReader(c).ReadString('\n')
		_, _ = io.WriteString(c, "half")
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	})
	for want, end := range map[Stage]func(cancel, decided func()) error{
		TimedOut:  func(_, _ func()) error { return nil },
		Cancelled: func(cancel, _ func()) error { cancel(); return nil },
		Broken:    func(_, _ func()) error { return io.ErrNoProgress },
		Done:      func(_, decided func()) error { decided(); return nil },
	} {
		p := newTestPool(t, testTimeout, 9)
		var closed atomic.Bool
		p.connect = func(ctx context.Context, addr string, until time.Time) (*Conn, error) {
			c, err := connect(ctx, addr, until)
			if err == nil {
				c.Conn = closeRecorder{c.Conn.(*net.TCPConn), &closed}
			}
			return c, err
		}
		ctx, cancel := context.WithCancel(context.Background())
		var got string
		x := lineExchange("call", &got)
		x.Read = func(r *bufio.Reader, decided func()) (bool, error) {
			if err := end(cancel, decided); err != nil {
				return false, err
			}
			_, err := r.ReadString('\n')
			return true, err
		}
		timeout := testTimeout
		if want == TimedOut {
			timeout = time.Second // a connection is established well before
		}
		assert.Equal(t, want, p.Do(ctx, "r", f.addr, timeout, x))
		assert.True(t, closed.Load(), "%d", want)
		cancel()
	}
}

// The kernel has accepted the whole call, and a receiver that was cut off returns after the call was given up.
func TestAbandonedCallIsNotDeliveredLater(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	raw, err := l.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1<<10) // so that little is delivered at first
	}))
	p := newTestPool(t, testTimeout, 9)
	var got string
	call := strings.Repeat("x", 60<<10)
	require.Equal(t, TimedOut, p.Do(context.Background(), "r", l.Addr().String(), time.Second, lineExchange(call, &got)))
	c, err := l.Accept()
	require.NoError(t, err)
	received, err := io.ReadAll(c)
	assert.Less(t, len(received), len(call))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	require.NoError(t, c.Close())
}

// The process is suspended, or busy, while a response arrives and its deadline passes, or its call is
// cancelled.
func TestResponseBeforeDeadlineCounts(t *testing.T) {
	f := startPeer(t, echo)
	for name, end := range map[string]func(cancel func()){
		"time is up": func(func()) { time.Sleep(time.Second) },
		"called off": func(cancel func()) { cancel() },
	} {
		p := newTestPool(t, testTimeout, 9)
		var ours *Conn
		p.connect = func(ctx context.Context, addr string, until time.Time) (c *Conn, err error) {
			c, err = connect(ctx, addr, until)
			ours = c
			return c, err
		}
		ctx, cancel := context.WithCancel(context.Background())
		var got string
		x := lineExchange("call", &got)
		read := x.Read
		x.Read = func(r *bufio.Reader, decided func()) (bool, error) {
			assert.Eventually(t, func() bool { return ours.peekState() == stateReadable }, testTimeout, time.Millisecond)
			end(cancel)
			assert.Eventually(t, func() bool { return ours.peekState() == stateClosed }, testTimeout, time.Millisecond, "its time is up")
			return read(r, decided)
		}
		timeout := testTimeout
		if name == "time is up" {
			timeout = time.Second
		}
		assert.Equal(t, Done, p.Do(ctx, "r", f.addr, timeout, x), name)
		assert.Equal(t, "call", got, name)
		cancel()
	}
}

// A receiver accepts no connection, and later all at once, after the call was given up.
func TestCallWithoutConnectionSendsNothingLater(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	raw, err := l.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }))
	filler, err := net.Dial("tcp", l.Addr().String()) // the one in the accept queue; the next ones hang
	require.NoError(t, err)
	p := newTestPool(t, testTimeout, 9)
	var got string
	assert.Equal(t, NotConnected, p.Do(context.Background(), "r", l.Addr().String(), shortTimeout, lineExchange("call", &got)))
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(shortTimeout, cancel)
	assert.Equal(t, NotStarted, p.Do(ctx, "r", l.Addr().String(), testTimeout, lineExchange("call", &got)))
	assert.Zero(t, p.OpenConns())
	c, err := l.Accept()
	require.NoError(t, err)
	require.NoError(t, filler.Close())
	all, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Empty(t, all)
	require.NoError(t, c.Close())
	p.connect = func(_ context.Context, addr string, until time.Time) (*Conn, error) {
		time.Sleep(time.Until(until)) // established when its deadline has passed
		return connect(context.Background(), addr, until.Add(testTimeout))
	}
	assert.Equal(t, NotStarted, p.Do(context.Background(), "r", l.Addr().String(), shortTimeout, lineExchange("call", &got)))
	if c, err = l.Accept(); assert.NoError(t, err) {
		all, _ = io.ReadAll(c)
		assert.Empty(t, all)
		_ = c.Close()
	}
}

func TestLateResponseIsNotUsedForNextCall(t *testing.T) {
	release := make(chan struct{})
	f := startPeer(t, func(c net.Conn, n int64) {
		if n == 1 {
			_, _ = bufio.NewReader(c).ReadString('\n')
			<-release
			_, _ = io.WriteString(c, "late\n")
			_ = c.Close()
			return
		}
		echo(c, n)
	})
	p := newTestPool(t, testTimeout, 9)
	var got string
	require.Equal(t, TimedOut, p.Do(context.Background(), "r", f.addr, shortTimeout, lineExchange("one", &got)))
	close(release)
	require.Equal(t, Done, p.Do(context.Background(), "r", f.addr, testTimeout, lineExchange("two", &got)))
	assert.Equal(t, "two", got)
}

func TestPoolLimit(t *testing.T) {
	f := startPeer(t, echo)
	p := newTestPool(t, testTimeout, 1)
	var got string
	require.Equal(t, Done, p.Do(context.Background(), "a", f.addr, testTimeout, lineExchange("one", &got)))
	require.Equal(t, Done, p.Do(context.Background(), "b", f.addr, testTimeout, lineExchange("two", &got)), "the idle one makes room")
	busy := lineExchange("three", &got)
	busy.Authorize = func() bool {
		var other string
		assert.Equal(t, NoCapacity, p.Do(context.Background(), "c", f.addr, testTimeout, lineExchange("four", &other)))
		return true
	}
	require.Eventually(t, func() bool { return p.OpenConns() == 1 }, testTimeout, time.Millisecond)
	require.Equal(t, Done, p.Do(context.Background(), "b", f.addr, testTimeout, busy))
}

// delayedClose is a connection that closes only after the next one is established, unless the next one waits
// for it.
type delayedClose struct {
	*net.TCPConn
	up     chan struct{}
	closed *atomic.Bool
}

func (c delayedClose) Close() error {
	select {
	case <-c.up:
	case <-time.After(shortTimeout):
	}
	defer c.closed.Store(true)
	return c.TCPConn.Close()
}

// While the test holds the lock, the goroutine of the replaced connection cannot run, so its descriptor is not
// free yet.
func TestRetiredConnectionCountsUntilClosed(t *testing.T) {
	f := startPeer(t, echo)
	for name, leave := range map[string]func(p *Pool){
		"room is made for the next": func(*Pool) {},
		"it is let go just before":  func(p *Pool) { p.retireOldest() },
	} {
		p := newTestPool(t, testTimeout, 1)
		var closed atomic.Bool
		up := make(chan struct{})
		p.connect = func(ctx context.Context, addr string, until time.Time) (*Conn, error) {
			c, err := connect(ctx, addr, until)
			if err == nil {
				c.Conn = delayedClose{c.Conn.(*net.TCPConn), up, &closed}
			}
			return c, err
		}
		var got, other string
		require.Equal(t, Done, p.Do(context.Background(), "a", f.addr, testTimeout, lineExchange("one", &got)))
		j := &job{ctx: context.Background(), addr: f.addr, deadline: time.Now().Add(testTimeout), x: lineExchange("two", &other), done: make(chan struct{})}
		j.x.Authorize = func() bool {
			close(up)
			return assert.True(t, closed.Load(), "the first is closed when the second comes up: %s", name)
		}
		p.mu.Lock()
		leave(p)
		assert.True(t, p.assign("b", j), name)
		assert.Equal(t, 1, p.open, name)
		assert.False(t, p.assign("c", j), "its place is taken: %s", name)
		p.mu.Unlock()
		<-j.done
		assert.Equal(t, Done, j.stage, name)
	}
}

func TestRingKeepsBytesInOrderWhileItWrapsAndGrows(t *testing.T) {
	var r ring
	var in, out []byte
	for i := range 5000 {
		p := r.writable()
		n := min(len(p), 1+i%700)
		for j := range n {
			p[j] = byte(len(in) + j)
		}
		in = append(in, p[:n]...)
		r.commit(n)
		front := r.readable()
		n = min(len(front), 1+i%691)
		out = append(out, front[:n]...)
		r.consume(n)
	}
	for r.length > 0 {
		out = append(out, r.readable()...)
		r.consume(len(r.readable()))
	}
	assert.True(t, bytes.Equal(in, out))
	r.release()
	assert.Nil(t, r.buf, "given back when idle")
}

// serveEcho starts a server that answers lines.
func serveEcho(t *testing.T, limit int) (*Server, func() net.Conn) {
	t.Helper()
	s, err := Listen("127.0.0.1:0", limit, func(c *Client) {
		for c.AwaitCommand() {
			line, err := c.R.ReadString('\n')
			if err != nil {
				return
			}
			if line != "bad\n" {
				c.MarkServed()
			}
			_, _ = c.W.WriteString(line)
			if c.SendReply() != nil {
				return
			}
		}
	})
	require.NoError(t, err)
	go func() { _ = s.Serve(context.Background()) }()
	t.Cleanup(func() { s.Abort(); s.Close() })
	return s, func() net.Conn {
		c, err := net.Dial("tcp", s.Addr())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

// setTimeouts sets the eviction grace, first-command and idle times.
func (s *Server) setTimeouts(grace, first, idle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grace, s.first, s.idle = grace, first, idle
}

// closingCount returns the number of clients that are being closed.
func (s *Server) closingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closingClients
}

func request(t *testing.T, c net.Conn, text string) string {
	t.Helper()
	_, err := io.WriteString(c, text+"\n")
	require.NoError(t, err)
	line, _ := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(line)
}

func TestDrainClosesClientsBetweenCommandsOnly(t *testing.T) {
	s, dial := serveEcho(t, 9)
	idle, half := dial(), dial()
	assert.Equal(t, "a", request(t, idle, "a"))
	assert.Equal(t, "b", request(t, half, "b"))
	_, err := io.WriteString(half, "begun ")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.Stats().Idle == 1 }, testTimeout, time.Millisecond)
	s.Drain()
	_, err = idle.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, "begun and ended", request(t, half, "and ended"))
}

func TestLongestIdleClientIsEvictedAtLimit(t *testing.T) {
	s, dial := serveEcho(t, 2)
	s.maxIdleServed = 2
	second := dial()
	assert.Equal(t, "a", request(t, second, "a"))
	require.Eventually(t, func() bool { return s.Stats().Idle == 1 }, testTimeout, time.Millisecond) // before the first one is
	first := dial()
	assert.Equal(t, "b", request(t, first, "b"))
	require.Eventually(t, func() bool { return s.Stats().Idle == 2 }, testTimeout, time.Millisecond)
	third := dial()
	assert.Equal(t, "c", request(t, third, "c"))
	_, err := second.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, "d", request(t, first, "d"))
}

func TestSilentClientsAreEvictedFirst(t *testing.T) {
	s, dial := serveEcho(t, 3)
	s.setTimeouts(0, testTimeout, testTimeout)
	usual, bad := dial(), dial()
	assert.Equal(t, "a", request(t, usual, "a"))
	assert.Equal(t, "bad", request(t, bad, "bad"))
	var silent []net.Conn
	for range 20 {
		require.Eventually(t, func() bool { // all are admitted, and the evicted ones are closed; otherwise only the served client could be evicted
			c := s.Stats()
			return c.Accepted == 2+len(silent) && c.EvictedUnserved == max(0, c.Accepted-3) && s.closingCount() == 0 && c.Open == min(c.Accepted, 3) && c.Idle == c.Open
		}, testTimeout, time.Millisecond)
		if len(silent) == 19 {
			s.setTimeouts(0, shortTimeout, testTimeout) // for the last one only
		}
		silent = append(silent, dial())
	}
	_, err := bad.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, "b", request(t, usual, "b"))
	started := time.Now()
	_, err = silent[19].Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "it never said anything")
	assert.Less(t, time.Since(started), testTimeout)
}

func TestNewClientsHaveGraceTimeAtLimit(t *testing.T) {
	s, dial := serveEcho(t, 3)
	s.setTimeouts(testTimeout, testTimeout, testTimeout)
	s.maxIdleServed = 3
	for i := range 3 {
		assert.Equal(t, "a", request(t, dial(), "a"))
		require.Eventually(t, func() bool { return s.Stats().Idle == i+1 }, testTimeout, time.Millisecond)
	}
	first, second := dial(), dial()
	require.Eventually(t, func() bool { return s.Stats().Accepted == 5 }, testTimeout, time.Millisecond)
	assert.Equal(t, "b", request(t, first, "b"), "the second did not drive it out")
	assert.Equal(t, "c", request(t, second, "c"))
	assert.Equal(t, 2, s.Stats().EvictedServed)
}

func TestIdleServedClientsAreLimited(t *testing.T) {
	s, dial := serveEcho(t, 8)
	var conns []net.Conn
	for i := range 6 {
		conns = append(conns, dial())
		assert.Equal(t, "a", request(t, conns[i], "a"))
		require.Eventually(t, func() bool { return s.Stats().Idle == min(i+1, 4) }, testTimeout, time.Millisecond)
	}
	_, err := conns[1].Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "the longest idle go, long before the bound")
	assert.Equal(t, "b", request(t, conns[2], "b"))
}

func TestUnsolicitedBytesSpoilConnection(t *testing.T) {
	send := make(chan string)
	f := startPeer(t, func(c net.Conn, _ int64) {
		for text := range send {
			_, _ = io.WriteString(c, text)
		}
		_ = c.Close()
	})
	for _, extra := range []string{"HTTP/1.1 200 OK", ""} {
		c, err := connect(context.Background(), f.addr, time.Now().Add(testTimeout))
		require.NoError(t, err)
		assert.True(t, c.isIdle())
		if extra != "" {
			send <- extra
		} else {
			close(send)
		}
		assert.Eventually(t, func() bool { return !c.isIdle() }, testTimeout, time.Millisecond, "in the kernel, or closed")
		if extra != "" {
			_, err = c.R.ReadByte()
			require.NoError(t, err)
			assert.False(t, c.isIdle(), "in the parser's buffer")
			c.R.Reset(c)
			c.in.commit(copy(c.in.writable(), "x"))
			assert.False(t, c.isIdle(), "in the ring")
		}
		_ = c.Close()
	}
}

func TestOnlyShortDatagramsOfPeersAreReceived(t *testing.T) {
	local, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	peer, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	stranger, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = peer.Close(), stranger.Close() })
	at := local.LocalAddr()
	require.NoError(t, local.Close())
	d, err := OpenDatagrams(at.String(), peer.LocalAddr().String(), []string{peer.LocalAddr().String()})
	require.NoError(t, err)
	received := make(chan string, 9)
	done := make(chan struct{})
	go func() { defer close(done); d.Receive(func(text string) { received <- text }) }()
	for _, n := range []struct {
		from net.PacketConn
		text string
	}{{stranger, "lie"}, {peer, strings.Repeat("x", MaxDatagram+1)}, {peer, "+7"}} {
		_, err := n.from.WriteTo([]byte(n.text), at)
		require.NoError(t, err)
	}
	assert.Equal(t, "+7", <-received)
	assert.EqualValues(t, 2, d.Dropped())
	d.Send(strings.Repeat("x", MaxDatagram+1))
	d.Send("+8")
	buf := make([]byte, 999)
	n, _, err := peer.ReadFrom(buf)
	require.NoError(t, err)
	assert.Equal(t, "+8", string(buf[:n]))
	require.NoError(t, d.conn.SetReadDeadline(time.Unix(1, 0))) // a transient error
	require.Eventually(t, func() bool { return d.Dropped() > 3 }, testTimeout, time.Millisecond)
	require.NoError(t, d.conn.SetReadDeadline(time.Time{}))
	_, err = peer.WriteTo([]byte("+9"), at)
	require.NoError(t, err)
	select {
	case text := <-received:
		assert.Equal(t, "+9", text, "it goes on hearing")
	case <-done:
		assert.Fail(t, "it no longer hears")
	}
	d.Close()
	<-done
}

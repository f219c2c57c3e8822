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
	long    = 10 * time.Second       // a limit that no good run reaches
	shortly = 200 * time.Millisecond // a patience that runs out, connecting included
)

// far is a stand-in for the other side: each connection is handled by the given function.
type far struct {
	addr  string
	conns atomic.Int64
}

func farSide(t *testing.T, handle func(c net.Conn, number int64)) *far {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &far{addr: l.Addr().String()}
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

// say exchanges a line; got is what came back.
func say(text string, got *string) Exchange {
	return Exchange{Ready: func() bool { return true },
		Write: func(w *bufio.Writer, _ bool) error { _, err := w.WriteString(text + "\n"); return err },
		Read: func(r *bufio.Reader, _ Reading) (bool, error) {
			line, err := r.ReadString('\n')
			*got = strings.TrimSpace(line)
			return true, err
		}}
}

func pool(t *testing.T, idle time.Duration, most int) *Pool {
	p := NewPool(time.Second, idle, most)
	t.Cleanup(func() {
		p.Close()
		assert.Eventually(t, func() bool { return p.Open() == 0 }, long, time.Millisecond, "all connections are closed")
	})
	return p
}

func TestConnectionIsKeptForOneMoreCallAndCarriesOneAtATime(t *testing.T) {
	f := farSide(t, echo)
	p := pool(t, long, 9)
	for i, text := range []string{"one", strings.Repeat("x", 200_000), "three", "four"} {
		var got string
		x, closes := say(text, &got), false
		write := x.Write
		x.Write = func(w *bufio.Writer, closing bool) error {
			closes = closing
			return write(w, closing)
		}
		require.Equal(t, Done, p.Do(context.Background(), "r", f.addr, long, x))
		assert.Equal(t, text, got)
		assert.EqualValues(t, 1+i/2, f.conns.Load())
		assert.Equal(t, i%2 == 1, closes, "the second call is the last one, and asks for the connection to be closed")
		assert.Equal(t, 1-i%2, p.Open())
	}
}

func TestClosedIdleConnectionsAreNotUsedAgain(t *testing.T) {
	f := farSide(t, echo)
	p := pool(t, long, 9)
	var got string
	p.Do(context.Background(), "r", f.addr, long, say("one", &got))
	p.CloseIdle("r")
	require.Equal(t, Done, p.Do(context.Background(), "r", f.addr, long, say("two", &got)))
	assert.EqualValues(t, 2, f.conns.Load())
}

func TestConnectionOlderThanTheIdleTimeIsNotUsed(t *testing.T) {
	f := farSide(t, echo)
	p := pool(t, time.Millisecond, 9)
	var got string
	p.Do(context.Background(), "r", f.addr, long, say("one", &got))
	assert.Eventually(t, func() bool { return p.Open() == 0 }, long, time.Millisecond)
	require.Equal(t, Done, p.Do(context.Background(), "r", f.addr, long, say("two", &got)))
	assert.EqualValues(t, 2, f.conns.Load())
}

func TestCloseByTheOtherSideWhileIdleCostsNothing(t *testing.T) {
	f := farSide(t, func(c net.Conn, n int64) {
		if n > 1 {
			echo(c, n)
			return
		}
		line, _ := bufio.NewReader(c).ReadString('\n')
		_, _ = io.WriteString(c, line)
		_ = c.Close()
	})
	p := pool(t, long, 9)
	var got string
	require.Equal(t, Done, p.Do(context.Background(), "r", f.addr, long, say("one", &got)))
	require.Eventually(t, func() bool { return p.Open() == 0 }, long, time.Millisecond)
	require.Equal(t, Done, p.Do(context.Background(), "r", f.addr, long, say("two", &got)))
}

func TestStagesTellWhatMayHaveRun(t *testing.T) {
	var got string
	whole := func() Exchange { return say("call", &got) }
	reset := farSide(t, func(c net.Conn, _ int64) {
		_, _ = bufio.NewReader(c).ReadString('\n')
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	silent := farSide(t, func(c net.Conn, _ int64) { _, _ = io.Copy(io.Discard, c); _ = c.Close() })
	gone := farSide(t, func(c net.Conn, _ int64) {
		_, _ = c.Read(make([]byte, 1))
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	nobody, err := loopback.Reserve("127.0.0.1") // nobody else is given it meanwhile
	require.NoError(t, err)
	t.Cleanup(nobody.Release)

	p := pool(t, long, 9)
	bg := context.Background()
	assert.Equal(t, NotConnected, p.Do(bg, "nobody", nobody.Addr.String(), long, whole()))
	assert.Equal(t, Broken, p.Do(bg, "reset", reset.addr, long, whole()))
	assert.Equal(t, TimedOut, p.Do(bg, "silent", silent.addr, shortly, whole()))
	x := whole()
	x.Ready = func() bool { return false }
	assert.Equal(t, NotReady, p.Do(bg, "silent", silent.addr, long, x))

	huge := whole()
	huge.Write = func(w *bufio.Writer, _ bool) error {
		_, err := w.Write(bytes.Repeat([]byte{'x'}, 32<<20)) // more than the kernel holds
		return err
	}
	assert.Equal(t, NotWritten, p.Do(bg, "gone", gone.addr, long, huge))

	ctx, cancel := context.WithCancel(bg)
	out := whole()
	read := out.Read
	out.Read = func(r *bufio.Reader, in Reading) (bool, error) { cancel(); return read(r, in) }
	assert.Equal(t, CalledOff, p.Do(ctx, "silent", silent.addr, long, out))
	assert.Equal(t, NotReady, p.Do(ctx, "silent", silent.addr, long, whole()))
}

// A lack of descriptors is ours: the call waits for one as long as for its connection, and no receiver is said to have failed.
func TestCallWaitsForADescriptorAndHoldsNoneAgainstItsReceiver(t *testing.T) {
	f := farSide(t, echo)
	for name, lack := range map[string]syscall.Errno{"of the process": syscall.EMFILE, "of the machine": syscall.ENFILE} {
		const most = 1 << 30
		try := func(ctx context.Context, lacks int64, each func()) (stage Stage, got string, attempts int64) {
			p := pool(t, long, 9)
			if p.upWithin = long; lacks == most && ctx.Done() == nil {
				p.upWithin = shortly
			}
			p.connect = func(ctx context.Context, addr string, until time.Time) (*Conn, error) {
				if attempts++; attempts <= lacks {
					each()
					return nil, fmt.Errorf("connect: %w", &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("socket", lack)})
				}
				return connect(ctx, addr, until)
			}
			stage = p.Do(ctx, "r", f.addr, long, say("call", &got))
			return stage, got, attempts
		}
		stage, got, attempts := try(context.Background(), 5, func() {})
		assert.Equal(t, Done, stage, name)
		assert.Equal(t, "call", got, name)
		assert.EqualValues(t, 6, attempts, name)

		stage, got, attempts = try(context.Background(), most, func() {})
		assert.Equal(t, NoRoom, stage, "never one: "+name)
		assert.Empty(t, got, name)
		assert.Greater(t, attempts, int64(1), name)

		ctx, cancel := context.WithCancel(context.Background())
		stage, _, attempts = try(ctx, most, cancel)
		assert.Equal(t, NotReady, stage, "called off: "+name)
		assert.EqualValues(t, 1, attempts, name)
	}
	assert.EqualValues(t, 2, f.conns.Load())
}

// What is asked last is asked before any byte has left, however much there is to write, and what it keeps back is as good as not begun.
func TestNoByteLeavesOnceItNoLongerStands(t *testing.T) {
	var came atomic.Int64
	f := farSide(t, func(c net.Conn, _ int64) {
		n, _ := io.Copy(io.Discard, c)
		came.Add(n)
		_ = c.Close()
	})
	p := pool(t, long, 9)
	const patience = time.Second // a connection is up well before
	for name, spoil := range map[string]func(x *Exchange, cancel func()){
		"its caller says no": func(x *Exchange, _ func()) { x.Still = func() bool { return false } },
		"called off": func(x *Exchange, cancel func()) {
			x.Ready = func() bool { cancel(); return true }
		},
		"called off as it is put in the buffer": func(x *Exchange, cancel func()) {
			write := x.Write
			x.Write = func(w *bufio.Writer, closing bool) error { cancel(); return write(w, closing) }
		},
		"time is up": func(x *Exchange, _ func()) { // as after a stop of the process
			x.Ready = func() bool { time.Sleep(patience); return true }
		},
	} {
		for _, size := range []int{1, 1 << 20} { // the rings grow to 64 KiB
			var got string
			ctx, cancel := context.WithCancel(context.Background())
			x := say(strings.Repeat("x", size), &got)
			spoil(&x, cancel)
			assert.Equal(t, NotReady, p.Do(ctx, "r", f.addr, patience, x), name)
			cancel()
		}
	}
	require.Eventually(t, func() bool { return p.Open() == 0 }, long, time.Millisecond, "what holds bytes is not used again")
	var got string
	x := say("call", &got)
	asked := 0
	x.Still = func() bool { asked++; return true }
	assert.Equal(t, Done, p.Do(context.Background(), "e", farSide(t, echo).addr, long, x))
	assert.Equal(t, 1, asked)
	assert.Zero(t, came.Load())
}

// What comes on a resting connection between the first look at it and a call's first byte costs that connection, and nothing else.
func TestBytesOrACloseRightBeforeACallSpoilItsConnectionOnly(t *testing.T) {
	for _, extra := range []string{"one\n", "half a li", ""} {
		spoil, came := make(chan struct{}), make(chan string, 1)
		f := farSide(t, func(c net.Conn, n int64) {
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
			came <- string(more)
			_ = c.Close()
		})
		p := pool(t, long, 9)
		var got string
		require.Equal(t, Done, p.Do(context.Background(), "r", f.addr, long, say("one", &got)))
		resting := p.idle["r"][0].conn
		x := say("two", &got)
		x.Ready = func() bool {
			close(spoil)
			return assert.Eventually(t, func() bool { return resting.look() != still }, long, time.Millisecond)
		}
		asked := 0
		x.Still = func() bool { asked++; return true }
		assert.Equal(t, Done, p.Do(context.Background(), "r", f.addr, long, x), "%q", extra)
		assert.Equal(t, "two", got, "%q", extra)
		assert.Equal(t, 2, asked, "the new connection took its time to come up: %q", extra)
		assert.Empty(t, <-came, "nothing is written to what was spoilt: %q", extra)
	}
}

// A receiver takes a new connection and lets it go at once. Nothing of the call was written, so it never ran.
func TestNewConnectionThatEndsBeforeTheCallNeverRan(t *testing.T) {
	shut := make(chan struct{})
	f := farSide(t, func(c net.Conn, _ int64) { _ = c.Close(); close(shut) })
	p := pool(t, long, 9)
	var ours *Conn
	p.connect = func(ctx context.Context, addr string, until time.Time) (c *Conn, err error) {
		c, err = connect(ctx, addr, until)
		ours = c
		return c, err
	}
	var got string
	x := say("call", &got)
	x.Ready = func() bool {
		<-shut
		return assert.Eventually(t, func() bool { return ours.look() == ended }, long, time.Millisecond)
	}
	assert.Equal(t, NotConnected, p.Do(context.Background(), "r", f.addr, long, x))
}

// A connection that nobody closed in time, for its goroutine has not run, is not used.
func TestConnectionPastItsTimeIsNotUsedThoughItIsUp(t *testing.T) {
	f := farSide(t, echo)
	p := pool(t, long, 9)
	var got string
	require.Equal(t, Done, p.Do(context.Background(), "r", f.addr, long, say("one", &got)))
	p.mu.Lock()
	p.idle["r"][0].since = time.Now().Add(-long)
	p.mu.Unlock()
	require.Equal(t, Done, p.Do(context.Background(), "r", f.addr, long, say("two", &got)))
	assert.EqualValues(t, 2, f.conns.Load())
}

// closing tells when a connection is closed.
type closing struct {
	*net.TCPConn
	closed *atomic.Bool
}

func (c closing) Close() error {
	defer c.closed.Store(true)
	return c.TCPConn.Close()
}

// Whoever hears that a call is given up may send its message again at once: the first must not be out then.
func TestCallThatIsGivenUpIsClosedBeforeItsEndIsTold(t *testing.T) {
	f := farSide(t, func(c net.Conn, _ int64) { // half an answer
		_, _ = bufio.NewReader(c).ReadString('\n')
		_, _ = io.WriteString(c, "half")
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	})
	for want, end := range map[Stage]func(cancel, told func()) error{
		TimedOut:  func(_, _ func()) error { return nil },
		CalledOff: func(cancel, _ func()) error { cancel(); return nil },
		Broken:    func(_, _ func()) error { return io.ErrNoProgress },
		Done:      func(_, told func()) error { told(); return nil },
	} {
		p := pool(t, long, 9)
		var closed atomic.Bool
		p.connect = func(ctx context.Context, addr string, until time.Time) (*Conn, error) {
			c, err := connect(ctx, addr, until)
			if err == nil {
				c.Conn = closing{c.Conn.(*net.TCPConn), &closed}
			}
			return c, err
		}
		ctx, cancel := context.WithCancel(context.Background())
		var got string
		x := say("call", &got)
		x.Read = func(r *bufio.Reader, in Reading) (bool, error) {
			if err := end(cancel, in.Told); err != nil {
				return false, err
			}
			_, err := r.ReadString('\n')
			return true, err
		}
		patience := long
		if want == TimedOut {
			patience = time.Second // a connection is up well before
		}
		assert.Equal(t, want, p.Do(ctx, "r", f.addr, patience, x))
		assert.True(t, closed.Load(), "%d", want)
		cancel()
	}
}

// The system has taken the whole call, and a machine that was cut off is back after it was given up.
func TestCallThatIsGivenUpDoesNotArriveLater(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	raw, err := l.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1<<10) // little gets through at first
	}))
	p := pool(t, long, 9)
	var got string
	call := strings.Repeat("x", 60<<10)
	require.Equal(t, TimedOut, p.Do(context.Background(), "r", l.Addr().String(), time.Second, say(call, &got)))
	c, err := l.Accept()
	require.NoError(t, err)
	came, err := io.ReadAll(c)
	assert.Less(t, len(came), len(call))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	require.NoError(t, c.Close())
}

// The process is stopped, or busy, while an answer comes and the time for it runs out, or its call is called off.
func TestAnswerThatCameBeforeTheEndCounts(t *testing.T) {
	f := farSide(t, echo)
	for name, end := range map[string]func(cancel func()){
		"time is up": func(func()) { time.Sleep(time.Second) },
		"called off": func(cancel func()) { cancel() },
	} {
		p := pool(t, long, 9)
		var ours *Conn
		p.connect = func(ctx context.Context, addr string, until time.Time) (c *Conn, err error) {
			c, err = connect(ctx, addr, until)
			ours = c
			return c, err
		}
		ctx, cancel := context.WithCancel(context.Background())
		var got string
		x := say("call", &got)
		read := x.Read
		x.Read = func(r *bufio.Reader, in Reading) (bool, error) {
			assert.Eventually(t, func() bool { return ours.look() == spoke }, long, time.Millisecond)
			end(cancel)
			assert.Eventually(t, func() bool { return ours.look() == ended }, long, time.Millisecond, "its time is up")
			return read(r, in)
		}
		patience := long
		if name == "time is up" {
			patience = time.Second
		}
		assert.Equal(t, Done, p.Do(ctx, "r", f.addr, patience, x), name)
		assert.Equal(t, "call", got, name)
		cancel()
	}
}

// A machine takes no connection, and then all at once, when the call has long been given up.
func TestCallWhoseConnectionNeverCameUpSendsNothingLater(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	raw, err := l.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }))
	filler, err := net.Dial("tcp", l.Addr().String()) // the one that the kernel takes; the next hang
	require.NoError(t, err)
	p := pool(t, long, 9)
	var got string
	assert.Equal(t, NotConnected, p.Do(context.Background(), "r", l.Addr().String(), shortly, say("call", &got)))
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(shortly, cancel)
	assert.Equal(t, NotReady, p.Do(ctx, "r", l.Addr().String(), long, say("call", &got)))
	assert.Zero(t, p.Open())
	c, err := l.Accept()
	require.NoError(t, err)
	require.NoError(t, filler.Close())
	all, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Empty(t, all)
	require.NoError(t, c.Close())
	p.connect = func(_ context.Context, addr string, until time.Time) (*Conn, error) {
		time.Sleep(time.Until(until)) // up when its time is over
		return connect(context.Background(), addr, until.Add(long))
	}
	assert.Equal(t, NotReady, p.Do(context.Background(), "r", l.Addr().String(), shortly, say("call", &got)))
	if c, err = l.Accept(); assert.NoError(t, err) {
		all, _ = io.ReadAll(c)
		assert.Empty(t, all)
		_ = c.Close()
	}
}

func TestLateAnswerIsNotTheNextOnes(t *testing.T) {
	release := make(chan struct{})
	f := farSide(t, func(c net.Conn, n int64) {
		if n == 1 {
			_, _ = bufio.NewReader(c).ReadString('\n')
			<-release
			_, _ = io.WriteString(c, "late\n")
			_ = c.Close()
			return
		}
		echo(c, n)
	})
	p := pool(t, long, 9)
	var got string
	require.Equal(t, TimedOut, p.Do(context.Background(), "r", f.addr, shortly, say("one", &got)))
	close(release)
	require.Equal(t, Done, p.Do(context.Background(), "r", f.addr, long, say("two", &got)))
	assert.Equal(t, "two", got)
}

func TestPoolHasABound(t *testing.T) {
	f := farSide(t, echo)
	p := pool(t, long, 1)
	var got string
	require.Equal(t, Done, p.Do(context.Background(), "a", f.addr, long, say("one", &got)))
	require.Equal(t, Done, p.Do(context.Background(), "b", f.addr, long, say("two", &got)), "the idle one makes room")
	busy := say("three", &got)
	busy.Ready = func() bool {
		var other string
		assert.Equal(t, NoRoom, p.Do(context.Background(), "c", f.addr, long, say("four", &other)))
		return true
	}
	require.Eventually(t, func() bool { return p.Open() == 1 }, long, time.Millisecond)
	require.Equal(t, Done, p.Do(context.Background(), "b", f.addr, long, busy))
}

// heldClose is a connection that closes only once a next one is up, if that does not wait for it.
type heldClose struct {
	*net.TCPConn
	up     chan struct{}
	closed *atomic.Bool
}

func (c heldClose) Close() error {
	select {
	case <-c.up:
	case <-time.After(shortly):
	}
	defer c.closed.Store(true)
	return c.TCPConn.Close()
}

// The lock that the test holds keeps the goroutine of the connection that gives way from running: its descriptor is not free yet.
func TestConnectionThatGivesWayCountsUntilItIsClosed(t *testing.T) {
	f := farSide(t, echo)
	for name, leave := range map[string]func(p *Pool){
		"room is made for the next": func(*Pool) {},
		"it is let go just before":  func(p *Pool) { p.shutOldest() },
	} {
		p := pool(t, long, 1)
		var closed atomic.Bool
		up := make(chan struct{})
		p.connect = func(ctx context.Context, addr string, until time.Time) (*Conn, error) {
			c, err := connect(ctx, addr, until)
			if err == nil {
				c.Conn = heldClose{c.Conn.(*net.TCPConn), up, &closed}
			}
			return c, err
		}
		var got, other string
		require.Equal(t, Done, p.Do(context.Background(), "a", f.addr, long, say("one", &got)))
		j := &job{ctx: context.Background(), addr: f.addr, until: time.Now().Add(long), x: say("two", &other), done: make(chan struct{})}
		j.x.Ready = func() bool {
			close(up)
			return assert.True(t, closed.Load(), "the first is closed when the second comes up: %s", name)
		}
		p.mu.Lock()
		leave(p)
		assert.True(t, p.hand("b", j), name)
		assert.Equal(t, 1, p.open, name)
		assert.False(t, p.hand("c", j), "its place is taken: %s", name)
		p.mu.Unlock()
		<-j.done
		assert.Equal(t, Done, j.stage, name)
	}
}

func TestRingKeepsBytesInOrderWhileItWrapsAndGrows(t *testing.T) {
	var r ring
	var in, out []byte
	for i := range 5000 {
		p := r.space()
		n := min(len(p), 1+i%700)
		for j := range n {
			p[j] = byte(len(in) + j)
		}
		in = append(in, p[:n]...)
		r.filled(n)
		front := r.front()
		n = min(len(front), 1+i%691)
		out = append(out, front[:n]...)
		r.drained(n)
	}
	for r.held > 0 {
		out = append(out, r.front()...)
		r.drained(len(r.front()))
	}
	assert.True(t, bytes.Equal(in, out))
	r.release()
	assert.Nil(t, r.buf, "given back when idle")
}

// serveEcho starts a server that answers lines.
func serveEcho(t *testing.T, most int) (*Server, func() net.Conn) {
	t.Helper()
	s, err := Listen("127.0.0.1:0", most, func(c *Client) {
		for c.Await() {
			line, err := c.R.ReadString('\n')
			if err != nil {
				return
			}
			if line != "bad\n" {
				c.Served()
			}
			_, _ = c.W.WriteString(line)
			if c.Answer() != nil {
				return
			}
		}
	})
	require.NoError(t, err)
	go func() { _ = s.Serve(context.Background()) }()
	t.Cleanup(func() { s.Cut(); s.Close() })
	return s, func() net.Conn {
		c, err := net.Dial("tcp", s.Addr())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

// times sets how long clients are let be.
func (s *Server) times(grace, first, idle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grace, s.first, s.idle = grace, first, idle
}

// leaving counts those that are to be closed and are not yet.
func (s *Server) leaving() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.going
}

func talk(t *testing.T, c net.Conn, text string) string {
	t.Helper()
	_, err := io.WriteString(c, text+"\n")
	require.NoError(t, err)
	line, _ := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(line)
}

func TestClientsAreLetGoBetweenCommandsOnly(t *testing.T) {
	s, dial := serveEcho(t, 9)
	idle, half := dial(), dial()
	assert.Equal(t, "a", talk(t, idle, "a"))
	assert.Equal(t, "b", talk(t, half, "b"))
	_, err := io.WriteString(half, "begun ")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.Crowd().Idle == 1 }, long, time.Millisecond)
	s.Dismiss()
	_, err = idle.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, "begun and ended", talk(t, half, "and ended"))
}

func TestAtTheBoundTheLongestIdleClientGoes(t *testing.T) {
	s, dial := serveEcho(t, 2)
	s.served = 2
	second := dial()
	assert.Equal(t, "a", talk(t, second, "a"))
	require.Eventually(t, func() bool { return s.Crowd().Idle == 1 }, long, time.Millisecond) // before the first one is
	first := dial()
	assert.Equal(t, "b", talk(t, first, "b"))
	require.Eventually(t, func() bool { return s.Crowd().Idle == 2 }, long, time.Millisecond)
	third := dial()
	assert.Equal(t, "c", talk(t, third, "c"))
	_, err := second.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, "d", talk(t, first, "d"))
}

func TestSilentCrowdDrivesNobodyOutAndIsLetGo(t *testing.T) {
	s, dial := serveEcho(t, 3)
	s.times(0, long, long)
	usual, bad := dial(), dial()
	assert.Equal(t, "a", talk(t, usual, "a"))
	assert.Equal(t, "bad", talk(t, bad, "bad"))
	var crowd []net.Conn
	for range 20 {
		require.Eventually(t, func() bool { // all are in, and those let go are gone: else only the usual one is left to go
			c := s.Crowd()
			return c.Taken == 2+len(crowd) && c.LetGoUnserved == max(0, c.Taken-3) && s.leaving() == 0 && c.Open == min(c.Taken, 3) && c.Idle == c.Open
		}, long, time.Millisecond)
		if len(crowd) == 19 {
			s.times(0, shortly, long) // for the last one only
		}
		crowd = append(crowd, dial())
	}
	_, err := bad.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, "b", talk(t, usual, "b"))
	begun := time.Now()
	_, err = crowd[19].Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "it never said anything")
	assert.Less(t, time.Since(begun), long)
}

func TestFullHouseLeavesNewcomersTimeToSpeak(t *testing.T) {
	s, dial := serveEcho(t, 3)
	s.times(long, long, long)
	s.served = 3
	for i := range 3 {
		assert.Equal(t, "a", talk(t, dial(), "a"))
		require.Eventually(t, func() bool { return s.Crowd().Idle == i+1 }, long, time.Millisecond)
	}
	first, second := dial(), dial()
	require.Eventually(t, func() bool { return s.Crowd().Taken == 5 }, long, time.Millisecond)
	assert.Equal(t, "b", talk(t, first, "b"), "the second did not drive it out")
	assert.Equal(t, "c", talk(t, second, "c"))
	assert.Equal(t, 2, s.Crowd().LetGoServed)
}

func TestClientsThatAskOnceAndHoldOnLeaveRoom(t *testing.T) {
	s, dial := serveEcho(t, 8)
	var held []net.Conn
	for i := range 6 {
		held = append(held, dial())
		assert.Equal(t, "a", talk(t, held[i], "a"))
		require.Eventually(t, func() bool { return s.Crowd().Idle == min(i+1, 4) }, long, time.Millisecond)
	}
	_, err := held[1].Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "the longest idle go, long before the bound")
	assert.Equal(t, "b", talk(t, held[2], "b"))
}

func TestBytesNobodyAskedForSpoilAConnection(t *testing.T) {
	send := make(chan string)
	f := farSide(t, func(c net.Conn, _ int64) {
		for text := range send {
			_, _ = io.WriteString(c, text)
		}
		_ = c.Close()
	})
	for _, extra := range []string{"HTTP/1.1 200 OK", ""} {
		c, err := connect(context.Background(), f.addr, time.Now().Add(long))
		require.NoError(t, err)
		assert.Equal(t, still, c.sightAtRest())
		if extra != "" {
			send <- extra
		} else {
			close(send)
		}
		assert.Eventually(t, func() bool { return c.sightAtRest() != still }, long, time.Millisecond, "in the kernel, or closed")
		if extra != "" {
			_, err = c.R.ReadByte()
			require.NoError(t, err)
			assert.Equal(t, spoke, c.sightAtRest(), "in the parser's buffer")
			c.R.Reset(c)
			c.in.filled(copy(c.in.space(), "x"))
			assert.Equal(t, spoke, c.sightAtRest(), "in the ring")
		}
		_ = c.Close()
	}
}

func TestOnlyFellowsShortNotesAreHeard(t *testing.T) {
	own, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	fellow, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	stranger, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = fellow.Close(), stranger.Close() })
	at := own.LocalAddr()
	require.NoError(t, own.Close())
	d, err := OpenDatagrams(at.String(), fellow.LocalAddr().String(), []string{fellow.LocalAddr().String()})
	require.NoError(t, err)
	heard := make(chan string, 9)
	done := make(chan struct{})
	go func() { defer close(done); d.Receive(func(text string) { heard <- text }) }()
	for _, n := range []struct {
		from net.PacketConn
		text string
	}{{stranger, "lie"}, {fellow, strings.Repeat("x", MostNote+1)}, {fellow, "+7"}} {
		_, err := n.from.WriteTo([]byte(n.text), at)
		require.NoError(t, err)
	}
	assert.Equal(t, "+7", <-heard)
	assert.EqualValues(t, 2, d.Dropped())
	d.Send(strings.Repeat("x", MostNote+1))
	d.Send("+8")
	buf := make([]byte, 999)
	n, _, err := fellow.ReadFrom(buf)
	require.NoError(t, err)
	assert.Equal(t, "+8", string(buf[:n]))
	require.NoError(t, d.conn.SetReadDeadline(time.Unix(1, 0))) // an error that passes
	require.Eventually(t, func() bool { return d.Dropped() > 3 }, long, time.Millisecond)
	require.NoError(t, d.conn.SetReadDeadline(time.Time{}))
	_, err = fellow.WriteTo([]byte("+9"), at)
	require.NoError(t, err)
	select {
	case text := <-heard:
		assert.Equal(t, "+9", text, "it goes on hearing")
	case <-done:
		assert.Fail(t, "it no longer hears")
	}
	d.Close()
	<-done
}

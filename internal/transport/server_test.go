package transport

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// lineServer is a server of lines: "half" begins a command that "more" completes. It records the commands that
// it has executed.
type lineServer struct {
	*Server
	t       *testing.T
	mu      sync.Mutex
	done    []string
	maxOpen atomic.Int64 // maximum number of open connections, as seen by its handlers
}

func newLineServer(t *testing.T, limit int) *lineServer {
	t.Helper()
	h := &lineServer{t: t}
	s, err := Listen("127.0.0.1:0", limit, h.serve)
	require.NoError(t, err)
	h.Server = s
	t.Cleanup(func() { s.Abort(); s.Close() })
	return h
}

func (h *lineServer) open() *lineServer {
	go func() { _ = h.Serve(context.Background()) }()
	return h
}

func (h *lineServer) serve(c *Client) {
	for c.AwaitCommand() {
		line, err := c.R.ReadString('\n')
		h.maxOpen.Store(max(h.maxOpen.Load(), int64(h.Stats().Open)))
		if err != nil {
			if c.CountTimeout(err) {
				_, _ = c.W.WriteString("busy\n")
				c.ReplyAndClose()
			}
			return
		}
		if line == "none\n" { // not a valid command
			_, _ = c.W.WriteString(line)
			if c.SendReply() != nil {
				return
			}
			continue
		}
		if line == "bad\n" {
			_, _ = c.W.WriteString("error\n")
			c.ReplyAndClose()
			return
		}
		h.mu.Lock()
		h.done = append(h.done, strings.TrimSpace(line))
		h.mu.Unlock()
		c.MarkServed()
		if _, _ = c.W.WriteString(line); c.SendReply() != nil {
			return
		}
	}
}

func (h *lineServer) executed() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return strings.Join(h.done, " ")
}

func (h *lineServer) dial(text string) *net.TCPConn {
	h.t.Helper()
	c, err := net.Dial("tcp", h.Addr())
	require.NoError(h.t, err)
	h.t.Cleanup(func() { _ = c.Close() })
	require.NoError(h.t, c.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(c, text)
	require.NoError(h.t, err)
	return c.(*net.TCPConn)
}

// readToEnd reads until the connection is closed, which must not be a reset, and closes it too.
func readToEnd(t *testing.T, c net.Conn, what string) string {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	all, err := io.ReadAll(c)
	assert.NoError(t, err, "%s: the connection was reset, or never ended", what)
	_ = c.Close()
	return string(all)
}

func waitFor(t *testing.T, done <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(testTimeout):
		require.Fail(t, "never happened", what)
	}
}

// unread returns the number of bytes in the kernel's buffer, at most one.
func unread(c *Client) (n int) {
	raw, _ := c.Conn.Conn.(*net.TCPConn).SyscallConn()
	_ = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n
}

// Every reason for which the server closes a connection, combined with every moment at which a command may
// arrive during the close.
func TestCommandDuringCloseIsAnsweredOrNotExecuted(t *testing.T) {
	idle := func(h *lineServer) { h.setTimeouts(0, testTimeout, time.Millisecond) }
	scenarios := map[string]struct {
		before, then func(h *lineServer)
		first        string // sent first
		silent       bool   // has sent nothing
	}{
		"idle for long":      {before: idle},
		"never spoke":        {before: func(h *lineServer) { h.setTimeouts(0, time.Millisecond, time.Millisecond) }, silent: true},
		"drained":            {then: func(h *lineServer) { h.Drain() }},
		"drained and new":    {before: func(h *lineServer) { h.setTimeouts(0, testTimeout, testTimeout) }, then: func(h *lineServer) { h.Drain() }, silent: true},
		"at the bound":       {then: func(h *lineServer) { h.dial("") }},
		"cut off in the end": {then: func(h *lineServer) { h.Abort() }},
	}
	for name, scenario := range scenarios {
		for at, expect := range map[closeEvent]struct{ answer, done string }{
			deadlinePassed: {"late\n", "late"},
			lastPeekDone:   {"", ""},
			writeShutDown:  {"", ""},
		} {
			h := newLineServer(t, 1)
			if scenario.before != nil {
				scenario.before(h)
			}
			var c *net.TCPConn
			ready, crossed := make(chan struct{}), make(chan struct{})
			var once sync.Once
			h.onCloseEvent = func(of *Client, m closeEvent) {
				if m == at {
					once.Do(func() {
						<-ready
						_, err := io.WriteString(c, "late\n")
						assert.NoError(t, err)
						assert.Eventually(t, func() bool { return unread(of) > 0 }, testTimeout, time.Microsecond, "in the kernel")
						close(crossed)
					})
				}
			}
			h.open()
			if scenario.silent {
				c = h.dial("")
			} else {
				c = h.dial("first\n") // its reply stays unread while all of the following happens
				expect.answer, expect.done = "first\n"+expect.answer, strings.TrimSpace("first "+expect.done)
			}
			close(ready)
			if scenario.then != nil {
				require.Eventually(t, func() bool { c := h.Stats(); return c.Idle == 1 && (scenario.silent || c.Served == 1) }, testTimeout, time.Millisecond)
				scenario.then(h)
			}
			if name == "cut off in the end" && at == deadlinePassed { // nothing more is read
				expect.answer, expect.done = "first\nbusy\n", "first"
			}
			waitFor(t, crossed, name)
			what := name + [...]string{": as the time is up", ": after the last look", ": after the shutdown"}[at]
			assert.Equal(t, expect.answer, readToEnd(t, c, what), what)
			h.Close()
			assert.Equal(t, expect.done, h.executed(), what)
			if at != deadlinePassed {
				assert.Equal(t, 1, h.Stats().WroteAfterClose, what)
			}
		}
	}
}

func TestIncompleteCommandGetsReply(t *testing.T) {
	for name, end := range map[string]func(h *lineServer, c net.Conn){
		"too slow":     func(h *lineServer, _ net.Conn) {},
		"cut":          func(h *lineServer, _ net.Conn) { h.Abort(); h.Drain() },
		"at the bound": func(h *lineServer, _ net.Conn) { assert.Equal(h.t, "other", request(h.t, h.dial(""), "other")) },
	} {
		h := newLineServer(t, 1)
		if h.command = testTimeout; name == "too slow" {
			h.command, h.slow = time.Millisecond, time.Millisecond
		}
		h.setTimeouts(0, testTimeout, testTimeout)
		h.open()
		c := h.dial("half ")
		require.Eventually(t, func() bool { cr := h.Stats(); return cr.Open == 1 && cr.Idle == 0 || cr.CommandTimeouts == 1 }, testTimeout, time.Millisecond)
		end(h, c)
		_, err := io.WriteString(c, strings.Repeat("x", 100_000)) // arrives while the reply is sent
		require.NoError(t, err, name)
		assert.Equal(t, "busy\n", readToEnd(t, c, name), name)
	}
}

// Slow commands get the time that no other client needs.
func TestSlowCommandMayFinishBelowLimit(t *testing.T) {
	h := newLineServer(t, 3)
	h.setTimeouts(0, testTimeout, testTimeout)
	h.command, h.slow = time.Millisecond, testTimeout
	h.open()
	var cs []*net.TCPConn
	for i := range 3 {
		cs = append(cs, h.dial("half "))
		require.Eventually(t, func() bool { return h.slowCommands() == i+1 }, testTimeout, time.Millisecond)
	}
	_, err := io.WriteString(cs[1], "more\n")
	require.NoError(t, err)
	line, err := bufio.NewReader(cs[1]).ReadString('\n')
	require.NoError(t, err)
	assert.Equal(t, "half more\n", line)
	assert.Equal(t, "other", request(t, h.dial(""), "other"), "the longest slow one makes room, not one that was served")
	assert.Equal(t, "busy\n", readToEnd(t, cs[0], "the longest slow one"))
	assert.Equal(t, "again", request(t, cs[1], "again"))
	h.Drain()
	assert.Equal(t, "busy\n", readToEnd(t, cs[2], "draining waits for no slow one"))
}

// slowCommands returns the number of commands that take longer than usual.
func (h *lineServer) slowCommands() (n int) {
	h.Server.mu.Lock()
	defer h.Server.mu.Unlock()
	for c := range h.clients {
		if c.stage == inCommand && time.Since(c.stageSince) > h.command {
			n++
		}
	}
	return n
}

// A client that always has another command ready at its deadline is evicted nevertheless.
func TestEndlessCommandsDoNotKeepConnectionOpen(t *testing.T) {
	for line, end := range map[string]func(h *lineServer){
		"none\n": func(h *lineServer) {}, // the limit for a first command
		"a\n":    func(h *lineServer) { h.Drain() },
	} {
		h := newLineServer(t, 1)
		h.first, h.command = time.Millisecond, time.Millisecond
		var c *net.TCPConn
		ready := make(chan struct{})
		h.onCloseEvent = func(of *Client, m closeEvent) {
			if <-ready; m == deadlinePassed {
				_, _ = io.WriteString(c, line)
				assert.Eventually(t, func() bool { return unread(of) != 0 }, testTimeout, time.Microsecond)
			}
		}
		h.open()
		c = h.dial(line)
		close(ready)
		require.Eventually(t, func() bool { return line == "none\n" || h.Stats().Served == 1 }, testTimeout, time.Millisecond)
		end(h)
		assert.Regexp(t, "^("+line+")+$", readToEnd(t, c, line))
	}
}

// The same if the next command, or the rest of one that is half in the buffer, arrives as soon as there is a
// reply.
func TestImmediateNextCommandDoesNotKeepConnectionOpen(t *testing.T) {
	for first, next := range map[string]string{"": "a\n", "half": "\nhalf"} {
		h := newLineServer(t, 1)
		h.command = 100 * time.Millisecond
		h.open()
		c := h.dial(first)
		r := bufio.NewReader(c)
		drain := sync.OnceFunc(h.Drain)
		var line string
		for err := error(nil); err == nil && line != "busy\n"; drain() {
			_, _ = io.WriteString(c, next)
			if line, err = r.ReadString('\n'); err != nil {
				require.ErrorIs(t, err, io.EOF, "still open, or reset")
			}
		}
		assert.Equal(t, first != "", line == "busy\n", "half a command is answered")
		assert.Empty(t, readToEnd(t, c, "in the end"))
	}
}

func TestCommandsBeforeHalfCloseAreAnswered(t *testing.T) {
	h := newLineServer(t, 9).open()
	c := h.dial("one\ntwo\nthree\n")
	require.NoError(t, c.CloseWrite())
	assert.Equal(t, "one\ntwo\nthree\n", readToEnd(t, c, "half-closed"))
	c = h.dial("four\nbad\nfive\n")
	assert.Equal(t, "four\nerror\n", readToEnd(t, c, "nonsense in between"))
	c = h.dial("six\n")
	_, _ = bufio.NewReader(c).ReadString('\n')
	h.Drain()
	assert.Empty(t, readToEnd(t, c, "resting"))
	h.Close()
	assert.Equal(t, "one two three four six", h.executed())
}

// Connections in the kernel's backlog are reset with the listener, and their clients have already sent
// commands.
func TestBacklogIsServedBeforeTheListenerCloses(t *testing.T) {
	h := newLineServer(t, 9)
	cs := []net.Conn{h.dial("a\n"), h.dial("b\n"), h.dial("c\n")}
	h.mu.Lock()
	require.NoError(t, h.listener.SetDeadline(time.Unix(1, 0))) // as Close does; Serve sees it before it accepts any of them
	h.mu.Unlock()
	h.open()
	for _, c := range cs {
		line, err := bufio.NewReader(c).ReadString('\n')
		assert.NoError(t, err)
		assert.Len(t, line, 2)
	}
	h.Close()
	for _, c := range cs {
		assert.Empty(t, readToEnd(t, c, "backlog"))
	}
	_, err := net.Dial("tcp", h.Addr())
	assert.Error(t, err)
}

// At the connection limit a new client is not closed without a reply: it waits, and so do those after it.
func TestNewClientsWaitAtConnectionLimit(t *testing.T) {
	h := newLineServer(t, 1)
	h.setTimeouts(testTimeout, testTimeout, testTimeout)
	h.command = testTimeout
	h.open()
	full := h.dial("half ")
	require.Eventually(t, func() bool { return h.Stats().Open == 1 && h.Stats().Idle == 0 }, testTimeout, time.Millisecond)
	cs := []net.Conn{h.dial("a\n"), h.dial("b\n"), h.dial("c\n")}
	require.Eventually(t, func() bool { return h.Stats().Accepted == 2 }, testTimeout, time.Millisecond, "one is in hand")
	closed := make(chan struct{})
	go func() { defer close(closed); h.Close() }() // does not lose them either
	require.Eventually(t, func() bool { h.Server.mu.Lock(); defer h.Server.mu.Unlock(); return h.closing }, testTimeout, time.Millisecond)
	_, err := io.WriteString(full, "more\n")
	require.NoError(t, err)
	assert.Equal(t, "half more\n", readToEnd(t, full, "the one inside"))
	for _, c := range cs {
		assert.Len(t, readToEnd(t, c, "waiting"), 2)
	}
	<-closed
	assert.EqualValues(t, 1, h.maxOpen.Load())
}

// A lingering close occupies a slot only while no other client needs it.
func TestLingeringCloseYieldsToNewClient(t *testing.T) {
	h := newLineServer(t, 1)
	h.linger = testTimeout
	h.open()
	c := h.dial("bad\n")
	line, err := bufio.NewReader(c).ReadString('\n')
	require.NoError(t, err)
	assert.Equal(t, "error\n", line)
	started := time.Now()
	assert.Equal(t, "a", request(t, h.dial(""), "a"))
	assert.Less(t, time.Since(started), testTimeout)
}

// Large numbers of misbehaving clients of each kind, more than the limit, with normal clients between them:
// each normal client gets a reply, and the descriptors above the limit stay available to the rest of the
// process.
func TestManyClientsTakeNeitherRepliesNorDescriptors(t *testing.T) {
	const limit, clientCount = 16, 200
	garbage := strings.Repeat("x", 100_000)
	for name, connectClient := range map[string]func(h *lineServer) net.Conn{
		"silent":         func(h *lineServer) net.Conn { return h.dial("") },
		"served":         func(h *lineServer) net.Conn { return h.dial("rest\n") },
		"half a command": func(h *lineServer) net.Conn { return h.dial("half ") },
		"much, and gone": func(h *lineServer) net.Conn {
			c := h.dial(garbage)
			_ = c.SetLinger(0)
			_ = c.Close()
			return c
		},
		"garbage, and holds on": func(h *lineServer) net.Conn { return h.dial("bad\n" + garbage) },
	} {
		h := newLineServer(t, limit)
		h.setTimeouts(time.Millisecond, testTimeout, testTimeout)
		h.command = testTimeout
		h.open()
		var conns []net.Conn
		for i := range clientCount {
			conns = append(conns, connectClient(h))
			if i%8 == 0 {
				assert.Equal(t, "usual", request(t, h.dial(""), "usual"), name)
			}
		}
		assert.LessOrEqual(t, h.Stats().Open, limit, name)
		assert.LessOrEqual(t, h.maxOpen.Load(), int64(limit), name)
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// Small replies must not be delayed in the kernel to be merged with others: a reset would lose them.
func TestAcceptedConnectionsUseNoDelay(t *testing.T) {
	noDelay := make(chan int, 1)
	s, err := Listen("127.0.0.1:0", 1, func(c *Client) {
		raw, err := c.Conn.Conn.(syscall.Conn).SyscallConn()
		assert.NoError(t, err)
		assert.NoError(t, raw.Control(func(fd uintptr) {
			n, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
			assert.NoError(t, err)
			noDelay <- n
		}))
	})
	require.NoError(t, err)
	go func() { _ = s.Serve(context.Background()) }()
	t.Cleanup(s.Close)
	c, err := net.Dial("tcp", s.Addr())
	require.NoError(t, err)
	assert.Equal(t, 1, <-noDelay)
	_ = c.Close()
}

// A client that never reads occupies a goroutine for the reply timeout, and less than that when the process
// ends.
func TestClientThatNeverReadsIsAborted(t *testing.T) {
	big := bytes.Repeat([]byte("x"), 32<<20) // more than the kernel buffers
	ended := make(chan error, 1)
	writes := make(chan struct{})
	s, err := Listen("127.0.0.1:0", 1, func(c *Client) {
		c.AwaitCommand()
		close(writes)
		_, _ = c.W.Write(big)
		ended <- c.SendReply()
	})
	require.NoError(t, err)
	go func() { _ = s.Serve(context.Background()) }()
	c, err := net.Dial("tcp", s.Addr())
	require.NoError(t, err)
	_, _ = io.WriteString(c, "x")
	<-writes
	s.Abort()
	s.Close()
	assert.Error(t, <-ended)
	_ = c.Close()
}

// Closing a new connection without a reply may lose a message, so a client may send its first command even
// while draining.
func TestNewClientsAreServedWhileDraining(t *testing.T) {
	h := newLineServer(t, 9)
	h.setTimeouts(testTimeout, testTimeout, testTimeout)
	h.command = testTimeout
	h.open()
	resting, silent := h.dial("a\n"), h.dial("")
	require.Eventually(t, func() bool { c := h.Stats(); return c.Served == 1 && c.Idle == 2 }, testTimeout, time.Millisecond)
	h.Drain()
	assert.Equal(t, "a\n", readToEnd(t, resting, "resting"), "the last look is over")
	assert.Equal(t, "b", request(t, silent, "b"))
	assert.Equal(t, "c", request(t, h.dial(""), "c"), "the listener still stands")
	assert.Empty(t, readToEnd(t, silent, "served once"))
}

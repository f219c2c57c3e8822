package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

const bufferSize = 512 // bytes for the parsers, in addition to the ring buffers

// Conn is a connection with one ring buffer per direction. One goroutine reads and writes it; others may only
// close it or change its deadlines.
type Conn struct {
	net.Conn
	in, out ring
	R       *bufio.Reader
	W       *bufio.Writer

	beforeFirstByte  func() bool // called once, right before the next byte is sent, to authorize it; may be nil
	readPastDeadline bool        // once: a read past its deadline returns the bytes that have already arrived
}

var errNotAuthorized = errors.New("write: call no longer authorized")

// WrapConn adds ring buffers to a connection.
func WrapConn(c net.Conn) *Conn { return newConn(c) }

func newConn(c net.Conn) *Conn {
	n := &Conn{Conn: c}
	n.R = bufio.NewReaderSize(n, bufferSize)
	n.W = bufio.NewWriterSize(n, bufferSize)
	return n
}

// Read reads from the ring buffer, and fills it first if it is empty.
func (c *Conn) Read(p []byte) (int, error) {
	if c.in.length == 0 {
		n, err := c.Conn.Read(c.in.writable())
		if n == 0 && c.readPastDeadline && isTimeout(err) {
			c.readPastDeadline = false
			n = c.readAvailable(c.in.writable())
		}
		c.in.commit(n)
		if n == 0 {
			return 0, err
		}
	}
	n := copy(p, c.in.readable())
	c.in.consume(n)
	return n, nil
}

// readAvailable reads what has already arrived, regardless of the deadline. A response that arrived in time
// but was not read in time, because the process was suspended or busy, would otherwise be lost, and its
// Retry-After with it.
func (c *Conn) readAvailable(p []byte) (n int) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		if rawConn, err := raw.SyscallConn(); err == nil {
			_ = rawConn.Control(func(fd uintptr) { n, _, _ = syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT) })
		}
	}
	return max(0, n)
}

// Write appends to the ring buffer, which is sent when it is full.
func (c *Conn) Write(p []byte) (done int, err error) {
	for done < len(p) {
		if c.out.full() {
			if err := c.drain(); err != nil {
				return done, err
			}
		}
		n := copy(c.out.writable(), p[done:])
		c.out.commit(n)
		done += n
	}
	return done, nil
}

func (c *Conn) drain() error {
	if authorize := c.beforeFirstByte; authorize != nil && c.out.length > 0 {
		if !authorize() {
			return errNotAuthorized
		}
		c.beforeFirstByte = nil
	}
	for c.out.length > 0 {
		n, err := c.Conn.Write(c.out.readable())
		c.out.consume(n)
		if err != nil {
			return fmt.Errorf("write: %w", err)
		}
	}
	return nil
}

// Flush sends all buffered bytes.
func (c *Conn) Flush() error {
	if err := c.W.Flush(); err != nil {
		return err
	}
	return c.drain()
}

// resetOnClose makes Close reset the connection. After a normal close the kernel goes on sending what it has
// buffered of a cancelled call, and a receiver that was cut off would get it in full much later, when its
// message may have been sent elsewhere.
func (c *Conn) resetOnClose() {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = l.SetLinger(0)
	}
}

// releaseBuffers frees the memory that an idle connection does not need.
func (c *Conn) releaseBuffers() {
	c.in.release()
	c.out.release()
}

// connState is the state of a connection as seen without blocking.
type connState uint8

const (
	stateIdle     connState = iota // open, with nothing to read
	stateReadable                  // data has arrived
	stateClosed                    // closed by the peer, or failed
)

// isIdle reports whether an idle connection is still open and has received no unsolicited bytes: wherever they
// are buffered, they must never be taken for the next response. It clears the read deadline.
func (c *Conn) isIdle() bool {
	return c.SetReadDeadline(time.Time{}) == nil && c.peekState() == stateIdle
}

// peekState is subject to the read deadline: past it, a connection counts as closed.
func (c *Conn) peekState() connState {
	if c.R.Buffered() > 0 || c.in.length > 0 {
		return stateReadable
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return stateClosed
	}
	rawConn, err := raw.SyscallConn()
	if err != nil {
		return stateClosed
	}
	var one [1]byte
	var n int
	var got error
	err = rawConn.Read(func(fd uintptr) bool {
		for got = syscall.EINTR; errors.Is(got, syscall.EINTR); {
			n, _, got = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}
		return true
	})
	switch {
	case err == nil && got == nil && n > 0:
		return stateReadable
	case err == nil && errors.Is(got, syscall.EAGAIN):
		return stateIdle
	}
	return stateClosed
}

// Dial opens a single connection outside any pool. It is closed when ctx ends.
func Dial(ctx context.Context, addr string, within time.Duration) (*Conn, error) {
	c, err := connect(ctx, addr, time.Now().Add(within))
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { _ = c.Close() })
	return c, nil
}

func connect(ctx context.Context, addr string, until time.Time) (*Conn, error) {
	c, err := (&net.Dialer{Deadline: until, KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	return newConn(c), nil
}

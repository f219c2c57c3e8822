package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	bufferSize = 512 // bytes for the parsers, beside the rings
	lateReads  = 4   // of an answer whose time is up: it may have come in two pieces, with the connection's end behind it
)

// Conn is a connection with a ring a direction. One goroutine reads and writes it; others may only close it
// or move its time limits.
type Conn struct {
	net.Conn
	in, out ring
	R       *bufio.Reader
	W       *bufio.Writer

	first func() bool // asked once, right before the next byte goes out: whether it may; nil for no question
	late  int         // reads whose time is up that still take what has come

	received atomic.Int64 // ns since the clock's beginning when bytes came last; 0 for never
}

// clockBegan is what times of received are counted from.
var clockBegan = time.Now()

// latestByte is when bytes came last.
func (c *Conn) latestByte() time.Time { return clockBegan.Add(time.Duration(c.received.Load())) }

var errNotNow = errors.New("write: not any more")

// Over gives a connection its rings.
func Over(c net.Conn) *Conn { return newConn(c) }

func newConn(c net.Conn) *Conn {
	n := &Conn{Conn: c}
	n.R = bufio.NewReaderSize(n, bufferSize)
	n.W = bufio.NewWriterSize(n, bufferSize)
	return n
}

// Read empties the ring, and fills it first where it is empty.
func (c *Conn) Read(p []byte) (int, error) {
	if c.in.held == 0 {
		n, err := c.Conn.Read(c.in.space())
		if n == 0 && c.late > 0 && isTimeout(err) {
			c.late--
			n, err = c.come(c.in.space())
		}
		c.in.filled(n)
		if n == 0 {
			return 0, err
		}
		c.received.Store(int64(time.Since(clockBegan)))
	}
	n := copy(p, c.in.front())
	c.in.drained(n)
	return n, nil
}

var errNoSocket = errors.New("a connection without a socket")

// socket has a function use the connection's socket, which must not wait.
func (c *Conn) socket(use func(fd int)) error {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	under, err := raw.SyscallConn()
	if err != nil {
		return fmt.Errorf("socket: %w", err)
	}
	if err := under.Control(func(fd uintptr) { use(int(fd)) }); err != nil {
		return fmt.Errorf("socket: %w", err)
	}
	return nil
}

// come reads what is there, or the end, whatever the time. Danger: an answer that came in time and was not read in time, by a process that was
// stopped or had much to do, would be lost, and a wait that it tells with it.
func (c *Conn) come(p []byte) (n int, err error) {
	err = os.ErrDeadlineExceeded
	_ = c.socket(func(fd int) {
		switch got, _, failed := syscall.Recvfrom(fd, p, syscall.MSG_DONTWAIT); {
		case failed != nil:
		case got == 0:
			err = io.EOF
		default:
			n, err = got, nil
		}
	})
	return n, err
}

// Write fills the ring, which goes out when full.
func (c *Conn) Write(p []byte) (done int, err error) {
	for done < len(p) {
		if c.out.full() {
			if err := c.drain(); err != nil {
				return done, err
			}
		}
		n := copy(c.out.space(), p[done:])
		c.out.filled(n)
		done += n
	}
	return done, nil
}

func (c *Conn) drain() error {
	if ask := c.first; ask != nil && c.out.held > 0 {
		if !ask() {
			return errNotNow
		}
		c.first = nil
	}
	for c.out.held > 0 {
		n, err := c.Conn.Write(c.out.front())
		c.out.drained(n)
		if err != nil {
			return fmt.Errorf("write: %w", err)
		}
	}
	return nil
}

// Flush sends all that was written.
func (c *Conn) Flush() error {
	if err := c.W.Flush(); err != nil {
		return err
	}
	return c.drain()
}

// drop has Close reset the connection. Danger: closed the usual way, the system goes on sending what it still holds of a call that was
// given up, and a machine that was cut off gets it whole long after, when its message may have gone elsewhere.
func (c *Conn) drop() {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = l.SetLinger(0)
	}
}

// rest gives back the memory that an idle connection does not need.
func (c *Conn) rest() {
	c.in.release()
	c.out.release()
}

// sight is what a look at a connection shows that waits for nothing.
type sight uint8

const (
	still sight = iota // up, with nothing to read
	spoke              // it has brought bytes
	ended              // closed by the other side, or broken
)

// sightAtRest looks whether a connection that waits for nothing is still up and has brought nothing that nobody asked
// for: such bytes, wherever they stand, must never pass for the next answer. It takes off the time limit for reading.
func (c *Conn) sightAtRest() sight {
	if c.SetReadDeadline(time.Time{}) != nil {
		return ended
	}
	return c.look()
}

// look is within the time limit for reading: past it, a connection counts as ended.
func (c *Conn) look() sight {
	if c.R.Buffered() > 0 || c.in.held > 0 {
		return spoke
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return ended
	}
	under, err := raw.SyscallConn()
	if err != nil {
		return ended
	}
	var one [1]byte
	var n int
	var got error
	err = under.Read(func(fd uintptr) bool {
		for got = syscall.EINTR; errors.Is(got, syscall.EINTR); {
			n, _, got = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}
		return true
	})
	switch {
	case err == nil && got == nil && n > 0:
		return spoke
	case err == nil && errors.Is(got, syscall.EAGAIN):
		return still
	}
	return ended
}

// Dial opens a single connection that is no pool's. It closes when ctx ends.
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

package fleettest

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const copiedShare = 0.05 // of the calls on connections used before, in plays with copies

// copyingListener gives connections on which some calls have a copy of the answer before behind them, in front of their own.
type copyingListener struct {
	net.Listener
	seed uint64

	mu     sync.Mutex
	number uint64
}

func (l *copyingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	return &copyingConn{Conn: c, draw: rand.New(rand.NewPCG(l.seed, l.number))}, nil
}

// copyingConn is one of its connections. Whoever serves it writes an answer in one piece.
type copyingConn struct {
	net.Conn

	mu       sync.Mutex
	draw     *rand.Rand
	before   []byte // the answer before
	answered bool   // that was written since anything was read
	late     *time.Timer
}

func (c *copyingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.begins()
	}
	return n, err
}

// begins draws whether the call whose first bytes have come has a copy.
func (c *copyingConn) begins() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.answered {
		return
	}
	c.answered = false
	if c.draw.Float64() < copiedShare {
		older := c.before
		c.late = time.AfterFunc(time.Duration(c.draw.Float64()*float64(copyDelay)), func() { c.double(older) })
	}
}

func (c *copyingConn) double(older []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.answered {
		_, _ = c.Conn.Write(older)
	}
}

func (c *copyingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.before, c.answered = append([]byte(nil), p...), true
	return c.Conn.Write(p)
}

func (c *copyingConn) Close() error {
	c.mu.Lock()
	if c.late != nil {
		c.late.Stop()
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

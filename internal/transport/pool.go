package transport

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Stage is the point that an exchange reached.
type Stage uint8

// The stages at which an exchange may end. Up to NotWritten the peer has not received the complete request.
const (
	NotStarted   Stage = iota // cancelled before its first byte
	NoCapacity                // no connection available: all connections are in use, or no descriptor became free in time
	NotConnected              // refused, or not established in time
	NotWritten                // connection failed before the last byte was written
	Broken                    // connection failed after that, or the response was invalid
	TimedOut                  // no response in time
	Cancelled                 // cancelled while waiting for the response
	Done
)

// Exchange is one request and its response on a connection.
type Exchange struct {
	Authorize func() bool                 // called once the connection is established, before anything is written; may block for a moment
	Confirm   func() bool                 // called last, right before the first byte is sent; may be nil. It must not wait for I/O
	Write     func(w *bufio.Writer) error // called again, as is Confirm, for a new connection if a reused one failed before any byte was sent
	Read      func(r *bufio.Reader, decided func()) (keep bool, err error)
}

// responseTailTimeout limits the rest of a response after Read has called decided: the exchange is Done then.
// Responses are written at once, and a Retry-After binds 100 ms later. An endless body would otherwise withhold
// the Retry-After until the timeout, and calls would be sent within it.
const responseTailTimeout = 80 * time.Millisecond

// descriptorRetryInterval is the pause between two attempts to connect while no descriptor is free. It is well
// below acceptRetryDelay, during which the clients' listener does not take the descriptors that it has freed.
const descriptorRetryInterval = 2 * time.Millisecond

// Pool keeps connections to many receivers. It never repeats an exchange.
type Pool struct {
	connectTimeout, idleTimeout time.Duration
	maxConns                    int
	connect                     func(ctx context.Context, addr string, until time.Time) (*Conn, error)

	mu      sync.Mutex
	idle    map[string][]*poolConn // by receiver, newest last; entries are removed as connections close
	retired []*poolConn            // idle connections that are about to close and whose slot has no successor yet
	open    int                    // at most maxConns; a connection counts until it is closed
}

// poolConn is one connection and its goroutine.
type poolConn struct {
	pool        *Pool
	receiver    string
	addr        string
	conn        *Conn
	job         *job // set under the pool's lock
	closing     bool // set under the pool's lock
	replaced    bool // set under the pool's lock: a successor has taken its slot
	idleSince   time.Time
	predecessor *poolConn     // the connection whose slot it has taken; nil if there was a free one
	closed      chan struct{} // closed once the connection is closed
}

type job struct {
	ctx      context.Context
	addr     string
	deadline time.Time
	x        Exchange
	stage    Stage
	done     chan struct{}
}

// NewPool creates a pool of at most maxConns connections. Idle ones are closed after idleTimeout.
func NewPool(connectTimeout, idleTimeout time.Duration, maxConns int) *Pool {
	return &Pool{connectTimeout: connectTimeout, idleTimeout: idleTimeout, maxConns: maxConns, connect: connect, idle: map[string][]*poolConn{}}
}

// Do makes one exchange with a receiver and waits for its end. Cancelling ctx cancels it.
func (p *Pool) Do(ctx context.Context, receiver, addr string, timeout time.Duration, x Exchange) Stage {
	j := &job{ctx: ctx, addr: addr, deadline: time.Now().Add(timeout), x: x, done: make(chan struct{})}
	p.mu.Lock()
	assigned := p.assign(receiver, j)
	p.mu.Unlock()
	if !assigned {
		return NoCapacity
	}
	<-j.done
	return j.stage
}

// assign gives the job to the newest idle connection, or else to a new one. Idle connections to a former
// address of the receiver are closed: they lead to another process. The caller holds the lock.
func (p *Pool) assign(receiver string, j *job) bool {
	for _, l := range slices.Clone(p.idle[receiver]) {
		if l.addr != j.addr {
			p.retire(l)
		}
	}
	if ls := p.idle[receiver]; len(ls) > 0 {
		l := ls[len(ls)-1]
		p.removeIdle(l)
		l.job = j
		l.wake()
		return true
	}
	l := &poolConn{pool: p, receiver: receiver, addr: j.addr, closed: make(chan struct{})}
	switch {
	case p.open < p.maxConns:
		p.open++
	case len(p.retired) > 0 || p.retireOldest():
		l.predecessor, p.retired = p.retired[0], p.retired[1:]
		l.predecessor.replaced = true
	default:
		return false
	}
	go l.run(j)
	return true
}

// removeIdle removes a connection from the list of idle ones. The caller holds the lock.
func (p *Pool) removeIdle(l *poolConn) {
	ls := slices.DeleteFunc(p.idle[l.receiver], func(o *poolConn) bool { return o == l })
	if len(ls) == 0 {
		delete(p.idle, l.receiver)
		return
	}
	p.idle[l.receiver] = ls
}

func (p *Pool) retireOldest() bool {
	var oldest *poolConn
	for _, ls := range p.idle {
		if oldest == nil || ls[0].idleSince.Before(oldest.idleSince) {
			oldest = ls[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.retire(oldest)
	return true
}

// retire makes the goroutine of an idle connection close it. The caller holds the lock.
func (p *Pool) retire(l *poolConn) {
	p.removeIdle(l)
	l.closing = true
	p.retired = append(p.retired, l)
	l.wake()
}

// CloseIdle closes the idle connections to a receiver. It does not block.
func (p *Pool) CloseIdle(receiver string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range slices.Clone(p.idle[receiver]) {
		p.retire(l)
	}
}

// OpenConns returns the number of connections.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, ls := range p.idle {
		for _, l := range slices.Clone(ls) {
			p.retire(l)
		}
	}
}

// wake ends the wait of an idle connection's goroutine.
func (l *poolConn) wake() { _ = l.conn.SetReadDeadline(time.Unix(1, 0)) }

// run serves one job after another until the connection can no longer be used.
func (l *poolConn) run(j *job) {
	if l.predecessor != nil {
		<-l.predecessor.closed // opened while that one is still open, a new connection would exceed the descriptor limit
		l.predecessor = nil
	}
	for j != nil {
		kept := l.serve(j)
		if kept {
			l.park()
		} else {
			l.release()
		}
		close(j.done)
		if !kept {
			return
		}
		j = l.awaitJob()
	}
	l.release()
}

// release closes the connection and then frees its slot, before the end of its job is reported: closing it
// frees the slot at the receiver.
func (l *poolConn) release() {
	if l.conn != nil {
		_ = l.conn.Close()
	}
	close(l.closed)
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.pool.retired = slices.DeleteFunc(l.pool.retired, func(o *poolConn) bool { return o == l })
	if !l.replaced {
		l.pool.open--
	}
}

// park adds the connection to the idle list, before the end of its job is reported.
func (l *poolConn) park() {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	l.job = nil
	l.conn.releaseBuffers()
	l.idleSince = time.Now()
	_ = l.conn.SetDeadline(l.idleSince.Add(p.idleTimeout))
	p.idle[l.receiver] = append(p.idle[l.receiver], l)
}

// awaitJob waits on an idle connection until a job arrives, it expires or the peer closes it.
func (l *poolConn) awaitJob() *job {
	_, _ = l.conn.R.Peek(1)
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.job == nil && !l.closing {
		p.retire(l)
	}
	return l.job
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// serve makes one exchange and reports whether the connection can be kept.
func (l *poolConn) serve(j *job) (kept bool) {
	used := l.conn != nil && l.isFresh() && l.conn.isIdle()
	if !used && !l.dial(j) {
		return false
	}
	if j.ctx.Err() != nil || !j.x.Authorize() {
		j.stage = NotStarted
		return true
	}
	kept, stale := l.exchange(j, used)
	if stale && l.dial(j) {
		kept, _ = l.exchange(j, false)
	}
	return kept
}

// exchange runs the job on an established connection. stale reports that a reused connection failed before
// anything of the job was written.
func (l *poolConn) exchange(j *job, used bool) (kept, stale bool) {
	conn := l.conn
	stop := context.AfterFunc(j.ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	_ = conn.SetDeadline(j.deadline)
	started, closedByPeer := false, false
	conn.beforeFirstByte = func() bool {
		if !j.mayStart() {
			return false
		}
		// The state is checked last. Bytes that arrived while the job was prepared would be taken for its
		// response, and what is written to a connection that was closed in the meantime would count as
		// possibly executed.
		state := conn.peekState()
		stale = used && (state != stateIdle || !l.isFresh())
		closedByPeer = !used && state == stateClosed // anything it has sent may be a refusal, which needs no request
		started = !stale && !closedByPeer
		return started
	}
	if err := j.x.Write(conn.W); err != nil || conn.Flush() != nil {
		switch j.stage = NotStarted; {
		case started:
			j.stage = NotWritten
			conn.resetOnClose()
		case closedByPeer:
			j.stage = NotConnected
		}
		return false, stale
	}
	decided := false
	conn.readPastDeadline = true
	keep, err := j.x.Read(conn.R, func() {
		if !decided {
			_ = conn.SetReadDeadline(earlier(j.deadline, time.Now().Add(responseTailTimeout))) // if it was cancelled just now, it still ends no later
		}
		decided = true
	})
	conn.readPastDeadline = false
	switch {
	case err == nil:
		j.stage = Done
		return keep && stop() && conn.isIdle(), false
	case decided:
		j.stage = Done
	case j.ctx.Err() != nil && isTimeout(err):
		j.stage = Cancelled
	case isTimeout(err):
		j.stage = TimedOut
	default:
		j.stage = Broken
	}
	conn.resetOnClose()
	return false, false
}

// isFresh reports whether an idle connection may still be used: its goroutine may be late in closing it.
func (l *poolConn) isFresh() bool { return time.Since(l.idleSince) < l.pool.idleTimeout }

// mayStart reports whether the first byte may be sent. All steps before it may have taken long, and so may a
// suspension of the process: timers enforce the deadlines of connections, and fire late then.
func (j *job) mayStart() bool {
	return j.ctx.Err() == nil && time.Now().Before(j.deadline) && (j.x.Confirm == nil || j.x.Confirm())
}

// dial opens a new connection in place of the old one, if any, or ends the job.
func (l *poolConn) dial(j *job) bool {
	if l.conn != nil {
		_ = l.conn.Close()
	}
	until := earlier(j.deadline, time.Now().Add(l.pool.connectTimeout))
	c, err := l.pool.connect(j.ctx, j.addr, until)
	for isDescriptorShortage(err) && awaitDescriptor(j.ctx, until) {
		c, err = l.pool.connect(j.ctx, j.addr, until)
	}
	l.conn = c
	switch {
	case err == nil:
		return true
	case j.ctx.Err() != nil:
		j.stage = NotStarted
	case isDescriptorShortage(err):
		j.stage = NoCapacity
	default:
		j.stage = NotConnected
	}
	return false
}

// isDescriptorShortage reports whether a connection failed because this process or machine has no free
// descriptor. Taken for a failure of the peer, two in a row would close a healthy receiver and its messages
// would be given up while a burst of clients takes each descriptor that becomes free.
func isDescriptorShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// awaitDescriptor waits for descriptorRetryInterval. It returns false if the deadline passes or ctx ends
// first.
func awaitDescriptor(ctx context.Context, until time.Time) bool {
	if !time.Now().Add(descriptorRetryInterval).Before(until) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(descriptorRetryInterval):
		return true
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

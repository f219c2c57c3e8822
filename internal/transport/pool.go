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

// Stage is how far an exchange came.
type Stage uint8

// The stages at which an exchange may end. Up to NotWritten the other side has not got all of it.
const (
	NotReady     Stage = iota // called off before its first byte
	NoRoom                    // no connection could be had: the pool is full of calls, or no descriptor came free in time
	NotConnected              // refused, or not up in time
	NotWritten                // broken before the last byte was written
	Broken                    // broken after that, or the answer made no sense
	TimedOut                  // no answer in time
	CalledOff                 // given up while out
	Done
)

// Exchange is one call on a connection.
type Exchange struct {
	Ready func() bool                 // asked with the connection up, before anything is written; may take a moment
	Still func() bool                 // asked last, right before the first byte leaves; nil for no question. It must not wait for I/O
	Write func(w *bufio.Writer) error // comes again, with Still, for another connection where this one went bad with no byte of it out
	Read  func(r *bufio.Reader, told func()) (keep bool, err error)
}

// restWithin is for the rest of an answer, once Read has called told: what has come decides, and the exchange is Done whatever
// follows. Answers are written at once, and a wait that one tells binds 100 ms later. Danger: a body that never ends would hold back
// the wait until the patience is over, and calls would go out within it.
const restWithin = 80 * time.Millisecond

// descriptorRest is between two attempts to connect while no descriptor is free. It is well below acceptRest, in which the clients'
// listener leaves alone what it has freed.
const descriptorRest = 2 * time.Millisecond

// Pool keeps connections to many receivers. No exchange is ever repeated by it.
type Pool struct {
	upWithin, idleFor time.Duration
	most              int
	connect           func(ctx context.Context, addr string, until time.Time) (*Conn, error)

	mu   sync.Mutex
	idle map[string][]*link // by receiver, newest last; emptied as connections close
	left []*link            // were idle, are about to close, and nobody has their place yet
	open int                // bounded by most; a connection counts until it is closed
}

// link is one connection and its goroutine.
type link struct {
	pool     *Pool
	receiver string
	addr     string
	conn     *Conn
	job      *job // handed over under the pool's lock
	closing  bool // likewise
	followed bool // likewise: another one has its place among the open ones
	since    time.Time
	follows  *link         // whose place it has; nil if there was room
	gone     chan struct{} // closed once its connection is
}

type job struct {
	ctx   context.Context
	addr  string
	until time.Time
	x     Exchange
	stage Stage
	done  chan struct{}
}

// NewPool makes a pool of at most so many connections, which are kept for idleFor when idle.
func NewPool(upWithin, idleFor time.Duration, most int) *Pool {
	return &Pool{upWithin: upWithin, idleFor: idleFor, most: most, connect: connect, idle: map[string][]*link{}}
}

// Do makes one exchange with a receiver and waits for its end. Ending ctx calls it off.
func (p *Pool) Do(ctx context.Context, receiver, addr string, patience time.Duration, x Exchange) Stage {
	j := &job{ctx: ctx, addr: addr, until: time.Now().Add(patience), x: x, done: make(chan struct{})}
	p.mu.Lock()
	handed := p.hand(receiver, j)
	p.mu.Unlock()
	if !handed {
		return NoRoom
	}
	<-j.done
	return j.stage
}

// hand gives the job to the newest idle connection, else to a new one. Connections to an address that the
// receiver no longer has lead to somebody else. The lock is held.
func (p *Pool) hand(receiver string, j *job) bool {
	for _, l := range slices.Clone(p.idle[receiver]) {
		if l.addr != j.addr {
			p.shut(l)
		}
	}
	if ls := p.idle[receiver]; len(ls) > 0 {
		l := ls[len(ls)-1]
		p.dropIdle(l)
		l.job = j
		l.wake()
		return true
	}
	l := &link{pool: p, receiver: receiver, addr: j.addr, gone: make(chan struct{})}
	switch {
	case p.open < p.most:
		p.open++
	case len(p.left) > 0 || p.shutOldest():
		l.follows, p.left = p.left[0], p.left[1:]
		l.follows.followed = true
	default:
		return false
	}
	go l.run(j)
	return true
}

// dropIdle takes a link off the list of idle ones. The lock is held.
func (p *Pool) dropIdle(l *link) {
	ls := slices.DeleteFunc(p.idle[l.receiver], func(o *link) bool { return o == l })
	if len(ls) == 0 {
		delete(p.idle, l.receiver)
		return
	}
	p.idle[l.receiver] = ls
}

func (p *Pool) shutOldest() bool {
	var oldest *link
	for _, ls := range p.idle {
		if oldest == nil || ls[0].since.Before(oldest.since) {
			oldest = ls[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.shut(oldest)
	return true
}

// shut has an idle link's goroutine close it. The lock is held.
func (p *Pool) shut(l *link) {
	p.dropIdle(l)
	l.closing = true
	p.left = append(p.left, l)
	l.wake()
}

// CloseIdle closes the idle connections to a receiver. It waits for nothing.
func (p *Pool) CloseIdle(receiver string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range slices.Clone(p.idle[receiver]) {
		p.shut(l)
	}
}

// Open counts the connections.
func (p *Pool) Open() int {
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
			p.shut(l)
		}
	}
}

// wake ends the wait of an idle connection's goroutine.
func (l *link) wake() { _ = l.conn.SetReadDeadline(time.Unix(1, 0)) }

// run serves one job after the other until the connection is no good any more.
func (l *link) run(j *job) {
	if l.follows != nil {
		<-l.follows.gone // danger: beside one that is still open a new connection passes the bound on descriptors
		l.follows = nil
	}
	for j != nil {
		kept := l.serve(j)
		if kept {
			l.rest()
		} else {
			l.leave()
		}
		close(j.done)
		if !kept {
			return
		}
		j = l.wait()
	}
	l.leave()
}

// leave closes the connection and then counts it off, before anyone hears of a job's end: it frees the slot over there.
func (l *link) leave() {
	if l.conn != nil {
		_ = l.conn.Close()
	}
	close(l.gone)
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.pool.left = slices.DeleteFunc(l.pool.left, func(o *link) bool { return o == l })
	if !l.followed {
		l.pool.open--
	}
}

// rest lists the connection as idle, before anyone hears of the job's end.
func (l *link) rest() {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	l.job = nil
	l.conn.rest()
	l.since = time.Now()
	_ = l.conn.SetDeadline(l.since.Add(p.idleFor))
	p.idle[l.receiver] = append(p.idle[l.receiver], l)
}

// wait sits on an idle connection until a job comes, it gets too old or the other side closes it.
func (l *link) wait() *job {
	_, _ = l.conn.R.Peek(1)
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.job == nil && !l.closing {
		p.shut(l)
	}
	return l.job
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// serve makes one exchange and tells whether the connection can be kept.
func (l *link) serve(j *job) (kept bool) {
	used := l.conn != nil && l.young() && l.conn.quiet()
	if !used && !l.dial(j) {
		return false
	}
	if j.ctx.Err() != nil || !j.x.Ready() {
		j.stage = NotReady
		return true
	}
	kept, spoilt := l.exchange(j, used)
	if spoilt && l.dial(j) {
		kept, _ = l.exchange(j, false)
	}
	return kept
}

// exchange makes it on a connection that is up. spoilt: one used before went bad with nothing of the job written.
func (l *link) exchange(j *job, used bool) (kept, spoilt bool) {
	conn := l.conn
	stop := context.AfterFunc(j.ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	_ = conn.SetDeadline(j.until)
	begun, gone := false, false
	conn.first = func() bool {
		if !j.still() {
			return false
		}
		// Looked at last. Danger: bytes that came while the job was written down would pass for its answer, and what is written to a
		// connection that was closed meanwhile counts as one that may have run.
		seen := conn.look()
		spoilt = used && (seen != still || !l.young())
		gone = !used && seen == ended // what it has brought may be a refusal, for which no call is needed
		begun = !spoilt && !gone
		return begun
	}
	if err := j.x.Write(conn.W); err != nil || conn.Flush() != nil {
		switch j.stage = NotReady; {
		case begun:
			j.stage = NotWritten
			conn.drop()
		case gone:
			j.stage = NotConnected
		}
		return false, spoilt
	}
	told := false
	conn.last = true
	keep, err := j.x.Read(conn.R, func() {
		if !told {
			_ = conn.SetReadDeadline(earlier(j.until, time.Now().Add(restWithin))) // called off just now, it ends no later either
		}
		told = true
	})
	conn.last = false
	switch {
	case err == nil:
		j.stage = Done
		return keep && stop() && conn.quiet(), false
	case told:
		j.stage = Done
	case j.ctx.Err() != nil && isTimeout(err):
		j.stage = CalledOff
	case isTimeout(err):
		j.stage = TimedOut
	default:
		j.stage = Broken
	}
	conn.drop()
	return false, false
}

// young tells whether an idle connection may be used: its goroutine may come late to close it.
func (l *link) young() bool { return time.Since(l.since) < l.pool.idleFor }

// still tells whether the first byte may leave. All before it may have taken long, and so may a stop of the process: time limits on the
// connection are looked at by timers, which come late then.
func (j *job) still() bool {
	return j.ctx.Err() == nil && time.Now().Before(j.until) && (j.x.Still == nil || j.x.Still())
}

// dial has a new connection in the place of the old one, if any, or ends the job.
func (l *link) dial(j *job) bool {
	if l.conn != nil {
		_ = l.conn.Close()
	}
	until := earlier(j.until, time.Now().Add(l.pool.upWithin))
	c, err := l.pool.connect(j.ctx, j.addr, until)
	for noDescriptor(err) && restUntil(j.ctx, until) {
		c, err = l.pool.connect(j.ctx, j.addr, until)
	}
	l.conn = c
	switch {
	case err == nil:
		return true
	case j.ctx.Err() != nil:
		j.stage = NotReady
	case noDescriptor(err):
		j.stage = NoRoom
	default:
		j.stage = NotConnected
	}
	return false
}

// noDescriptor tells whether a connection failed for want of descriptors here. Danger: taken for a failure of the other side, two in a row
// close a receiver that is well, and the messages for it are given up, while a crowd of clients takes each descriptor that comes free.
func noDescriptor(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// restUntil waits descriptorRest, or until the time is up or ctx ends, which make it false.
func restUntil(ctx context.Context, until time.Time) bool {
	if !time.Now().Add(descriptorRest).Before(until) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(descriptorRest):
		return true
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

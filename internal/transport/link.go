package transport

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

// descriptorRest is between two attempts to connect while no descriptor is free. It is well below acceptRest, in which the clients'
// listener leaves alone what it has freed.
const descriptorRest = 2 * time.Millisecond

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

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
	conn     *Conn       // nil while there is none
	id       uint64      // of the connection, from 1
	number   int         // exchanges that began on it
	why      CloseReason // set before it is closed
	job      *job        // handed over under the pool's lock
	closing  bool        // likewise
	followed bool        // likewise: another one has its place among the open ones
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
	l.disconnect()
	close(l.gone)
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.pool.left = slices.DeleteFunc(l.pool.left, func(o *link) bool { return o == l })
	if !l.followed {
		l.pool.open--
	}
}

// disconnect closes the connection, if there is one, for the reason that was set.
func (l *link) disconnect() {
	if l.conn == nil {
		return
	}
	_ = l.conn.Close()
	l.conn = nil
	l.pool.closed(Closing{Receiver: l.receiver, Connection: l.id, Exchanges: l.number, Why: l.why})
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
	_, err := l.conn.R.Peek(1)
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.job == nil && !l.closing {
		p.shut(l, endOfRest(err))
	}
	return l.job
}

// endOfRest is why a wait on an idle connection ended.
func endOfRest(err error) CloseReason {
	switch {
	case err == nil:
		return SpokeAtRest
	case isTimeout(err):
		return IdleTooLong
	}
	return EndedAtRest
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// serve makes one exchange and tells whether the connection can be kept.
func (l *link) serve(j *job) (kept bool) {
	used := l.conn != nil && l.usable()
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

// usable tells whether a connection that rested may be used, and notes why not.
func (l *link) usable() bool {
	if !l.young() {
		l.why = IdleTooLong
		return false
	}
	seen := l.conn.sightAtRest()
	if seen != still {
		l.why = atRest(seen)
	}
	return seen == still
}

// exchange makes it on a connection that is up. spoilt: one used before went bad with nothing of the job written.
func (l *link) exchange(j *job, used bool) (kept, spoilt bool) {
	conn := l.conn
	stop := context.AfterFunc(j.ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	_ = conn.SetDeadline(j.until)
	begun, gone, unasked := false, false, false
	closing := closes(l.number)
	l.why = CallFailed
	conn.first = func() bool {
		if !j.still() {
			return false
		}
		// Looked at last. Danger: bytes that came while the job was written down would pass for its answer, and what is written to a
		// connection that was closed meanwhile counts as one that may have run.
		seen := conn.look()
		spoilt = used && (seen != still || !l.young())
		if spoilt {
			l.why = atRest(seen)
		}
		gone = !used && seen == ended
		unasked = !used && seen == spoke // it may be a refusal of the connection, and is the answer to nothing
		begun = !spoilt && !gone && !unasked
		if begun {
			l.begins(j)
		}
		return begun
	}
	if err := j.x.Write(conn.W, closing); err != nil || conn.Flush() != nil {
		switch j.stage = NotReady; {
		case unasked:
			j.stage = Unasked
			_ = conn.SetReadDeadline(earlier(j.until, time.Now().Add(restWithin)))
			_, _, _ = l.read(j, false) // what it says stands in the exchange's answer
		case begun:
			j.stage = NotWritten
			conn.drop()
		case gone:
			j.stage = NotConnected
		}
		return false, spoilt
	}
	keep, told, err := l.read(j, closing)
	switch {
	case err == nil:
		j.stage = Done
		l.why = AnsweredLast
		if closing {
			l.pool.lastAnswer(l.receiver, true)
		}
		if !keep || closing || !l.pool.mayRest(l) || !stop() {
			return false, false
		}
		seen := conn.sightAtRest()
		l.why = atRest(seen)
		return seen == still, false
	case told:
		j.stage = Done
	case j.ctx.Err() != nil && isTimeout(err):
		j.stage = CalledOff
	case isTimeout(err):
		j.stage = TimedOut
	default:
		j.stage = Broken
	}
	if errors.Is(err, ErrNotOwn) {
		l.pool.lastAnswer(l.receiver, false)
	}
	conn.drop()
	return false, false
}

// read has the exchange read its answer, and tells whether what came of it decides.
func (l *link) read(j *job, closing bool) (keep, told bool, err error) {
	conn := l.conn
	conn.late = lateReads
	defer func() { conn.late = 0 }()
	keep, err = j.x.Read(conn.R, Reading{Closing: closing,
		Told: func() {
			if !told {
				_ = conn.SetReadDeadline(earlier(j.until, time.Now().Add(restWithin))) // called off just now, it ends no later either
			}
			told = true
		},
		Whole: func() {
			told = false
			_ = conn.SetReadDeadline(j.until)
			if j.ctx.Err() != nil { // called off before: that limit was put off
				_ = conn.SetReadDeadline(time.Unix(1, 0))
			}
		}})
	return keep, told, err
}

// begins counts an exchange whose first byte is about to leave.
func (l *link) begins(j *job) {
	l.number++
	if j.x.Begins != nil {
		j.x.Begins(l.id, l.number)
	}
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
	l.disconnect()
	until := earlier(j.until, time.Now().Add(l.pool.upWithin))
	c, err := l.pool.connect(j.ctx, j.addr, until)
	for noDescriptor(err) && restUntil(j.ctx, until) {
		c, err = l.pool.connect(j.ctx, j.addr, until)
	}
	switch {
	case err == nil:
		l.conn, l.id, l.number = c, uint64(l.pool.made.Add(1)), 0
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

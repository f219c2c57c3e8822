package transport

import (
	"bufio"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Stage is how far an exchange came.
type Stage uint8

// The stages at which an exchange may end. Up to NotWritten, and at Unasked, the other side has not got all of it.
const (
	NotReady     Stage = iota // called off before its first byte
	NoRoom                    // no connection could be had: the pool is full of calls, or no descriptor came free in time
	NotConnected              // refused, or not up in time
	NotWritten                // broken before the last byte was written
	Broken                    // broken after that, or the answer made no sense
	TimedOut                  // no answer in time
	CalledOff                 // given up while out
	Done
	Unasked // an answer was there before the first byte, which was not written
)

// Exchange is one call on a connection.
type Exchange struct {
	Ready func() bool                               // asked with the connection up, before anything is written; may take a moment
	Still func() bool                               // asked last, right before the first byte leaves; nil for no question. It must not wait for I/O
	Write func(w *bufio.Writer, closing bool) error // a closing request asks for the connection to be closed behind its answer. It comes again, with Still, for another connection where this one went bad with no byte of it out
	Read  func(r *bufio.Reader, in Reading) (keep bool, err error)

	// Begins, where set, hears right before the first byte on which connection the exchange goes, and the how manyth it is there, from 1.
	Begins func(connection uint64, number int)
}

// Reading is how the answer to an exchange is to be read.
type Reading struct {
	Closing bool   // the request asked for the connection to be closed
	Told    func() // to be called once what has come decides: the rest has restWithin
	Whole   func() // to be called once only the connection's end is waited for: for that there is the whole patience
}

// ErrNotOwn is for Read to wrap: answers came, and none is known to be the exchange's own.
var ErrNotOwn = errors.New("no answer is known to be the call's own")

// restWithin is for the rest of an answer, once Read has called Told: what has come decides, and the exchange is Done whatever
// follows. Answers are written at once, and a wait that one tells binds 100 ms later. Danger: a body that never ends would hold back
// the wait until the patience is over, and calls would go out within it.
const restWithin = 80 * time.Millisecond

// Pool keeps connections to many receivers. No exchange is ever repeated by it.
type Pool struct {
	upWithin, idleFor time.Duration
	most              int
	connect           func(ctx context.Context, addr string, until time.Time) (*Conn, error)

	// Closed, where it is set before the first exchange, hears of each connection's end. It must not block.
	Closed func(Closing)

	made, spoken, unknown atomic.Int64

	mu   sync.Mutex
	idle map[string][]*link // by receiver, newest last; emptied as connections close
	left []*link            // were idle, are about to close, and nobody has their place yet
	open int                // bounded by most; a connection counts until it is closed
	uses uses
}

// NewPool makes a pool of at most so many connections, which are kept for idleFor when idle.
func NewPool(upWithin, idleFor time.Duration, most int) *Pool {
	return &Pool{upWithin: upWithin, idleFor: idleFor, most: most, connect: connect, idle: map[string][]*link{}, uses: newUses()}
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
			p.shut(l, NotWanted)
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
	p.shut(oldest, GaveWay)
	return true
}

// shut has an idle link's goroutine close it. The lock is held.
func (p *Pool) shut(l *link, why CloseReason) {
	p.dropIdle(l)
	l.closing, l.why = true, why
	p.left = append(p.left, l)
	l.wake()
}

// CloseIdle closes the idle connections to a receiver. It waits for nothing.
func (p *Pool) CloseIdle(receiver string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range slices.Clone(p.idle[receiver]) {
		p.shut(l, NotWanted)
	}
}

// Open counts the connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// mayRest tells whether a link's connection may be kept for another exchange.
func (p *Pool) mayRest(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.uses.mayRest(l.receiver, time.Now())
}

// lastAnswer takes in whether the answer to a closing request was known to be its own.
func (p *Pool) lastAnswer(receiver string, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known {
		p.uses.known(receiver)
		return
	}
	p.unknown.Add(1)
	p.uses.unknown(receiver, time.Now())
}

// Counts tells of the connections since the start.
func (p *Pool) Counts() Counts {
	return Counts{Made: p.made.Load(), Spoken: p.spoken.Load(), Unknown: p.unknown.Load()}
}

// closed tells of a connection's end.
func (p *Pool) closed(c Closing) {
	if c.Why == SpokeAtRest {
		p.spoken.Add(1)
	}
	if p.Closed != nil {
		p.Closed(c)
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, ls := range p.idle {
		for _, l := range slices.Clone(ls) {
			p.shut(l, NotWanted)
		}
	}
}

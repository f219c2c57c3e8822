package fleettest

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// CopyKind is how a receiver puts one answer more, or one less, on a connection than it carries calls.
type CopyKind string

// The kinds. A copy is of the answer before it on the same connection.
const (
	CopyBehindCall  CopyKind = "behind the call"   // a copy some milliseconds behind a call's last byte, then the call's own answer
	CopyFarAhead    CopyKind = "far ahead"         // the same, and the own answer takes up to a second
	CopyAtFirstByte CopyKind = "at the first byte" // a copy as the call's first byte comes
	CopyAtRest      CopyKind = "at rest"           // a copy on a connection that rests or is just taken into use
	CopyTwice       CopyKind = "twice"             // two copies behind a call
	CopyCut         CopyKind = "cut"               // half of a copy, then the own answer
	CopyInside      CopyKind = "inside"            // a copy between the two halves of the own answer
	CopyWithInterim CopyKind = "with an interim"   // an interim answer, a copy, the own answer
	CopyThatCloses  CopyKind = "that says close"   // a copy written anew as the call asks, so it says close if the call does
	CopyInPlace     CopyKind = "in place"          // a copy, and the own answer never comes
	CopyBeforeAnEnd CopyKind = "before an end"     // a copy, and the connection ends without the own answer
)

const (
	copyShare   = 0.06                   // of the calls on a connection used before
	copyAlone   = 0.02                   // the same where the own answer never comes: more, and the receiver counts as one that hangs
	copyRefusal = 0.5                    // the same behind a call that was refused: a copy of a refusal
	copyDelay   = 9 * time.Millisecond   // at most, from a call's last byte to a copy
	copyFar     = 400 * time.Millisecond // from a copy to the own answer at least, and as much more at most
	copyRest    = 20 * time.Millisecond  // at most, from an answer to a copy at rest
	copyWork    = 30 * time.Millisecond  // of a call, at most
	copyRefused = 0.5                    // share of the calls with a copy of an answer other than a refusal that are refused, and never run
	restRefused = 0.01                   // the same of all other calls
)

// copier is a receiver of one destination whose connections carry copies.
type copier struct {
	d      *destination
	sender string
	kind   CopyKind

	mu   sync.Mutex
	draw *rand.Rand
}

func newCopier(d *destination, sender string, kind CopyKind) *copier {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.copiers++
	return &copier{d: d, sender: sender, kind: kind, draw: rand.New(rand.NewPCG(d.r.setup.Seed, uint64(d.dst)<<32|d.copiers))}
}

func (c *copier) chance() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draw.Float64()
}

func (c *copier) within(most time.Duration) time.Duration {
	return time.Duration(c.chance() * float64(most))
}

// take has a server's connection for the calls that follow the first one.
func (c *copier) take(out http.ResponseWriter, first *http.Request) {
	conn, buffered, err := out.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	one := &copiedConn{Conn: conn, copier: c}
	defer func() { one.end() }()
	for in := first; ; {
		if !one.serve(in) {
			return
		}
		if _, err := buffered.Reader.Peek(1); err != nil {
			return
		}
		one.used()
		if in, err = http.ReadRequest(buffered.Reader); err != nil {
			return
		}
	}
}

// copiedConn is one connection of a copier.
type copiedConn struct {
	net.Conn
	*copier
	writing sync.Mutex
	before  string // the answer before, as it was written; empty on a new connection
	refused bool   // that was a refusal
	doubles bool   // the call now out has a copy
	resting *time.Timer
}

func (c *copiedConn) end() {
	if c.resting != nil {
		c.resting.Stop()
	}
	_ = c.Conn.Close()
}

func (c *copiedConn) say(text string) {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, _ = io.WriteString(c.Conn, text)
}

// used decides whether the call whose first byte has come has a copy.
func (c *copiedConn) used() {
	share := copyShare
	switch {
	case c.kind == CopyInPlace || c.kind == CopyBeforeAnEnd:
		share = copyAlone
	case c.refused:
		share = copyRefusal
	}
	c.doubles = c.before != "" && c.chance() < share
	if c.doubles && c.kind == CopyAtFirstByte {
		c.say(c.before)
	}
}

// answerText is an answer as it goes over the wire.
func answerText(status int, closing bool) string {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if closing {
		text += "Connection: close\r\n"
	}
	return text + "Content-Length: 2\r\n\r\nok"
}

// serve answers one call, and is false where the connection ends with it.
func (c *copiedConn) serve(in *http.Request) bool {
	_, err := io.Copy(io.Discard, in.Body)
	if err != nil {
		return false
	}
	status, number := c.record(in)
	own := answerText(status, in.Close)
	if c.doubles && !c.double(in, &own) {
		c.own(number, 0)
		return c.kind == CopyInPlace
	}
	c.own(number, status)
	c.say(own)
	c.refused = status == http.StatusServiceUnavailable
	if c.before = own; c.kind == CopyAtRest && c.chance() < copyShare {
		c.resting = time.AfterFunc(c.within(copyRest), func() { c.say(own) })
	}
	return !in.Close
}

// double writes the copy that comes with a call, and is false where the own answer does not come.
func (c *copiedConn) double(in *http.Request, own *string) bool {
	time.Sleep(c.within(copyDelay))
	switch c.kind {
	case CopyBehindCall:
		c.say(c.before)
	case CopyFarAhead:
		c.say(c.before)
		time.Sleep(copyFar + c.within(copyFar))
	case CopyTwice:
		c.say(c.before)
		c.say(c.before)
	case CopyCut:
		c.say(c.before[:1+int(c.chance()*float64(len(c.before)-1))])
	case CopyInside:
		at := 1 + int(c.chance()*float64(len(*own)-1))
		*own = (*own)[:at] + c.before + (*own)[at:]
	case CopyWithInterim:
		c.say("HTTP/1.1 102 Processing\r\n\r\n" + c.before)
	case CopyThatCloses:
		var status int
		_, _ = fmt.Sscanf(c.before, "HTTP/1.1 %d", &status)
		c.say(answerText(status, in.Close))
	case CopyInPlace, CopyBeforeAnEnd:
		c.say(c.before)
		return false
	}
	time.Sleep(c.within(copyWork))
	return true
}

// record notes a call, or nothing for a probe, and draws what becomes of it.
func (c *copiedConn) record(in *http.Request) (status, number int) {
	share := restRefused
	if c.doubles && !c.refused {
		share = copyRefused
	}
	if status = http.StatusOK; c.chance() < share {
		status = http.StatusServiceUnavailable
	}
	if in.Method == http.MethodGet {
		return status, -1
	}
	at := c.d.r.rec.now()
	c.d.r.rec.write(func(rec *Record) {
		number = len(rec.Calls)
		rec.Calls = append(rec.Calls, Call{At: at, Sender: c.sender, ID: in.Header.Get("X-Txn"), Key: in.Header.Get("Idempotency-Key"), Dst: c.d.dst})
	})
	return status, number
}

// callerGone tells whether the other end of a connection has closed it. It reads nothing and waits for nothing.
func callerGone(conn net.Conn) (gone bool) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Read(func(socket uintptr) (done bool) {
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(socket), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = n == 0 && err == nil || err != nil && err != syscall.EAGAIN
		return true
	})
	return gone || err != nil
}

// own notes what was answered to a call, 0 for nothing; torn where it cannot be told from what stands before or in it.
func (c *copiedConn) own(number, status int) {
	if number < 0 {
		return
	}
	at, gone := c.d.r.rec.now(), callerGone(c.Conn)
	c.d.r.rec.write(func(rec *Record) {
		call := &rec.Calls[number]
		call.Status, call.Answered, call.CallerGone = status, at, gone
		call.Torn = c.doubles && (c.kind == CopyCut || c.kind == CopyInside)
	})
}

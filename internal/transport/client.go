package transport

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// Client is one client's connection.
type Client struct {
	*Conn
	server *Server
	stage  stage     // under the server's lock, like all that follows
	at     time.Time // when it came to that stage
	since  time.Time // of served ones when they were last idle, else when they came
	leave  bool      // to be closed when idle
	until  time.Time // of those: nothing more is read from then on
	served bool      // has had a command answered
	hasty  bool      // its reading away was cut short

	broken bool // the client broke it off, as Gone found; its goroutine's alone

	granted int64         // bytes that its command holds of what all clients share
	asks    *grantRequest // for more of them; nil: it waits for none
}

// moment is one of those in which what a client writes crosses our close.
type moment uint8

const (
	timeUp  moment = iota // the wait is over, nothing was looked at again
	seen                  // nothing had come at the last look; not shut yet
	shut                  // for writing
	lastEnd               // nothing more is read; not closed yet
)

// stage is where a client's connection stands.
type stage uint8

// Waiting and begun follow each other until the client ends or breaks its connection, or we part with it.
const (
	begun   stage = iota // a command has begun, or its answer is made and written
	waiting              // for the first byte of a command
	parting              // shut for writing; what still comes is read away
)

func (c *Client) goesBefore(o *Client, now time.Time) bool {
	if a, b := c.rank(now), o.rank(now); a != b {
		return a < b
	}
	return c.from().Before(o.from())
}

// from is since when it is what it is let go for.
func (c *Client) from() time.Time {
	if c.stage == begun {
		return c.at
	}
	return c.since
}

// stays is the rank of those that are not let go: they are leaving already, or have just begun a command.
const stays = 4

// rank is lower for those that are let go sooner.
func (c *Client) rank(now time.Time) int {
	switch grace := c.server.grace; {
	case c.leave:
		return stays
	case c.stage == begun && now.Sub(c.at) < grace:
		return stays
	case c.asks != nil && !c.served: // nothing of its command is carried out, and it would wait for others besides
		return 0
	case c.stage == begun && !c.served && now.Sub(c.latestByte()) >= grace: // a crowd of such would drive out all that is idle
		return 0
	case c.stage == begun && now.Sub(c.at) < c.server.command:
		return 2
	case c.stage == begun:
		return 0
	case c.served:
		return 1
	case now.Sub(c.since) < grace:
		return 3
	}
	return 0
}

// Served marks a client whose command was of use. Danger: clients that ask once and hold on take all the places that
// usual ones have among them, and the next cannot even connect. So beyond a part of the bound the longest idle goes.
func (c *Client) Served() {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.served {
		return
	}
	c.served = true
	served := 0
	var oldest *Client
	for o := range s.clients {
		if !o.served || o.leave {
			continue
		}
		served++
		if o.stage == waiting && (oldest == nil || o.since.Before(oldest.since)) {
			oldest = o
		}
	}
	if served > s.served && oldest != nil {
		s.letGo(oldest)
	}
}

// dismiss has a connection closed as soon as it is idle. The lock is held.
func (c *Client) dismiss() {
	c.goes()
	switch {
	case c.server.cut: // its time is over already
	case c.stage == waiting:
		c.lookLast()
	case c.stage == begun: // a limit for reading: an answer that is under way does not mind
		_ = c.SetReadDeadline(c.at.Add(c.server.command))
	}
}

// goes counts a connection among those that leave. Danger: one that sends without an end never waits for a command, so it would
// stay; its time runs out. The lock is held.
func (c *Client) goes() {
	if !c.leave {
		c.leave, c.until = true, time.Now().Add(c.server.command)
		c.server.going++
	}
}

// lookLast waits a last moment for a command. New clients have the time to speak first: closed unanswered they may have lost a message.
// The lock is held.
func (c *Client) lookLast() {
	until := time.Now().Add(lastLook)
	if speak := c.since.Add(c.server.grace); !c.served && speak.After(until) {
		until = speak
	}
	_ = c.SetReadDeadline(earlier(until, c.until))
}

// Await waits for the next command; false ends the connection, between commands.
func (c *Client) Await() bool {
	c.enter(waiting)
	if _, err := c.R.Peek(1); !isTimeout(err) {
		c.enter(begun)
		return err == nil
	}
	c.atEdge(timeUp)
	came := c.came()
	if came && c.mayGoOn() {
		c.enter(begun)
		return true
	}
	if !came {
		c.silent()
	}
	c.atEdge(seen)
	c.part()
	return false
}

// mayGoOn tells whether a command that came as the time ran out is heard. Of those that said nothing of use it is among the last ones.
func (c *Client) mayGoOn() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if !c.served {
		c.goes()
	}
	return !c.leave || time.Now().Before(c.until) || c.server.cut
}

// came looks past a time limit that is over whether there is something to read, the connection's end included. Danger: reading stops at
// the limit whatever stands in the kernel, and a close over it resets the connection.
func (c *Client) came() bool {
	var one [1]byte
	var got error
	err := c.socket(func(fd int) { _, _, got = syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) })
	return err == nil && !errors.Is(got, syscall.EAGAIN)
}

// Gone tells whether the client has broken its connection off, as far as is known here. A client that ended its sending alone still listens.
func (c *Client) Gone() bool {
	failed := 0 // the system tells it once
	_ = c.socket(func(fd int) { failed, _ = syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ERROR) })
	c.broken = c.broken || failed != 0
	return c.broken
}

func (c *Client) silent() {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.leave {
		s.crowd.Quiet++
	}
}

// Late tells whether a command did not come whole in time, and counts it. Its last byte may be on its way: it is owed an answer.
func (c *Client) Late(err error) bool {
	if !isTimeout(err) {
		return false
	}
	c.server.count(&c.server.crowd.Begun)
	return true
}

func (c *Client) atEdge(m moment) {
	if c.server.edge != nil {
		c.server.edge(c, m)
	}
}

// enter is the one place where the stage changes, and with it the time limit.
func (c *Client) enter(next stage) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	c.stage, c.at = next, now
	if next != begun {
		s.releaseGrant(c)
	}
	switch {
	case next == parting:
		c.goes()
		_ = c.SetReadDeadline(now.Add(s.words))
	case s.cut:
		_ = c.SetReadDeadline(now)
	case next == begun:
		_ = c.SetReadDeadline(c.commandEnds())
	case c.leave:
		c.lookLast()
	case !c.served: // bad commands do not buy time
		_ = c.SetReadDeadline(c.since.Add(s.first))
	default:
		c.since = now
		_ = c.SetReadDeadline(now.Add(s.idle))
	}
	if next == waiting && c.R.Buffered() == 0 {
		c.rest()
	}
}

// commandEnds is when a command that begins now has to have come. The lock is held.
func (c *Client) commandEnds() time.Time {
	s := c.server
	until, slow := c.at.Add(s.command), c.at.Add(s.slow)
	if !c.served {
		slow = c.since.Add(s.slow)
	}
	switch {
	case c.leave:
		return earlier(until, c.until)
	case slow.After(until):
		return slow
	}
	return until
}

// Answer sends what was written.
func (c *Client) Answer() error {
	c.answersWithin(answerTime)
	return c.Flush()
}

// answersWithin sets the time limit of an answer, which is shorter after Cut.
func (c *Client) answersWithin(d time.Duration) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.server.cut {
		d = lastWords
	}
	_ = c.SetWriteDeadline(time.Now().Add(d))
}

// Farewell sends what was written as the last answer and parts with the client.
func (c *Client) Farewell() {
	if c.Answer() == nil {
		c.part()
	}
}

// part ends a connection from our side: shut for writing, then what still comes is read away, up to the client's end, a moment or
// a bound. Danger: closing on unread bytes resets the connection, and answers on their way are lost with it. What is read
// from here on is never carried out: nobody could be answered.
func (c *Client) part() {
	c.enter(parting)
	half, ok := c.Conn.Conn.(*net.TCPConn)
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.atEdge(shut)
	if n, _ := io.Copy(io.Discard, io.LimitReader(half, mostUnread)); n > 0 {
		c.server.count(&c.server.crowd.Crossed)
	}
	c.atEdge(lastEnd)
}

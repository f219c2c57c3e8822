package transport

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// Client is the connection of one client.
type Client struct {
	*Conn
	server     *Server
	stage      stage     // guarded by the server's lock, like all fields below
	stageSince time.Time // when it entered the stage
	idleSince  time.Time // for served clients the start of the last idle time, for others the time of connecting
	closing    bool      // to be closed when idle
	readUntil  time.Time // if closing: nothing more is read after this time
	served     bool      // at least one command was answered
	lingerCut  bool      // its lingering close was cut short
}

// closeEvent is a point of closing a connection at which data from the client may arrive.
type closeEvent uint8

const (
	deadlinePassed closeEvent = iota // the wait has timed out; the socket has not been checked again
	lastPeekDone                     // nothing had arrived at the last check; not shut down yet
	writeShutDown                    // shut down for writing
	lingerDone                       // reading has ended; not closed yet
)

// stage is the state of a client's connection.
type stage uint8

// awaitingCommand and inCommand alternate until the client closes or breaks the connection, or the server
// closes it.
const (
	inCommand       stage = iota // a command has begun, or its reply is being prepared and written
	awaitingCommand              // waiting for the first byte of a command
	lingering                    // shut down for writing; further input is read and discarded
)

func (c *Client) evictedBefore(o *Client, now time.Time) bool {
	if a, b := c.evictionRank(now), o.evictionRank(now); a != b {
		return a < b
	}
	return c.evictableSince().Before(o.evictableSince())
}

// evictableSince returns the start of the condition for which the client may be evicted.
func (c *Client) evictableSince() time.Time {
	if c.stage == inCommand {
		return c.stageSince
	}
	return c.idleSince
}

// notEvictable is the rank of clients that are being closed already or have just begun a command.
const notEvictable = 4

// evictionRank returns the order of eviction; clients of a lower rank are evicted first.
func (c *Client) evictionRank(now time.Time) int {
	switch grace := c.server.grace; {
	case c.closing:
		return notEvictable
	case c.stage == inCommand && now.Sub(c.stageSince) < grace:
		return notEvictable
	case c.stage == inCommand && now.Sub(c.stageSince) < c.server.command:
		return 2
	case c.stage == inCommand:
		return 0
	case c.served:
		return 1
	case now.Sub(c.idleSince) < grace:
		return 3
	}
	return 0
}

// MarkServed marks a client whose command was valid. Clients that send one command and keep the connection
// would together take all slots, and the next client could not even connect. So beyond a fraction of the limit
// the client that has been idle longest is evicted.
func (c *Client) MarkServed() {
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
		if !o.served || o.closing {
			continue
		}
		served++
		if o.stage == awaitingCommand && (oldest == nil || o.idleSince.Before(oldest.idleSince)) {
			oldest = o
		}
	}
	if served > s.maxIdleServed && oldest != nil {
		s.evict(oldest)
	}
}

// drain closes a connection as soon as it is idle. The caller holds the lock.
func (c *Client) drain() {
	c.markClosing()
	switch {
	case c.server.aborted: // its deadline has already passed
	case c.stage == awaitingCommand:
		c.awaitLastCommand()
	case c.stage == inCommand: // a read deadline; a reply that is being written is not affected
		_ = c.SetReadDeadline(c.stageSince.Add(c.server.command))
	}
}

// markClosing marks a connection as closing and sets the time at which reading ends: a client that sends
// without pause never becomes idle and would stay otherwise. The caller holds the lock.
func (c *Client) markClosing() {
	if !c.closing {
		c.closing, c.readUntil = true, time.Now().Add(c.server.command)
		c.server.closingClients++
	}
}

// awaitLastCommand sets a short deadline for a last command. New clients are given time to send one: if they
// are closed without a reply, a message may be lost. The caller holds the lock.
func (c *Client) awaitLastCommand() {
	until := time.Now().Add(lastPeekTime)
	if graceEnd := c.idleSince.Add(c.server.grace); !c.served && graceEnd.After(until) {
		until = graceEnd
	}
	_ = c.SetReadDeadline(earlier(until, c.readUntil))
}

// AwaitCommand waits for the next command. It returns false if the connection has ended between commands.
func (c *Client) AwaitCommand() bool {
	c.setStage(awaitingCommand)
	if _, err := c.R.Peek(1); !isTimeout(err) {
		c.setStage(inCommand)
		return err == nil
	}
	c.notifyCloseEvent(deadlinePassed)
	ready := c.hasInput()
	if ready && c.mayContinue() {
		c.setStage(inCommand)
		return true
	}
	if !ready {
		c.countIdleTimeout()
	}
	c.notifyCloseEvent(lastPeekDone)
	c.lingeringClose()
	return false
}

// mayContinue reports whether a command that arrived as the deadline passed is executed. It marks a client that
// has sent no valid command as closing, so that client can send only a few more.
func (c *Client) mayContinue() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if !c.served {
		c.markClosing()
	}
	return !c.closing || time.Now().Before(c.readUntil) || c.server.aborted
}

// hasInput checks after a passed deadline whether there is something to read, end of file included. Reading
// stops at the deadline whatever the kernel has buffered, and closing a connection with unread data resets it.
func (c *Client) hasInput() bool {
	raw, ok := c.Conn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	var one [1]byte
	var got error
	err = rawConn.Control(func(fd uintptr) {
		_, _, got = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && !errors.Is(got, syscall.EAGAIN)
}

func (c *Client) countIdleTimeout() {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.closing {
		s.stats.IdleTimeouts++
	}
}

// CountTimeout reports whether err is the timeout of an incomplete command, and counts it. The last byte of
// the command may be in transit, so the client is sent a reply.
func (c *Client) CountTimeout(err error) bool {
	if !isTimeout(err) {
		return false
	}
	c.server.increment(&c.server.stats.CommandTimeouts)
	return true
}

func (c *Client) notifyCloseEvent(m closeEvent) {
	if c.server.onCloseEvent != nil {
		c.server.onCloseEvent(c, m)
	}
}

// setStage is the only place that changes the stage, and with it the deadline.
func (c *Client) setStage(next stage) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	c.stage, c.stageSince = next, now
	switch {
	case next == lingering:
		c.markClosing()
		_ = c.SetReadDeadline(now.Add(s.linger))
	case s.aborted:
		_ = c.SetReadDeadline(now)
	case next == inCommand:
		_ = c.SetReadDeadline(c.commandDeadline())
	case c.closing:
		c.awaitLastCommand()
	case !c.served: // invalid commands do not extend the time limit
		_ = c.SetReadDeadline(c.idleSince.Add(s.first))
	default:
		c.idleSince = now
		_ = c.SetReadDeadline(now.Add(s.idle))
	}
	if next == awaitingCommand && c.R.Buffered() == 0 {
		c.releaseBuffers()
	}
}

// commandDeadline returns the time by which a command that begins now must be complete. The caller holds the
// lock.
func (c *Client) commandDeadline() time.Time {
	s := c.server
	until, slow := c.stageSince.Add(s.command), c.stageSince.Add(s.slow)
	if !c.served {
		slow = c.idleSince.Add(s.slow)
	}
	switch {
	case c.closing:
		return earlier(until, c.readUntil)
	case slow.After(until):
		return slow
	}
	return until
}

// SendReply sends the buffered reply.
func (c *Client) SendReply() error {
	c.setReplyTimeout(replyTimeout)
	return c.Flush()
}

// setReplyTimeout sets the write deadline for a reply, which is shorter after Abort.
func (c *Client) setReplyTimeout(d time.Duration) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.server.aborted {
		d = lingerTime
	}
	_ = c.SetWriteDeadline(time.Now().Add(d))
}

// ReplyAndClose sends the buffered bytes as the last reply and closes the connection.
func (c *Client) ReplyAndClose() {
	if c.SendReply() == nil {
		c.lingeringClose()
	}
}

// lingeringClose closes a connection from the server's side: it shuts it down for writing, then discards
// further input until the client closes, a deadline passes or a limit is reached. Closing with unread data
// would reset the connection and lose replies in transit. Input read from here on is never executed, since no
// reply could be sent.
func (c *Client) lingeringClose() {
	c.setStage(lingering)
	tcpConn, ok := c.Conn.Conn.(*net.TCPConn)
	if !ok || tcpConn.CloseWrite() != nil {
		return
	}
	c.notifyCloseEvent(writeShutDown)
	if n, _ := io.Copy(io.Discard, io.LimitReader(tcpConn, maxLingerBytes)); n > 0 {
		c.server.increment(&c.server.stats.WroteAfterClose)
	}
	c.notifyCloseEvent(lingerDone)
}

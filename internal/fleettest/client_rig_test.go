package fleettest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Message is what a client hands in.
type Message struct {
	ID       string
	Class    string `json:"Lane"`
	Dst      int64
	Key      string        // idempotency key of a keyed class; the ID if empty
	OrderKey string        // empty for none
	Timeout  time.Duration `json:"Within"` // until its deadline; 8 s if 0
	Body     string
	Channel  string // empty for none
	Pos      int64  // in the channel, from 1
	Fields   string // further fields of the hand-in, such as "x=1,y=2"
}

const clientTimeout = 2 * time.Second // for an answer; a running sender answers at once, a stopped one never

const maxBackoffMS = 500 // the longest that a stream waits after a busy answer, whatever the answer asks for

// Client hands messages in at one sender and moves on to the next when the connection fails. Its methods must not be called concurrently.
type Client struct {
	r           *Rig
	senderIndex int // the sender that it is connected to, or tries next
	conn        net.Conn
	reader      *bufio.Reader
	unused      bool   // nothing has been written on conn
	beforeWrite func() // called between connecting and writing, to simulate a client that is delayed there; may be nil
	mu          sync.Mutex
}

// NoAnswer is the reason why a hand-in got no answer.
type NoAnswer string

// The reasons. Answered is the value of a hand-in that got one.
const (
	Answered         NoAnswer = ""
	TimedOut         NoAnswer = "the client timed out"
	ConnectionClosed NoAnswer = "the connection was closed"
)

// Client creates a client that starts at a sender, counted from 0.
func (r *Rig) Client(sender int) *Client {
	c := &Client{r: r, senderIndex: sender}
	r.t.Cleanup(c.Close)
	return c
}

// Close closes the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeConn()
}

func (c *Client) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// HandIn hands a message in once, at the first sender that accepts a connection, and returns the answer, which is empty if the
// connection was closed or timed out before it. In that case the next hand-in goes to another sender. A caller that hands the same
// message in again must choose another ID, or accept that it may be duplicated.
func (c *Client) HandIn(m Message) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.Timeout == 0 {
		m.Timeout = 8 * time.Second
	}
	if m.Key == "" {
		m.Key = m.ID
	}
	deadline := time.Now().Add(waitLimit)
	for c.conn == nil && !c.dial() && time.Now().Before(deadline) {
		time.Sleep(pollInterval) // all senders are down: poll until one listens
	}
	if c.conn == nil {
		return ""
	}
	h := HandIn{Message: m, At: c.r.rec.now(), Sender: c.r.senders[c.senderIndex].Name}
	number := 0
	c.r.rec.update(func(rec *Record) {
		number = len(rec.HandIns)
		rec.HandIns = append(rec.HandIns, h)
	})
	if c.beforeWrite != nil {
		c.beforeWrite()
	}
	for c.unused && peerHasClosed(c.conn) { // nothing was written yet, so the protocol lets a client reconnect
		c.r.t.Logf("%s: %s closed the connection before anything was written, %v after the hand-in started", m.ID, h.Sender, c.r.rec.now()-h.At)
		if c.closeConn(); !c.dial() {
			return ""
		}
		h.Sender = c.r.senders[c.senderIndex].Name
		c.r.rec.update(func(rec *Record) { rec.HandIns[number].Sender = h.Sender })
	}
	c.unused = false
	answer, why := c.request(encodeCommand("ENQUEUE", encodeOrderKey(m), m.ID, encodeFields(m), m.Body))
	at := c.r.rec.now()
	c.r.rec.update(func(rec *Record) {
		h := &rec.HandIns[number]
		h.Answer, h.Answered, h.NoAnswer = answer, at, why
	})
	if why != Answered {
		c.r.t.Logf("hand-in of %s at %s got no answer: %s after %v", m.ID, h.Sender, why, at-h.At)
	}
	if answer == "" {
		c.closeConn()
		c.senderIndex = (c.senderIndex + 1) % len(c.r.senders)
	}
	return answer
}

func (c *Client) dial() bool {
	for range c.r.senders {
		conn, err := net.DialTimeout("tcp", c.r.senders[c.senderIndex].ClientAddr, clientTimeout)
		if err == nil {
			c.conn, c.reader, c.unused = conn, bufio.NewReader(conn), true
			return true
		}
		c.senderIndex = (c.senderIndex + 1) % len(c.r.senders)
	}
	return false
}

func (c *Client) request(text string) (answer string, why NoAnswer) {
	_ = c.conn.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := io.WriteString(c.conn, text); err != nil {
		return "", ConnectionClosed
	}
	line, err := c.reader.ReadString('\n')
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "", TimedOut
	case err != nil:
		return "", ConnectionClosed
	}
	return strings.TrimSpace(line), Answered
}

// peerHasClosed reports whether the sender has closed a connection and nothing before that is left to read.
func peerHasClosed(conn net.Conn) (closed bool) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n == 0 && err == nil || errors.Is(err, unix.ECONNRESET)
		return true
	})
	return closed || err != nil
}

// Stream hands in the positions of one channel in order and continues at the position that senders answer with.
type Stream struct {
	Channel, Class string
	Dst            int64
	c              *Client
	next           int64
}

// Stream returns a stream that starts at position 1.
func (c *Client) Stream(channel, class string, dst int64) *Stream {
	return &Stream{Channel: channel, Class: class, Dst: dst, c: c, next: 1}
}

// Position returns the next position to hand in.
func (s *Stream) Position() int64 { return s.next }

// Push hands positions in until that many were accepted or one was rejected for good, and returns the last answer. After a busy answer
// it tries again, and after a lost connection at another sender. A position is always handed in with the same ID.
func (s *Stream) Push(positions int64) (answer string) {
	deadline := time.Now().Add(2 * waitLimit)
	for last := s.next + positions; s.next < last && time.Now().Before(deadline); {
		answer = s.c.HandIn(Message{ID: fmt.Sprintf("%s-%d", s.Channel, s.next), Class: s.Class, Dst: s.Dst, Channel: s.Channel, Pos: s.next})
		if !s.follow(answer) {
			break
		}
	}
	return answer
}

// follow moves to the position that an answer names, and returns false for an answer that ends the stream.
func (s *Stream) follow(answer string) bool {
	word, rest, _ := strings.Cut(answer, " ")
	_, pos, hasPos := strings.Cut(" "+rest, " pos=")
	last, err := strconv.ParseInt(pos, 10, 64)
	if hasPos = hasPos && err == nil; hasPos {
		s.next = last + 1
	}
	switch word {
	case "+OK", "":
		return hasPos || answer == ""
	case "-BUSY":
		after, _, _ := strings.Cut(rest, " ")
		ms, err := strconv.Atoi(after)
		time.Sleep(time.Duration(min(ms, maxBackoffMS)) * time.Millisecond) // as a client backs off; no check depends on it
		return err == nil
	}
	return false
}

func (s *Sender) ping() bool {
	conn, err := net.DialTimeout("tcp", s.ClientAddr, clientTimeout)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	c := Client{conn: conn, reader: bufio.NewReader(conn)}
	answer, _ := c.request(encodeCommand("PING"))
	return answer == "+PONG"
}

func encodeOrderKey(m Message) string {
	if m.OrderKey == "" {
		return "0000"
	}
	return m.OrderKey
}

func encodeFields(m Message) string {
	f := fmt.Sprintf("c=%s,d=%d,k=%s,dest=%d", m.Class, m.Timeout.Milliseconds(), m.Key, m.Dst)
	if m.Channel != "" {
		f += fmt.Sprintf(",ch=%s,pos=%d", m.Channel, m.Pos)
	}
	if m.Fields != "" {
		f += "," + m.Fields
	}
	return f
}

func encodeCommand(args ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	return b.String()
}

package fleettest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Message is what a client hands in.
type Message struct {
	ID, Lane string
	Dst      int64
	Key      string        // of a keyed lane; the id if empty
	OrderKey string        // empty for none
	Within   time.Duration // its deadline; 8 s if 0
	Body     string
	Fields   string // more names and values, such as "ch=x,pos=3"
}

const clientPatience = 2 * time.Second // for an answer; senders answer at once, stopped ones never

// Client hands messages in at one sender, and goes on at the next when it loses that one. Its methods may be called from one goroutine at a time.
type Client struct {
	r      *Rig
	at     int // which sender
	conn   net.Conn
	answer *bufio.Reader
	mu     sync.Mutex
}

// Client makes one that begins at a sender, counted from 0.
func (r *Rig) Client(sender int) *Client {
	c := &Client{r: r, at: sender}
	r.t.Cleanup(c.Leave)
	return c
}

// Leave closes the connection.
func (c *Client) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop()
}

func (c *Client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// HandIn hands a message in once, at whichever sender is to be had, and tells the answer: empty if the connection ended before it.
// The next one then goes to another sender; who hands the same in again chooses another id, or accepts that it may be doubled.
func (c *Client) HandIn(m Message) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.Within == 0 {
		m.Within = 8 * time.Second
	}
	if m.Key == "" {
		m.Key = m.ID
	}
	deadline := time.Now().Add(long)
	for c.conn == nil && !c.dial() && time.Now().Before(deadline) {
		time.Sleep(looks) // all are down; what is waited for is a listener, which tells nobody
	}
	if c.conn == nil {
		return ""
	}
	h := HandIn{Message: m, At: c.r.rec.now(), Sender: c.r.senders[c.at].Name}
	number := 0
	c.r.rec.write(func(rec *Record) {
		number = len(rec.HandIns)
		rec.HandIns = append(rec.HandIns, h)
	})
	answer := c.say(command("ENQUEUE", orderKey(m), m.ID, fields(m), m.Body))
	at := c.r.rec.now()
	c.r.rec.write(func(rec *Record) { rec.HandIns[number].Answer, rec.HandIns[number].Answered = answer, at })
	if answer == "" {
		c.drop()
		c.at = (c.at + 1) % len(c.r.senders)
	}
	return answer
}

func (c *Client) dial() bool {
	for range c.r.senders {
		conn, err := net.DialTimeout("tcp", c.r.senders[c.at].Listen, clientPatience)
		if err == nil {
			c.conn, c.answer = conn, bufio.NewReader(conn)
			return true
		}
		c.at = (c.at + 1) % len(c.r.senders)
	}
	return false
}

func (c *Client) say(text string) string {
	_ = c.conn.SetDeadline(time.Now().Add(clientPatience))
	if _, err := io.WriteString(c.conn, text); err != nil {
		return ""
	}
	line, _ := c.answer.ReadString('\n')
	return strings.TrimSpace(line)
}

func (s *Sender) ping() bool {
	conn, err := net.DialTimeout("tcp", s.Listen, clientPatience)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	c := Client{conn: conn, answer: bufio.NewReader(conn)}
	return c.say(command("PING")) == "+PONG"
}

func orderKey(m Message) string {
	if m.OrderKey == "" {
		return "0000"
	}
	return m.OrderKey
}

func fields(m Message) string {
	f := fmt.Sprintf("c=%s,d=%d,k=%s,dest=%d", m.Lane, m.Within.Milliseconds(), m.Key, m.Dst)
	if m.Fields != "" {
		f += "," + m.Fields
	}
	return f
}

func command(args ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	return b.String()
}

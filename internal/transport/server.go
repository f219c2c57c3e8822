package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	acceptRest  = 20 * time.Millisecond  // after a failed accept; descriptors may be short
	lastLook    = 2 * time.Millisecond   // for what was written to a connection about to be closed
	lastWords   = 100 * time.Millisecond // for a client to take its last answer
	servedPart  = 2                      // of the clients' bound, one place in so many is for served ones that are idle
	mostUnread  = 1 << 20                // bytes read away meanwhile
	graceTime   = 100 * time.Millisecond // in which a new client is not driven out; usual ones speak at once
	firstTime   = 2 * time.Second        // for a new client to say something
	idleTime    = 4 * time.Second        // for one that was served to say more; it comes back on a new connection
	commandTime = 700 * time.Millisecond // for the rest of a command once begun; clients wait less for its answer
	answerTime  = time.Second            // for an answer to be written; clients leave sooner
)

// Server takes clients' connections, a goroutine each.
type Server struct {
	listener net.Listener
	handle   func(c *Client)
	most     int
	served   int // most served ones that are idle

	grace, first, idle time.Duration // graceTime, firstTime, idleTime

	mu      sync.Mutex
	clients map[*Client]struct{} // emptied as connections close, bounded by most
	closing bool
	done    sync.WaitGroup

	crowd Crowd
}

// Crowd counts clients' connections: those open, and what has become of others since the start.
type Crowd struct {
	Open, Taken   int
	Idle, Served  int // of those open
	TurnedAway    int // at the bound, with nobody to let go
	LetGoUnserved int // for a newer one, before they said anything of use
	LetGoServed   int
	Quiet         int // said nothing in time
	Begun         int // did not end a command in time
}

// Crowd tells how it stands.
func (s *Server) Crowd() Crowd {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.crowd
	c.Open = len(s.clients)
	for o := range s.clients {
		if o.idle {
			c.Idle++
		}
		if o.served {
			c.Served++
		}
	}
	return c
}

// Client is one client's connection.
type Client struct {
	*Conn
	server *Server
	idle   bool // waits for a command; under the server's lock
	leave  bool // to be closed when idle; likewise
	served bool // has had a command answered; likewise
	since  time.Time
}

// Listen opens the clients' address.
func Listen(addr string, most int, handle func(c *Client)) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for clients: %w", err)
	}
	return &Server{listener: l, handle: handle, most: most, served: max(1, most/servedPart),
		grace: graceTime, first: firstTime, idle: idleTime, clients: map[*Client]struct{}{}}, nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve accepts until the listener closes.
func (s *Server) Serve(ctx context.Context) error {
	for {
		c, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			s.mu.Lock()
			s.closeOldest()
			s.mu.Unlock()
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(acceptRest):
			}
		default:
			s.begin(c)
		}
	}
}

func (s *Server) begin(nc net.Conn) {
	c := &Client{Conn: newConn(nc), server: s, since: time.Now()}
	s.mu.Lock()
	s.crowd.Taken++
	if s.closing || len(s.clients) >= s.most && !s.closeOldest() {
		s.crowd.TurnedAway++
		s.mu.Unlock()
		_ = nc.Close()
		return
	}
	s.clients[c] = struct{}{}
	s.done.Add(1) // under the lock: Close sees it, or we see that it is closing
	s.mu.Unlock()
	go func() {
		defer s.done.Done()
		defer s.forget(c)
		s.handle(c)
	}()
}

func (s *Server) forget(c *Client) {
	s.mu.Lock()
	delete(s.clients, c)
	s.mu.Unlock()
	_ = c.Conn.Close()
}

// closeOldest closes the connection that has been idle longest, if any is: of those that never said anything of use
// while there are such, or a crowd of them would drive the others out. Only those just begun go last: where the
// house is full of served ones, newcomers would else drive out each other before they can speak. The lock is held.
func (s *Server) closeOldest() bool {
	var oldest *Client
	for c := range s.clients {
		if c.idle && !c.leave && (oldest == nil || c.goesBefore(oldest)) {
			oldest = c
		}
	}
	if oldest != nil {
		s.letGo(oldest)
	}
	return oldest != nil
}

// letGo has a connection make room for others. The lock is held.
func (s *Server) letGo(c *Client) {
	if c.served {
		s.crowd.LetGoServed++
	} else {
		s.crowd.LetGoUnserved++
	}
	c.dismiss()
}

func (c *Client) goesBefore(o *Client) bool {
	if a, b := c.rank(), o.rank(); a != b {
		return a < b
	}
	return c.since.Before(o.since)
}

// rank is lower for those that are let go sooner.
func (c *Client) rank() int {
	switch {
	case c.served:
		return 1
	case time.Since(c.since) < c.server.grace:
		return 2
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
		if o.idle && (oldest == nil || o.since.Before(oldest.since)) {
			oldest = o
		}
	}
	if served > s.served && oldest != nil {
		s.letGo(oldest)
	}
}

// dismiss has an idle connection closed. The lock is held.
func (c *Client) dismiss() {
	c.leave = true
	if c.idle {
		_ = c.SetReadDeadline(time.Now().Add(lastLook))
	}
}

// Await waits for the next command; false ends the connection, between commands.
func (c *Client) Await() bool {
	c.setIdle(true)
	_, err := c.R.Peek(1)
	c.setIdle(false)
	if isTimeout(err) {
		c.server.count(&c.server.crowd.Quiet)
	}
	return err == nil
}

// Late counts a command that did not come whole in time.
func (c *Client) Late(err error) {
	if isTimeout(err) {
		c.server.count(&c.server.crowd.Begun)
	}
}

func (s *Server) count(n *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n++
}

func (c *Client) setIdle(idle bool) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	c.idle = idle
	switch {
	case !idle:
		_ = c.SetReadDeadline(time.Now().Add(commandTime))
		return
	case c.leave:
		_ = c.SetReadDeadline(time.Now().Add(lastLook))
	case !c.served: // bad commands do not buy time
		_ = c.SetReadDeadline(c.since.Add(s.first))
	default:
		c.since = time.Now()
		_ = c.SetReadDeadline(c.since.Add(s.idle))
	}
	if c.R.Buffered() == 0 {
		c.rest()
	}
}

// Answer sends what was written.
func (c *Client) Answer() error {
	_ = c.SetWriteDeadline(time.Now().Add(answerTime))
	return c.Flush()
}

// Farewell sends what was written as the last answer. What still comes is read away for a moment: closing on
// unread bytes would take the answer with it.
func (c *Client) Farewell() {
	half, ok := c.Conn.Conn.(*net.TCPConn)
	if c.Answer() != nil || !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(lastWords))
	_, _ = io.Copy(io.Discard, io.LimitReader(half, mostUnread))
}

// Dismiss closes every connection as soon as it waits for a command, and takes no new ones.
func (s *Server) Dismiss() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for c := range s.clients {
		c.dismiss()
	}
}

// Cut ends what is left, also commands that have not come whole.
func (s *Server) Cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		_ = c.SetReadDeadline(time.Now())
	}
}

// Close stops accepting and waits until all connections are closed.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.Dismiss()
	s.done.Wait()
}

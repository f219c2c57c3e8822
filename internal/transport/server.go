package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	acceptRest  = 20 * time.Millisecond   // after a failed accept; descriptors may be short
	lastLook    = 2 * time.Millisecond    // for what was written to a connection about to be closed, and for one that was just opened
	lastWords   = 100 * time.Millisecond  // for a client to take its last answer and to end, and for the listener's backlog
	servedPart  = 2                       // of the clients' bound, one place in so many is for served ones that are idle
	turnPart    = 8                       // and one in so many for those on their way out
	mostUnread  = 1 << 20                 // bytes read away meanwhile
	graceTime   = 100 * time.Millisecond  // in which a new client or a new command is not driven out; usual ones are through by then
	firstTime   = 2 * time.Second         // for a new client to say something
	idleTime    = 4 * time.Second         // for one that was served to say more; it comes back on a new connection
	commandTime = 700 * time.Millisecond  // for the rest of a command once begun, where places are short or the process ends
	slowTime    = 2500 * time.Millisecond // the same otherwise: some clients take 2 s to write. Bad ones are owed an end 3 s after they came
	answerTime  = time.Second             // for an answer to be written; clients leave sooner
	placeLook   = 10 * time.Millisecond   // between looks whether somebody may be let go
)

// Server takes clients' connections, a goroutine each.
type Server struct {
	listener *net.TCPListener
	handle   func(c *Client)
	most     int // connections; one more may be in hand, waiting for a place
	stay     int // of them, those that are not on their way out
	served   int // most served ones that are idle

	grace, first, idle, command, slow, words time.Duration // graceTime, firstTime, idleTime, commandTime, slowTime, lastWords

	mu      sync.Mutex
	clients map[*Client]struct{} // emptied as connections close, bounded by most
	going   int                  // of them, those that leave
	closing bool
	cut     bool          // nothing more is read
	freed   chan struct{} // a place; one word is enough, for one goroutine waits

	accepting sync.WaitGroup // Serve
	done      sync.WaitGroup // clients; added to while accepting only

	grants grants
	crowd  Crowd
	edge   func(c *Client, at moment) // for tests: bytes may come right then; nil for nothing
}

// Crowd counts clients' connections: those open, and what has become of others since the start.
type Crowd struct {
	Open, Taken   int
	Idle, Served  int // of those open
	TurnedAway    int // there was no place for them until the process ended
	LetGoUnserved int // for a newer one, before they said anything of use
	LetGoServed   int
	Quiet         int // said nothing in time
	Begun         int // did not end a command in time
	NoRoom        int // had a long command turned away for want of memory
	Crossed       int // wrote something that crossed our close, and was not carried out
}

// Crowd tells how it stands.
func (s *Server) Crowd() Crowd {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.crowd
	c.Open = len(s.clients)
	for o := range s.clients {
		if o.stage == waiting {
			c.Idle++
		}
		if o.served {
			c.Served++
		}
	}
	return c
}

// Listen opens the clients' address.
func Listen(addr string, most int, handle func(c *Client)) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for clients: %w", err)
	}
	return &Server{listener: l.(*net.TCPListener), handle: handle, most: most, stay: most - most/turnPart, served: max(1, most/servedPart),
		grace: graceTime, first: firstTime, idle: idleTime, command: commandTime, slow: slowTime, words: lastWords,
		clients: map[*Client]struct{}{}, freed: make(chan struct{}, 1)}, nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve accepts until Close, which has it take what stands in the backlog first, or until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	if !s.accepts() {
		return nil
	}
	defer s.accepting.Done()
	for {
		c, err := s.listener.Accept()
		switch {
		case err == nil:
			s.begin(ctx, c)
		case errors.Is(err, net.ErrClosed):
			return nil
		case isTimeout(err): // Close has set the limit
			s.backlog(ctx)
			return nil
		case !s.short(ctx):
			return nil
		}
	}
}

// accepts tells whether it is not too late to begin.
func (s *Server) accepts() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.accepting.Add(1) // under the lock: Close waits for it, or we see that it is closing
	return true
}

// backlog takes the connections that the kernel has accepted and we have not. Danger: they are reset with the listener, and
// their clients have written to them. What comes between the last look and the close still is, some microseconds; a
// crowd that never ends is cut off after lastWords.
func (s *Server) backlog(ctx context.Context) {
	for end := time.Now().Add(lastWords); time.Now().Before(end); {
		_ = s.listener.SetDeadline(time.Now().Add(lastLook)) // anew for each: past it nothing is accepted, whatever stands there
		c, err := s.listener.Accept()
		switch {
		case err == nil:
			s.begin(ctx, c)
		case isTimeout(err) || !s.short(ctx):
			return
		}
	}
}

// short makes room after a failed accept, most likely for want of descriptors. Danger: clients take each one that comes free,
// and discovery, receivers and the spool get none. So a part of them goes at once and nobody is accepted for a moment. False once
// ctx has ended.
func (s *Server) short(ctx context.Context) bool {
	s.mu.Lock()
	for range max(1, len(s.clients)/turnPart) {
		s.hurry()
		s.letOneGo()
	}
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-time.After(acceptRest):
		return true
	}
}

// begin sets a new connection going once there is a place for it.
func (s *Server) begin(ctx context.Context, nc net.Conn) {
	c := &Client{Conn: newConn(nc), server: s}
	s.count(&s.crowd.Taken)
	s.place(ctx, c)
	go func() {
		defer s.done.Done()
		defer s.forget(c)
		s.handle(c)
	}()
}

// place waits for a place, and meanwhile has others make room: a new connection that is closed unanswered may be a message lost.
// It waits for clients that were just accepted or have just begun a command, graceTime about; later ones wait in
// the kernel's backlog. Once ctx has ended, and the process with it, a place too many does no harm.
func (s *Server) place(ctx context.Context, c *Client) {
	for !s.admit(c, ctx.Err() != nil) {
		select {
		case <-ctx.Done():
		case <-s.freed:
		case <-time.After(placeLook):
		}
	}
}

// admit counts a client in, if there is a place or it is to come in anyway.
func (s *Server) admit(c *Client, anyway bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.clients)-s.going >= s.stay {
		s.letOneGo()
	}
	if len(s.clients) >= s.most {
		s.hurry()
		if !anyway {
			return false
		}
		s.crowd.TurnedAway++
	}
	s.clients[c] = struct{}{}
	s.done.Add(1)
	c.since = time.Now()
	c.at = c.since
	if s.closing {
		c.goes()
	}
	return true
}

// forget closes a connection. It holds its place until it is closed.
func (s *Server) forget(c *Client) {
	_ = c.Conn.Close()
	s.mu.Lock()
	s.releaseGrant(c)
	delete(s.clients, c)
	if c.leave {
		s.going--
	}
	s.mu.Unlock()
	select {
	case s.freed <- struct{}{}:
	default:
	}
}

// hurry closes the connection that is being read away longest, if any is. The lock is held.
func (s *Server) hurry() {
	var oldest *Client
	for c := range s.clients {
		if c.stage == parting && !c.hasty && (oldest == nil || c.at.Before(oldest.at)) {
			oldest = c
		}
	}
	if oldest != nil {
		oldest.hasty = true
		_ = oldest.SetReadDeadline(time.Now())
	}
}

// letOneGo lets go of the client that can best be spared, if any can: first of those that never said anything of use or were slow
// to end a command, the longest so, or a crowd of them would drive the others out; then of idle ones that were served; then of the
// others that have begun a command. Newcomers go last: where the house is full of served ones, they would else drive
// out each other before they can speak. The lock is held.
func (s *Server) letOneGo() {
	now := time.Now()
	var first *Client
	for c := range s.clients {
		if c.rank(now) != stays && (first == nil || c.goesBefore(first, now)) {
			first = c
		}
	}
	if first != nil {
		s.letGo(first)
	}
}

// letGo has a connection make room for others. The lock is held.
func (s *Server) letGo(c *Client) {
	if c.served {
		s.crowd.LetGoServed++
	} else {
		s.crowd.LetGoUnserved++
	}
	c.dismiss()
	s.refuseGrant(c)
	if c.stage == begun { // the rest of its command is not waited for; an answer is
		_ = c.SetReadDeadline(time.Now())
	}
}

func (s *Server) count(n *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n++
}

// Dismiss closes every connection as soon as it waits for a command; one that comes from now on can say one.
func (s *Server) Dismiss() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for c := range s.clients {
		c.dismiss()
	}
}

// Cut ends what is left, also commands that have not come whole and answers that are not taken. Those that part do so in time.
func (s *Server) Cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = true
	s.refuseGrants()
	now := time.Now()
	for c := range s.clients {
		if c.stage != parting {
			_ = c.SetReadDeadline(now)
			_ = c.SetWriteDeadline(now.Add(lastWords))
		}
	}
}

// Close stops accepting and waits until all connections are closed.
func (s *Server) Close() {
	s.Dismiss()
	_ = s.listener.SetDeadline(time.Now().Add(lastLook)) // wakes Serve
	s.accepting.Wait()
	_ = s.listener.Close()
	s.done.Wait()
}

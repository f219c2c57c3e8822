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
	acceptRetryDelay    = 20 * time.Millisecond   // after a failed accept; descriptors may be scarce
	lastPeekTime        = 2 * time.Millisecond    // to read what was sent on a connection that is about to be closed, and to accept one that has just been opened
	lingerTime          = 100 * time.Millisecond  // for a client to read its last reply and close, and for accepting the listener's backlog
	idleServedFraction  = 2                       // one in this many of the limit is for idle clients that have been served
	closingFraction     = 8                       // and one in this many for those being closed
	maxLingerBytes      = 1 << 20                 // bytes discarded during a lingering close
	evictionGrace       = 100 * time.Millisecond  // during which a new client or command is not evicted; usual ones are finished by then
	firstCommandTimeout = 2 * time.Second         // for a new client to send its first command
	idleTimeout         = 4 * time.Second         // for a served client to send another command; it reconnects later
	commandTimeout      = 700 * time.Millisecond  // for the rest of a command, when slots are scarce or the process is ending
	slowCommandTimeout  = 2500 * time.Millisecond // the same otherwise: some clients take 2 s to write. Invalid ones must be closed 3 s after connecting
	replyTimeout        = time.Second             // for a reply to be written; clients give up sooner
	admitRetryInterval  = 10 * time.Millisecond   // between checks whether a client can be evicted
)

// Server accepts connections of clients and runs one goroutine for each.
type Server struct {
	listener      *net.TCPListener
	handle        func(c *Client)
	maxClients    int // limit of connections; one more may be accepted and waiting for admission
	maxActive     int // limit of those that are not being closed
	maxIdleServed int // limit of idle ones that have been served

	grace, first, idle, command, slow, linger time.Duration // evictionGrace, firstCommandTimeout, idleTimeout, commandTimeout, slowCommandTimeout, lingerTime

	mu             sync.Mutex
	clients        map[*Client]struct{} // at most maxClients; entries are removed as connections close
	closingClients int                  // those of them that are being closed
	closing        bool
	aborted        bool          // nothing more is read
	freed          chan struct{} // signals a free slot; capacity 1 suffices for the one goroutine that waits

	accepting sync.WaitGroup // Serve
	done      sync.WaitGroup // clients; incremented during accepting only

	stats        ClientStats
	onCloseEvent func(c *Client, at closeEvent) // test hook, called where input may arrive during a close; may be nil
}

// ClientStats holds the number of open client connections and counts those closed since the start, by cause.
type ClientStats struct {
	Open, Accepted  int
	Idle, Served    int // among the open ones
	OverLimit       int // admitted above the limit because the process was ending
	EvictedUnserved int // to admit a newer client, before they sent a valid command
	EvictedServed   int
	IdleTimeouts    int // sent nothing in time
	CommandTimeouts int // did not complete a command in time
	WroteAfterClose int // sent data after the server had closed its side; it was not executed
}

// Stats returns the current statistics.
func (s *Server) Stats() ClientStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.stats
	c.Open = len(s.clients)
	for o := range s.clients {
		if o.stage == awaitingCommand {
			c.Idle++
		}
		if o.served {
			c.Served++
		}
	}
	return c
}

// Listen opens the address for clients.
func Listen(addr string, maxClients int, handle func(c *Client)) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for clients: %w", err)
	}
	return &Server{listener: l.(*net.TCPListener), handle: handle, maxClients: maxClients, maxActive: maxClients - maxClients/closingFraction, maxIdleServed: max(1, maxClients/idleServedFraction),
		grace: evictionGrace, first: firstCommandTimeout, idle: idleTimeout, command: commandTimeout, slow: slowCommandTimeout, linger: lingerTime,
		clients: map[*Client]struct{}{}, freed: make(chan struct{}, 1)}, nil
}

// Addr returns the address that it listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve accepts connections until ctx ends or Close is called, which first has it accept the backlog.
func (s *Server) Serve(ctx context.Context) error {
	if !s.startAccepting() {
		return nil
	}
	defer s.accepting.Done()
	for {
		c, err := s.listener.Accept()
		switch {
		case err == nil:
			s.startClient(ctx, c)
		case errors.Is(err, net.ErrClosed):
			return nil
		case isTimeout(err): // set by Close
			s.acceptBacklog(ctx)
			return nil
		case !s.handleAcceptError(ctx):
			return nil
		}
	}
}

// startAccepting returns false if the server is already closing.
func (s *Server) startAccepting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.accepting.Add(1) // under the lock, so that either Close waits for it or closing is seen here
	return true
}

// acceptBacklog accepts the connections that are still in the kernel's backlog: they would be reset with the
// listener, and their clients have already written to them. Those that arrive in the microseconds between the
// last accept and the close still are; an endless stream of connections is cut off after lingerTime.
func (s *Server) acceptBacklog(ctx context.Context) {
	for end := time.Now().Add(lingerTime); time.Now().Before(end); {
		_ = s.listener.SetDeadline(time.Now().Add(lastPeekTime)) // for each accept: past the deadline none succeeds, whatever the backlog holds
		c, err := s.listener.Accept()
		switch {
		case err == nil:
			s.startClient(ctx, c)
		case isTimeout(err) || !s.handleAcceptError(ctx):
			return
		}
	}
}

// handleAcceptError frees descriptors after a failed accept, most likely for lack of them. Clients would take
// each one that becomes free, leaving none for discovery, receivers and the spool, so a fraction of the
// clients is evicted at once and accepting pauses briefly. It returns false if ctx has ended.
func (s *Server) handleAcceptError(ctx context.Context) bool {
	s.mu.Lock()
	for range max(1, len(s.clients)/closingFraction) {
		s.cutOldestLinger()
		s.evictOne()
	}
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-time.After(acceptRetryDelay):
		return true
	}
}

// startClient admits a new connection, waiting for a slot if necessary, and starts its goroutine.
func (s *Server) startClient(ctx context.Context, nc net.Conn) {
	c := &Client{Conn: newConn(nc), server: s}
	s.increment(&s.stats.Accepted)
	s.awaitAdmission(ctx, c)
	go func() {
		defer s.done.Done()
		defer s.removeClient(c)
		s.handle(c)
	}()
}

// awaitAdmission waits for a slot and evicts other clients meanwhile: closing a new connection without a reply
// may lose a message. It waits for clients that were just accepted or have just begun a command, about
// evictionGrace; later connections wait in the kernel's backlog. Once ctx has ended, and the process with it,
// exceeding the limit does no harm.
func (s *Server) awaitAdmission(ctx context.Context, c *Client) {
	for !s.admit(c, ctx.Err() != nil) {
		select {
		case <-ctx.Done():
		case <-s.freed:
		case <-time.After(admitRetryInterval):
		}
	}
}

// admit registers a client if there is a slot or force is set.
func (s *Server) admit(c *Client, force bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.clients)-s.closingClients >= s.maxActive {
		s.evictOne()
	}
	if len(s.clients) >= s.maxClients {
		s.cutOldestLinger()
		if !force {
			return false
		}
		s.stats.OverLimit++
	}
	s.clients[c] = struct{}{}
	s.done.Add(1)
	c.idleSince = time.Now()
	c.stageSince = c.idleSince
	if s.closing {
		c.markClosing()
	}
	return true
}

// removeClient closes a connection. It occupies its slot until it is closed.
func (s *Server) removeClient(c *Client) {
	_ = c.Conn.Close()
	s.mu.Lock()
	delete(s.clients, c)
	if c.closing {
		s.closingClients--
	}
	s.mu.Unlock()
	select {
	case s.freed <- struct{}{}:
	default:
	}
}

// cutOldestLinger ends the oldest lingering close, if any. The caller holds the lock.
func (s *Server) cutOldestLinger() {
	var oldest *Client
	for c := range s.clients {
		if c.stage == lingering && !c.lingerCut && (oldest == nil || c.stageSince.Before(oldest.stageSince)) {
			oldest = c
		}
	}
	if oldest != nil {
		oldest.lingerCut = true
		_ = oldest.SetReadDeadline(time.Now())
	}
}

// evictOne evicts the most expendable client, if any. First come those that never sent a valid command or are
// slow to complete one, longest first, since a crowd of them would displace the others; then idle ones that
// were served; then the others that have begun a command. New clients come last: where served ones hold all
// slots, they would otherwise displace each other before they can send a command. The caller holds the lock.
func (s *Server) evictOne() {
	now := time.Now()
	var first *Client
	for c := range s.clients {
		if c.evictionRank(now) != notEvictable && (first == nil || c.evictedBefore(first, now)) {
			first = c
		}
	}
	if first != nil {
		s.evict(first)
	}
}

// evict closes a connection to free its slot. The caller holds the lock.
func (s *Server) evict(c *Client) {
	if c.served {
		s.stats.EvictedServed++
	} else {
		s.stats.EvictedUnserved++
	}
	c.drain()
	if c.stage == inCommand { // the rest of its command is not awaited; a reply is
		_ = c.SetReadDeadline(time.Now())
	}
}

func (s *Server) increment(n *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n++
}

// Drain closes every connection as soon as it waits for a command. One that connects from now on may still
// send one.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for c := range s.clients {
		c.drain()
	}
}

// Abort ends the remaining connections, including those with incomplete commands or unread replies. Lingering
// closes end by their own deadline.
func (s *Server) Abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.aborted = true
	now := time.Now()
	for c := range s.clients {
		if c.stage != lingering {
			_ = c.SetReadDeadline(now)
			_ = c.SetWriteDeadline(now.Add(lingerTime))
		}
	}
}

// Close stops accepting and waits until all connections are closed.
func (s *Server) Close() {
	s.Drain()
	_ = s.listener.SetDeadline(time.Now().Add(lastPeekTime)) // wakes Serve
	s.accepting.Wait()
	_ = s.listener.Close()
	s.done.Wait()
}

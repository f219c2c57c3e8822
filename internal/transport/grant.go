package transport

import (
	"errors"
	"slices"
	"time"
)

// ErrNoRoom says that there was no memory for a long command in time. Nothing of it was carried out: it may come again.
var ErrNoRoom = errors.New("clients: no memory for a command of this length just now")

// grants are the bytes that long commands hold together.
type grants struct {
	most    int64 // 0 for no bound
	used    int64
	waiting []*grantRequest // in the order of their coming, at most one for each connection; emptied within grantWait
	looking bool            // a goroutine sees that somebody gives way to those that wait
}

// grantRequest is a command that waits for bytes.
type grantRequest struct {
	client  *Client
	bytes   int64
	decided chan struct{} // closed once it is granted or refused
	granted bool
}

// LimitCommands bounds the bytes that long commands hold together. It comes before Serve.
func (s *Server) LimitCommands(bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grants.most = bytes
}

// Grant has a command take so many bytes from what all clients share. It waits for a moment where they are short, and has commands that stall
// give way. ErrNoRoom: they did not come free in time. What was granted counts until the command is answered or its connection is parted with.
func (c *Client) Grant(bytes int) error {
	s := c.server
	s.mu.Lock()
	if s.grants.most == 0 || len(s.grants.waiting) == 0 && s.grants.used+int64(bytes) <= s.grants.most {
		s.grant(c, int64(bytes))
		s.mu.Unlock()
		return nil
	}
	if int64(bytes) > s.grants.most || s.cut {
		s.crowd.NoRoom++
		s.mu.Unlock()
		return ErrNoRoom
	}
	request := &grantRequest{client: c, bytes: int64(bytes), decided: make(chan struct{})}
	c.asks = request
	s.queueGrant(request)
	s.mu.Unlock()
	timeout := time.NewTimer(grantWait)
	defer timeout.Stop()
	select {
	case <-request.decided:
	case <-timeout.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.asks = nil
	if request.granted {
		return nil
	}
	s.dropGrant(request)
	s.crowd.NoRoom++
	return ErrNoRoom
}

// refuseGrant ends the waiting of a client for bytes, if it waits. The lock is held.
func (s *Server) refuseGrant(c *Client) {
	if r := c.asks; r != nil && !r.granted {
		s.dropGrant(r)
		close(r.decided)
		c.asks = nil
	}
}

// grant counts bytes as a client's. The lock is held.
func (s *Server) grant(c *Client, bytes int64) {
	c.granted += bytes
	s.grants.used += bytes
}

// queueGrant has a request wait: behind those of served clients, and before those of others if its client was served. The lock is held.
func (s *Server) queueGrant(r *grantRequest) {
	at := len(s.grants.waiting)
	if r.client.served {
		for at > 0 && !s.grants.waiting[at-1].client.served {
			at--
		}
	}
	s.grants.waiting = slices.Insert(s.grants.waiting, at, r)
	if !s.grants.looking {
		s.grants.looking = true
		s.done.Add(1) // a client's is counted still
		go s.lookForGrants()
	}
}

func (s *Server) dropGrant(r *grantRequest) {
	if i := slices.Index(s.grants.waiting, r); i >= 0 {
		s.grants.waiting = slices.Delete(s.grants.waiting, i, i+1)
	}
}

// releaseGrant gives back what a client's command held. The lock is held.
func (s *Server) releaseGrant(c *Client) {
	if c.granted == 0 {
		return
	}
	s.grants.used -= c.granted
	c.granted = 0
	for len(s.grants.waiting) > 0 {
		first := s.grants.waiting[0]
		if s.grants.used+first.bytes > s.grants.most {
			return
		}
		s.grants.waiting = s.grants.waiting[1:]
		s.grant(first.client, first.bytes)
		first.granted = true
		close(first.decided)
	}
}

// refuseGrants ends all waiting. The lock is held.
func (s *Server) refuseGrants() {
	for len(s.grants.waiting) > 0 {
		s.refuseGrant(s.grants.waiting[0].client)
	}
}

// lookForGrants has commands that stall meanwhile give way, as long as somebody waits.
func (s *Server) lookForGrants() {
	defer s.done.Done()
	look := time.NewTicker(placeLook)
	defer look.Stop()
	for range look.C {
		s.mu.Lock()
		if len(s.grants.waiting) == 0 {
			s.grants.looking = false
			s.mu.Unlock()
			return
		}
		s.makeGrantRoom()
		s.mu.Unlock()
	}
}

// makeGrantRoom has as many commands give way as those that wait need, if there are such. What leaves already counts as free. The lock is held.
func (s *Server) makeGrantRoom() {
	free := s.grants.most - s.grants.used
	var holders []*Client
	for c := range s.clients {
		switch {
		case c.granted > 0 && c.leave:
			free += c.granted
		case c.granted > 0 && c.stage == begun:
			holders = append(holders, c)
		}
	}
	slices.SortFunc(holders, func(a, b *Client) int { return a.holder().compare(b.holder()) })
	now := time.Now()
	for _, r := range slices.Clone(s.grants.waiting) { // whoever is let go may wait in it
		if r.client.asks != r {
			continue
		}
		for free < r.bytes {
			i := slices.IndexFunc(holders, func(c *Client) bool { return c != r.client && c.holder().givesWay(now, r.client.served) })
			if i < 0 {
				return
			}
			free += holders[i].granted
			s.letGo(holders[i])
			holders = slices.Delete(holders, i, i+1)
		}
		free -= r.bytes
	}
}

func (c *Client) holder() holder {
	return holder{served: c.served, leaves: c.leave, begun: c.at, latest: c.latestByte(), command: c.server.command}
}

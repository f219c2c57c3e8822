package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// ran is one call that a receiver began.
type ran struct {
	id, key, body string
	at            time.Time
	status        int
}

// receiver is one of a destination's, as a sound one is: it closes where it is asked to, and says so.
type receiver struct {
	rig  *rig
	name string
	cell int64
	addr string
	http *http.Server

	mu     sync.Mutex
	calls  []ran
	done   map[string]bool                                                    // ids whose answer with 200 was written while the sender's connection was up
	answer func(id, key, body string) (status int, wait, takes time.Duration) // of a call; 200 has run
}

// newReceiver listens on an address; an empty one is drawn.
func (r *rig) newReceiver(name string, cell int64, addr string) (*receiver, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	v := &receiver{rig: r, name: name, cell: cell, addr: l.Addr().String(), done: map[string]bool{},
		answer: func(string, string, string) (int, time.Duration, time.Duration) { return 200, 0, 20 * time.Millisecond }}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /events", v.event)
	mux.HandleFunc("GET /alive", v.alive)
	v.http = &http.Server{Handler: mux}
	go func() { _ = v.http.Serve(l) }()
	return v, nil
}

// stop closes its address and its connections.
func (v *receiver) stop() {
	v.rig.note("receiver %s stops", v.name)
	_ = v.http.Close()
}

func (v *receiver) event(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id, key := r.Header.Get("X-Txn"), r.Header.Get("Idempotency-Key")
	v.mu.Lock()
	answer := v.answer
	v.mu.Unlock()
	status, wait, takes := answer(id, key, string(body))
	c := ran{id: id, key: key, body: string(body), at: time.Now(), status: status}
	v.mu.Lock()
	v.calls = append(v.calls, c)
	v.mu.Unlock()
	v.rig.note("call    %s (cell %d) got %s, key %q, %q: answers %d %v after %v", v.name, v.cell, id, key, c.body, status, wait, takes)
	time.Sleep(takes)
	if wait > 0 {
		w.Header().Set("Retry-After", fmt.Sprintf("%.3f", wait.Seconds()))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	if err := http.NewResponseController(w).Flush(); err == nil && status == 200 && r.Context().Err() == nil {
		v.mu.Lock()
		v.done[id] = true
		v.mu.Unlock()
	}
}

// written tells whether 200 was written for a message to a sender that was there to hear it.
func (v *receiver) written(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.done[id]
}

func (v *receiver) alive(w http.ResponseWriter, _ *http.Request) {
	v.mu.Lock()
	answer := v.answer
	v.mu.Unlock()
	if status, _, _ := answer("", "", ""); status == 429 || status == 503 {
		w.WriteHeader(503)
	}
}

func (v *receiver) answers(f func(id, key, body string) (int, time.Duration, time.Duration)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.answer = f
}

// runs counts the calls with a body that ran.
func (v *receiver) runs(body string) (rs []ran) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, c := range v.calls {
		if c.body == body && c.status == 200 {
			rs = append(rs, c)
		}
	}
	return rs
}

// client hands messages in, as usual ones do: it keeps its connection, waits 400 ms for an answer, and sends a request once more where the
// sender closed a connection before it had read that.
type client struct {
	rig  *rig
	addr string
	mu   sync.Mutex
	conn net.Conn
	n    int
}

func (r *rig) newClient(addr string) *client { return &client{rig: r, addr: addr} }

// handIn hands one message in and gives its id and the answer's line, empty for none.
func (c *client) handIn(lane string, dst int64, key, order, body string, deadline time.Duration) (id, answer string) {
	c.mu.Lock()
	c.n++
	id = fmt.Sprintf("%08x%08x", uint32(time.Now().Unix()), c.n)
	c.mu.Unlock()
	return c.handInAs(id, lane, dst, key, order, body, deadline)
}

// handInAs is handIn under an id that is given.
func (c *client) handInAs(id, lane string, dst int64, key, order, body string, deadline time.Duration) (as, answer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if order == "" {
		order = "0000000000000000"
	}
	fields := fmt.Sprintf("c=%s,d=%d,dest=%d", lane, deadline.Milliseconds(), dst)
	if key != "" {
		fields += ",k=" + key
	}
	var b strings.Builder
	args := []string{"ENQUEUE", order, id, fields, body}
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	for range 2 {
		var again bool
		if answer, again = c.ask(b.String()); !again {
			break
		}
	}
	c.rig.note("hand-in %s %s order %s key %q %q: %q", id, fields, order, key, body[:min(len(body), 40)], answer)
	return id, answer
}

func (c *client) ask(text string) (answer string, again bool) {
	kept := c.conn != nil
	if !kept {
		conn, err := net.DialTimeout("tcp", c.addr, 400*time.Millisecond)
		if err != nil {
			return "", false
		}
		c.conn = conn
	}
	_ = c.conn.SetDeadline(time.Now().Add(400 * time.Millisecond))
	_, err := io.WriteString(c.conn, text)
	if err == nil {
		answer, err = bufio.NewReader(c.conn).ReadString('\n')
	}
	if err != nil {
		_ = c.conn.Close()
		c.conn = nil
		return "", kept && err == io.EOF
	}
	return strings.TrimSpace(answer), false
}

func (c *client) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

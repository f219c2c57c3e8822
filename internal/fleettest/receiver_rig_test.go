package fleettest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Conduct is how a destination's receiver behaves. The zero value answers with 200 at once.
type Conduct struct {
	Limit        int           // calls within Window; further ones are answered with 429; 0 for none
	Window       time.Duration // one second if 0
	CountRefused bool          `json:"Counted"` // refused calls count against the limit as well
	RetryAfter   time.Duration `json:"Wait"`    // sent with a 429; whole milliseconds
	Down         bool          // connections are closed without an answer
	Status       int           // instead of 200
	AnswerDelay  time.Duration `json:"Slow"` // before the answer
	Silent       bool          // no answer until Conduct changes
}

// destination is one receiver. Every sender reaches it at a different address, which identifies the caller.
type destination struct {
	r   *Rig
	dst int64

	mu          sync.Mutex // taken before the recorder's
	conduct     Conduct
	changed     chan struct{} // closed and replaced by each change of conduct
	recentCalls []time.Duration
	serving     bool
}

// Conduct changes the behaviour of a destination's receiver.
func (r *Rig) Conduct(dst int64, c Conduct) {
	d := r.dsts[dst]
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.Window == 0 {
		c.Window = time.Second
	}
	d.conduct, d.recentCalls = c, nil
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *destination) serve(sender string) *httptest.Server {
	return newServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) { d.receive(sender, out, in) }))
}

func (d *destination) receive(sender string, out http.ResponseWriter, in *http.Request) {
	d.r.rec.addOpenCalls(sender, 1)
	defer d.r.rec.addOpenCalls(sender, -1)
	text, err := httputil.DumpRequest(in, true)
	if err != nil {
		return
	}
	d.mu.Lock()
	at, c, changed := d.r.rec.now(), d.conduct, d.changed
	status := d.status(at, in.Method)
	d.mu.Unlock()
	if in.Method == http.MethodGet { // a probe
		if c.Down {
			panic(http.ErrAbortHandler)
		}
		out.WriteHeader(status)
		return
	}
	if in.Header.Get("X-Txn") == "" { // from another program, whose peer had this port before
		out.WriteHeader(http.StatusNotFound)
		return
	}
	number := 0
	d.r.rec.update(func(rec *Record) {
		number = len(rec.Calls)
		rec.Calls = append(rec.Calls, Call{At: at, Sender: sender, ID: in.Header.Get("X-Txn"), Key: in.Header.Get("Idempotency-Key"),
			Dst: d.dst, RawRequest: string(text)})
	})
	if c.Down {
		d.r.rec.update(func(rec *Record) { rec.Calls[number].Status = 503 }) // closed before anything ran
		panic(http.ErrAbortHandler)
	}
	if c.Silent || c.AnswerDelay > 0 {
		if !delayAnswer(in, c, changed) {
			return
		}
	}
	if status == http.StatusTooManyRequests && c.RetryAfter > 0 {
		out.Header().Set("Retry-After", strconv.FormatFloat(c.RetryAfter.Seconds(), 'f', 3, 64))
	}
	d.r.rec.update(func(rec *Record) {
		call := &rec.Calls[number]
		if call.Status, call.Answered = status, d.r.rec.now(); status == http.StatusTooManyRequests {
			call.RetryAfter = c.RetryAfter
		}
	})
	out.WriteHeader(status)
}

// delayAnswer waits as conduct says, and returns false if the caller disconnected.
func delayAnswer(in *http.Request, c Conduct, changed <-chan struct{}) bool {
	var over <-chan time.Time
	if !c.Silent {
		t := time.NewTimer(c.AnswerDelay)
		defer t.Stop()
		over, changed = t.C, nil
	}
	select {
	case <-in.Context().Done():
		return false
	case <-changed:
	case <-over:
	}
	return true
}

// status counts a call against the limit and returns the status of its answer.
func (d *destination) status(at time.Duration, method string) int {
	c := d.conduct
	if method == http.MethodGet || c.Limit == 0 {
		return max(c.Status, 200)
	}
	for len(d.recentCalls) > 0 && d.recentCalls[0] <= at-c.Window {
		d.recentCalls = d.recentCalls[1:]
	}
	full := len(d.recentCalls) >= c.Limit
	if !full || c.CountRefused {
		d.recentCalls = append(d.recentCalls, at)
	}
	if full {
		return http.StatusTooManyRequests
	}
	return max(c.Status, 200)
}

// platform emulates discovery and the platform for one sender.
type platform struct {
	r      *Rig
	sender string
	server *httptest.Server

	mu       sync.Mutex // taken before the recorder's
	revision int64
	lines    []string
	changed  chan struct{}
}

func newPlatform(r *Rig, sender string) *platform {
	p := &platform{r: r, sender: sender, revision: 1, changed: make(chan struct{})}
	p.server = newServer(p)
	return p
}

func (p *platform) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	if in.Method == http.MethodGet {
		p.watch(out, in)
		return
	}
	text, err := io.ReadAll(in.Body)
	if err != nil {
		return
	}
	at := p.r.rec.now()
	var ns []Notice
	for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
		n := Notice{At: at, Sender: p.sender}
		if json.Unmarshal(lines.Bytes(), &n) != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		ns = append(ns, n)
	}
	p.r.rec.update(func(rec *Record) { rec.Notices = append(rec.Notices, ns...) })
	out.WriteHeader(http.StatusNoContent)
}

const keepaliveInterval = time.Second // of a watch request; senders reconnect after 5 s of silence

func (p *platform) watch(out http.ResponseWriter, in *http.Request) {
	out.WriteHeader(http.StatusOK)
	for sent := 0; ; {
		p.mu.Lock()
		lines, changed := p.lines[sent:], p.changed
		p.mu.Unlock()
		for _, l := range lines {
			fmt.Fprintln(out, l)
		}
		if sent += len(lines); len(lines) == 0 {
			fmt.Fprintln(out)
		}
		out.(http.Flusher).Flush()
		select {
		case <-in.Context().Done():
			return
		case <-changed:
		case <-time.After(keepaliveInterval):
		}
	}
}

func (p *platform) publishList(members string, complete bool) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	line := fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`, p.revision, complete, members)
	if !complete {
		p.lines = append(p.lines, line)
		close(p.changed)
		p.changed = make(chan struct{})
	}
	return line
}

// Serving lists a destination as serving or draining for every sender.
func (r *Rig) Serving(dst int64, serving bool) {
	r.dsts[dst].mu.Lock()
	r.dsts[dst].serving = serving
	r.dsts[dst].mu.Unlock()
	for _, s := range r.senders {
		s.platform.publishList(s.listEntry(dst), false)
		at := r.rec.now()
		r.rec.update(func(rec *Record) { rec.Listings = append(rec.Listings, Listing{at, s.Name, dst, serving}) })
	}
}

// listEntry returns a destination's entry in the list for this sender.
func (s *Sender) listEntry(dst int64) string {
	d := s.r.dsts[dst]
	d.mu.Lock()
	defer d.mu.Unlock()
	phase := "DRAINING"
	if d.serving {
		phase = "SERVING"
	}
	return fmt.Sprintf(`{"id":"s-%d","host_port":"%s","locality":"z","flavor":"m","cell":%d,"phase":"%s","size":1}`,
		dst, s.receivers[dst].Listener.Addr(), dst, phase)
}

func (s *Sender) initialList() string {
	var members []string
	for _, dst := range s.r.setup.Destinations {
		members = append(members, s.listEntry(dst))
	}
	return s.platform.publishList(strings.Join(members, ","), true)
}

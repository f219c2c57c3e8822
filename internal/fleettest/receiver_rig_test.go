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

// Conduct is how a destination's receiver behaves. The zero value answers 200 at once.
type Conduct struct {
	Limit    int           // calls within Window; more are answered 429; 0 for none
	Window   time.Duration // one second if 0
	Counted  bool          // refused calls use up the limit as well
	Wait     time.Duration // told with a 429; whole milliseconds
	Down     bool          // connections are cut
	Status   int           // instead of 200
	Slow     time.Duration // before the answer
	Silent   bool          // no answer until Conduct changes
	Copies   CopyKind      // connections carry copies of answers; empty for none
	LimitNow string        // report in the head of each answer, as the settings name it; empty for none
}

// destination is one receiver, which every sender reaches at an address of its own: that tells who calls.
type destination struct {
	r   *Rig
	dst int64

	mu      sync.Mutex // before the recorder's
	conduct Conduct
	changed chan struct{} // closed and renewed by each change of conduct
	within  []time.Duration
	serving bool
	copiers uint64 // connections so far that carry copies
}

// Conduct changes a destination's behaviour.
func (r *Rig) Conduct(dst int64, c Conduct) {
	d := r.dsts[dst]
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.Window == 0 {
		c.Window = time.Second
	}
	d.conduct, d.within = c, nil
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *destination) serve(sender string) *httptest.Server {
	return newServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) { d.receive(sender, out, in) }))
}

func (d *destination) receive(sender string, out http.ResponseWriter, in *http.Request) {
	d.mu.Lock()
	copies := d.conduct.Copies
	d.mu.Unlock()
	if copies != "" {
		newCopier(d, sender, copies).take(out, in)
		return
	}
	d.r.rec.hold(sender, 1)
	defer d.r.rec.hold(sender, -1)
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
	if in.Header.Get("X-Txn") == "" { // of a program that had peers at this port before
		out.WriteHeader(http.StatusNotFound)
		return
	}
	number := 0
	d.r.rec.write(func(rec *Record) {
		number = len(rec.Calls)
		rec.Calls = append(rec.Calls, Call{At: at, Sender: sender, ID: in.Header.Get("X-Txn"), Key: in.Header.Get("Idempotency-Key"),
			Dst: d.dst, Text: string(text)})
	})
	if c.Down {
		d.r.rec.write(func(rec *Record) { rec.Calls[number].Status = 503 }) // cut before anything ran
		panic(http.ErrAbortHandler)
	}
	if c.Silent || c.Slow > 0 {
		if !pause(in, c, changed) {
			return
		}
	}
	if status == http.StatusTooManyRequests && c.Wait > 0 {
		out.Header().Set("Retry-After", strconv.FormatFloat(c.Wait.Seconds(), 'f', 3, 64))
	}
	d.r.rec.write(func(rec *Record) {
		call := &rec.Calls[number]
		if call.Status, call.Answered = status, d.r.rec.now(); status == http.StatusTooManyRequests {
			call.Wait = c.Wait
		}
	})
	out.WriteHeader(status)
}

// pause is false when the caller left.
func pause(in *http.Request, c Conduct, changed <-chan struct{}) bool {
	var over <-chan time.Time
	if !c.Silent {
		t := time.NewTimer(c.Slow)
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

// status counts a call against the limit.
func (d *destination) status(at time.Duration, method string) int {
	c := d.conduct
	if method == http.MethodGet || c.Limit == 0 {
		return max(c.Status, 200)
	}
	for len(d.within) > 0 && d.within[0] <= at-c.Window {
		d.within = d.within[1:]
	}
	full := len(d.within) >= c.Limit
	if !full || c.Counted {
		d.within = append(d.within, at)
	}
	if full {
		return http.StatusTooManyRequests
	}
	return max(c.Status, 200)
}

// platform stands in for discovery and the platform as one sender sees them.
type platform struct {
	r      *Rig
	sender string
	server *httptest.Server

	mu       sync.Mutex // before the recorder's
	revision int64
	lines    []string
	more     chan struct{}
}

func newPlatform(r *Rig, sender string) *platform {
	p := &platform{r: r, sender: sender, revision: 1, more: make(chan struct{})}
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
	p.r.rec.write(func(rec *Record) { rec.Notices = append(rec.Notices, ns...) })
	out.WriteHeader(http.StatusNoContent)
}

const beat = time.Second // of the watch; senders open it anew after 5 s of silence

func (p *platform) watch(out http.ResponseWriter, in *http.Request) {
	out.WriteHeader(http.StatusOK)
	for sent := 0; ; {
		p.mu.Lock()
		lines, more := p.lines[sent:], p.more
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
		case <-more:
		case <-time.After(beat):
		}
	}
}

func (p *platform) list(members string, complete bool) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	line := fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`, p.revision, complete, members)
	if !complete {
		p.lines = append(p.lines, line)
		close(p.more)
		p.more = make(chan struct{})
	}
	return line
}

// Serving lists a destination as serving or draining, to every sender.
func (r *Rig) Serving(dst int64, serving bool) {
	r.dsts[dst].mu.Lock()
	r.dsts[dst].serving = serving
	r.dsts[dst].mu.Unlock()
	for _, s := range r.senders {
		s.platform.list(s.member(dst), false)
		at := r.rec.now()
		r.rec.write(func(rec *Record) { rec.Lists = append(rec.Lists, Listing{at, s.Name, dst, serving}) })
	}
}

// member is a destination's entry in the list that a sender is told.
func (s *Sender) member(dst int64) string {
	d := s.r.dsts[dst]
	d.mu.Lock()
	defer d.mu.Unlock()
	phase := "DRAINING"
	if d.serving {
		phase = "SERVING"
	}
	return fmt.Sprintf(`{"id":"s-%d","host_port":"%s","locality":"z","flavor":"m","cell":%d,"phase":"%s","size":1}`,
		dst, s.reach[dst].Listener.Addr(), dst, phase)
}

func (s *Sender) known() string {
	var members []string
	for _, dst := range s.r.setup.Destinations {
		members = append(members, s.member(dst))
	}
	return s.platform.list(strings.Join(members, ","), true)
}

package fleettest

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"ravenlink/internal/links"
)

// Record is what passed on the wire, each part in the order in which it passed. Times are since the rig began.
type Record struct {
	HandIns []HandIn
	Calls   []Call
	Notices []Notice
	Lists   []Listing
	Acts    []Act
	Posts   []Post
	Stalls  []Stall
}

// HandIn is one message as a client handed it in, and its answer.
type HandIn struct {
	Message
	At, Answered time.Duration
	Sender       string
	Answer       string // empty when the connection ended before it
	NoAnswer     NoAnswer
}

// Taken tells whether the sender took the message on.
func (h HandIn) Taken() bool { return h.Answer == "+OK" || strings.HasPrefix(h.Answer, "+OK ") }

// Call is one leg as a receiver saw it.
type Call struct {
	At, Answered time.Duration // Answered is 0 while it is open or when it was cut
	Sender       string
	ID, Key      string
	Dst          int64
	Status       int // 0: no answer
	Wait         time.Duration
	CallerGone   bool   // its sender had closed the connection before the answer was written, so it cannot have read it
	Torn         bool   // the answer came in pieces: no sender can tell what it says, so the message may be told as undelivered though it ran
	Text         string // as it came, for transcripts
}

// Ran tells whether the call may have taken effect.
func (c Call) Ran() bool { return c.Status != 429 && c.Status != 503 && c.Status != 504 }

// Notice is one line of a post of notices that the platform took.
type Notice struct {
	At        time.Duration
	Sender    string
	ID, State string
}

// Listing is a change of the list as one sender was told it.
type Listing struct {
	At      time.Duration
	Sender  string
	Dst     int64
	Serving bool
}

// Act is what was done to a sender: start, kill, term, stop, cont.
type Act struct {
	At     time.Duration
	Sender string
	What   string
}

// Post is what became of one post on a directed link.
type Post struct {
	At       time.Duration
	From, To string
	Fate     string // passed, doubled, replayed, lost, cut, unanswered, held
	Bytes    int
	Frames   []links.Frame // as they were sent
}

// Stall is a time in which the machine did not let the rig run, and so no link, receiver or client of it.
type Stall struct{ From, To time.Duration }

const (
	pulse      = 5 * time.Millisecond // of the rig, to find stalls
	stallLeast = 5 * time.Millisecond // a pulse later than this is one; on a full machine what takes ten turns of several processes has ten such
)

// watch writes stalls down until done.
func (r *recorder) watch(done <-chan struct{}) {
	each := time.NewTicker(pulse)
	defer each.Stop()
	for last := r.now(); ; {
		select {
		case <-done:
			return
		case <-each.C:
		}
		now := r.now()
		if now-last >= pulse+stallLeast {
			r.mu.Lock()
			r.rec.Stalls = append(r.rec.Stalls, Stall{last + pulse, now})
			r.mu.Unlock()
		}
		last = now
	}
}

// recorder collects a record.
type recorder struct {
	start time.Time
	mu    sync.Mutex // a leaf
	rec   Record
	open  map[string]int // calls that a receiver has not done with, by sender
	news  chan struct{}  // closed and renewed with each entry
}

func newRecorder() *recorder {
	return &recorder{start: time.Now(), open: map[string]int{}, news: make(chan struct{})}
}

func (r *recorder) now() time.Duration { return time.Since(r.start) }

// write changes the record and wakes those that wait for a condition.
func (r *recorder) write(f func(*Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.rec)
	close(r.news)
	r.news = make(chan struct{})
}

// hold counts a sender's open calls, by 1 or -1.
func (r *recorder) hold(sender string, by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[sender] += by
}

func (r *recorder) held(sender string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open[sender]
}

// post writes one post down. It wakes nobody: there are many, and conditions are looked at now and then anyway.
func (r *recorder) post(p Post) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Posts = append(r.rec.Posts, p)
}

// read copies the record.
func (r *recorder) read() (Record, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.rec
	c.HandIns, c.Calls = slices.Clone(c.HandIns), slices.Clone(c.Calls) // whose entries still change
	c.Notices, c.Lists, c.Acts, c.Posts = slices.Clip(c.Notices), slices.Clip(c.Lists), slices.Clip(c.Acts), slices.Clip(c.Posts)
	c.Stalls = slices.Clip(c.Stalls)
	return c, r.news
}

// CallsOf are the calls of one message.
func (r Record) CallsOf(id string) (cs []Call) {
	for _, c := range r.Calls {
		if c.ID == id {
			cs = append(cs, c)
		}
	}
	return cs
}

// Ended tells whether a message was delivered or the platform was told of its end.
func (r Record) Ended(id string) bool {
	return slices.ContainsFunc(r.Calls, func(c Call) bool { return c.ID == id && c.Status == 200 }) ||
		slices.ContainsFunc(r.Notices, func(n Notice) bool { return n.ID == id })
}

// Delivered counts the messages that a receiver answered 200.
func (r Record) Delivered() int {
	ids := map[string]bool{}
	for _, c := range r.Calls {
		if c.Status == 200 {
			ids[c.ID] = true
		}
	}
	return len(ids)
}

// Owed are the messages taken on that have not ended.
func (r Record) Owed() (ids []string) {
	for _, h := range r.HandIns {
		if h.Taken() && !r.Ended(h.ID) {
			ids = append(ids, h.ID)
		}
	}
	return ids
}

// Story tells all that passed of one message, in the order of time, and what was done to senders meanwhile.
func (r Record) Story(id string) string {
	type line struct {
		at   time.Duration
		text string
	}
	var lines []line
	add := func(at time.Duration, form string, args ...any) {
		lines = append(lines, line{at, fmt.Sprintf(form, args...)})
	}
	for _, h := range r.HandIns {
		if h.ID == id {
			add(h.At, "handed in at %s, lane %s, destination %d, within %v", h.Sender, h.Lane, h.Dst, h.Within)
			add(h.Answered, "%s answers %q", h.Sender, h.Answer)
		}
	}
	for _, c := range r.CallsOf(id) {
		add(c.At, "%s calls %d", c.Sender, c.Dst)
		if c.Answered > 0 {
			add(c.Answered, "answer to %s: %s", c.Sender, status(c))
		}
	}
	for _, n := range r.Notices {
		if n.ID == id {
			add(n.At, "%s tells the platform: %s", n.Sender, n.State)
		}
	}
	for _, a := range r.Acts {
		add(a.At, "%s: %s", a.Sender, a.What)
	}
	slices.SortStableFunc(lines, func(a, b line) int { return cmp.Compare(a.at, b.at) })
	text := "story of " + id
	for _, l := range lines {
		text += fmt.Sprintf("\n%12v %s", l.at.Round(time.Microsecond), l.text)
	}
	return text
}

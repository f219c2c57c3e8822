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

// Record is the traffic that was seen on the wire, and what was done to senders, each in order of time. Times are since the rig was
// created.
type Record struct {
	HandIns  []HandIn
	Calls    []Call
	Notices  []Notice
	Listings []Listing
	Actions  []Action
	Posts    []Post
	Stalls   []Stall
}

// HandIn is one hand-in of a message and its answer.
type HandIn struct {
	Message
	At, Answered time.Duration
	Sender       string
	Answer       string // empty if there was none
	NoAnswer     NoAnswer
}

// Accepted reports whether the sender accepted the message.
func (h HandIn) Accepted() bool { return h.Answer == "+OK" || strings.HasPrefix(h.Answer, "+OK ") }

// Call is one leg as a receiver saw it.
type Call struct {
	At, Answered time.Duration // Answered is 0 for a call that is open or was cut
	Sender       string
	ID, Key      string
	Dst          int64
	Status       int // 0 for no answer
	RetryAfter   time.Duration
	RawRequest   string // as received, for transcripts
}

// MayHaveRun reports whether the call may have taken effect.
func (c Call) MayHaveRun() bool { return c.Status != 429 && c.Status != 503 && c.Status != 504 }

// Notice is one notice that the platform accepted.
type Notice struct {
	At        time.Duration
	Sender    string
	ID, State string
}

// Listing is a change of the destination list, as it was sent to one sender.
type Listing struct {
	At      time.Duration
	Sender  string
	Dst     int64
	Serving bool
}

// Action is what was done to a sender: start, kill, term, stop, cont, wipe, or restore with the name of the copy.
type Action struct {
	At     time.Duration
	Sender string
	What   string
}

// Post is one HTTP post on a directed link.
type Post struct {
	At       time.Duration
	From, To string
	Outcome  string // delivered, duplicated, replayed, lost, cut, unanswered or held
	Bytes    int
	Frames   []links.Frame // as sent
}

// Stall is a time in which the machine did not run the rig, and so none of its links, receivers and clients.
type Stall struct{ From, To time.Duration }

const (
	stallPollInterval = 5 * time.Millisecond // between checks for stalls
	minStall          = 5 * time.Millisecond // a check that is later than this is a stall; on a busy machine what takes ten turns of several processes can have ten of them
)

// recordStalls records stalls until done is closed.
func (r *recorder) recordStalls(done <-chan struct{}) {
	ticker := time.NewTicker(stallPollInterval)
	defer ticker.Stop()
	for last := r.now(); ; {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		now := r.now()
		if now-last >= stallPollInterval+minStall {
			r.mu.Lock()
			r.rec.Stalls = append(r.rec.Stalls, Stall{last + stallPollInterval, now})
			r.mu.Unlock()
		}
		last = now
	}
}

// recorder collects a Record.
type recorder struct {
	start   time.Time
	mu      sync.Mutex // no other lock is taken while it is held
	rec     Record
	open    map[string]int // calls that a receiver has not finished, by sender
	changed chan struct{}  // closed and replaced with each update
}

func newRecorder() *recorder {
	return &recorder{start: time.Now(), open: map[string]int{}, changed: make(chan struct{})}
}

func (r *recorder) now() time.Duration { return time.Since(r.start) }

// update changes the record and wakes those that wait for a condition.
func (r *recorder) update(f func(*Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.rec)
	close(r.changed)
	r.changed = make(chan struct{})
}

// addOpenCalls adds to the number of a sender's open calls.
func (r *recorder) addOpenCalls(sender string, by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[sender] += by
}

func (r *recorder) openCalls(sender string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open[sender]
}

// addPost records a post. It wakes nobody: posts are frequent, and conditions are polled anyway.
func (r *recorder) addPost(p Post) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Posts = append(r.rec.Posts, p)
}

// snapshot returns a copy of the record, and a channel that the next update closes.
func (r *recorder) snapshot() (Record, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.rec
	c.HandIns, c.Calls = slices.Clone(c.HandIns), slices.Clone(c.Calls) // entries of these two still change
	c.Notices, c.Listings, c.Actions, c.Posts = slices.Clip(c.Notices), slices.Clip(c.Listings), slices.Clip(c.Actions), slices.Clip(c.Posts)
	c.Stalls = slices.Clip(c.Stalls)
	return c, r.changed
}

// CallsOf returns the calls of one message.
func (r Record) CallsOf(id string) (cs []Call) {
	for _, c := range r.Calls {
		if c.ID == id {
			cs = append(cs, c)
		}
	}
	return cs
}

// Ended reports whether a message was delivered or the platform got a notice of its end.
func (r Record) Ended(id string) bool {
	return slices.ContainsFunc(r.Calls, func(c Call) bool { return c.ID == id && c.Status == 200 }) ||
		slices.ContainsFunc(r.Notices, func(n Notice) bool { return n.ID == id })
}

// Delivered counts the messages that a receiver answered with 200.
func (r Record) Delivered() int {
	ids := map[string]bool{}
	for _, c := range r.Calls {
		if c.Status == 200 {
			ids[c.ID] = true
		}
	}
	return len(ids)
}

// Unended returns the accepted messages that have not ended.
func (r Record) Unended() (ids []string) {
	for _, h := range r.HandIns {
		if h.Accepted() && !r.Ended(h.ID) {
			ids = append(ids, h.ID)
		}
	}
	return ids
}

// Timeline describes the traffic of one message and all actions on senders, in order of time.
func (r Record) Timeline(id string) string {
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
			add(h.At, "handed in at %s, class %s, destination %d, deadline after %v", h.Sender, h.Class, h.Dst, h.Timeout)
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
			add(n.At, "%s notifies the platform: %s", n.Sender, n.State)
		}
	}
	for _, a := range r.Actions {
		add(a.At, "%s: %s", a.Sender, a.What)
	}
	slices.SortStableFunc(lines, func(a, b line) int { return cmp.Compare(a.at, b.at) })
	text := "timeline of " + id
	for _, l := range lines {
		text += fmt.Sprintf("\n%12v %s", l.at.Round(time.Microsecond), l.text)
	}
	return text
}

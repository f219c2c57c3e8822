package fleettest

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"ravenlink/internal/links"
)

// Faults are the faults of one directed link. The opposite link has its own, so a cut here is a one-way cut.
type Faults struct {
	Cut              bool          `json:",omitempty"`          // connections are closed without an answer
	DropAnswers      bool          `json:"Mute,omitempty"`      // posts arrive, their answers don't
	HalfOpen         bool          `json:",omitempty"`          // connections are accepted, but nothing is forwarded or answered
	Delay            time.Duration `json:",omitempty"`          // before a post is forwarded
	Loss             float64       `json:",omitempty"`          // share of posts whose connection is closed instead of forwarding them
	Duplication      float64       `json:"Doubles,omitempty"`   // share of posts that are forwarded twice
	Reordering       float64       `json:"Disorder,omitempty"`  // share of posts of which a copy is forwarded again after a later one
	ThrottleBytes    int           `json:"BytesEach,omitempty"` // so many bytes of a post are forwarded per ThrottleInterval; 0 for no limit
	ThrottleInterval time.Duration `json:"Each,omitempty"`
	ReplayDelay      time.Duration `json:"ReplayWait,omitempty"` // before such a copy is forwarded
}

// Link is a proxy between two senders, in one direction.
type Link struct {
	From, To string
	r        *Rig
	server   *httptest.Server
	client   *http.Client
	target   string

	mu         sync.Mutex // taken before the recorder's
	rng        *rand.Rand
	faults     Faults
	changed    context.Context // cancelled by each change of faults
	change     context.CancelFunc
	replayNext []byte // a copy of a post, to be forwarded after the next one
	replays    sync.WaitGroup
	closed     bool
}

func newLink(r *Rig, from, to, target string, seed uint64) *Link {
	l := &Link{From: from, To: to, r: r, target: target, rng: rand.New(rand.NewPCG(seed, uint64(from[0])<<8|uint64(to[0]))),
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true,
			DialContext: (&net.Dialer{Timeout: waitLimit}).DialContext}}}
	l.changed, l.change = context.WithCancel(context.Background())
	l.server = newServer(http.HandlerFunc(l.handle))
	return l
}

// Addr returns the address at which From reaches To.
func (l *Link) Addr() string { return l.server.Listener.Addr().String() }

// Set replaces the faults of the link. Posts that are delayed are forwarded at once, and the connections of held ones are closed.
func (l *Link) Set(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.change()
	l.changed, l.change = context.WithCancel(context.Background())
}

func (l *Link) close() {
	l.mu.Lock()
	l.closed = true
	l.change()
	l.mu.Unlock()
	l.server.CloseClientConnections()
	l.server.Close()
	l.replays.Wait()
	l.client.CloseIdleConnections()
}

// plan is what happens to one post. Its random choices are made once.
type plan struct {
	Faults
	drop, duplicate bool
	replay          []byte
	changed         context.Context
}

func (l *Link) plan(body []byte) plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := plan{Faults: l.faults, changed: l.changed, replay: l.replayNext}
	p.drop, p.duplicate = l.rng.Float64() < p.Loss, l.rng.Float64() < p.Duplication
	l.replayNext = nil
	if l.rng.Float64() < p.Reordering {
		l.replayNext = body
	}
	return p
}

func (l *Link) handle(out http.ResponseWriter, in *http.Request) {
	body, err := io.ReadAll(in.Body)
	if err != nil {
		return
	}
	p := l.plan(body)
	switch {
	case p.Cut:
		l.record("cut", body)
		panic(http.ErrAbortHandler)
	case p.HalfOpen:
		l.record("held", body)
		waitUnlessChanged(in.Context(), p.changed, 0)
		panic(http.ErrAbortHandler)
	case p.drop:
		l.record("lost", body)
		panic(http.ErrAbortHandler)
	}
	// A post that was read is forwarded even if its sender has disconnected, as on a network.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(in.Context()), waitLimit/4)
	defer cancel()
	delay := p.Delay
	if p.ThrottleBytes > 0 {
		delay += time.Duration(len(body)/p.ThrottleBytes) * p.ThrottleInterval
	}
	if delay > 0 && !waitUnlessChanged(ctx, p.changed, delay) {
		panic(http.ErrAbortHandler)
	}
	if p.duplicate {
		l.record("duplicated", body)
		_, _, _ = l.forward(ctx, body)
	}
	status, answer, err := l.forward(ctx, body)
	if p.replay != nil {
		l.replay(p)
	}
	if err != nil {
		l.record("unanswered", body)
		panic(http.ErrAbortHandler)
	}
	if p.DropAnswers {
		l.record("unanswered", body)
		panic(http.ErrAbortHandler)
	}
	l.record("delivered", body)
	out.WriteHeader(status)
	_, _ = out.Write(answer)
}

// replay forwards an old post again, after the newer one.
func (l *Link) replay(p plan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.replays.Go(func() {
		if p.ReplayDelay > 0 && !waitUnlessChanged(context.Background(), p.changed, p.ReplayDelay) {
			return
		}
		l.record("replayed", p.replay)
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit/4)
		defer cancel()
		_, _, _ = l.forward(ctx, p.replay)
	})
}

func (l *Link) forward(ctx context.Context, body []byte) (int, []byte, error) {
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.target+"/", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	res, err := l.client.Do(out)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	return res.StatusCode, answer, err
}

func (l *Link) record(outcome string, body []byte) {
	_, frames, _ := links.DecodeBody(body) // an unreadable post has none
	l.r.rec.addPost(Post{l.r.rec.now(), l.From, l.To, outcome, len(body), frames})
}

// waitUnlessChanged waits for d, or until the faults change, and returns true, or false if the caller disconnected before. With d = 0 it
// waits until the faults change or the caller disconnects, and returns false.
func waitUnlessChanged(caller, changed context.Context, d time.Duration) bool {
	var over <-chan time.Time
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		over = t.C
	}
	select {
	case <-caller.Done():
		return false
	case <-changed.Done():
		return d > 0
	case <-over:
		return true
	}
}

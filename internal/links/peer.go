package links

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Peer is another sender and its address.
type Peer struct {
	Name string
	Addr string // each directed link has its own address
}

// phase is the state of the link to a peer.
type phase uint8

const (
	needsGreeting phase = iota // no stamp of the peer's process is known: the next post is a greeting without frames
	greeted                    // posts carry frames
)

// outcome is the result of a post.
type outcome uint8

const (
	delivered  outcome = iota
	staleStamp         // the peer rejected the stamp as too old or not its own, and returned a new one
	failed             // no valid answer in time
	rejected           // the peer will reject the same post again
)

// peer is the sending side of one directed link: one goroutine, one connection, one post at a time.
type peer struct {
	*queue
	Peer
	l      *Links
	client *http.Client
	seen   chan struct{} // holds a token after the peer was heard from: it is up, so a long backoff ends

	// Used only by the link's goroutine.
	phase      phase
	lastAnswer answer
	answeredAt int64 // µs, when lastAnswer arrived
	failures   int
}

func newPeer(l *Links, p Peer) *peer {
	dial := net.Dialer{Timeout: postTimeout, KeepAlive: -1}
	return &peer{queue: newQueue(&l.counters), Peer: p, l: l, seen: make(chan struct{}, 1), client: &http.Client{Transport: &http.Transport{
		DialContext: dial.DialContext, DisableCompression: true, MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1,
		IdleConnTimeout: idleTimeout * 4 / 5, MaxResponseHeaderBytes: maxHeaderBytes, WriteBufferSize: 2 << 10, ReadBufferSize: 1 << 10}}}
}

// run sends queued frames until the context ends, then flushes the queue.
func (p *peer) run(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	postCtx, stopPosting := context.WithCancel(context.Background())
	defer stopPosting()
	flushCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		time.AfterFunc(p.l.shutdownTimeout/shutdownAttempts, stopPosting) // cancels a hanging post, which would otherwise use up the whole shutdown timeout
		time.AfterFunc(p.l.shutdownTimeout, cancel)
	})()
	for p.pause(ctx, p.wake, 0) && p.pause(ctx, nil, batchDelay) {
		batch := p.takeBatch(p.l.now())
		if len(batch) == 0 {
			continue
		}
		if !p.backOff(ctx, p.transition(p.deliver(postCtx, batch))) {
			break
		}
	}
	p.flush(flushCtx)
}

// flush posts the queued frames until none is left or the context ends, even if the post before failed: a sender that
// shuts down has no later attempt.
func (p *peer) flush(ctx context.Context) {
	for ctx.Err() == nil {
		batch := p.takeBatch(p.l.now())
		if len(batch) == 0 {
			return
		}
		if p.lastAnswer.Boot != 0 {
			p.phase = greeted // a greeting would cost a round trip, and the known stamp may still be valid
		}
		tryCtx, cancel := context.WithTimeout(ctx, p.l.shutdownTimeout/shutdownAttempts)
		result := p.deliver(tryCtx, batch)
		cancel()
		p.transition(result)
		if result == rejected || result != delivered && !p.pause(ctx, nil, minBackoff) {
			return
		}
	}
}

// pause waits for a token or, without a channel, for a duration; it returns false if the context has ended.
func (p *peer) pause(ctx context.Context, c <-chan struct{}, d time.Duration) bool {
	if c == nil && d == 0 {
		return ctx.Err() == nil
	}
	var timer <-chan time.Time
	if c == nil {
		t := time.NewTimer(d)
		defer t.Stop()
		timer = t.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-c:
	case <-timer:
	}
	return true
}

// backOff waits after a failure: at least minBackoff, and longer unless the peer is heard from meanwhile.
func (p *peer) backOff(ctx context.Context, d time.Duration) bool {
	select {
	case <-p.seen:
	default:
	}
	if !p.pause(ctx, nil, min(d, minBackoff)) {
		return false
	}
	if d <= minBackoff {
		return true
	}
	long, cancel := context.WithTimeout(ctx, d-minBackoff)
	defer cancel()
	select {
	case <-long.Done():
	case <-p.seen:
	}
	return ctx.Err() == nil
}

// markSeen records that the peer was heard from.
func (p *peer) markSeen() {
	select {
	case p.seen <- struct{}{}:
	default:
	}
}

// transition updates the link's state after a batch and returns how long to back off.
func (p *peer) transition(o outcome) time.Duration {
	switch o {
	case delivered:
		p.phase, p.failures = greeted, 0
		return 0
	case staleStamp:
		p.phase = greeted
	default:
		p.phase = needsGreeting
		p.l.counters.failed.Add(1)
	}
	p.failures++
	limit := min(maxBackoff, minBackoff<<min(p.failures-1, 10))
	return limit/2 + rand.N(limit/2)
}

// deliver greets the peer if needed and posts a batch; frames that may still be accepted are requeued.
func (p *peer) deliver(ctx context.Context, batch []queuedFrame) outcome {
	result := delivered
	if p.phase == needsGreeting {
		result = p.post(ctx, nil)
	}
	if result == delivered {
		if result = p.post(ctx, batch); result == staleStamp { // the peer restarted, or the stamp expired unnoticed: retry once with the new one
			result = p.post(ctx, batch)
		}
	}
	switch result {
	case delivered:
		p.l.counters.sent.Add(uint64(len(batch)))
	case rejected:
		p.l.counters.dropped.Add(uint64(len(batch)))
	default:
		p.requeue(batch)
	}
	return result
}

func (p *peer) encode(batch []queuedFrame) ([]byte, error) {
	h, now := p.l.hello, p.l.now()
	body := post{Fleet: h.Fleet, Name: h.Name, Version: h.Version, Incarnation: h.Incarnation, Folder: h.Folder}
	if len(batch) > 0 {
		body.Boot, body.Stamp, body.Held = p.lastAnswer.Boot, p.lastAnswer.Stamp, now-p.answeredAt
	}
	for _, f := range batch {
		body.Frames = append(body.Frames, wireFrame{f.Kind, f.Slot, f.Body, now - f.queuedAt})
	}
	return cbor.Marshal(body)
}

// post sends a batch, or a greeting if the batch is empty.
func (p *peer) post(ctx context.Context, batch []queuedFrame) outcome {
	ctx, cancel := context.WithTimeout(ctx, postTimeout)
	defer cancel()
	body, err := p.encode(batch)
	if err != nil {
		return rejected
	}
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Addr+postPath, bytes.NewReader(body))
	if err != nil {
		return rejected
	}
	out.Header["User-Agent"] = nil
	out.GetBody = nil // prevents the transport from retrying on its own
	p.l.counters.bytesOut.Add(uint64(len(body)))
	res, err := p.client.Do(out)
	if err != nil {
		return failed
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxHeaderBytes))
	if err != nil {
		return failed
	}
	p.l.counters.posts.Add(1)
	return p.handleAnswer(res.StatusCode, text, len(batch) == 0)
}

// handleAnswer processes the response to a post.
func (p *peer) handleAnswer(status int, text []byte, greeting bool) outcome {
	switch status {
	case http.StatusOK, http.StatusConflict:
	case http.StatusTooManyRequests:
		return failed
	default:
		p.l.logFault(p.Name, Cause(fmt.Sprint("answer ", status)), "the peer rejects this sender's posts: "+string(text[:min(len(text), 80)]))
		return rejected
	}
	var a answer
	if err := decMode.Unmarshal(text, &a); err != nil {
		p.l.counters.reject(Malformed)
		p.l.logFault(p.Name, Malformed, "an answer")
		return failed
	}
	if greeting || status == http.StatusConflict {
		if c := p.mismatch(a); c != "" {
			p.l.counters.reject(c)
			p.l.logFault(p.Name, c, fmt.Sprintf("%q of fleet %q in version %d answers at %s", a.Name, a.Fleet, a.Version, p.Addr))
			return rejected
		}
	} else if a.Boot != p.lastAnswer.Boot {
		return failed // another process has answered in between: greet it
	}
	p.lastAnswer, p.answeredAt = a, p.l.now()
	if status == http.StatusConflict {
		return staleStamp
	}
	return delivered
}

func (p *peer) mismatch(a answer) Cause {
	switch {
	case a.Fleet != p.l.hello.Fleet:
		return OtherFleet
	case a.Name != p.Name:
		return WrongPeer
	case a.Version < 1:
		return OldVersion
	}
	return ""
}

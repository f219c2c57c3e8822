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

// Peer is another sender, and where this one reaches it.
type Peer struct {
	Name string
	Addr string // every directed link has an address of its own
}

// phase of the link to a peer.
type phase uint8

const (
	strange phase = iota // no stamp of the peer's process is held: the next post is a greeting
	known                // posts carry frames
)

// outcome of a post.
type outcome uint8

const (
	good    outcome = iota
	unknown         // the peer holds the stamp for too old or not its own, and has told another
	failed          // nothing that counts came back in time
	refused         // the peer will refuse the same again
)

// peer is the sending half of one directed link: one goroutine, one connection, one post at a time.
type peer struct {
	*queue
	Peer
	l      *Links
	client *http.Client
	shows  chan struct{} // holds one token since the peer was heard: it is up, so a long rest ends

	// Of the link's goroutine alone.
	phase phase
	told  answer
	since int64 // µs, when told came
	fails int
}

func newPeer(l *Links, p Peer) *peer {
	dial := net.Dialer{Timeout: postWithin, KeepAlive: -1}
	return &peer{queue: newQueue(&l.tally), Peer: p, l: l, shows: make(chan struct{}, 1), client: &http.Client{Transport: &http.Transport{
		DialContext: dial.DialContext, DisableCompression: true, MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1,
		IdleConnTimeout: idleAfter * 4 / 5, MaxResponseHeaderBytes: headBytes, WriteBufferSize: 2 << 10, ReadBufferSize: 1 << 10}}}
}

// run sends what waits until the context ends, and then its last words.
func (p *peer) run(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	posting, stopPosting := context.WithCancel(context.Background())
	defer stopPosting()
	last, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		time.AfterFunc(p.l.farewell/lastTries, stopPosting) // danger: a post that hangs would take all the time there is
		time.AfterFunc(p.l.farewell, cancel)
	})()
	for p.pause(ctx, p.wake, 0) && p.pause(ctx, nil, linger) {
		batch := p.take(p.l.now())
		if len(batch) == 0 {
			continue
		}
		if !p.rest(ctx, p.step(p.deliver(posting, batch))) {
			break
		}
	}
	p.lastWords(last)
}

// lastWords posts what waits until it is through or the context ends, whatever became of the post before: a sender that ends has no later one.
func (p *peer) lastWords(ctx context.Context) {
	for ctx.Err() == nil {
		batch := p.take(p.l.now())
		if len(batch) == 0 {
			return
		}
		if p.told.Boot != 0 {
			p.phase = known // a greeting would cost a way there and back, and the stamp held may still count
		}
		try, cancel := context.WithTimeout(ctx, p.l.farewell/lastTries)
		o := p.deliver(try, batch)
		cancel()
		p.step(o)
		if o == refused || o != good && !p.pause(ctx, nil, restLeast) {
			return
		}
	}
}

// pause waits for a token or, without a channel, for a time; false when the context has ended.
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

// rest waits after a failure, the least time in any case, and longer unless the peer shows up meanwhile.
func (p *peer) rest(ctx context.Context, d time.Duration) bool {
	select {
	case <-p.shows:
	default:
	}
	if !p.pause(ctx, nil, min(d, restLeast)) {
		return false
	}
	if d <= restLeast {
		return true
	}
	long, cancel := context.WithTimeout(ctx, d-restLeast)
	defer cancel()
	select {
	case <-long.Done():
	case <-p.shows:
	}
	return ctx.Err() == nil
}

// showed takes in that the peer was heard.
func (p *peer) showed() {
	select {
	case p.shows <- struct{}{}:
	default:
	}
}

// step changes the link's state after a batch, and says how long to rest.
func (p *peer) step(o outcome) time.Duration {
	switch o {
	case good:
		p.phase, p.fails = known, 0
		return 0
	case unknown:
		p.phase = known
	default:
		p.phase = strange
		p.l.tally.failed.Add(1)
	}
	p.fails++
	top := min(restMost, restLeast<<min(p.fails-1, 10))
	return top/2 + rand.N(top/2)
}

// deliver greets if need be and posts a batch; frames that may yet be heard go back to the queue.
func (p *peer) deliver(ctx context.Context, batch []waiting) outcome {
	o := good
	if p.phase == strange {
		o = p.post(ctx, nil)
	}
	if o == good {
		if o = p.post(ctx, batch); o == unknown { // the peer began anew, or the stamp got old unseen: once more, with the new one
			o = p.post(ctx, batch)
		}
	}
	switch o {
	case good:
		p.l.tally.sent.Add(uint64(len(batch)))
	case refused:
		p.l.tally.dropped.Add(uint64(len(batch)))
	default:
		p.back(batch)
	}
	return o
}

func (p *peer) encode(batch []waiting) ([]byte, error) {
	h, now := p.l.hello, p.l.now()
	body := post{Fleet: h.Fleet, Name: h.Name, Version: h.Version, Incarnation: h.Incarnation, Folder: h.Folder}
	if len(batch) > 0 {
		body.Boot, body.Stamp, body.Held = p.told.Boot, p.told.Stamp, now-p.since
	}
	for _, f := range batch {
		body.Frames = append(body.Frames, wireFrame{f.Kind, f.Slot, f.Body, now - f.at})
	}
	return cbor.Marshal(body)
}

// post posts a batch, or a greeting.
func (p *peer) post(ctx context.Context, batch []waiting) outcome {
	ctx, cancel := context.WithTimeout(ctx, postWithin)
	defer cancel()
	body, err := p.encode(batch)
	if err != nil {
		return refused
	}
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Addr+path, bytes.NewReader(body))
	if err != nil {
		return refused
	}
	out.Header["User-Agent"] = nil
	out.GetBody = nil // the transport repeats nothing by itself
	p.l.tally.bytesOut.Add(uint64(len(body)))
	res, err := p.client.Do(out)
	if err != nil {
		return failed
	}
	text, err := io.ReadAll(io.LimitReader(res.Body, headBytes))
	_ = res.Body.Close()
	o := failed
	if err == nil {
		p.l.tally.posts.Add(1)
		o = p.read(res.StatusCode, text, len(batch) == 0)
	}
	if o != good { // danger: an answer too many on the connection, and the own one would pass for the next post's
		p.client.CloseIdleConnections()
	}
	return o
}

// read takes in an answer.
func (p *peer) read(status int, text []byte, greeting bool) outcome {
	switch status {
	case http.StatusOK, http.StatusConflict:
	case http.StatusTooManyRequests:
		return failed
	default:
		p.l.name(p.Name, Cause(fmt.Sprint("answer ", status)), "the peer refuses this sender's posts: "+string(text[:min(len(text), 80)]))
		return refused
	}
	var a answer
	if err := decoding.Unmarshal(text, &a); err != nil {
		p.l.tally.refuse(Torn)
		p.l.name(p.Name, Torn, "an answer")
		return failed
	}
	if a.Boot == p.told.Boot && a.Stamp <= p.told.Stamp {
		p.l.tally.refuse(Doubled)
		p.l.name(p.Name, Doubled, "an answer that had come before")
		return failed
	}
	if greeting || status == http.StatusConflict {
		if c := p.misfit(a); c != "" {
			p.l.tally.refuse(c)
			p.l.name(p.Name, c, fmt.Sprintf("%q of fleet %q in version %d answers at %s", a.Name, a.Fleet, a.Version, p.Addr))
			return refused
		}
	} else if a.Boot != p.told.Boot {
		return failed // another process has answered in between: greet it
	}
	p.told, p.since = a, p.l.now()
	if status == http.StatusConflict {
		return unknown
	}
	return good
}

func (p *peer) misfit(a answer) Cause {
	switch {
	case a.Fleet != p.l.hello.Fleet:
		return OtherFleet
	case a.Name != p.Name:
		return Misled
	case a.Version < 1:
		return OldVersion
	}
	return ""
}

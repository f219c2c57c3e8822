package links

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// Of the hearing half.
const (
	path        = "/"              // short: it is in every head
	headBytes   = 4 << 10          // of a head, and of an answer
	headWithin  = 2 * time.Second  // to say a post's head
	heardWithin = 3 * time.Second  // to say all of it; a peer gives up after postWithin
	idleAfter   = 60 * time.Second // a connection without a post
)

// hearing is the listening half of all links to this sender.
type hearing struct {
	l     *Links
	http  http.Server
	rates map[string]*rate.Limiter // by peer
	conns atomic.Int64
	most  int64
}

func (h *hearing) fill(l *Links) {
	h.l, h.most, h.rates = l, int64(connsEach*len(l.peers)+connsSpare), map[string]*rate.Limiter{}
	for name := range l.peers {
		h.rates[name] = rate.NewLimiter(flood, floodBurst)
	}
	h.http = http.Server{Handler: h, ReadHeaderTimeout: headWithin, ReadTimeout: heardWithin, WriteTimeout: heardWithin,
		IdleTimeout: idleAfter, MaxHeaderBytes: headBytes, ConnState: h.count, DisableGeneralOptionsHandler: true,
		ErrorLog: must(zap.NewStdLogAt(l.log, zap.DebugLevel))}
}

// run hears until the context ends and the sending halves are through.
func (h *hearing) run(at net.Listener, sending *sync.WaitGroup, ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-ctx.Done()
		sending.Wait()
		last, cancel := context.WithTimeout(context.Background(), farewell)
		defer cancel()
		if h.http.Shutdown(last) != nil {
			_ = h.http.Close()
		}
	}()
	err := h.http.Serve(at)
	if errors.Is(err, http.ErrServerClosed) {
		<-done
		return nil
	}
	return err
}

// count keeps connections within their bound: one too many is closed as it comes.
func (h *hearing) count(c net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		if h.conns.Add(1) > h.most {
			h.l.tally.refuse(Flooding)
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		h.conns.Add(-1)
	}
}

// ServeHTTP hears one post.
func (h *hearing) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	out.Header()["Date"] = nil
	out.Header()["Content-Type"] = nil
	from, _, _ := net.SplitHostPort(in.RemoteAddr)
	text, err := io.ReadAll(http.MaxBytesReader(out, in.Body, postBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		h.refuse(out, from, Oversized)
		return
	}
	h.l.tally.bytesIn.Add(uint64(len(text)))
	p, bad := decodePost(text)
	if err != nil || bad != nil || in.Method != http.MethodPost {
		h.refuse(out, from, Torn)
		return
	}
	if c := h.misfit(p); c != "" {
		if h.l.peers[p.Name] != nil {
			from = p.Name
		}
		h.refuse(out, from, c)
		return
	}
	h.take(out, p)
}

func (h *hearing) misfit(p post) Cause {
	switch {
	case p.Fleet != h.l.hello.Fleet:
		return OtherFleet
	case p.Version < 1:
		return OldVersion
	case h.l.peers[p.Name] == nil:
		return Unlisted
	case !h.rates[p.Name].Allow():
		return Flooding
	}
	return ""
}

// take hears a fitting post's frames, if they were not too long on their way.
func (h *hearing) take(out http.ResponseWriter, p post) {
	h.l.peers[p.Name].showed()
	onWay, ok := p.onWay(h.l.boot, h.l.now())
	switch {
	case len(p.Frames) == 0:
		h.answer(out, http.StatusOK, true)
		return
	case !ok: // of an earlier process of ours, or without a greeting
		h.answer(out, http.StatusConflict, true)
		return
	case onWay > lateAfter.Microseconds():
		h.l.tally.refuse(Late)
		h.l.name(p.Name, Late, "frames were too long on their way")
		h.answer(out, http.StatusConflict, true)
		return
	}
	for _, w := range p.Frames {
		f := Frame{Kind: w.Kind, Slot: w.Slot, Body: w.Body, Age: w.Waited + onWay}
		switch {
		case w.Kind < Members || w.Kind > Channels:
			h.l.tally.refuse(UnknownKind)
			h.l.name(p.Name, UnknownKind, "a frame")
		case !f.fits():
			h.l.tally.refuse(Oversized)
			h.l.name(p.Name, Oversized, "a frame")
		default:
			h.l.tally.heard.Add(1)
			h.l.heard(p.hello(), f)
		}
	}
	h.answer(out, http.StatusOK, false)
}

func (h *hearing) answer(out http.ResponseWriter, status int, whole bool) {
	a := answer{Boot: h.l.boot, Stamp: h.l.now()}
	if whole {
		a.Fleet, a.Name, a.Version = h.l.hello.Fleet, h.l.hello.Name, h.l.hello.Version
	}
	text, err := cbor.Marshal(a)
	if err != nil {
		status = http.StatusInternalServerError
	}
	out.WriteHeader(status)
	_, _ = out.Write(text) // the peer hears nothing, then, and posts again
}

func (h *hearing) refuse(out http.ResponseWriter, from string, c Cause) {
	h.l.tally.refuse(c)
	h.l.name(from, c, "a post")
	status := map[Cause]int{Oversized: http.StatusRequestEntityTooLarge, Torn: http.StatusBadRequest, Flooding: http.StatusTooManyRequests,
		OldVersion: http.StatusUpgradeRequired}[c]
	if status == 0 {
		status = http.StatusForbidden
	}
	out.WriteHeader(status)
	_, _ = io.WriteString(out, string(c))
}

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

// Settings of the HTTP server.
const (
	postPath       = "/"              // short, since every request line contains it
	maxHeaderBytes = 4 << 10          // of a request's header, and of a response
	headerTimeout  = 2 * time.Second  // to read the request header
	readTimeout    = 3 * time.Second  // to read the whole request; a peer gives up after postTimeout
	idleTimeout    = 60 * time.Second // closes a connection without requests
)

// server receives the posts of all peers.
type server struct {
	l        *Links
	http     http.Server
	rates    map[string]*rate.Limiter // by peer name
	conns    atomic.Int64
	maxConns int64
}

func (h *server) setup(l *Links) {
	h.l, h.maxConns, h.rates = l, int64(connsPerPeer*len(l.peers)+extraConns), map[string]*rate.Limiter{}
	for name := range l.peers {
		h.rates[name] = rate.NewLimiter(maxPostsPerSec, postBurst)
	}
	h.http = http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, WriteTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: h.trackConn, DisableGeneralOptionsHandler: true,
		ErrorLog: must(zap.NewStdLogAt(l.log, zap.DebugLevel))}
}

// run serves until the context ends and the sending goroutines have finished.
func (h *server) run(at net.Listener, sending *sync.WaitGroup, ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-ctx.Done()
		sending.Wait()
		last, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
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

// trackConn limits the number of connections: one above the limit is closed at once.
func (h *server) trackConn(c net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		if h.conns.Add(1) > h.maxConns {
			h.l.counters.reject(RateExceeded)
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		h.conns.Add(-1)
	}
}

// ServeHTTP handles one post.
func (h *server) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	out.Header()["Date"] = nil
	out.Header()["Content-Type"] = nil
	from, _, _ := net.SplitHostPort(in.RemoteAddr)
	text, err := io.ReadAll(http.MaxBytesReader(out, in.Body, maxPostBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		h.reject(out, from, Oversized)
		return
	}
	h.l.counters.bytesIn.Add(uint64(len(text)))
	p, bad := decodePost(text)
	if err != nil || bad != nil || in.Method != http.MethodPost {
		h.reject(out, from, Malformed)
		return
	}
	if c := h.mismatch(p); c != "" {
		if h.l.peers[p.Name] != nil {
			from = p.Name
		}
		h.reject(out, from, c)
		return
	}
	h.receive(out, p)
}

func (h *server) mismatch(p post) Cause {
	switch {
	case p.Fleet != h.l.hello.Fleet:
		return OtherFleet
	case p.Version < 1:
		return OldVersion
	case h.l.peers[p.Name] == nil:
		return Unlisted
	case !h.rates[p.Name].Allow():
		return RateExceeded
	}
	return ""
}

// receive passes the frames of a valid post on, unless it was in transit for too long.
func (h *server) receive(out http.ResponseWriter, p post) {
	h.l.peers[p.Name].markSeen()
	transit, ok := p.transitTime(h.l.boot, h.l.now())
	switch {
	case len(p.Frames) == 0:
		h.reply(out, http.StatusOK, true)
		return
	case !ok: // the stamp is of an earlier process of this sender, or missing
		h.reply(out, http.StatusConflict, true)
		return
	case transit > maxTransit.Microseconds():
		h.l.counters.reject(Late)
		h.l.logFault(p.Name, Late, "frames were in transit for too long")
		h.reply(out, http.StatusConflict, true)
		return
	}
	for _, w := range p.Frames {
		f := Frame{Kind: w.Kind, Slot: w.Slot, Body: w.Body, Age: w.Waited + transit}
		switch {
		case w.Kind < Members || w.Kind > Channels:
			h.l.counters.reject(UnknownKind)
			h.l.logFault(p.Name, UnknownKind, "a frame")
		case !f.withinLimits():
			h.l.counters.reject(Oversized)
			h.l.logFault(p.Name, Oversized, "a frame")
		default:
			h.l.counters.received.Add(1)
			h.l.receive(p.hello(), f)
		}
	}
	h.reply(out, http.StatusOK, false)
}

func (h *server) reply(out http.ResponseWriter, status int, identify bool) {
	a := answer{Boot: h.l.boot, Stamp: h.l.now()}
	if identify {
		a.Fleet, a.Name, a.Version = h.l.hello.Fleet, h.l.hello.Name, h.l.hello.Version
	}
	text, err := cbor.Marshal(a)
	if err != nil {
		status = http.StatusInternalServerError
	}
	out.WriteHeader(status)
	_, _ = out.Write(text) // on an error the peer gets no answer and posts again
}

func (h *server) reject(out http.ResponseWriter, from string, c Cause) {
	h.l.counters.reject(c)
	h.l.logFault(from, c, "a post")
	status := map[Cause]int{Oversized: http.StatusRequestEntityTooLarge, Malformed: http.StatusBadRequest, RateExceeded: http.StatusTooManyRequests,
		OldVersion: http.StatusUpgradeRequired}[c]
	if status == 0 {
		status = http.StatusForbidden
	}
	out.WriteHeader(status)
	_, _ = io.WriteString(out, string(c))
}

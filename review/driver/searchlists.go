package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// searchLists plays drawn changes of the list, told waits, moves of discovery and restarts over three senders, each with an agent and with
// addresses of receivers of its own. It is no case: it looks for some.

const (
	places      = 9 // addresses at which receivers stand, for each sender
	drainWithin = time.Second
	limitSlack  = 50 * time.Millisecond
)

type member struct {
	ID       string  `json:"id"`
	Addr     string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	Up       int64   `json:"up_since_ms"`
}

// spot is one address of one sender.
type spot struct {
	sender, place int
	addr          string
	mu            sync.Mutex
	conns         map[net.Conn]bool
}

type listHit struct {
	id, member  string
	dst, sender int
	begun       time.Duration
	status      int
}

type toldWait struct {
	sender, dst int
	member      string
	at, until   time.Duration
}

type listWorld struct {
	*play
	mu       sync.Mutex
	revision int64
	here     [places]*member // by place; nil for none
	log      []member        // changes, by revision from 1 on
	mode     map[int]string  // by destination
	told     [senders]map[string]time.Duration
	starts   [senders][]time.Duration
	dead     [senders][][2]time.Duration
	hits     []*listHit
	waits    []toldWait
	hands    []*handed
	seq      int
	spots    [senders][places]*spot
	agents   [senders]*http.Server
	moved    chan struct{} // closed at each change
}

func (w *listWorld) place(sender, place int) (*spot, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &spot{sender: sender, place: place, addr: l.Addr().String(), conns: map[net.Conn]bool{}}
	srv := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.served(s, rw, r) }),
		ConnState: func(c net.Conn, st http.ConnState) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if st == http.StateClosed || st == http.StateHijacked {
				delete(s.conns, c)
			} else {
				s.conns[c] = true
			}
		}}
	w.servers = append(w.servers, srv)
	go func() { _ = srv.Serve(l) }()
	return s, nil
}

// dies resets all connections of a place.
func (s *spot) dies() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if t, is := c.(*net.TCPConn); is {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (w *listWorld) served(s *spot, rw http.ResponseWriter, r *http.Request) {
	begun := w.since()
	_, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	m := w.here[s.place]
	if m == nil {
		w.mu.Unlock()
		if c, _, err := rw.(http.Hijacker).Hijack(); err == nil {
			_ = c.Close()
		}
		return
	}
	mode := w.mode[m.Cell]
	h := &listHit{id: r.Header.Get("X-Txn"), member: m.ID, dst: m.Cell, sender: s.sender, begun: begun}
	w.hits = append(w.hits, h)
	w.mu.Unlock()
	probe := r.Method == http.MethodGet
	status := 200
	if probe && (mode == "wait" || mode == "shut") { // a probe is answered 200 or 503
		status, mode = 503, ""
	}
	switch mode {
	case "ok":
		if !probe {
			time.Sleep(time.Duration(20+rand.IntN(150)) * time.Millisecond)
		}
	case "wait":
		status = 429
		span := 300 + rand.IntN(1500)
		rw.Header().Set("Retry-After", fmt.Sprintf("%.3f", float64(span)/1000))
		w.mu.Lock()
		at := w.since()
		w.waits = append(w.waits, toldWait{s.sender, m.Cell, m.ID, at, at + time.Duration(span)*time.Millisecond})
		w.mu.Unlock()
	case "shut":
		status = 503
	case "slow":
		time.Sleep(time.Duration(300+rand.IntN(1500)) * time.Millisecond)
	}
	rw.WriteHeader(status)
	w.mu.Lock()
	h.status = status
	w.mu.Unlock()
}

// agent is discovery for one sender.
func (w *listWorld) agent(i int) (string, *http.Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	plat := w.platform(nil)
	srv := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/discovery/hosts" {
			plat.ServeHTTP(rw, r)
			return
		}
		from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
		beat := time.NewTicker(beat)
		defer beat.Stop()
		for first := true; ; first = false {
			w.mu.Lock()
			var some []member
			whole := first && (from <= 0 || from > w.revision || rand.IntN(2) == 0)
			if whole {
				for _, m := range w.here {
					if m != nil {
						some = append(some, *m)
					}
				}
			} else {
				for _, m := range w.log[min(int(max(from, 0)), len(w.log)):] {
					some = append(some, m)
				}
			}
			from = w.revision
			out := struct {
				Revision int64    `json:"revision"`
				Complete bool     `json:"complete"`
				Members  []member `json:"members"`
			}{from, whole, some}
			if out.Members == nil {
				out.Members = []member{}
			}
			moved := w.moved
			w.mu.Unlock()
			for k := range out.Members {
				p, _ := strconv.Atoi(out.Members[k].Addr)
				out.Members[k].Addr = w.spots[i][p].addr
			}
			text, _ := json.Marshal(out)
			if _, err := fmt.Fprintln(rw, string(text)); err != nil {
				return
			}
			rw.(http.Flusher).Flush()
			at := w.since()
			w.mu.Lock()
			listed := map[string]bool{}
			for _, m := range out.Members {
				listed[m.ID] = true
				if m.Phase != "SERVING" {
					if _, is := w.told[i][m.ID]; !is {
						w.told[i][m.ID] = at
					}
				}
			}
			if whole {
				for _, m := range w.log {
					if _, is := w.told[i][m.ID]; !is && !listed[m.ID] {
						w.told[i][m.ID] = at
					}
				}
			}
			w.mu.Unlock()
			if r.URL.Query().Get("watch") != "1" {
				return
			}
			for same := true; same; {
				select {
				case <-r.Context().Done():
					return
				case <-moved:
					same = false
				case <-beat.C:
					if _, err := fmt.Fprintln(rw); err != nil {
						return
					}
					rw.(http.Flusher).Flush()
				}
			}
		}
	})}
	w.servers = append(w.servers, srv)
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), srv, nil
}

// change has a member be listed so from now on.
func (w *listWorld) change(m member) {
	w.revision++
	w.log = append(w.log, m)
	close(w.moved)
	w.moved = make(chan struct{})
}

func searchLists(p *play) error {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	draw := rand.New(rand.NewPCG(seed, 7))
	w := &listWorld{play: p, mode: map[int]string{}, moved: make(chan struct{})}
	dsts := []int{7, 8, 9}
	for i := range senders {
		w.told[i] = map[string]time.Duration{}
		for k := range places {
			var err error
			if w.spots[i][k], err = w.place(i, k); err != nil {
				return err
			}
		}
	}
	number := 0
	born := func(place, dst int) {
		number++
		m := member{fmt.Sprintf("r-%d", number), strconv.Itoa(place), "here", "plant", dst, "SERVING", 1, time.Now().UnixMilli()}
		w.here[place] = &m
		w.change(m)
	}
	for k := range 6 {
		born(k, dsts[k%3])
	}
	for _, d := range dsts {
		w.mode[d] = "ok"
	}
	own := os.Getenv("OWN") != "" // each receiver is a route of its own
	op := "version = 1\n" + strings.ReplaceAll(os.Getenv("MORE"), ";", "\n") + "\n"
	var all []*sender
	write := func(i int, s *sender, addr string) error {
		text := searchSettings
		if own {
			text = strings.Replace(text, `"own_limits":[false]`, `"own_limits":[true]`, 1)
		}
		return os.WriteFile(filepath.Join(p.temp, s.name, "config.json"), fmt.Appendf(nil, text, s.name, i, addr, `{"revision":0,"complete":true,"members":[]}`,
			senders, i, "200"), 0o644)
	}
	for i := range senders {
		addr, srv, err := w.agent(i)
		if err != nil {
			return err
		}
		w.agents[i] = srv
		s, err := p.sender(i, senders, nil, addr, op)
		if err != nil {
			return err
		}
		if err := write(i, s, addr); err != nil {
			return err
		}
		w.starts[i] = append(w.starts[i], p.since())
		if err := s.begin(); err != nil {
			return err
		}
		all = append(all, s)
	}
	for _, s := range all {
		if err := s.ready(); err != nil {
			return err
		}
	}
	stop := time.Now().Add(60 * time.Second)
	var work sync.WaitGroup
	for _, d := range dsts {
		for _, lane := range []string{"payout", "status", "notice"} {
			for k := range senders {
				work.Go(func() { w.hand(all, k, d, lane, stop) })
			}
		}
	}
	work.Go(func() { // trouble at destinations
		modes := []string{"wait", "wait", "shut", "slow"}
		for time.Now().Before(stop.Add(-6 * time.Second)) {
			time.Sleep(time.Duration(1000+draw.IntN(2500)) * time.Millisecond)
			d, m := dsts[draw.IntN(3)], modes[draw.IntN(len(modes))]
			w.mu.Lock()
			w.mode[d] = m
			w.mu.Unlock()
			time.Sleep(time.Duration(100+draw.IntN(500)) * time.Millisecond)
			w.mu.Lock()
			w.mode[d] = "ok"
			w.mu.Unlock()
		}
		w.mu.Lock()
		for _, d := range dsts {
			w.mode[d] = "ok"
		}
		w.mu.Unlock()
	})
	work.Go(func() { // receivers come and go
		draw := rand.New(rand.NewPCG(seed, 9))
		for time.Now().Before(stop.Add(-6 * time.Second)) {
			time.Sleep(time.Duration(150+draw.IntN(700)) * time.Millisecond)
			k := draw.IntN(places)
			w.mu.Lock()
			m := w.here[k]
			if m == nil {
				born(k, dsts[draw.IntN(3)])
				w.mu.Unlock()
				continue
			}
			next := *m
			if m.Phase == "SERVING" {
				next.Phase = "DRAINING"
				w.here[k] = &next
				w.change(next)
				w.mu.Unlock()
				continue
			}
			next.Phase = "DELETED"
			w.here[k] = nil
			w.change(next)
			if draw.IntN(2) == 0 {
				born(k, dsts[draw.IntN(3)]) // another stands at its address
			}
			w.mu.Unlock()
			for i := range senders {
				w.spots[i][k].dies()
			}
		}
	})
	died := ""
	work.Go(func() {
		draw := rand.New(rand.NewPCG(seed, 8))
		for p.trouble && time.Now().Before(stop.Add(-8*time.Second)) {
			time.Sleep(time.Duration(800+draw.IntN(2500)) * time.Millisecond)
			i := draw.IntN(senders)
			s := all[i]
			select {
			case <-s.gone:
				died = s.name
				return
			default:
			}
			if draw.IntN(2) == 0 { // discovery moves
				old := w.agents[i]
				addr, srv, err := w.agent(i)
				if err != nil || write(i, s, addr) != nil {
					return
				}
				w.agents[i] = srv
				s.signal(syscall.SIGHUP)
				time.AfterFunc(1500*time.Millisecond, func() { _ = old.Close() })
				continue
			}
			from := p.since()
			if draw.IntN(2) == 0 {
				s.signal(syscall.SIGKILL)
				s.ended(2 * time.Second)
			} else {
				s.signal(syscall.SIGTERM)
				if !s.ended(3700 * time.Millisecond) {
					p.note("sender %s: NOT GONE", s.name)
					s.signal(syscall.SIGKILL)
					s.ended(time.Second)
				}
			}
			time.Sleep(600 * time.Millisecond)
			w.mu.Lock()
			w.starts[i] = append(w.starts[i], p.since())
			w.mu.Unlock()
			if s.begin() != nil || s.ready() != nil {
				died = s.name + " not ready"
				return
			}
			w.mu.Lock()
			w.dead[i] = append(w.dead[i], [2]time.Duration{from, p.since() + 1500*time.Millisecond})
			w.mu.Unlock()
		}
	})
	work.Wait()
	time.Sleep(10 * time.Second)
	if died != "" {
		return fmt.Errorf("%w: sender %s died", errBroken, died)
	}
	return w.judge(all)
}

func (w *listWorld) hand(all []*sender, at, dst int, lane string, stop time.Time) {
	var c *client
	for time.Now().Before(stop) {
		time.Sleep(100*time.Millisecond + rand.N(200*time.Millisecond))
		if c == nil {
			var err error
			if c, err = dial(all[at].listen); err != nil {
				c = nil
				continue
			}
		}
		w.mu.Lock()
		w.seq++
		id := fmt.Sprintf("%016x", w.seq)
		w.mu.Unlock()
		d := 1500 + rand.IntN(5000)
		h := &handed{id: id, lane: lane, dst: dst, sender: at, at: w.since()}
		h.expires = h.at + time.Duration(d)*time.Millisecond
		answer, err := c.say(answerIn, "ENQUEUE", "0000000000000000", id, fmt.Sprintf("c=%s,d=%d,k=k%s,dest=%d", lane, d, id, dst), "body "+id)
		h.ok, h.answer = w.since(), answer
		if err != nil {
			h.answer = "none"
			c.close()
			c = nil
		}
		w.mu.Lock()
		w.hands = append(w.hands, h)
		w.mu.Unlock()
	}
}

func (w *listWorld) judge(all []*sender) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	own := os.Getenv("OWN") != ""
	bad, counts := map[string]int{}, map[string]int{}
	say := func(kind, format string, a ...any) {
		if bad[kind]++; bad[kind] <= 5 {
			w.note("FAULT %s: %s", kind, fmt.Sprintf(format, a...))
		}
	}
	notices, hits, hands := map[string][]notice{}, map[string][]*listHit{}, map[string]*handed{}
	for _, n := range w.notices {
		notices[n.ID] = append(notices[n.ID], n)
	}
	for _, h := range w.hands {
		hands[h.id] = h
	}
	for _, x := range w.hits {
		began := time.Duration(0) // of the process
		for _, s := range w.starts[x.sender] {
			if s <= x.begun {
				began = s
			}
		}
		if told, is := w.told[x.sender][x.member]; is && x.begun > max(told, began)+drainWithin+limitSlack {
			say("drain", "%s to %s at %v, sender %d was told at %v, its process began %v", x.id, x.member, x.begun, x.sender, told, began)
		}
		for _, t := range w.waits {
			if t.sender == x.sender && t.dst == x.dst && (!own || t.member == x.member) && began < t.at && x.begun > t.at+100*time.Millisecond+limitSlack && x.begun < t.until-limitSlack {
				say("wait", "%q at %v, sender %d, destination %d was told at %v to wait until %v", x.id, x.begun, x.sender, x.dst, t.at, t.until)
			}
		}
		if x.id == "" {
			counts["probes"]++
			continue
		}
		hits[x.id] = append(hits[x.id], x)
		if h := hands[x.id]; h == nil {
			say("unknown", "%s", x.id)
		} else if h.dst != x.dst {
			if told, is := w.told[x.sender][x.member]; is {
				say("foreign", "%s for %d went to %s of %d at %v (told %v)", x.id, h.dst, x.member, x.dst, x.begun, told)
			} else {
				counts["foreign, perhaps not told"]++
				w.note("foreign: %s for %d went to %s of %d at %v", x.id, h.dst, x.member, x.dst, x.begun)
			}
		}
	}
	for _, h := range w.hands {
		word, _, _ := strings.Cut(h.answer, " ")
		counts[h.lane+" "+word]++
		good, ran := false, 0
		for _, x := range hits[h.id] {
			good = good || x.status == 200
			if x.status != 503 && x.status != 429 {
				ran++
			}
			for _, n := range notices[h.id] {
				if x.begun > n.At+60*time.Millisecond {
					say("after end", "%s %s: told %s at %v, call at %v", h.lane, h.id, n.State, n.At, x.begun)
				}
			}
		}
		if h.lane == "payout" && ran > 1 {
			say("twice", "%s ran %d times", h.id, ran)
		}
		for _, n := range notices[h.id] {
			if n.State == "returned" && h.lane == "payout" && ran > 0 {
				say("returned ran", "%s", h.id)
			}
		}
		switch {
		case h.answer != "+OK" && h.answer != "none" && len(hits[h.id]) > 0:
			say("refused sent", "%s: %s", h.id, h.answer)
		case h.answer != "+OK" || good:
		case len(notices[h.id]) == 0:
			say("lost", "%s %s at sender %d handed in at %v", h.lane, h.id, h.sender, h.at)
		case notices[h.id][0].At > h.expires+350*time.Millisecond:
			excused := false
			for _, sp := range w.dead[h.sender] {
				excused = excused || h.expires+300*time.Millisecond > sp[0] && notices[h.id][0].At < sp[1]
			}
			if !excused {
				say("late", "%s at sender %d until %v, told %v", h.id, h.sender, h.expires, notices[h.id][0].At)
			}
		}
	}
	for _, s := range all {
		for _, word := range []string{"panic", "fatal error"} {
			if ls := s.logged(word); len(ls) > 0 {
				say("crash", "sender %s: %s", s.name, ls[0])
			}
		}
	}
	w.note("COUNT %v calls %d notices %d waits %d members %d", counts, len(w.hits), len(w.notices), len(w.waits), len(w.log))
	if len(bad) > 0 {
		return fmt.Errorf("%w: %v", errBroken, bad)
	}
	return nil
}

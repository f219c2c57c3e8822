package main

import (
	"fmt"
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

func init() { cases["chaos"] = chaos }

// The chaos play is no case: a search over drawn troubles, by SEED, that judges each end, run, wait, drain and key. KEPT=1, BACKLOG=1, ASK=1,
// HUP=1, STOP=1 and BODIES=bytes add to it. Its seed draws the troubles; the times are the real clock's.

// mode is how a receiver of the chaos play answers.
type mode int

const (
	fine mode = iota
	slow
	hung
	failing
	full
	waits
	resets
	noise
	modes
)

type sentCall struct {
	id, key, order, lane string
	dst                  int64
	at, over             time.Time // begun; when its answer was written or its connection ended
	ran, delivered       bool
	status               int
	where                *chaosReceiver
}

type chaosReceiver struct {
	w    *chaosWorld
	id   string
	cell int64
	addr string
	srv  *http.Server
	mode mode
	zone string
	told time.Time // when the sender was told that it drains or is gone
}

type chaosMsg struct {
	id, lane, key, order string
	dst                  int64
	at, until            time.Time
	process              int
}

type chaosWorld struct {
	r       *rig
	a       *agent
	rng     *rand.Rand
	mu      sync.Mutex
	recvs   []*chaosReceiver
	calls   []*sentCall
	msgs    map[string]*chaosMsg
	order   []*chaosMsg
	waitTil map[string][2]time.Time // by destination: told at, until; of this process
	process int
	down    [][2]time.Time // spans in which no notice is overdue
	zoned   bool
}

func (w *chaosWorld) newRecv(id string, cell int64) (*chaosReceiver, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &chaosReceiver{w: w, id: id, cell: cell, addr: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /events", v.event)
	mux.HandleFunc("GET /alive", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		m := v.mode
		w.mu.Unlock()
		switch m {
		case hung:
			time.Sleep(3 * time.Second)
		case full, waits, failing:
			rw.WriteHeader(503)
		}
	})
	v.srv = &http.Server{Handler: mux}
	go func() { _ = v.srv.Serve(l) }()
	return v, nil
}

// route is what a wait binds: the destination, or the receiver where routes are apart.
func (v *chaosReceiver) route() string {
	if v.w.zoned {
		return v.id
	}
	return fmt.Sprint(v.cell)
}

func (v *chaosReceiver) event(rw http.ResponseWriter, q *http.Request) {
	body := make([]byte, q.ContentLength)
	if _, err := readFull(q, body); err != nil {
		return
	}
	w := v.w
	now := time.Now()
	w.mu.Lock()
	m := w.msgs[base(q.Header.Get("X-Txn"))]
	c := &sentCall{id: q.Header.Get("X-Txn"), key: q.Header.Get("Idempotency-Key"), at: now, where: v}
	if m == nil {
		w.mu.Unlock()
		time.Sleep(20 * time.Millisecond) // its hand-in may not be noted yet
		w.mu.Lock()
		m = w.msgs[base(c.id)]
	}
	if m != nil {
		c.lane, c.order, c.dst = m.lane, m.order, m.dst
		if m.dst != v.cell {
			w.r.breaks("foreign: %s for %d at %s of %d", c.id, m.dst, v.id, v.cell)
		}
	}
	md := v.mode
	x := w.rng.Float64()
	if md == failing && x > 0.8 {
		md = fine
	}
	c.ran = md != full && md != waits
	for _, o := range w.calls { // order: nothing of the key's earlier messages is out
		if c.order != "" && c.lane == "step" && o.order == c.order && o.lane == c.lane && o.id != c.id && o.over.IsZero() && now.Sub(o.at) > 0 {
			w.r.breaks("order: %s of key %s begins while a call of %s is out", c.id, c.order, o.id)
		}
	}
	if s, is := w.waitTil[v.route()]; is && now.After(s[0].Add(110*time.Millisecond)) && now.Before(s[1].Add(-2*time.Millisecond)) {
		w.r.breaks("wait: %s reaches destination %d %v before a wait is over, told %v ago", c.id, v.cell, s[1].Sub(now), now.Sub(s[0]))
	}
	if !v.told.IsZero() && now.Sub(v.told) > 1150*time.Millisecond {
		w.r.breaks("drain: %s at %s, %v after it was told gone", c.id, v.id, now.Sub(v.told))
	}
	w.calls = append(w.calls, c)
	wait := time.Duration(200+w.rng.IntN(1300)) * time.Millisecond
	takes := time.Duration(30+w.rng.IntN(250)) * time.Millisecond
	w.mu.Unlock()
	w.r.note("call    %s at %s mode %d", c.id, v.id, md)
	end := func(status int, delivered bool) {
		w.mu.Lock()
		c.over, c.status, c.delivered = time.Now(), status, delivered
		w.mu.Unlock()
	}
	goes := func() { // noted before the answer is written: the sender is quick
		w.mu.Lock()
		c.over = time.Now()
		w.mu.Unlock()
	}
	switch md {
	case slow:
		takes *= 8
	case hung:
		takes = 6 * time.Second
	}
	if md != full && md != waits {
		select {
		case <-time.After(takes):
		case <-q.Context().Done():
			end(0, false)
			return
		}
	}
	switch md {
	case fine, slow, hung:
		rw.Header().Set("Content-Length", "0")
		goes()
		rw.WriteHeader(200)
		err := http.NewResponseController(rw).Flush()
		end(200, err == nil && q.Context().Err() == nil)
	case failing:
		goes()
		rw.WriteHeader(500)
		end(500, false)
	case full:
		rw.WriteHeader(503)
		end(503, false)
	case waits:
		w.mu.Lock()
		at := time.Now()
		if s := w.waitTil[v.route()]; at.Add(wait).After(s[1]) {
			if !at.Before(s[1]) {
				s[0] = at
			}
			w.waitTil[v.route()] = [2]time.Time{s[0], at.Add(wait)}
		}
		w.mu.Unlock()
		rw.Header().Set("Retry-After", fmt.Sprintf("%.3f", wait.Seconds()))
		rw.WriteHeader(429)
		end(429, false)
	case resets, noise:
		goes()
		conn, _, err := http.NewResponseController(rw).Hijack()
		if err == nil {
			if md == noise {
				_, _ = conn.Write([]byte("HTP/9 xx\x00\x01 garbage\r\n\r\n"))
			}
			if t, ok := conn.(*net.TCPConn); ok && md == resets {
				_ = t.SetLinger(0)
			}
			_ = conn.Close()
		}
		end(-1, false)
	}
}

// base is the id under which a kept message was handed in.
func base(id string) string {
	id, _, _ = strings.Cut(id, "-r")
	return id
}

// chaosMore is by how much longer than usual the chaos play takes: MORE seconds.
func chaosMore() time.Duration {
	n, _ := strconv.Atoi(os.Getenv("MORE"))
	return time.Duration(n) * time.Second
}

// weigh looks at the folder that lasts: each file counts in whole 512 bytes.
func (r *rig) weigh(dir string, limit int64) {
	most := int64(0)
	for ; ; time.Sleep(20 * time.Millisecond) {
		files, err := os.ReadDir(dir)
		if err != nil {
			return
		}
		sum, what := int64(0), ""
		for _, f := range files {
			if i, err := f.Info(); err == nil {
				sum += (i.Size() + 511) / 512 * 512
				what += fmt.Sprintf(" %s:%d", f.Name(), i.Size())
			}
		}
		if sum > limit && sum > most {
			r.breaks("the folder holds %d bytes:%s", sum, what)
		}
		if sum > most+100_000 {
			most = sum
			r.note("folder  %d bytes", sum)
		}
	}
}

func readFull(q *http.Request, b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var k int
		k, err = q.Body.Read(b[n:])
		n += k
	}
	if n == len(b) {
		return n, nil
	}
	return n, err
}

func chaos(r *rig) error {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	w := &chaosWorld{r: r, rng: rand.New(rand.NewPCG(seed, 7)), msgs: map[string]*chaosMsg{}, waitTil: map[string][2]time.Time{}}
	const window = 4 * time.Second
	zoned := os.Getenv("ZONES") == "1" // two zones that remember keys apart, and routes apart
	w.zoned = zoned
	var ms []member
	for i := range 6 {
		v, err := w.newRecv(fmt.Sprintf("v%d", i), int64(i%3+1))
		if err != nil {
			return err
		}
		w.recvs = append(w.recvs, v)
		m := serving(v.id, v.addr, v.cell)
		if zoned && i >= 3 {
			v.zone, m.Locality = "there", "there"
		}
		ms = append(ms, m)
	}
	var err error
	if w.a, err = r.newAgent(ms...); err != nil {
		return err
	}
	dl := 7 * time.Second
	step := lane("step", "by_key", dl)
	step["sequential"], step["window"] = true, window.Milliseconds()
	if zoned {
		step["group"] = "zone"
	}
	keyed := lane("keyed", "by_key", dl)
	keyed["window"] = window.Milliseconds()
	if zoned {
		keyed["group"] = "zone"
	}
	f := startFile(knownOf(1, ms...), lane("again", "repeatable", dl), keyed, lane("once", "once", dl), step)
	st := f["settings"].(map[string]any)
	st["balancers"] = 1
	if zoned {
		st["zones"] = []string{"here", "there"}
		st["family_info"].(map[string]any)["own_limits"] = []bool{true}
	}
	ask := os.Getenv("ASK") == "1"
	if ask {
		st["discovery"] = "subscribe"
	}
	hup := time.Now().Add(-time.Hour)
	st["rules"].(map[string]any)["key_quiet"] = 100
	st["limits"].(map[string]any)["most_held"] = 60
	p, err := r.newPlace("n0", w.a.addr, f)
	if err != nil {
		return err
	}
	if os.Getenv("KEPT") == "1" {
		p.operator = filepath.Join(r.dir, "op.toml")
		if err := os.WriteFile(p.operator, []byte("version = 1\n[kept]\nmost_mb = 1\n[[kept.rule]]\nact = \"send\"\nafter = \"1s\"\nrate = 20\nsick = true\ndeadline = \"5s\"\n"), 0o600); err != nil {
			return err
		}
	}
	if os.Getenv("BACKLOG") == "1" {
		p.operator = filepath.Join(r.dir, "op.toml")
		if err := os.WriteFile(p.operator, []byte("version = 1\n[backlog]\n"), 0o600); err != nil {
			return err
		}
	}
	s, err := r.start(p, "process 0")
	if err != nil {
		return err
	}
	if err := s.ready(p); err != nil {
		return err
	}
	ready := []time.Time{time.Now()}
	stopAt := time.Now().Add(70*time.Second + chaosMore())
	var group sync.WaitGroup
	bodies, _ := strconv.Atoi(os.Getenv("BODIES")) // bytes at most
	go r.weigh(p.state, 3_000_000)
	rate := 25
	if os.Getenv("BACKLOG") == "1" {
		rate = 60
	}
	for i := range 6 { // clients; a key's messages come by one of them
		group.Go(func() {
			c := r.newClient(p.listen)
			c.n = i * 1000000
			rng := rand.New(rand.NewPCG(seed, uint64(i+100)))
			for time.Now().Before(stopAt) {
				ln := []string{"again", "keyed", "once", "step", "step"}[rng.IntN(5)]
				m := &chaosMsg{lane: ln, dst: int64(rng.IntN(3) + 1), at: time.Now()}
				if ln == "keyed" || ln == "step" {
					m.key = fmt.Sprintf("%016x", rng.Uint64())
				}
				if ln == "step" {
					m.order = fmt.Sprintf("%014x%02x", 0xabcdef, i*4+rng.IntN(4))
				}
				w.mu.Lock()
				m.process = w.process
				w.mu.Unlock()
				c.n++
				m.id = fmt.Sprintf("%08x%08x", 0x1234, c.n)
				w.mu.Lock()
				w.msgs[m.id] = m
				w.mu.Unlock()
				c.n--
				left := dl
				if rng.IntN(4) == 0 {
					left = time.Duration(500+rng.IntN(4000)) * time.Millisecond
				}
				at := time.Now()
				_, answer := c.handInAs(m.id, ln, m.dst, m.key, m.order, "body "+m.id+strings.Repeat("x", rng.IntN(1+bodies)), left)
				c.n++
				if answer == "+OK" {
					m.until = at.Add(left)
					w.mu.Lock()
					w.order = append(w.order, m)
					w.mu.Unlock()
				}
				time.Sleep(time.Duration(rng.IntN(2*6*1000/rate)) * time.Millisecond)
			}
			c.drop()
		})
	}
	if os.Getenv("STOP") == "1" { // held up for up to 0.15 s, again and again
		go func() {
			for time.Now().Before(stopAt) {
				time.Sleep(time.Duration(50+rand.IntN(300)) * time.Millisecond)
				r.mu.Lock()
				now := r.senders[len(r.senders)-1]
				r.mu.Unlock()
				_ = now.cmd.Process.Signal(syscall.SIGSTOP)
				time.Sleep(140 * time.Millisecond)
				_ = now.cmd.Process.Signal(syscall.SIGCONT)
			}
		}()
	}
	next := 100
	for time.Now().Before(stopAt) {
		time.Sleep(time.Duration(300+w.rng.IntN(1200)) * time.Millisecond)
		if os.Getenv("HUP") == "1" && w.rng.IntN(4) == 0 {
			if time.Since(ready[len(ready)-1]) > time.Second && !s.ended() {
				for range 1 + w.rng.IntN(3) {
					if err := w.a.move(); err != nil {
						return err
					}
					f["discovery"] = w.a.addr
					if err := p.write(f); err != nil {
						return err
					}
					hup = time.Now()
					s.signal(syscall.SIGHUP)
					time.Sleep(time.Duration(w.rng.IntN(400)) * time.Millisecond)
				}
			}
		}
		switch x := w.rng.IntN(20); {
		case x < 12:
			w.mu.Lock()
			v := w.recvs[w.rng.IntN(len(w.recvs))]
			v.mode = mode(w.rng.IntN(int(modes)))
			if w.rng.IntN(3) == 0 {
				v.mode = fine
			}
			if w.rng.IntN(4) == 0 { // a whole destination
				for _, o := range w.recvs {
					if o.cell == v.cell {
						o.mode = v.mode
					}
				}
			}
			w.mu.Unlock()
		case x < 14: // replaced
			next++
			w.mu.Lock()
			i := w.rng.IntN(len(w.recvs))
			old := w.recvs[i]
			w.mu.Unlock()
			v, err := w.newRecv(fmt.Sprintf("v%d", next), old.cell)
			if err != nil {
				return err
			}
			w.mu.Lock()
			w.recvs[i] = v
			w.mu.Unlock()
			g, fresh := serving(old.id, old.addr, old.cell), serving(v.id, v.addr, v.cell)
			g.Phase = "DRAINING"
			if v.zone = old.zone; v.zone != "" {
				g.Locality, fresh.Locality = v.zone, v.zone
			}
			w.a.change(g, fresh)
			w.mu.Lock()
			if !w.a.isDown() {
				old.told = time.Now()
				if ask {
					old.told = old.told.Add(5 * time.Second)
				}
				if t := hup.Add(4 * time.Second); t.After(old.told) {
					old.told = t
				}
			}
			w.mu.Unlock()
			time.AfterFunc(9*time.Second, func() { _ = old.srv.Close() })
		case x < 15:
			w.a.goDown(true)
			time.Sleep(2 * time.Second)
			w.a.goDown(false)
		case x < 19:
			if w.rng.IntN(2) == 0 {
				s.signal(syscall.SIGTERM)
				if !s.endsWithin(3700 * time.Millisecond) {
					r.breaks("it has not ended 3.7 s after SIGTERM")
					s.kill()
				}
			} else {
				time.Sleep(time.Duration(w.rng.IntN(1000)) * time.Millisecond)
				s.signal(syscall.SIGKILL)
				<-s.done
			}
			from := time.Now().Add(-4 * time.Second)
			time.Sleep(600 * time.Millisecond)
			w.mu.Lock()
			w.waitTil = map[string][2]time.Time{}
			w.process++
			w.mu.Unlock()
			if s, err = r.start(p, fmt.Sprintf("process %d", w.process)); err != nil {
				return err
			}
			if err := s.ready(p); err != nil {
				return err
			}
			ready = append(ready, time.Now())
			w.down = append(w.down, [2]time.Time{from, time.Now().Add(1500 * time.Millisecond)})
		}
	}
	group.Wait()
	time.Sleep(dl + time.Second)
	s.signal(syscall.SIGTERM)
	s.endsWithin(4 * time.Second)
	w.judge(window)
	r.note("taken on %d, calls %d, processes %d", len(w.order), len(w.calls), w.process+1)
	fmt.Printf("seed %d: taken on %d, calls %d, processes %d\n", seed, len(w.order), len(w.calls), w.process+1)
	return nil
}

func (w *chaosWorld) judge(window time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	byID := map[string][]*sentCall{}
	ranBy := map[string]*sentCall{} // the first run, over kept generations
	for _, c := range w.calls {
		byID[c.id] = append(byID[c.id], c)
		if b := base(c.id); c.ran && ranBy[b] == nil {
			ranBy[b] = c
		} else if f := ranBy[b]; c.ran && c.id != f.id {
			switch {
			case c.lane == "once":
				w.r.breaks("duplicate: %s of lane once runs again as %s, %v later", f.id, c.id, c.at.Sub(f.at))
			case c.key != "" && c.at.Sub(f.at) > window:
				w.r.breaks("duplicate: %s of lane %s runs again as %s, %v later", f.id, c.lane, c.id, c.at.Sub(f.at))
			}
		}
	}
	del, ret, fail := 0, 0, 0
	for _, m := range w.order {
		n, ended := w.a.ended(m.id)
		var delivered *sentCall
		ran := 0
		var first *sentCall
		for _, c := range byID[m.id] {
			if c.delivered && delivered == nil {
				delivered = c
			}
			if c.ran {
				ran++
				if first == nil {
					first = c
				}
				if m.lane == "once" && ran > 1 {
					w.r.breaks("duplicate: %s of lane once runs again", m.id)
				}
				if m.key != "" && c.where.zone != first.where.zone {
					w.r.breaks("duplicate: %s of lane %s runs in another zone", m.id, m.lane)
				}
				if m.key != "" && c.at.Sub(first.at) > window {
					w.r.breaks("duplicate: %s of lane %s runs %v after its first run", m.id, m.lane, c.at.Sub(first.at))
				}
			}
			if ended && c.at.After(n.at.Add(60*time.Millisecond)) {
				w.r.breaks("after the end: %s is sent %v after its notice (%s)", m.id, c.at.Sub(n.at), n.State)
			}
		}
		if ended && n.State == "returned" && m.key != "" && w.zoned && ran > 0 {
			w.r.breaks("duplicate: %s of lane %s, whose keys zones remember apart, was returned, and it may have run", m.id, m.lane)
		}
		if ended && n.State == "returned" && m.lane == "once" && ran > 0 {
			w.r.breaks("duplicate: %s of lane once was returned, and it ran", m.id)
		}
		switch {
		case delivered != nil:
			del++
			continue
		case ended && n.State == "returned":
			ret++
		case ended:
			fail++
		}
		limit := m.until.Add(300 * time.Millisecond)
		for _, d := range w.down {
			if limit.After(d[0]) && limit.Before(d[1]) {
				limit = d[1]
			}
		}
		if !ended {
			w.r.breaks("lost: %s of lane %s, taken on at %.3f, has no end", m.id, m.lane, m.at.Sub(w.r.began).Seconds())
		} else if n.at.After(limit.Add(50 * time.Millisecond)) {
			w.r.breaks("lost: %s of lane %s has its end %v late", m.id, m.lane, n.at.Sub(limit))
		}
	}
	w.r.note("delivered %d returned %d failed %d", del, ret, fail)
	// order: first legs of a key's messages by the order in which they were taken on, within a process
	last := map[string]*chaosMsg{}
	firstLeg := func(m *chaosMsg) time.Time {
		for _, c := range byID[m.id] {
			return c.at
		}
		return time.Time{}
	}
	for _, m := range w.order {
		if m.lane != "step" {
			continue
		}
		f := firstLeg(m)
		if f.IsZero() {
			continue
		}
		if p := last[m.order]; p != nil && f.Before(firstLeg(p)) {
			w.r.breaks("order: %s of key %s goes first at %.3f, before %s at %.3f", m.id, m.order, f.Sub(w.r.began).Seconds(), p.id, firstLeg(p).Sub(w.r.began).Seconds())
		}
		last[m.order] = m
	}
}

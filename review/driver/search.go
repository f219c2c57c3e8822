package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// search plays drawn trouble over three senders with all parts on, and judges the rules on what the stand-ins saw. It is no case: it looks for some.

type handed struct {
	id, lane, key string
	dst           int
	sender        int
	order         int // among OKs
	at, ok        time.Duration
	expires       time.Duration
	answer        string
}

type hit struct {
	id         string
	dst        int
	begun, end time.Duration
	status     int // 0 none
	mode       string
}

type searchWorld struct {
	*play
	mu               sync.Mutex
	mode             map[int]string
	hits             []*hit
	hands            []*handed
	seq              int
	orders, complete map[string]time.Duration      // of purges: when handed in, when the customer heard
	spans            map[string][][2]time.Duration // of senders' restarts, up to 1.5 s after they are ready
}

const searchSettings = `{"name":"%s","seed":"8c1f30d27a5be9%02x","discovery":"%s","limits":{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3},
"known":%s,
"settings":{"balancers":%d,"me":%d,"zone":0,"zones":["here"],"machine_types":["plant"],"discovery":"automatic","weight_source":"off",
"classes":[
 {"name":"payout","aim":1500,"deadline":8000,"group":"all","importance":3,"late_worth":0.3,"repeat":"once"},
 {"name":"status","aim":1500,"deadline":8000,"group":"all","importance":1,"late_worth":0.3,"repeat":"repeatable"},
 {"name":"release","aim":1500,"deadline":8000,"group":"all","importance":1,"late_worth":0.3,"repeat":"by_key","window":5000,"sequential":true},
 {"name":"notice","aim":1500,"deadline":8000,"group":"all","importance":1,"late_worth":0.5,"repeat":"by_key","window":5000}],
"family_info":{"max_calls":16,"own_limits":[false],"batch_by_kind":[1],"late":"halves"},
"limits":{"most_held":%s,"send_cap":8,"probes":true,"cancel":true,"retry_after":true,"peers":false,"max_retry_after":2000,
 "connect_timeout":1000,"conn_idle":5000},
"report":{"how":"off","names":[]},
"rules":{"start_capacity":0.2,"warm_within":8000,"overload_factor":2,"fall":2000,"stop_sending_within":1000,"grace_to_answer":300,"key_quiet":400}}}`

func (w *searchWorld) receiverOf(dst int) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /events", func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		w.mu.Lock()
		mode := w.mode[dst]
		if strings.Contains(string(body), `"purge":"complete"`) {
			if _, id, found := strings.Cut(string(body), `"id":"`); found {
				id, _, _ = strings.Cut(id, `"`)
				w.complete[id] = w.since()
				w.note("complete: %.200s", body)
			}
		}
		h := &hit{id: r.Header.Get("X-Txn"), dst: dst, begun: w.since(), mode: mode}
		w.hits = append(w.hits, h)
		w.mu.Unlock()
		done := func(status int) {
			w.mu.Lock()
			h.status, h.end = status, w.since()
			w.mu.Unlock()
		}
		switch mode {
		case "ok":
			time.Sleep(time.Duration(30+rand.IntN(200)) * time.Millisecond)
			rw.WriteHeader(200)
			done(200)
		case "shut":
			rw.WriteHeader(503)
			done(503)
		case "limit":
			rw.Header().Set("Retry-After", "0.3")
			rw.WriteHeader(429)
			done(429)
		case "err":
			rw.WriteHeader(500)
			done(500)
		case "reset":
			time.Sleep(50 * time.Millisecond)
			if c, _, err := rw.(http.Hijacker).Hijack(); err == nil {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}
			done(-1)
		case "hang":
			<-r.Context().Done()
			done(0)
		}
	})
	m.HandleFunc("GET /alive", func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		mode := w.mode[dst]
		w.mu.Unlock()
		switch mode {
		case "ok":
		case "hang":
			<-r.Context().Done()
		default:
			rw.WriteHeader(503)
		}
	})
	return m
}

func search(p *play) error {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	draw := rand.New(rand.NewPCG(seed, 7))
	w := &searchWorld{play: p, mode: map[int]string{}, spans: map[string][][2]time.Duration{}, orders: map[string]time.Duration{}, complete: map[string]time.Duration{}}
	dsts := []int{7, 8, 9}
	var members []string
	for _, d := range dsts {
		w.mode[d] = "ok"
		addr, err := p.serve(w.receiverOf(d))
		if err != nil {
			return err
		}
		members = append(members, fmt.Sprintf(`{"id":"r-%d","host_port":"%s","locality":"here","flavor":"plant","cell":%d,"phase":"SERVING","size":1,"up_since_ms":0}`, d, addr, d))
	}
	whole := `{"revision":2,"complete":true,"members":[` + strings.Join(members, ",") + `]}`
	plat := p.platform(nil)
	discovery, err := p.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/discovery/hosts" {
			plat.ServeHTTP(rw, r)
			return
		}
		fmt.Fprintln(rw, whole)
		for r.URL.Query().Get("watch") == "1" {
			rw.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(beat):
				fmt.Fprintln(rw)
			}
		}
	}))
	if err != nil {
		return err
	}
	parts := os.Getenv("PARTS")
	held := "200"
	var links [senders]string
	for i := range links {
		links[i], _ = p.freeAddr()
	}
	var all []*sender
	for i := range senders {
		op := "version = 1\n"
		if strings.Contains(parts, "backlog") {
			op += "[backlog]\n"
			held = "40"
		}
		if strings.Contains(parts, "kept") {
			op += "[kept]\nmost_mb = 0.2\n[[kept.rule]]\nact = \"send\"\nafter = \"3s\"\nrate = 20.0\nmay_have_run = \"no\"\nend = \"failed\"\n[[kept.rule]]\nact = \"send\"\nafter = \"3s\"\nrate = 20.0\nlane = \"status\"\n"
		}
		if strings.Contains(parts, "fleet") {
			op += fmt.Sprintf("[fleet]\nname = \"yard\"\nself = \"%c\"\nlisten = \"%s\"\norders_dst = %d\nmost_mb = 0.25\n", 'a'+i, links[i], ordersDst)
			for j := range senders {
				if j != i {
					op += fmt.Sprintf("[[fleet.peer]]\nname = \"%c\"\naddress = \"%s\"\n", 'a'+j, links[j])
				}
			}
			op += "[[fleet.tenant]]\nname = \"north\"\ndst = [7]\n[fleet.channels]\n[fleet.verdicts]\n[fleet.limits]\n[[fleet.limits.declared]]\ndst = 8\nper_sec = 40\n"
		}
		s, err := p.sender(i, senders, nil, discovery, op)
		if err != nil {
			return err
		}
		config := filepath.Join(p.temp, s.name, "config.json")
		text := searchSettings
		if strings.Contains(parts, "ordered") {
			text = strings.Replace(text, `"repeat":"once"}`, `"repeat":"once","sequential":true}`, 1)
		}
		if err := os.WriteFile(config, fmt.Appendf(nil, text, s.name, i, discovery, whole, senders, i, held), 0o644); err != nil {
			return err
		}
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
	length := 55 * time.Second
	stop := time.Now().Add(length)
	var work sync.WaitGroup
	rate := 400 * time.Millisecond
	if strings.Contains(parts, "busy") {
		rate = 60 * time.Millisecond
	}
	for _, d := range dsts {
		for _, lane := range []string{"payout", "status", "release", "notice"} {
			for k := range senders {
				work.Go(func() { w.client(all, k, d, lane, rate, stop) })
			}
		}
	}
	// trouble at receivers
	work.Go(func() {
		modes := []string{"ok", "ok", "ok", "ok", "ok", "ok", "shut", "limit", "err", "reset", "hang"}
		for time.Now().Before(stop.Add(-8 * time.Second)) {
			time.Sleep(time.Duration(500+draw.IntN(1500)) * time.Millisecond)
			w.mu.Lock()
			d, m := dsts[draw.IntN(len(dsts))], modes[draw.IntN(len(modes))]
			w.mode[d] = m
			w.mu.Unlock()
			p.note("destination %d: %s", d, m)
		}
		w.mu.Lock()
		for _, d := range dsts {
			w.mode[d] = "ok"
		}
		w.mu.Unlock()
		p.note("all destinations: ok")
	})
	if strings.Contains(parts, "purge") {
		work.Go(func() {
			for n := 0; time.Now().Before(stop.Add(-25 * time.Second)); n++ {
				time.Sleep(4 * time.Second)
				s, id := all[rand.IntN(senders)], fmt.Sprintf("order-%d", n)
				at := p.since()
				scope := []string{"all", "held"}[n%2]
				answer := p.handIn("customer", s, fmt.Sprintf("0rd%d", n), fmt.Sprintf("c=status,d=8000,dest=%d", ordersDst),
					`{"order":"purge","tenant":"north","scope":"`+scope+`","id":"`+id+`","tell":{"destination":9,"lane":"status"}}`)
				if answer == "+OK" {
					w.mu.Lock()
					w.orders[id] = at
					w.mu.Unlock()
				}
			}
		})
	}
	died := ""
	work.Go(func() {
		if !p.trouble {
			return
		}
		draw := rand.New(rand.NewPCG(seed, 8))
		for time.Now().Before(stop.Add(-8 * time.Second)) {
			time.Sleep(time.Duration(1000+draw.IntN(3000)) * time.Millisecond)
			s := all[draw.IntN(senders)]
			select {
			case <-s.gone:
				died = s.name
				return
			default:
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
			if s.begin() != nil || s.ready() != nil {
				died = s.name + " not ready"
				return
			}
			w.mu.Lock()
			w.spans[s.name] = append(w.spans[s.name], [2]time.Duration{from, p.since() + 1500*time.Millisecond})
			w.mu.Unlock()
		}
	})
	work.Wait()
	time.Sleep(12 * time.Second)
	if died != "" {
		return fmt.Errorf("%w: sender %s died", errBroken, died)
	}
	return w.judge(all)
}

func (w *searchWorld) client(all []*sender, at, dst int, lane string, rate time.Duration, stop time.Time) {
	var c *client
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	for n := 0; time.Now().Before(stop); n++ {
		time.Sleep(rate/2 + rand.N(rate))
		s := all[at]
		if c == nil {
			var err error
			if c, err = dial(s.listen); err != nil {
				c = nil
				continue
			}
		}
		key := "0000000000000000"
		if lane == "release" || lane == "payout" && strings.Contains(os.Getenv("PARTS"), "ordered") {
			key = fmt.Sprintf("key-%d-%d-%d", at, dst, rand.IntN(3))
		}
		w.mu.Lock()
		w.seq++
		id := fmt.Sprintf("%016x", w.seq)
		w.mu.Unlock()
		d := 2000 + rand.IntN(6000)
		h := &handed{id: id, lane: lane, key: key, dst: dst, sender: at, at: w.since()}
		h.expires = h.at + time.Duration(d)*time.Millisecond
		answer, err := c.say(answerIn, "ENQUEUE", key, id, fmt.Sprintf("c=%s,d=%d,k=k%s,dest=%d", lane, d, id, dst), "body "+id)
		h.ok = w.since()
		h.answer = answer
		if err != nil {
			h.answer = "none"
			c.close()
			c = nil
		}
		w.mu.Lock()
		h.order = len(w.hands)
		w.hands = append(w.hands, h)
		w.mu.Unlock()
	}
}

func (w *searchWorld) judge(all []*sender) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	notices := map[string][]notice{}
	for _, n := range w.notices {
		notices[n.ID] = append(notices[n.ID], n)
	}
	hits := map[string][]*hit{}
	for _, h := range w.hits {
		hits[h.id] = append(hits[h.id], h)
	}
	bad := map[string]int{}
	say := func(kind, format string, a ...any) {
		if bad[kind]++; bad[kind] <= 5 {
			w.note("FAULT %s: %s", kind, fmt.Sprintf(format, a...))
		}
	}
	counts := map[string]int{}
	byKey := map[string][]*handed{}
	for _, h := range w.hands {
		word, _, _ := strings.Cut(h.answer, " ")
		counts[h.lane+" "+word]++
		var good *hit
		ran := 0
		var firstRun time.Duration
		for _, x := range hits[h.id] {
			if x.dst != h.dst {
				say("foreign", "%s at %d", h.id, x.dst)
			}
			if x.status == 200 {
				good = x
			}
			if x.status != 503 && x.status != 429 {
				ran++
				if ran == 1 {
					firstRun = x.begun
				} else if (h.lane == "notice" || h.lane == "release") && x.begun > firstRun+5*time.Second+60*time.Millisecond {
					say("window", "%s %s: first run %v, again %v", h.lane, h.id, firstRun, x.begun)
				}
			}
			for _, n := range notices[h.id] {
				if x.begun > n.At+60*time.Millisecond {
					say("after end", "%s %s: told %s at %v, call at %v (%s)", h.lane, h.id, n.State, n.At, x.begun, x.mode)
				}
			}
		}
		if h.lane == "payout" && ran > 1 {
			say("twice", "%s ran %d times", h.id, ran)
		}
		for _, n := range notices[h.id] {
			if n.State == "returned" && h.lane == "payout" && ran > 0 {
				say("returned ran", "%s was told returned, and ran", h.id)
			}
		}
		if h.answer == "+OK" {
			if good == nil && len(notices[h.id]) == 0 {
				say("lost", "%s %s dst %d sender %d handed in %v until %v, calls %d", h.lane, h.id, h.dst, h.sender, h.at, h.expires, len(hits[h.id]))
			}
			if good == nil && len(notices[h.id]) > 0 && notices[h.id][0].At > h.expires+300*time.Millisecond {
				counts["late"]++
				excused := false
				for _, sp := range w.spans[all[h.sender].name] {
					excused = excused || h.expires+300*time.Millisecond > sp[0] && notices[h.id][0].At < sp[1]
				}
				if !excused {
					say("late", "%s %s dst %d sender %s until %v told %v calls %d", h.lane, h.id, h.dst, all[h.sender].name, h.expires, notices[h.id][0].At, len(hits[h.id]))
				}
			}
			if good != nil {
				counts[h.lane+" delivered"]++
			}
			if h.lane == "release" || h.key != "0000000000000000" {
				byKey[h.lane+h.key] = append(byKey[h.lane+h.key], h)
			}
		} else if word == "-BUSY" || word == "-ERR" {
			if len(hits[h.id]) > 0 {
				say("refused sent", "%s %s: %s", h.lane, h.id, h.answer)
			}
		}
	}
	w.note("COUNT orders %d complete %d", len(w.orders), len(w.complete))
	for id, told := range w.complete {
		for _, h := range w.hands {
			if h.dst != 7 || h.ok > w.orders[id] || w.orders[id] == 0 {
				continue
			}
			for _, x := range hits[h.id] {
				if x.begun > told {
					say("purged", "%s handed in %v, order %s %v, complete %v, called %v", h.id, h.at, id, w.orders[id], told, x.begun)
				}
			}
			for _, x := range hits[h.id+"-r1"] {
				if x.begun > told {
					say("purged kept", "%s handed in %v, order %s %v, complete %v, called %v", h.id, h.at, id, w.orders[id], told, x.begun)
				}
			}
		}
	}
	over := func(h *handed) time.Duration { // when its end was known
		at := time.Hour
		for _, x := range hits[h.id] {
			if x.status == 200 {
				at = min(at, x.end)
			}
		}
		for _, n := range notices[h.id] {
			at = min(at, n.At)
		}
		return at
	}
	for _, hs := range byKey {
		sort.Slice(hs, func(i, j int) bool { return hs[i].at < hs[j].at })
		for i, a := range hs {
			for _, b := range hs[i+1:] {
				if b.at < a.ok { // not told apart
					continue
				}
				for _, x := range hits[b.id] {
					if x.begun < over(a) && (len(hits[a.id]) > 0 || over(a) < time.Hour) {
						say("order", "key %s: %s (taken %v, over %v) was passed by %s (taken %v) at %v", a.key, a.id, a.ok, over(a), b.id, b.ok, x.begun)
					}
				}
			}
		}
	}
	for _, s := range all {
		for _, word := range []string{"panic", "goroutine ", "fatal error", "DATA RACE"} {
			if ls := s.logged(word); len(ls) > 0 {
				say("crash", "sender %s: %s", s.name, ls[0])
			}
		}
	}
	var names []string
	for k := range counts {
		names = append(names, k)
	}
	sort.Strings(names)
	for _, k := range names {
		w.note("COUNT %s: %d", k, counts[k])
	}
	w.note("COUNT calls %d notices %d", len(w.hits), len(w.notices))
	if len(bad) > 0 {
		return fmt.Errorf("%w: %v", errBroken, bad)
	}
	return nil
}

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

type chanWorld struct {
	*play
	mu    sync.Mutex
	mode  string
	hits  []*hit
	oks   map[string][]time.Duration // by id
	first map[string]bool
}

type chanKind struct {
	name, mode, gap string
	pass            bool
}

// searchChannels plays drawn trouble over three senders with channels.
func searchChannels(p *play) error {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	draw := rand.New(rand.NewPCG(seed, 7))
	w := &chanWorld{play: p, mode: "ok", oks: map[string][]time.Duration{}}
	p.answer = func(c *call) (int, time.Duration) { return 200, 0 }
	recv := http.NewServeMux()
	recv.HandleFunc("POST /events", func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		mode := w.mode
		h := &hit{id: r.Header.Get("X-Txn"), begun: w.since(), mode: mode}
		w.hits = append(w.hits, h)
		w.mu.Unlock()
		done := func(status int) {
			w.mu.Lock()
			h.status, h.end = status, w.since()
			w.mu.Unlock()
			w.note("receiver: %s %d", h.id, status)
		}
		switch mode {
		case "ok":
			time.Sleep(time.Duration(100+rand.IntN(200)) * time.Millisecond)
			rw.WriteHeader(200)
			done(200)
		case "shut":
			rw.WriteHeader(503)
			done(503)
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
	recv.HandleFunc("GET /alive", func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		mode := w.mode
		w.mu.Unlock()
		switch mode {
		case "ok":
		case "hang":
			<-r.Context().Done()
		default:
			rw.WriteHeader(503)
		}
	})
	raddr, err := p.serve(recv)
	if err != nil {
		return err
	}
	discovery, err := p.serve(p.platform([]string{raddr}))
	if err != nil {
		return err
	}
	var links [senders]string
	for i := range links {
		links[i], _ = p.freeAddr()
	}
	var wires [senders][senders]*wire
	var all []*sender
	for i := range senders {
		op := fmt.Sprintf("version = 1\n[fleet]\nname = \"yard\"\nself = \"%c\"\nlisten = \"%s\"\norders_dst = %d\nmost_mb = 0.25\n", 'a'+i, links[i], ordersDst)
		for j := range senders {
			if j == i {
				continue
			}
			at := links[j]
			if os.Getenv("CUTS") != "" {
				if wires[i][j], at, err = p.wire(links[j]); err != nil {
					return err
				}
			}
			op += fmt.Sprintf("[[fleet.peer]]\nname = \"%c\"\naddress = \"%s\"\n", 'a'+j, at)
		}
		op += "[[fleet.tenant]]\nname = \"north\"\ndst = [7]\n[fleet.channels]\nlease = \"2s\"\nleg = \"2500ms\"\nlive = \"500ms\"\ndrain = \"500ms\"\n" + strings.ReplaceAll(os.Getenv("MORE"), ";", "\n") + "\n"
		s, err := p.sender(i, senders, []string{raddr}, discovery, op)
		if err != nil {
			return err
		}
		if err := s.quiet(600); err != nil { // above the longest call
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
	kinds := []chanKind{{"wp", "whole", "wait", true}, {"wf", "whole", "wait", false}, {"wp2", "whole", "wait", true}, {"sk", "whole", "skip", true}, {"no", "none", "wait", true},
		{"pk", "per-key", "wait", true}, {"ps", "per-key", "skip", true}, {"cl", "whole", "close", true}}
	for i, k := range kinds {
		text := fmt.Sprintf(`{"order":"contract","channel":"%s","tenant":"north","dst":7,"mode":"%s","gap":"%s","wait":"2s","pass_failed":%v,"most_hold":"8s","version":1,"window":16}`, k.name, k.mode, k.gap, k.pass)
		if a := p.handIn("tenant", all[i%senders], fmt.Sprintf("c0%d", i), fmt.Sprintf("c=payout,d=8000,dest=%d", ordersDst), text); a != "+OK" {
			return fmt.Errorf("contract %s", a)
		}
	}
	time.Sleep(500 * time.Millisecond)
	stop := time.Now().Add(60 * time.Second)
	var work sync.WaitGroup
	for i, k := range kinds {
		work.Go(func() { w.stream(all, i, k, stop) })
	}
	work.Go(func() {
		modes := []string{"shut", "err", "reset", "hang", "hang"}
		for time.Now().Before(stop.Add(-15 * time.Second)) {
			time.Sleep(time.Duration(1500+draw.IntN(3000)) * time.Millisecond)
			m := modes[draw.IntN(len(modes))]
			w.setMode(m)
			time.Sleep(time.Duration(300+draw.IntN(1500)) * time.Millisecond)
			w.setMode("ok")
		}
	})
	if os.Getenv("CHANGES") != "" {
		work.Go(func() {
			version := map[int]int{}
			for time.Now().Before(stop.Add(-15 * time.Second)) {
				time.Sleep(time.Duration(700+rand.IntN(2000)) * time.Millisecond)
				i := rand.IntN(len(kinds))
				k := kinds[i]
				next := max(2, version[i]+1)
				text := fmt.Sprintf(`{"order":"contract","channel":"%s","tenant":"north","dst":7,"mode":"%s","gap":"%s","wait":"%ds","pass_failed":%v,"most_hold":"8s","version":%d,"window":%d}`,
					k.name, k.mode, k.gap, 1+rand.IntN(3), k.pass, next, 8+rand.IntN(24))
				if a := p.handIn("tenant", all[rand.IntN(senders)], fmt.Sprintf("c1%d-%d-%d", i, next, rand.IntN(1e6)), fmt.Sprintf("c=payout,d=8000,dest=%d", ordersDst), text); a == "+OK" {
					version[i] = next
				}
			}
		})
	}
	if os.Getenv("CUTS") != "" {
		work.Go(func() { p.cuts(wires, rand.New(rand.NewPCG(seed, 9)), stop.Add(-20*time.Second)) })
	}
	if more := os.Getenv("MORE"); more != "" { // further tables of the operator's file
		p.note("with %s", more)
	}
	died := ""
	work.Go(func() {
		draw := rand.New(rand.NewPCG(seed, 8))
		for p.trouble && time.Now().Before(stop.Add(-20*time.Second)) {
			time.Sleep(time.Duration(2000+draw.IntN(4000)) * time.Millisecond)
			s := all[draw.IntN(senders)]
			select {
			case <-s.gone:
				died = s.name
				return
			default:
			}
			switch draw.IntN(3) {
			case 0:
				s.signal(syscall.SIGKILL)
				s.ended(2 * time.Second)
			case 1:
				s.signal(syscall.SIGTERM)
				if !s.ended(3700 * time.Millisecond) {
					p.note("sender %s: NOT GONE", s.name)
					s.signal(syscall.SIGKILL)
					s.ended(time.Second)
				}
			case 2:
				s.signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(500+draw.IntN(5000)) * time.Millisecond)
				s.signal(syscall.SIGCONT)
				continue
			}
			time.Sleep(time.Duration(600+draw.IntN(3000)) * time.Millisecond)
			if s.begin() != nil || s.ready() != nil {
				died = s.name + " not ready"
				return
			}
		}
	})
	work.Wait()
	time.Sleep(10 * time.Second)
	if died != "" {
		return fmt.Errorf("%w: sender %s died", errBroken, died)
	}
	return w.judge(kinds, all)
}

func (w *chanWorld) setMode(m string) {
	w.mu.Lock()
	w.mode = m
	w.mu.Unlock()
	w.note("receiver: %s", m)
}

// stream is one client. It goes on at the next position, and where it is told; it moves to another sender now and then.
func (w *chanWorld) stream(all []*sender, number int, k chanKind, stop time.Time) {
	at, next := number%senders, int64(1)
	var c *client
	drop := func() {
		if c != nil {
			c.close()
			c = nil
		}
		at = rand.IntN(senders)
	}
	for time.Now().Before(stop) {
		if c == nil {
			var err error
			if c, err = dial(all[at].listen); err != nil {
				c = nil
				at = rand.IntN(senders)
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("%s-%d", k.name, next)
		d := 3000 + rand.IntN(4000)
		key := "0000000000000000"
		if k.mode == "per-key" {
			key = perKey(next)
		}
		answer, err := c.say(answerIn, "ENQUEUE", key, id, fmt.Sprintf("c=payout,d=%d,dest=7,ch=%s,pos=%d", d, k.name, next), id)
		w.note("client %s at %s: pos=%d %q %v", k.name, all[at].name, next, answer, err)
		if err != nil {
			drop()
			continue
		}
		word, rest, _ := strings.Cut(answer, " ")
		if word == "+OK" {
			w.mu.Lock()
			w.oks[id] = append(w.oks[id], w.since())
			w.mu.Unlock()
		}
		_, pos, told := strings.Cut(" "+rest, " pos=")
		if last, err := strconv.ParseInt(pos, 10, 64); told && err == nil {
			next = last + 1
		} else if word == "-ERR" {
			time.Sleep(300 * time.Millisecond)
		}
		switch word {
		case "+OK":
			time.Sleep(time.Duration(50+rand.IntN(250)) * time.Millisecond)
			if rand.IntN(40) == 0 {
				drop()
			}
		case "-BUSY":
			ms, _ := strconv.Atoi(strings.Fields(rest)[0])
			time.Sleep(time.Duration(min(max(ms, 50), 500)) * time.Millisecond)
			if rand.IntN(12) == 0 {
				drop()
			}
		}
	}
	w.note("client %s: ended at position %d", k.name, next)
}

func perKey(pos int64) string { return fmt.Sprintf("%016x", 0xabc0+pos*7%5%3) }

func (w *chanWorld) judge(kinds []chanKind, all []*sender) error {
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
		if bad[kind]++; bad[kind] <= 6 {
			w.note("FAULT %s: %s", kind, fmt.Sprintf(format, a...))
		}
	}
	for id, hs := range hits {
		var before *hit
		for _, x := range hs {
			if x.status == 503 {
				continue
			}
			if before != nil { // a position that ended undelivered may be handed in again: then it is a new hand-in
				told := false
				for _, n := range notices[id] {
					told = told || n.At > before.begun && n.At < x.begun
				}
				if !told {
					say("twice", "%s ran at %v (%d) and %v (%d), nothing told in between", id, before.begun, before.status, x.begun, x.status)
				}
			}
			before = x
			for i, n := range notices[id] {
				if n.State == "returned" && n.At > x.begun && (i == 0 || notices[id][i-1].At < x.begun) {
					say("returned ran", "%s ran at %v (%d), told returned at %v", id, x.begun, x.status, n.At)
				}
			}
		}
	}
	for id, at := range w.oks {
		ends := len(notices[id])
		for _, x := range hits[id] {
			if x.status == 200 {
				ends++
			}
		}
		if ends == 0 {
			say("lost", "%s taken on at %v, no end, %d calls", id, at, len(hits[id]))
		}
	}
	for _, k := range kinds {
		if k.mode == "per-key" {
			high := map[string]int64{}
			last := map[string]*hit{}
			for _, h := range w.hits {
				if !strings.HasPrefix(h.id, k.name+"-") || h.status == 503 {
					continue
				}
				pos, _ := strconv.ParseInt(h.id[len(k.name)+1:], 10, 64)
				key := perKey(pos)
				if pos < high[key] {
					say("key order", "%s began at %v after position %d", h.id, h.begun, high[key])
				}
				if l := last[key]; l != nil && l.status == 200 && h.begun < l.end {
					say("key beside", "%s began at %v beside %s", h.id, h.begun, l.id)
				}
				high[key], last[key] = max(high[key], pos), h
			}
			w.note("COUNT %s: %v", k.name, high)
		}
		if k.mode != "whole" {
			continue
		}
		var run []*hit
		for _, h := range w.hits {
			if strings.HasPrefix(h.id, k.name+"-") && h.status != 503 {
				run = append(run, h)
			}
		}
		sort.Slice(run, func(i, j int) bool { return run[i].begun < run[j].begun })
		high := 0
		delivered := map[int]bool{}
		for i, h := range run {
			pos, _ := strconv.Atoi(h.id[len(k.name)+1:])
			if pos < high {
				say("order", "%s began at %v after position %d", h.id, h.begun, high)
			}
			if i > 0 && run[i-1].status == 200 && h.begun < run[i-1].end {
				say("beside", "%s began at %v beside %s", h.id, h.begun, run[i-1].id)
			}
			high = max(high, pos)
			if !k.pass {
				for q := 1; q < pos; q++ {
					if !delivered[q] {
						say("passed", "%s ran at %v although %d was not delivered", h.id, h.begun, q)
						delivered[q] = true
					}
				}
			}
			if h.status == 200 {
				delivered[pos] = true
			}
		}
		w.note("COUNT %s: %d ran, %d delivered, highest %d", k.name, len(run), len(delivered), high)
	}
	for _, s := range all {
		for _, word := range []string{"panic", "fatal error"} {
			if ls := s.logged(word); len(ls) > 0 {
				say("crash", "sender %s: %s", s.name, ls[0])
			}
		}
	}
	w.note("COUNT calls %d notices %d oks %d", len(w.hits), len(w.notices), len(w.oks))
	if len(bad) > 0 {
		return fmt.Errorf("%w: %v", errBroken, bad)
	}
	return nil
}

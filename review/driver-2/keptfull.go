package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["kept-full"] = keptFull }

// keptFullRules keep what ends undelivered and send it again after a while, as docs/kept.md shows.
const keptFullRules = `version = 1

[kept]
most_mb = 8

[[kept.rule]]
may_have_run = "no"
act = "send"
after = "5m"
`

// keptFull has one of four partners shut for 20 s, until the store of kept messages is full: then each further one has older ones give way.
// Every message that is taken on is owed its end in time.
func keptFull(r *rig) error {
	const deadline = 8 * time.Second
	var vs []*receiver
	var ms []member
	for i := range 4 {
		v, err := r.newReceiver(fmt.Sprintf("v%d", i+1), int64(i+1), "")
		if err != nil {
			return err
		}
		vs, ms = append(vs, v), append(ms, serving(v.name, v.addr, v.cell))
	}
	a, err := r.newAgent(ms...)
	if err != nil {
		return err
	}
	f := startFile(knownOf(1, ms...), lane("service-notice", "by_key", deadline))
	f["limits"].(map[string]any)["disk_mb"] = 60
	f["settings"].(map[string]any)["limits"].(map[string]any)["most_held"] = 400
	p, err := r.newPlace("n0", a.addr, f)
	if err != nil {
		return err
	}
	p.operator = filepath.Join(r.dir, "operator.toml")
	if err := os.WriteFile(p.operator, []byte(keptFullRules), 0o600); err != nil {
		return err
	}
	s, err := r.start(p, "sender")
	if err != nil {
		return err
	}
	if err := s.ready(p); err != nil {
		return err
	}
	stop := time.Now().Add(40 * time.Second)
	var mu sync.Mutex
	var taken []owed
	var all sync.WaitGroup
	for i := range 8 { // 100 messages a second in all, of 16 KiB
		all.Go(func() {
			c := r.newClient(p.listen)
			c.n = (i + 1) * 100000
			for n := 0; time.Now().Before(stop); n++ {
				body := fmt.Sprintf("order %d of %d ", n, i+1) + strings.Repeat("x", 16<<10)
				at := time.Now()
				id, answer := c.handIn("service-notice", int64((n+i)%4+1), fmt.Sprintf("%08x%08x", i+1, n), "", body, deadline)
				if answer == "+OK" {
					mu.Lock()
					taken = append(taken, owed{id, body[:30], at.Add(deadline)})
					mu.Unlock()
				}
				time.Sleep(80 * time.Millisecond)
			}
			c.drop()
		})
	}
	time.Sleep(5 * time.Second)
	if r.trouble {
		r.note("partner v1 is shut for 20 s")
		opens := time.Now().Add(20 * time.Second)
		vs[0].answers(func(string, string, string) (int, time.Duration, time.Duration) {
			if time.Now().Before(opens) {
				return 503, 0, 5 * time.Millisecond
			}
			return 200, 0, 20 * time.Millisecond
		})
	}
	all.Wait()
	time.Sleep(deadline + 2*time.Second)
	late, most := 0, time.Duration(0)
	for _, o := range taken {
		written := false
		for _, v := range vs {
			written = written || v.written(o.id)
		}
		if written {
			continue
		}
		n, ended := a.ended(o.id)
		switch by := n.at.Sub(o.until); {
		case !ended:
			r.breaks("%s (%q) was taken on with +OK and has neither been delivered nor ended by a notice", o.id, o.body)
		case by > 300*time.Millisecond:
			late++
			most = max(most, by)
			r.breaks("%s (%q) was taken on with +OK; its notice (%s) came %.3f s after its time was up", o.id, o.body, n.State, by.Seconds())
		}
	}
	r.note("taken on %d, ends late %d, by %v at most", len(taken), late, most)
	fmt.Printf("taken on %d, ends late %d, by %v at most\n", len(taken), late, most)
	if len(taken) < 1000 {
		return fmt.Errorf("only %d messages were taken on", len(taken))
	}
	return nil
}

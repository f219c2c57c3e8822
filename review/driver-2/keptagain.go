package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

func init() { cases["7"] = keptAgain }

// keptRules are those of an operator who wants what failed to be sent again, as docs/kept.md shows them.
const keptRules = `version = 1

[kept]
most_mb = 0.2

[[kept.rule]]
may_have_run = "no"
act = "send"
after = "10s"
rate = 10
deadline = "8s"
`

// order is one thing that a client wants done once. It is handed in again after a pushback, as a further message.
type order struct {
	lane, key, body string
	to              *receiver
	ids             []string
	told            []string // what its client heard: answers and notices, the latest last
}

// keptAgain has a partner shut for a while: what is pushed back meanwhile is handed in again by its client once the time that it was told is
// over, and it is kept as well.
func keptAgain(r *rig) error {
	const deadline = 8 * time.Second
	var vs []*receiver
	var ms []member
	for i := range 5 { // five partners with a fifth of the traffic each
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
	p, err := r.newPlace("n0", a.addr, startFile(knownOf(1, ms...),
		lane("work-order", "once", deadline), lane("notice", "by_key", deadline)))
	if err != nil {
		return err
	}
	p.operator = filepath.Join(r.dir, "operator.toml")
	if err := os.WriteFile(p.operator, []byte(keptRules), 0o600); err != nil {
		return err
	}
	s, err := r.start(p, "sender")
	if err != nil {
		return err
	}
	if err := s.ready(p); err != nil {
		return err
	}
	c := r.newClient(p.listen)
	var mu sync.Mutex
	orders := map[string]*order{} // by id of the message
	var all []*order
	hand := func(o *order) {
		id, answer := c.handIn(o.lane, o.to.cell, o.key, "", o.body, deadline)
		mu.Lock()
		defer mu.Unlock()
		o.ids, o.told = append(o.ids, id), append(o.told, answer)
		orders[id] = o
	}
	a.onEnd = func(n notice) {
		mu.Lock()
		o := orders[n.ID]
		if o != nil {
			o.told = append(o.told, n.State)
		}
		again := o != nil && n.State == "returned" && len(o.ids) <= 2
		mu.Unlock()
		if again { // clients hand a message in again up to 2 times, after a wait
			time.AfterFunc(time.Duration(n.AfterMs)*time.Millisecond+500*time.Millisecond, func() { hand(o) })
		}
	}
	shutFor := func(v *receiver, d time.Duration) { // 503, and open again: what a shut partner does
		open := time.Now().Add(d)
		v.answers(func(string, string, string) (int, time.Duration, time.Duration) {
			if time.Now().Before(open) {
				return 503, 0, 5 * time.Millisecond
			}
			return 200, 0, 20 * time.Millisecond
		})
	}
	for i := range 150 {
		if i == 50 && r.trouble {
			r.note("partner v1 is shut for 8 s")
			shutFor(vs[0], 8*time.Second)
		}
		o := &order{lane: "work-order", body: fmt.Sprintf("order %d", i), to: vs[i%5]}
		if i/5%2 == 1 {
			o.lane, o.key = "notice", fmt.Sprintf("%016x", 0xabc000+i)
		}
		all = append(all, o)
		hand(o)
		time.Sleep(40 * time.Millisecond)
	}
	time.Sleep(45 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	for _, o := range all {
		runs := o.to.runs(o.body)
		if len(runs) < 2 {
			continue
		}
		first, again := runs[0], runs[1:]
		for _, x := range again {
			if o.lane == "notice" && x.at.Sub(first.at) < 15*time.Second {
				continue // the partner drops a repeat with the same key for 15 s
			}
			r.breaks("%q of lane %s ran as %s and %.1f s later as %s; its client handed in %v and heard %v", o.body, o.lane, first.id,
				x.at.Sub(first.at).Seconds(), x.id, o.ids, o.told)
		}
	}
	ranOnce := 0
	for _, o := range all {
		if len(o.to.runs(o.body)) > 0 {
			ranOnce++
		}
	}
	r.note("orders %d, of them run at all %d", len(all), ranOnce)
	if ranOnce < 100 {
		return fmt.Errorf("only %d orders ran", ranOnce)
	}
	return nil
}

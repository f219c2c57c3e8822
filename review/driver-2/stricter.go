package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["stricter"] = stricter }

// stricter has the start file replaced by one that gives a class a stricter effect, with SIGHUP. It is no case: the sender says that it takes
// discovery alone from that file (README, Start).
func stricter(r *rig) error {
	const deadline = 8 * time.Second
	v, err := r.newReceiver("v1", 1, "")
	if err != nil {
		return err
	}
	a, err := r.newAgent(serving("v1", v.addr, 1))
	if err != nil {
		return err
	}
	known := knownOf(1, serving("v1", v.addr, 1))
	p, err := r.newPlace("n0", a.addr, startFile(known, lane("payout", "repeatable", deadline)))
	if err != nil {
		return err
	}
	s, err := r.start(p, "sender")
	if err != nil {
		return err
	}
	if err := s.ready(p); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	f := startFile(known, lane("payout", "once", deadline))
	f["discovery"] = a.addr
	if r.trouble {
		if err := p.write(f); err != nil {
			return err
		}
		s.signal(syscall.SIGHUP)
	}
	time.Sleep(2 * time.Second)
	seen := map[string]int{}
	v.answers(func(id, _, _ string) (int, time.Duration, time.Duration) {
		v.mu.Lock()
		defer v.mu.Unlock()
		if seen[id]++; seen[id] == 1 {
			return 500, 0, 10 * time.Millisecond // it may have run
		}
		return 200, 0, 10 * time.Millisecond
	})
	c := r.newClient(p.listen)
	for i := range 10 {
		c.handIn("payout", 1, "", "", fmt.Sprintf("order %d", i), deadline)
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	for id, n := range seen {
		if id != "" && n > 1 && r.trouble {
			r.breaks("%s of a class that must never run twice was sent %d times", id, n)
		}
	}
	return nil
}

package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["second-drain"] = secondDrain }

// secondDrain starts `run` again 0.9 s after SIGTERM, while the old process drains and its listener is closed. TROUBLE=0 waits for its end.
func secondDrain(r *rig) error {
	const deadline = 8 * time.Second
	v, err := r.newReceiver("v1", 1, "")
	if err != nil {
		return err
	}
	a, err := r.newAgent(serving("v1", v.addr, 1))
	if err != nil {
		return err
	}
	p, err := r.newPlace("n0", a.addr, startFile(knownOf(1, serving("v1", v.addr, 1)), lane("payout", "once", deadline)))
	if err != nil {
		return err
	}
	s, err := r.start(p, "old process")
	if err != nil {
		return err
	}
	if err := s.ready(p); err != nil {
		return err
	}
	opens := time.Now().Add(2500 * time.Millisecond)
	v.answers(func(string, string, string) (int, time.Duration, time.Duration) {
		if left := time.Until(opens); left > 0 {
			return 429, left, 5 * time.Millisecond
		}
		return 200, 0, 300 * time.Millisecond
	})
	c := r.newClient(p.listen)
	for i := range 40 {
		c.handIn("payout", 1, "", "", fmt.Sprintf("order %d", i), deadline)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Until(opens.Add(-900 * time.Millisecond)))
	s.signal(syscall.SIGTERM)
	if r.trouble {
		time.Sleep(900 * time.Millisecond)
	} else if !s.endsWithin(3700 * time.Millisecond) {
		s.kill()
	}
	next, err := r.start(p, "new process")
	if err != nil {
		return err
	}
	if err := next.ready(p); err != nil {
		return err
	}
	time.Sleep(deadline)
	twice := 0
	for i := range 40 {
		if n := len(v.runs(fmt.Sprintf("order %d", i))); n > 1 {
			twice++
			r.breaks("order %d of a lane that must never run twice ran %d times", i, n)
		}
	}
	fmt.Println("ran twice:", twice)
	return nil
}

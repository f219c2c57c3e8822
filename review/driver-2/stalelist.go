package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["8"] = staleList }

// staleList restarts a sender while discovery is down. Before that the sender was told that a receiver is gone, and that one of another
// destination serves at its address. The start file is the one that the sender was started with.
func staleList(r *rig) error {
	const deadline = 8 * time.Second
	old, err := r.newReceiver("a1", 1, "")
	if err != nil {
		return err
	}
	stays, err := r.newReceiver("a2", 1, "")
	if err != nil {
		return err
	}
	other, err := r.newReceiver("b1", 2, "")
	if err != nil {
		return err
	}
	ms := []member{serving("a1", old.addr, 1), serving("a2", stays.addr, 1), serving("b1", other.addr, 2)}
	a, err := r.newAgent(ms...)
	if err != nil {
		return err
	}
	p, err := r.newPlace("n0", a.addr, startFile(knownOf(1, ms...), lane("notice", "repeatable", deadline), lane("payout", "once", deadline)))
	if err != nil {
		return err
	}
	s, err := r.start(p, "first process")
	if err != nil {
		return err
	}
	if err := s.ready(p); err != nil {
		return err
	}
	if err := r.fellow(a, knownOf(1, ms...), lane("notice", "repeatable", deadline), lane("payout", "once", deadline)); err != nil {
		return err
	}
	c := r.newClient(p.listen)
	n := 0
	some := func(count int) {
		for range count {
			n++
			lane := []string{"notice", "payout"}[n%2]
			dst := int64(1 + n/2%2)
			c.handIn(lane, dst, "", "", fmt.Sprintf("for %d: order %d", dst, n), deadline)
			time.Sleep(50 * time.Millisecond)
		}
	}
	some(20)
	// a1 is taken away, and a machine of destination 2 comes up at its address: drained, gone, then the new one.
	draining := ms[0]
	draining.Phase = "DRAINING"
	a.change(draining)
	time.Sleep(1500 * time.Millisecond)
	a.change(gone(ms[0]))
	time.Sleep(1500 * time.Millisecond)
	old.stop()
	var b2 *receiver
	for range 50 {
		if b2, err = r.newReceiver("b2", 2, old.addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	a.change(serving("b2", b2.addr, 2))
	time.Sleep(2 * time.Second)
	some(40)
	if r.trouble {
		a.goDown(true)
	}
	time.Sleep(time.Second)
	s.signal(syscall.SIGKILL)
	<-s.done
	c.drop()
	time.Sleep(600 * time.Millisecond)
	again, err := r.start(p, "next process")
	if err != nil {
		return err
	}
	if err := again.ready(p); err != nil {
		return err
	}
	some(60)
	time.Sleep(2 * time.Second)
	if r.trouble {
		a.goDown(false) // some 7 s after it fell silent
	}
	time.Sleep(3 * time.Second)
	return r.foreign(60, old, stays, other, b2)
}

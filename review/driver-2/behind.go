package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["9"] = behind }

// behind moves discovery by SIGHUP to an agent that has been sent less so far. The sender had been told more by the old one.
func behind(r *rig) error {
	const deadline = 8 * time.Second
	const late = 8 * time.Second // further behind
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
	next, err := r.newAgent(ms...)
	if err != nil {
		return err
	}
	lanes := []map[string]any{lane("notice", "repeatable", deadline), lane("payout", "once", deadline)}
	f := startFile(knownOf(1, ms...), lanes...)
	p, err := r.newPlace("n0", a.addr, f)
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
	change := func(m member) {
		a.change(m)
		if r.trouble {
			time.AfterFunc(late, func() { next.change(m) })
		} else {
			next.change(m)
		}
	}
	some(20)
	draining := ms[0]
	draining.Phase = "DRAINING"
	change(draining)
	time.Sleep(1500 * time.Millisecond)
	change(gone(ms[0]))
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
	change(serving("b2", b2.addr, 2))
	some(30)
	f["discovery"] = next.addr
	if err := p.write(f); err != nil {
		return err
	}
	s.signal(syscall.SIGHUP)
	time.AfterFunc(1500*time.Millisecond, func() { _ = a.http.Close() })
	some(120)
	time.Sleep(2 * time.Second)
	return r.foreign(60, old, stays, other, b2)
}

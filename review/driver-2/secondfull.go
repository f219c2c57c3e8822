package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["second-full"] = secondFull }

// secondFull starts `run` once more at the place of a sender that serves, with something owed at that moment, and then hands in 20 messages
// a second of 16 KiB, which are all delivered.
func secondFull(r *rig) error {
	const deadline = 8 * time.Second
	v, err := r.newReceiver("v1", 1, "")
	if err != nil {
		return err
	}
	a, err := r.newAgent(serving("v1", v.addr, 1))
	if err != nil {
		return err
	}
	p, err := r.newPlace("n0", a.addr, startFile(knownOf(1, serving("v1", v.addr, 1)), lane("notice", "repeatable", deadline)))
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
	v.answers(func(string, string, string) (int, time.Duration, time.Duration) {
		return 200, 0, 250 * time.Millisecond
	})
	c := r.newClient(p.listen)
	ok, busy := 0, 0
	for i := range 900 {
		if i == 40 && r.trouble {
			second, err := r.start(p, "second process")
			if err != nil {
				return err
			}
			second.endsWithin(10 * time.Second)
		}
		if _, answer := c.handIn("notice", 1, "", "", fmt.Sprintf("order %d ", i)+strings.Repeat("x", 16<<10), deadline); answer == "+OK" {
			ok++
		} else {
			busy++
		}
		if i%100 == 99 {
			r.note("of the last 100 hand-ins %d were taken on, %d not", ok, busy)
			fmt.Printf("%d: %d taken on, %d not\n", i+1, ok, busy)
			if i > 800 && ok == 0 {
				r.breaks("nothing is taken on any more, though nothing is owed")
			}
			ok, busy = 0, 0
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["6"] = secondStart }

// owed is a message that was taken on.
type owed struct {
	id, body string
	until    time.Time // it may be delivered until then
}

// secondStart starts `run` once more at the place of a sender that serves. Then the sender is killed and started again: what it had taken
// on is owed.
func secondStart(r *rig) error {
	const deadline = 8 * time.Second
	v, err := r.newReceiver("v1", 1, "")
	if err != nil {
		return err
	}
	a, err := r.newAgent(serving("v1", v.addr, 1))
	if err != nil {
		return err
	}
	p, err := r.newPlace("n0", a.addr, startFile(knownOf(1, serving("v1", v.addr, 1)),
		lane("notice", "repeatable", deadline), lane("payout", "once", deadline)))
	if err != nil {
		return err
	}
	first, err := r.start(p, "first process")
	if err != nil {
		return err
	}
	if err := first.ready(p); err != nil {
		return err
	}
	if err := r.fellow(a, knownOf(1, serving("v1", v.addr, 1)), lane("notice", "repeatable", deadline), lane("payout", "once", deadline)); err != nil {
		return err
	}
	c := r.newClient(p.listen)
	var taken []owed
	hand := func(i int) {
		lane, body := "notice", fmt.Sprintf("order %d", i)
		if i%2 == 1 {
			lane = "payout"
		}
		at := time.Now()
		if id, answer := c.handIn(lane, 1, "", "", body, deadline); answer == "+OK" {
			taken = append(taken, owed{id, body, at.Add(deadline)})
		}
	}
	for i := range 20 { // some light traffic: four a second, each answered within 20 ms
		hand(i)
		time.Sleep(250 * time.Millisecond)
		if i == 9 && r.trouble {
			second, err := r.start(p, "second process")
			if err != nil {
				return err
			}
			if !second.endsWithin(10 * time.Second) {
				r.note("the second process goes on beside the first")
			}
			if first.ended() {
				return fmt.Errorf("the first process ended")
			}
		}
	}
	v.answers(func(string, string, string) (int, time.Duration, time.Duration) {
		return 200, 0, 500 * time.Millisecond
	})
	for i := 100; i < 130; i++ {
		hand(i)
	}
	first.signal(syscall.SIGKILL)
	<-first.done
	c.drop()
	time.Sleep(600 * time.Millisecond)
	again, err := r.start(p, "next process")
	if err != nil {
		return err
	}
	if err := again.ready(p); err != nil {
		return err
	}
	ready := time.Now()
	last := taken[len(taken)-1].until
	time.Sleep(time.Until(last.Add(350 * time.Millisecond)))
	time.Sleep(time.Until(ready.Add(1600 * time.Millisecond)))
	lost := 0
	for _, o := range taken {
		delivered := false
		for _, run := range v.runs(o.body) {
			delivered = delivered || run.id == o.id
		}
		n, ended := a.ended(o.id)
		switch {
		case v.written(o.id):
		case ended && !n.at.After(o.until.Add(300*time.Millisecond)) || ended && n.at.Before(ready.Add(1500*time.Millisecond)):
		default:
			lost++
			r.breaks("%s (%q) was taken on with +OK; until 300 ms after its time it was neither delivered (200 written to a sender that lives) nor ended by a notice; a call of it had begun: %v", o.id, o.body, delivered)
		}
	}
	r.note("taken on %d, lost %d", len(taken), lost)
	if len(taken) < 40 {
		return fmt.Errorf("only %d messages were taken on", len(taken))
	}
	return nil
}

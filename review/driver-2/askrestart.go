package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["10"] = askRestart }

// askRestart restarts three of four senders where lists are asked for, one after the other, by SIGTERM and with discovery up all the time. Long
// before that they were told that a receiver is gone, and that one of another destination serves at its address.
func askRestart(r *rig) error {
	const deadline = 16 * time.Second
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
	file := func(me int) map[string]any {
		f := startFile(knownOf(1, ms...), lane("score-update", "repeatable", deadline), lane("pass-charge", "once", deadline))
		s := f["settings"].(map[string]any)
		s["discovery"], s["balancers"], s["me"] = "subscribe", 4, me
		s["rules"] = map[string]any{"start_capacity": 0.21, "warm_within": 9200, "overload_factor": 2, "fall": 3000,
			"stop_sending_within": 2000, "grace_to_answer": 20, "ask_within": 10000}
		return f
	}
	var places []place
	var senders []*sender
	for i := range 4 {
		p, err := r.newPlace(fmt.Sprintf("n%d", i), a.addr, file(i))
		if err != nil {
			return err
		}
		s, err := r.start(p, fmt.Sprintf("sender %d", i))
		if err != nil {
			return err
		}
		if err := s.ready(p); err != nil {
			return err
		}
		places, senders = append(places, p), append(senders, s)
	}
	var cs []*client
	for _, p := range places {
		cs = append(cs, r.newClient(p.listen))
	}
	n := 0
	some := func(c *client, count int) {
		for range count {
			n++
			lane := []string{"score-update", "pass-charge"}[n%2]
			dst := int64(1 + n/2%2)
			c.handIn(lane, dst, "", "", fmt.Sprintf("for %d: order %d", dst, n), deadline)
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(6 * time.Second) // by now each has asked
	some(cs[0], 20)
	draining := ms[0]
	draining.Phase = "DRAINING"
	a.change(draining)
	time.Sleep(4 * time.Second)
	a.change(gone(ms[0]))
	time.Sleep(4 * time.Second)
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
	time.Sleep(15 * time.Second) // all that counts as told 6 s after discovery had it
	some(cs[0], 40)
	for i, p := range places[:3] {
		if r.trouble {
			senders[i].signal(syscall.SIGTERM)
			if !senders[i].endsWithin(3700 * time.Millisecond) {
				senders[i].kill()
			}
			cs[i].drop()
			time.Sleep(600 * time.Millisecond)
			again, err := r.start(p, fmt.Sprintf("sender %d again", i))
			if err != nil {
				return err
			}
			if err := again.ready(p); err != nil {
				return err
			}
		}
		some(cs[i], 60)
	}
	time.Sleep(3 * time.Second)
	return r.foreign(60, old, stays, other, b2)
}

// foreign has each call at a receiver of another destination than the message's break the rule.
func (r *rig) foreign(least int, vs ...*receiver) error {
	right := 0
	for _, v := range vs {
		v.mu.Lock()
		calls := v.calls
		v.mu.Unlock()
		for _, call := range calls {
			var dst int64
			_, _ = fmt.Sscanf(call.body, "for %d:", &dst)
			if dst == v.cell {
				right++
				continue
			}
			r.breaks("%s, a receiver of destination %d, got message %s (%q), which is for destination %d, at %.3f and answered %d", v.name, v.cell,
				call.id, call.body, dst, call.at.Sub(r.began).Seconds(), call.status)
		}
	}
	r.note("calls at receivers of their destination: %d", right)
	if right < least {
		return fmt.Errorf("only %d calls", right)
	}
	return nil
}

package main

import (
	"fmt"
	"sync"
	"time"
)

// searchKept fills the store of kept messages while its destination is down, and looks whether ends are told in time. It is no case.
func searchKept(p *play) error {
	p.answer = func(*call) (int, time.Duration) { return 503, 0 }
	receivers, discovery, err := p.world()
	if err != nil {
		return err
	}
	s, err := p.sender(0, 1, receivers, discovery, "version = 1\n[kept]\nmost_mb = 1.0\n[[kept.rule]]\nact = \"send\"\nafter = \"5m\"\nrate = 0.5\nmay_have_run = \"no\"\n")
	if err != nil {
		return err
	}
	if err := s.begin(); err != nil {
		return err
	}
	if err := s.ready(); err != nil {
		return err
	}
	var mu sync.Mutex
	oks := map[string]time.Duration{}
	busy := 0
	var work sync.WaitGroup
	for k := range 8 {
		work.Go(func() {
			c, err := dial(s.listen)
			if err != nil {
				return
			}
			for n := 0; p.since() < 60*time.Second; n++ {
				time.Sleep(70 * time.Millisecond)
				id := fmt.Sprintf("b%d-%d", k, n)
				until := p.since() + 2*time.Second
				answer, err := c.say(2*time.Second, "ENQUEUE", "0000000000000000", id, fmt.Sprintf("c=payout,d=2000,dest=%d", dest), "a body of a usual kind: service order 12345 for plant 7")
				if err != nil {
					c.close()
					if c, err = dial(s.listen); err != nil {
						return
					}
					continue
				}
				mu.Lock()
				if answer == "+OK" {
					oks[id] = until
				} else {
					busy++
				}
				mu.Unlock()
			}
		})
	}
	work.Wait()
	time.Sleep(10 * time.Second)
	p.mu.Lock()
	first := map[string]time.Duration{}
	for _, n := range p.notices {
		if _, is := first[n.ID]; !is {
			first[n.ID] = n.At
		}
	}
	p.mu.Unlock()
	never, late, worst := 0, 0, time.Duration(0)
	bySec := map[int]time.Duration{}
	for id, until := range oks {
		switch at, is := first[id]; {
		case !is:
			never++
		default:
			sec := int(until.Seconds()) / 5 * 5
			bySec[sec] = max(bySec[sec], at-until)
			worst = max(worst, at-until)
			if at > until+lateBy {
				late++
			}
		}
	}
	for sec := 0; sec < 70; sec += 5 {
		p.note("COUNT until %d: latest %v after its time", sec, bySec[sec])
	}
	p.note("COUNT taken on %d busy %d never %d late %d worst %v", len(oks), busy, never, late, worst)
	for i, l := range s.logged("kept") {
		if i < 5 {
			p.note("log: %.300s", l)
		}
	}
	if never+late > 0 {
		return fmt.Errorf("%w: never %d late %d", errBroken, never, late)
	}
	return nil
}

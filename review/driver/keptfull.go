package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// keptFull: one of four destinations is shut. What is pushed back is kept, waits for its rule, and fills the store. It is no case: beside the
// three it has no place.
func keptFull(p *play) error {
	const (
		shut    = 22 * time.Second // the briefs: up to 23 s
		clients = 9
		pace    = 200 * time.Millisecond // 45 a second in all, and 75 to the other destinations: 37%, and 120 a second at the sender
		within  = 6 * time.Second
	)
	open := time.Now()
	p.answer = func(*call) (int, time.Duration) {
		if p.trouble && time.Now().Before(open) {
			return 503, 0
		}
		return 200, wellTakes
	}
	receivers, discovery, err := p.world()
	if err != nil {
		return err
	}
	s, err := p.sender(0, 1, receivers, discovery, "version = 1\n[kept]\nmost_mb = 3.0\n\n[[kept.rule]]\nlane = \"payout\"\nmay_have_run = \"no\"\n"+
		"act = \"send\"\nafter = \"5m\"\nrate = 0.5\nmost = 3\ndeadline = \"12s\"\n")
	if err != nil {
		return err
	}
	if err := s.diskMB(32); err != nil {
		return err
	}
	if err := s.begin(); err != nil {
		return err
	}
	if err := s.ready(); err != nil {
		return err
	}
	defer p.usualTraffic(s, 75)()
	time.Sleep(2 * time.Second)
	open = time.Now().Add(shut)
	p.note("destination %d: shut for %v", dest, shut)
	body := strings.Repeat("a line of an order with its parts. ", 180) // 6,300 bytes
	var mu sync.Mutex
	var oks []taken
	var work sync.WaitGroup
	for k := range clients {
		work.Go(func() {
			c, err := dial(s.listen)
			if err != nil {
				return
			}
			defer func() { c.close() }()
			for n := 0; time.Now().Before(open); n++ {
				id, at := fmt.Sprintf("pay-%d-%d", k, n), p.since()
				answer, err := c.say(answerIn, "ENQUEUE", "0000000000000000", id, fmt.Sprintf("c=payout,d=%d,dest=%d", within.Milliseconds(), dest), body)
				if err != nil {
					c.close()
					if c, err = dial(s.listen); err != nil {
						return
					}
				}
				if answer == "+OK" {
					mu.Lock()
					oks = append(oks, taken{id, s.name, at + within})
					mu.Unlock()
				}
				time.Sleep(pace)
			}
		})
	}
	work.Wait()
	time.Sleep(within + 12*time.Second)
	return p.endsInTime(oks, []*sender{s})
}

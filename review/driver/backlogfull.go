package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// searchBacklog fills the backlog of one sender while its destination is down, and looks whether all ends are told in time. It is no case.
func searchBacklog(p *play) error {
	p.answer = func(*call) (int, time.Duration) { return 503, 0 }
	receivers, discovery, err := p.world()
	if err != nil {
		return err
	}
	s, err := p.sender(0, 1, receivers, discovery, "version = 1\n[backlog]\n")
	if err != nil {
		return err
	}
	s.env = append(s.env, "RAVENLINK_LOG=info")
	if err := s.begin(); err != nil {
		return err
	}
	if err := s.ready(); err != nil {
		return err
	}
	end := p.since() + 45*time.Second
	var mu sync.Mutex
	oks := map[string]time.Duration{}
	busy := 0
	var work sync.WaitGroup
	spread := 0 * time.Second
	if os.Getenv("SPREAD") != "" {
		spread = 20 * time.Second
	}
	for k := range 8 {
		work.Go(func() {
			c, err := dial(s.listen)
			if err != nil {
				return
			}
			for n := 0; p.since() < 25*time.Second; n++ {
				id := fmt.Sprintf("b%d-%d", k, n)
				until := end + time.Duration(n%100)*spread/100
				answer, err := c.say(2*time.Second, "ENQUEUE", "0000000000000000", id, fmt.Sprintf("c=payout,d=%d,dest=%d", (until-p.since()).Milliseconds(), dest), "x")
				if err != nil {
					p.note("client %d: %v", k, err)
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
				if strings.HasPrefix(answer, "-BUSY") {
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	work.Wait()
	p.note("COUNT taken on %d, busy %d", len(oks), busy)
	if os.Getenv("KILL") != "" {
		s.signal(syscall.SIGKILL)
		s.ended(time.Second)
		time.Sleep(600 * time.Millisecond)
		_ = s.begin()
		_ = s.ready()
	}
	time.Sleep(end + spread + 8*time.Second - p.since())
	p.mu.Lock()
	first := map[string]time.Duration{}
	for _, n := range p.notices {
		if _, is := first[n.ID]; !is {
			first[n.ID] = n.At
		}
	}
	p.mu.Unlock()
	never, late := 0, 0
	for id, until := range oks {
		switch at, is := first[id]; {
		case !is:
			never++
		case at > until+lateBy:
			late++
		}
	}
	p.note("COUNT never %d late %d notices %d", never, late, len(p.notices))
	for i, l := range s.logged(`"level":"error"`) {
		if i < 5 {
			p.note("log: %.300s", l)
		}
	}
	names, _ := filepath.Glob(filepath.Join(p.temp, "a", "state", "*"))
	size := int64(0)
	for _, n := range names {
		if i, err := os.Stat(n); err == nil {
			size += (i.Size() + 511) / 512 * 512
		}
	}
	p.note("COUNT folder %d bytes", size)
	if never+late > 0 {
		return fmt.Errorf("%w: never %d late %d", errBroken, never, late)
	}
	return nil
}

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	shutFor     = 12 * time.Second // the destination refuses all; the briefs name 8 to 23 s
	keptAfter   = 20 * time.Second // of the rule on kept messages
	payouts     = 4
	noticeEvery = 500 * time.Millisecond
	mostTries   = 3 // after a pushback clients hand a message in again up to 2 times
)

// keptRule is the rule of docs/kept.md, with a shorter time.
const keptRule = `version = 1
[kept]

[[kept.rule]]
lane = "payout"
may_have_run = "no"
act = "send"
after = "20s"
rate = 2.0
most = 3
deadline = "12s"
`

// keptAgain: a destination is shut for some seconds. Messages of a lane that must never take effect twice are pushed back, and their clients
// hand them in again as the platform tells them. What is kept by rule goes out again beside that.
func keptAgain(p *play) error {
	open := p.start
	p.answer = func(*call) (int, time.Duration) {
		if p.trouble && time.Now().Before(open) {
			return 503, 0
		}
		return 200, 250 * time.Millisecond
	}
	receivers, discovery, err := p.world()
	if err != nil {
		return err
	}
	s, err := p.sender(0, 1, receivers, discovery, keptRule)
	if err != nil {
		return err
	}
	if err := s.begin(); err != nil {
		return err
	}
	if err := s.ready(); err != nil {
		return err
	}
	open = time.Now().Add(shutFor)
	if p.trouble {
		p.note("receiver: shut for %v, answers 503", shutFor)
	}
	defer p.noticesToo(s)()
	defer p.usualTraffic(s, 10)()
	var clients sync.WaitGroup
	for i := range payouts {
		clients.Go(func() { p.payout(s, i) })
		time.Sleep(300 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(keptAfter + 10*time.Second) // for what was kept to go out again
	return p.oncePerBody()
}

// payout is one client: it hands its message in, and again after a pushback.
func (p *play) payout(s *sender, i int) {
	body := fmt.Sprintf("pay order %d", i)
	for try := 1; try <= mostTries; try++ {
		id := fmt.Sprintf("%014x%02x", 0xa11ce+i, try)
		answer := p.handIn("client", s, id, fmt.Sprintf("c=payout,d=9000,dest=%d", dest), body)
		wait := time.Second
		if answer == "+OK" {
			ended := func() bool {
				_, told := p.noticeOf(id)
				return told || len(p.delivered(id)) > 0
			}
			if !p.until(12*time.Second, ended) {
				p.note("client: no end of id=%s", id)
				return
			}
			n, told := p.noticeOf(id)
			if !told || n.State != "returned" {
				return
			}
			wait = max(wait, time.Duration(n.AfterMS)*time.Millisecond)
		}
		time.Sleep(wait)
	}
}

// noticesToo hands notices in for the destination itself, a few; their clients do without a second try.
func (p *play) noticesToo(s *sender) (stop func()) {
	done := make(chan struct{})
	go func() {
		each := time.NewTicker(noticeEvery)
		defer each.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-each.C:
				id := fmt.Sprintf("%016x", 0xbeef0000+n)
				p.handIn("other client", s, id, fmt.Sprintf("c=notice,d=9000,k=%s,dest=%d", id, dest), "notice "+id)
			}
		}
	}()
	return func() { close(done) }
}

func (p *play) delivered(id string) (cs []call) {
	for _, c := range p.callsOf(id) {
		if c.Status == 200 {
			cs = append(cs, c)
		}
	}
	return cs
}

// oncePerBody judges: each body is one client's message, and its lane must never take effect twice.
func (p *play) oncePerBody() error {
	p.mu.Lock()
	ran := map[string][]string{}
	for _, c := range p.calls {
		if c.Status == 200 {
			ran[c.Body] = append(ran[c.Body], c.ID)
		}
	}
	p.mu.Unlock()
	twice := 0
	for body, ids := range ran {
		if len(ids) > 1 {
			if !strings.HasPrefix(body, "pay") { // a keyed lane: its receiver drops repeats
				continue
			}
			twice++
			p.note("JUDGE %q took effect %d times, as %v", body, len(ids), ids)
		}
	}
	switch {
	case len(ran) == 0:
		return fmt.Errorf("nothing ran")
	case twice > 0:
		return fmt.Errorf("%w: %d of %d messages of a lane that must never take effect twice ran more than once", errBroken, twice, payouts)
	}
	return nil
}

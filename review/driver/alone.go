package main

import (
	"fmt"
	"net"
	"sort"
	"strings"
	"syscall"
	"time"
)

// withoutFleet: a sender that holds messages of a channel is restarted while the address at which its fleet reaches it is taken by another program.
func withoutFleet(p *play) error {
	p.answer = func(*call) (int, time.Duration) { return 200, 370 * time.Millisecond }
	all, err := p.fleet()
	if err != nil {
		return err
	}
	a := all[0]
	if err := p.declare(a, true); err != nil {
		return err
	}
	const last = 8
	for pos := int64(1); pos <= last; pos++ {
		if answer := p.step(a, pos, fmt.Sprintf("step-%d", pos), fmt.Sprintf("step %d", pos), 12000, 15*time.Second); !strings.HasPrefix(answer, "+OK") {
			return fmt.Errorf("position %d is not taken on: %q", pos, answer)
		}
	}
	a.signal(syscall.SIGKILL)
	a.ended(time.Second)
	if p.trouble {
		l, err := net.Listen("tcp", p.links[0])
		if err != nil {
			return err
		}
		defer func() { _ = l.Close() }()
		p.note("another program listens at %s", p.links[0])
	}
	time.Sleep(600 * time.Millisecond)
	if err := a.begin(); err != nil {
		return err
	}
	if err := a.ready(); err != nil {
		return err
	}
	time.Sleep(16 * time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	run := append([]call(nil), p.calls...)
	sort.Slice(run, func(i, j int) bool { return run[i].At < run[j].At })
	for i := 1; i < len(run); i++ {
		if run[i].At < run[i-1].At+370*time.Millisecond && run[i].ID != run[i-1].ID {
			return fmt.Errorf("%w: %s was sent %v after %s, which was not over", errBroken, run[i].ID, run[i].At-run[i-1].At, run[i-1].ID)
		}
	}
	return nil
}

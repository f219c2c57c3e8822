package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// withoutLog: a sender that holds messages of a channel is killed, and its operator deletes its fleet.db before the next start.
func withoutLog(p *play) error {
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
		path := filepath.Join(p.temp, a.name, "state", "fleet.db")
		if err := os.Remove(path); err != nil {
			return err
		}
		p.note("operator: deletes fleet.db of sender a")
	}
	time.Sleep(600 * time.Millisecond)
	if err := a.begin(); err != nil {
		return err
	}
	if err := a.ready(); err != nil {
		return err
	}
	time.Sleep(18 * time.Second) // past the time of all
	without := 0
	for pos := 1; pos <= last; pos++ {
		id := fmt.Sprintf("step-%d", pos)
		if _, told := p.noticeOf(id); !told && len(p.delivered(id)) == 0 {
			without++
			p.note("JUDGE %s was taken on and has no end; calls of it: %d", id, len(p.callsOf(id)))
		}
	}
	if without > 0 {
		return fmt.Errorf("%w: %d of %d messages taken on have no end", errBroken, without, last)
	}
	return nil
}

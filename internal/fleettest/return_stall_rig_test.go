package fleettest

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Stalls of the machine during a scenario. The test program itself is the destinations and the clients, and all senders run on the same
// machine, so its stalls can cause failures.

const (
	stallPoll        = 5 * time.Millisecond
	minReportedStall = 50 * time.Millisecond // shorter stalls are indistinguishable from network delay
)

// stall is an interval in which the test program did not run, or in which its write to the disk with all senders' folders was blocked.
type stall struct {
	What        string
	From, Until time.Duration
}

// stalls records the stalls of the test program, to be logged if a scenario fails.
type stalls struct {
	mu  sync.Mutex
	all []stall
}

// watch detects stalls until the scenario ends.
func (s *stalls) watch(p *returnRig) {
	ticker := time.NewTicker(stallPoll)
	defer ticker.Stop()
	disk, err := os.Create(filepath.Join(p.dir, "beat"))
	if err != nil {
		p.t.Errorf("create the file for detecting disk stalls: %v", err)
		return
	}
	defer func() { _ = disk.Close() }()
	last := p.now()
	for {
		select {
		case <-p.done:
			return
		case <-ticker.C:
		}
		resumed := p.now()
		s.record("did not run", last, resumed)
		_, _ = disk.WriteAt([]byte{0}, 0)
		last = p.now()
		s.record("was blocked in a disk write", resumed, last)
	}
}

func (s *stalls) record(what string, from, until time.Duration) {
	if until-from < minReportedStall {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, stall{what, from, until})
}

// overlapping describes the stalls that overlap an interval.
func (s *stalls) overlapping(from, until time.Duration) (texts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stall := range s.all {
		if stall.Until >= from && stall.From <= until {
			texts = append(texts, fmt.Sprintf("the test program %s from %v to %v", stall.What, stall.From.Round(time.Millisecond), stall.Until.Round(time.Millisecond)))
		}
	}
	return texts
}

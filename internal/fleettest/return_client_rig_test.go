package fleettest

import (
	"cmp"
	"fmt"
	"hash/crc32"
	"strings"
	"time"
)

// Clients of a return scenario.

func (p *returnRig) senderOf(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if by, known := p.holders[id]; known {
		return by
	}
	return -1
}

func (p *returnRig) pickSender() (to int) {
	sum := 0.0
	for i, s := range p.senders {
		if sum += s.trafficWeight; p.rng.Float64()*sum < s.trafficWeight {
			to = i
		}
	}
	return to
}

func (p *returnRig) pickDestination(total float64) int {
	left := p.rng.Float64() * total
	for i, c := range p.Capacities {
		if left -= c; left < 0 {
			return i + 1
		}
	}
	return len(p.Capacities)
}

// handIn hands a message in at a sender or, if that does not answer, at the next one, as a load balancer would. Each attempt has its own id.
func (p *returnRig) handIn(name string, dst, to int) {
	p.mu.Lock()
	n := p.handIns[name]
	p.handIns[name]++
	p.mu.Unlock()
	if n >= maxHandIns || p.now() > p.OutageEnd+returnObservation {
		return
	}
	class, key := p.classOf(name)
	for attempt := range 2 * len(p.senders) {
		id := fmt.Sprintf("%s%04x%02x%02x", name, dst, n, attempt)
		p.recordHandIn(id, class, to)
		answer, lost := p.senders[to].request(encodeCommand("ENQUEUE", "0000", id, fmt.Sprintf("c=%s,d=%d%s,dest=%d", class, p.deadline().Milliseconds(), key, dst), "x"))
		p.recordAnswer(id, answer, lost)
		if after := 0; answer != "" || lost {
			if _, err := fmt.Sscanf(answer, "-BUSY %d", &after); err == nil {
				p.retryHandIn(id, after)
			}
			return
		}
		to = (to + 1) % len(p.senders)
	}
}

func (p *returnRig) recordHandIn(id, class string, to int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holders[id], p.messages[id] = to, &messageRecord{class: class}
}

func (p *returnRig) recordAnswer(id, answer string, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.messages[id].accepted = strings.HasPrefix(answer, "+")
	if lost {
		p.unanswered = append(p.unanswered, fmt.Sprintf("%s was read by n%d, which closed without an answer", id, p.holders[id]))
	}
}

func (p *returnRig) deadline() time.Duration { return cmp.Or(p.Deadline, defaultDeadline) }

// classOf returns a message's class and its key field. Scenarios without a SettleTime have no messages that must not run twice.
func (p *returnRig) classOf(name string) (class, key string) {
	if n := crc32.ChecksumIEEE([]byte(name)); p.SettleTime > 0 && float64(n%100) < 100*soakOnceShare {
		return "once", ""
	}
	return "notice", ",k=" + name
}

// recordRun counts a call that may have run.
func (p *returnRig) recordRun(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.messages[id]; m != nil {
		m.runs++
	}
}

// recordEnd records that a message was delivered or reported in a notice.
func (p *returnRig) recordEnd(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.messages[id]; m != nil {
		m.ended = true
	}
}

// retryHandIn makes a client hand a rejected message in again, at a random sender.
func (p *returnRig) retryHandIn(id string, afterMs int) {
	var dst int
	if _, err := fmt.Sscanf(id[8:12], "%x", &dst); err != nil {
		return
	}
	p.mu.Lock()
	wait := max(time.Duration(afterMs)*time.Millisecond, 400*time.Millisecond+time.Duration(p.rng.Float64()*float64(time.Second)))
	to := p.pickSender()
	p.mu.Unlock()
	p.at(p.now()+wait, func() { p.handIn(id[:8], dst, to) })
}

package fleettest

import (
	"cmp"
	"fmt"
	"hash/crc32"
	"strings"
	"time"
)

// Clients of a return play.

func (p *returnRig) handedTo(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if by, known := p.holder[id]; known {
		return by
	}
	return -1
}

func (p *returnRig) drawSender() (to int) {
	sum := 0.0
	for i, s := range p.senders {
		if sum += s.part; p.draw.Float64()*sum < s.part {
			to = i
		}
	}
	return to
}

func (p *returnRig) drawDestination(total float64) int {
	left := p.draw.Float64() * total
	for i, c := range p.Capacities {
		if left -= c; left < 0 {
			return i + 1
		}
	}
	return len(p.Capacities)
}

// handIn hands a message in at a sender, or where that answers nothing at the next one; a front would. Each try has an id of its own.
func (p *returnRig) handIn(name string, dst, to int) {
	p.mu.Lock()
	n := p.handIns[name]
	p.handIns[name]++
	p.mu.Unlock()
	if n >= mostHandIns || p.now() > p.Until+returnWatch {
		return
	}
	lane, key := p.laneOf(name)
	for try := range 2 * len(p.senders) {
		id := fmt.Sprintf("%s%04x%02x%02x", name, dst, n, try)
		p.noteHandIn(id, lane, to)
		answer, lost := p.senders[to].say(command("ENQUEUE", "0000", id, fmt.Sprintf("c=%s,d=%d%s,dest=%d", lane, p.within().Milliseconds(), key, dst), "x"))
		p.noteAnswer(id, answer, lost)
		if after := 0; answer != "" || lost {
			if _, err := fmt.Sscanf(answer, "-BUSY %d", &after); err == nil {
				p.comeAgain(id, after)
			}
			return
		}
		to = (to + 1) % len(p.senders)
	}
}

func (p *returnRig) noteHandIn(id, lane string, to int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holder[id], p.messages[id] = to, &handed{lane: lane}
}

func (p *returnRig) noteAnswer(id, answer string, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.messages[id].taken = strings.HasPrefix(answer, "+")
	if lost {
		p.unanswered = append(p.unanswered, fmt.Sprintf("%s was read by n%d, which closed without an answer", id, p.holder[id]))
	}
}

func (p *returnRig) within() time.Duration { return cmp.Or(p.Within, returnWithin) }

// laneOf is a message's lane, and its key as a field; a plain play has none that must not run twice.
func (p *returnRig) laneOf(name string) (lane, key string) {
	if n := crc32.ChecksumIEEE([]byte(name)); p.Settle > 0 && float64(n%100) < 100*soakOnce {
		return "once", ""
	}
	return "notice", ",k=" + name
}

// ran counts a call that may have run.
func (p *returnRig) ran(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.messages[id]; m != nil {
		m.ran++
	}
}

// over takes in that a message was delivered, or told in a notice.
func (p *returnRig) over(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.messages[id]; m != nil {
		m.ended = true
	}
}

// comeAgain has a client hand a message in once more after a pushback, at any sender.
func (p *returnRig) comeAgain(id string, afterMs int) {
	var dst int
	if _, err := fmt.Sscanf(id[8:12], "%x", &dst); err != nil {
		return
	}
	p.mu.Lock()
	wait := max(time.Duration(afterMs)*time.Millisecond, 400*time.Millisecond+time.Duration(p.draw.Float64()*float64(time.Second)))
	to := p.drawSender()
	p.mu.Unlock()
	p.at(p.now()+wait, func() { p.handIn(id[:8], dst, to) })
}

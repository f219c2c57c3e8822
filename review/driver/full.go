package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	streams    = 12                     // channels, as many as the fleet's log is said to hold at its usual size; four clients at each sender
	streamPace = 200 * time.Millisecond // between the hand-ins of one: 60 messages a second over all
	streamTime = 10 * time.Second       // of a message
	takesTime  = 130 * time.Millisecond // a call, at the usual pace
	hangsFor   = 13 * time.Second
	streamsFor = 18 * time.Second
	lateBy     = 350 * time.Millisecond // after its time a message without an end is lost: 300 ms, and 50 ms for each time limit
)

// taken is a message that a sender took on.
type taken struct {
	id      string
	sender  string
	expires time.Duration
}

// fullLog: messages of channels wait while their receiver hangs, within the window of each channel and the bound of all.
func fullLog(p *play) error {
	var hangs bool
	p.answer = func(*call) (int, time.Duration) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if hangs {
			return 0, 0
		}
		return 200, takesTime
	}
	all, err := p.fleet()
	if err != nil {
		return err
	}
	for i := range streams {
		text := fmt.Sprintf(`{"order":"contract","channel":"line-%d","tenant":"north","dst":%d,"mode":"whole","gap":"wait","wait":"30s","version":1}`, i, dest)
		if answer := p.handIn("tenant", all[i%senders], fmt.Sprintf("c0de%d", i), fmt.Sprintf("c=payout,d=8000,dest=%d", ordersDst), text); answer != "+OK" {
			return fmt.Errorf("contract %d is not taken on: %q", i, answer)
		}
	}
	time.Sleep(time.Second)
	var mu sync.Mutex
	var oks []taken
	stop := time.Now().Add(streamsFor)
	for _, s := range all {
		defer p.usualTraffic(s, 45)()
	}
	var clients sync.WaitGroup
	for i := range streams {
		clients.Go(func() {
			p.line(all[i%senders], i, stop, func(t taken) {
				mu.Lock()
				defer mu.Unlock()
				oks = append(oks, t)
			})
		})
	}
	time.Sleep(3 * time.Second)
	if p.trouble {
		p.mu.Lock()
		hangs = true
		p.noteHeld("receiver: takes calls and answers none from now on")
		p.mu.Unlock()
		time.Sleep(hangsFor)
		p.mu.Lock()
		hangs = false
		p.noteHeld("receiver: answers again")
		p.mu.Unlock()
	}
	clients.Wait()
	time.Sleep(streamTime + 5*time.Second)
	return p.endsInTime(oks, all)
}

// line is one client: it hands in one position after the other, and goes on where it is told.
func (p *play) line(s *sender, number int, stop time.Time, took func(taken)) {
	c, err := dial(s.listen)
	if err != nil {
		return
	}
	defer func() { c.close() }()
	next, given := int64(1), map[int64]bool{}
	for time.Now().Before(stop) {
		id := fmt.Sprintf("line-%d-%d", number, next)
		at := p.since()
		answer, err := c.say(answerIn, "ENQUEUE", "0000000000000000", id,
			fmt.Sprintf("c=payout,d=%d,dest=%d,ch=line-%d,pos=%d", streamTime.Milliseconds(), dest, number, next), "of "+id)
		p.note("client to sender %s: id=%s: %q", s.name, id, answer)
		if err != nil { // it gives up that connection
			c.close()
			if c, err = dial(s.listen); err != nil {
				return
			}
			continue
		}
		word, rest, _ := strings.Cut(answer, " ")
		if word == "+OK" && !given[next] {
			given[next] = true
			took(taken{id, s.name, at + streamTime})
		}
		pause := streamPace
		if word == "-BUSY" {
			if ms, err := strconv.Atoi(strings.Fields(rest + " 0")[0]); err == nil {
				pause = max(pause, time.Duration(ms)*time.Millisecond)
			}
		}
		if _, pos, told := strings.Cut(" "+rest, " pos="); told {
			if last, err := strconv.ParseInt(pos, 10, 64); err == nil {
				next = last + 1
			}
		}
		time.Sleep(pause)
	}
}

// endsInTime judges: each message taken on is delivered, or its end is told, in its time.
func (p *play) endsInTime(oks []taken, all []*sender) error {
	p.mu.Lock()
	ended := map[string]time.Duration{}
	for _, c := range p.calls {
		if c.Status == 200 {
			ended[c.ID] = c.At
		}
	}
	for _, n := range p.notices {
		if at, is := ended[n.ID]; !is || n.At < at {
			ended[n.ID] = n.At
		}
	}
	p.mu.Unlock()
	never, late := map[string]int{}, 0
	for _, t := range oks {
		switch at, is := ended[t.id]; {
		case !is:
			if never[t.sender]++; never[t.sender] <= 3 {
				p.note("JUDGE %s, taken on by sender %s, has no end; its time was up at %.3f", t.id, t.sender, t.expires.Seconds())
			}
		case at > t.expires+lateBy:
			late++
		}
	}
	for _, s := range all {
		for _, l := range s.logged("channels stop here") {
			p.note("log of sender %s: %s", s.name, l)
		}
	}
	p.note("JUDGE %d messages taken on; without an end, by sender: %v; with a late one: %d", len(oks), never, late)
	switch {
	case len(oks) == 0:
		return fmt.Errorf("nothing was taken on")
	case len(never) > 0 || late > 0:
		return fmt.Errorf("%w: of %d messages taken on some have no end in their time: %v never, %d late", errBroken, len(oks), never, late)
	}
	return nil
}

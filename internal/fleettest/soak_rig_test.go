package fleettest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"syscall"
	"time"
)

const (
	soakKill    = 3700 * time.Millisecond // after SIGTERM, the earliest that the operators' page allows
	soakDoors   = 300 * time.Millisecond  // after SIGTERM in which clients still open connections
	soakWithin  = 6 * time.Second         // the time of a message
	soakSettle  = 9 * time.Second         // after the last hand-in: the time of a message, and what a restart may take
	soakOnce    = 0.2                     // share of the messages that must not run twice
	soakAnswers = 20 * time.Millisecond   // a request written longer ago was at the sender; closed unread it would be reset
	soakKilled  = 300 * time.Millisecond  // in which the connections of a killed process end
)

// handed is a message as clients and receivers know it.
type handed struct {
	lane  string
	taken bool
	ended bool // delivered, or told in a notice
	ran   int  // calls that may have run
}

// DrawSoak draws a play in which processes get signals in series while destinations fail and return.
func DrawSoak(seed uint64) ReturnPlay {
	r := rand.New(rand.NewPCG(seed, 45))
	play := thinFleet(seed)
	play.Senders = []int{12, 20, 34}[r.IntN(3)]
	play.How = []Outage{Refuses, Hangs, Errors}[r.IntN(3)]
	play.Endpoints = 1 + r.IntN(2)
	play.Joins, play.Notes = r.IntN(2) == 0, r.IntN(2) == 0
	play.Weights = []string{"off", "nominal"}[r.IntN(2)]
	play.Load = 0.6 + 0.4*r.Float64()
	play.Killed, play.LateKills = 0.3*r.Float64(), 0.3*r.Float64()
	play.Signals = 0.3
	if r.IntN(3) == 0 {
		play.Crowd = 100
	}
	play.Until = play.From + time.Duration(3+r.IntN(6))*time.Second
	play.Copies = r.IntN(2) == 0
	play.Within, play.Settle = soakWithin, soakSettle
	return play
}

// signals sends some senders signals in series: changes of the configuration, an order to end, more of either, and the kill at its earliest.
func (p *returnRig) signals() {
	n := int(p.Signals * float64(p.Senders))
	for _, s := range p.senders[p.Senders-n:] {
		at := time.Duration(p.draw.Float64() * float64(p.Until))
		for range p.draw.IntN(3) {
			p.at(at, func() { s.signal(syscall.SIGHUP) })
			at += time.Duration(p.draw.Float64() * float64(soakDoors))
		}
		p.at(at, s.askToEnd)
		for range p.draw.IntN(3) {
			again := []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[p.draw.IntN(2)]
			p.at(at+time.Duration(p.draw.Float64()*float64(soakKill)), func() { s.signal(again) })
		}
		p.restart(s, at+soakKill)
	}
}

func (s *returnSender) signal(sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd != nil {
		_ = s.cmd.Process.Signal(sig)
	}
}

func (s *returnSender) askToEnd() {
	s.signal(syscall.SIGTERM)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaves = time.Now()
}

// crowd has clients that connect to one sender, say nothing and stay.
func (p *returnRig) crowd() {
	if p.Crowd == 0 {
		return
	}
	at := p.senders[0].listen.Addr.String()
	for range p.Crowd {
		p.at(time.Duration(p.draw.Float64()*float64(p.From)), func() {
			if c, err := net.DialTimeout("tcp", at, clientPatience); err == nil {
				<-p.done
				_ = c.Close()
			}
		})
	}
}

// soakConn is one connection of a client.
type soakConn struct {
	net.Conn
	r *bufio.Reader
}

// connection gives one that rests, or a new one while the sender's doors are open; nil where there is none.
func (s *returnSender) connection() *soakConn {
	s.mu.Lock()
	if n := len(s.idle); n > 0 {
		c := s.idle[n-1]
		s.idle = s.idle[:n-1]
		s.mu.Unlock()
		return c
	}
	shut := s.cmd == nil || !s.leaves.IsZero() && time.Since(s.leaves) > soakDoors
	s.mu.Unlock()
	if shut {
		return nil
	}
	c, err := net.DialTimeout("tcp", s.listen.Addr.String(), clientPatience)
	if err != nil {
		return nil
	}
	return &soakConn{Conn: c, r: bufio.NewReader(c)}
}

// say writes a request and reads its answer. It is empty where the connection ended without one; lost tells that the sender had surely read
// the request then, and was not killed. What would be written after the end has come cannot be read, however late this client sees that.
func (s *returnSender) say(text string) (answer string, lost bool) {
	c := s.connection()
	if c == nil {
		return "", false
	}
	if hasEnded(c.Conn) {
		_ = c.Close()
		return "", false
	}
	_ = c.SetDeadline(time.Now().Add(clientPatience))
	if _, err := io.WriteString(c, text); err != nil {
		_ = c.Close()
		return "", false
	}
	written := time.Now()
	line, err := c.r.ReadString('\n')
	if err != nil {
		_ = c.Close()
		return "", errors.Is(err, io.EOF) && time.Since(written) > soakAnswers && !s.killedLately()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		_ = c.Close()
	} else {
		s.idle = append(s.idle, c)
	}
	return line[:len(line)-2], false
}

func (s *returnSender) killedLately() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.killed) < soakKilled
}

// broken lists what the six rules find: messages taken on that have no end, requests that were read and not answered, and messages that must
// not run twice and may have.
func (p *returnRig) broken() (faults []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	faults = append(faults, p.unanswered...)
	for id, m := range p.messages {
		if m.taken && !m.ended {
			faults = append(faults, fmt.Sprintf("%s was taken on and has no end", id))
		}
		if m.lane == "once" && m.ran > 1 {
			faults = append(faults, fmt.Sprintf("%s may have run %d times", id, m.ran))
		}
	}
	return faults
}

package fleettest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os/exec"
	"syscall"
	"time"
)

const (
	soakKillDelay   = 3700 * time.Millisecond // from SIGTERM to SIGKILL, the shortest that the operators' page allows
	soakConnectTime = 300 * time.Millisecond  // after SIGTERM, in which clients still open connections
	soakDeadline    = 6 * time.Second         // of a message
	soakSettle      = 9 * time.Second         // after the last hand-in: the deadline of a message plus the time of a restart
	soakOnceShare   = 0.2                     // share of the messages that must not run twice
	soakReadTime    = 20 * time.Millisecond   // a request written longer ago has been read by the sender: closing with unread data would reset the connection
	soakCloseTime   = 300 * time.Millisecond  // in which the connections of a killed process close
)

// messageRecord is what clients and receivers know about a message.
type messageRecord struct {
	class    string
	accepted bool
	ended    bool // delivered, or reported in a notice
	runs     int  // calls that may have run
}

// RandomSoak returns a random scenario in which processes get series of signals while destinations fail and return.
func RandomSoak(seed uint64) ReturnScenario {
	r := rand.New(rand.NewPCG(seed, 45))
	scenario := lowTrafficScenario(seed)
	scenario.Senders = []int{12, 20, 34}[r.IntN(3)]
	scenario.Outage = []OutageKind{RefusesConnections, HangsCalls, AnswersErrors}[r.IntN(3)]
	scenario.Endpoints = 1 + r.IntN(2)
	scenario.AddEndpoints, scenario.Notes = r.IntN(2) == 0, r.IntN(2) == 0
	scenario.Weights = []string{"off", "nominal"}[r.IntN(2)]
	scenario.LoadFactor = 0.6 + 0.4*r.Float64()
	scenario.KilledShare, scenario.LateKilledShare = 0.3*r.Float64(), 0.3*r.Float64()
	scenario.SignaledShare = 0.3
	if r.IntN(3) == 0 {
		scenario.IdleClients = 100
	}
	scenario.OutageEnd = scenario.OutageStart + time.Duration(3+r.IntN(6))*time.Second
	scenario.Deadline, scenario.SettleTime = soakDeadline, soakSettle
	return scenario
}

// scheduleSignals schedules a series of signals for some senders: SIGHUPs to reload the configuration, a SIGTERM, more of either, and
// a SIGKILL after soakKillDelay. On a busy machine a signal may be late: one that comes after the SIGKILL is dropped, as a SIGTERM would end
// the next process of the sender, which nothing starts again.
func (p *returnRig) scheduleSignals() {
	n := int(p.SignaledShare * float64(p.Senders))
	for _, s := range p.senders[p.Senders-n:] {
		process := s.process()
		at := time.Duration(p.rng.Float64() * float64(p.OutageEnd))
		for range p.rng.IntN(3) {
			p.at(at, func() { s.signal(process, syscall.SIGHUP) })
			at += time.Duration(p.rng.Float64() * float64(soakConnectTime))
		}
		p.at(at, func() { s.signal(process, syscall.SIGTERM) })
		for range p.rng.IntN(3) {
			again := []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[p.rng.IntN(2)]
			p.at(at+time.Duration(p.rng.Float64()*float64(soakKillDelay)), func() { s.signal(process, again) })
		}
		p.restart(s, at+soakKillDelay)
	}
}

// process returns the running process of the sender, or nil.
func (s *returnSender) process() *exec.Cmd {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cmd
}

// signal sends a signal to a process of the sender unless that was killed, and reports whether it did.
func (s *returnSender) signal(process *exec.Cmd, sig syscall.Signal) (sent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if process == nil || s.cmd != process {
		return false
	}
	_ = process.Process.Signal(sig)
	if sig == syscall.SIGTERM && s.termAt.IsZero() {
		s.termAt = time.Now()
	}
	return true
}

// openIdleClients opens connections to the first sender that stay open and silent.
func (p *returnRig) openIdleClients() {
	if p.IdleClients == 0 {
		return
	}
	at := p.senders[0].reservation.Addr.String()
	for range p.IdleClients {
		p.at(time.Duration(p.rng.Float64()*float64(p.OutageStart)), func() {
			if c, err := net.DialTimeout("tcp", at, clientTimeout); err == nil {
				<-p.done
				_ = c.Close()
			}
		})
	}
}

// clientConn is a connection of a client.
type clientConn struct {
	net.Conn
	r *bufio.Reader
}

// takeConn returns an idle connection or, while clients still connect to the sender, a new one. It returns nil if there is neither.
func (s *returnSender) takeConn() *clientConn {
	s.mu.Lock()
	if n := len(s.idleConns); n > 0 {
		c := s.idleConns[n-1]
		s.idleConns = s.idleConns[:n-1]
		s.mu.Unlock()
		return c
	}
	closed := s.cmd == nil || !s.termAt.IsZero() && time.Since(s.termAt) > soakConnectTime
	s.mu.Unlock()
	if closed {
		return nil
	}
	c, err := net.DialTimeout("tcp", s.reservation.Addr.String(), clientTimeout)
	if err != nil {
		return nil
	}
	return &clientConn{Conn: c, r: bufio.NewReader(c)}
}

// request writes a request and reads its answer, which is empty if the connection was closed without one. In that case lost reports
// whether the sender must have read the request and was not killed. Nothing is written to a connection that the sender has closed: the
// request could not be read, but would count as lost if this client saw the close too late.
func (s *returnSender) request(text string) (answer string, lost bool) {
	c := s.takeConn()
	if c == nil {
		return "", false
	}
	if peerHasClosed(c.Conn) {
		_ = c.Close()
		return "", false
	}
	_ = c.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := io.WriteString(c, text); err != nil {
		_ = c.Close()
		return "", false
	}
	written := time.Now()
	line, err := c.r.ReadString('\n')
	if err != nil {
		_ = c.Close()
		return "", errors.Is(err, io.EOF) && time.Since(written) > soakReadTime && !s.killedRecently()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		_ = c.Close()
	} else {
		s.idleConns = append(s.idleConns, c)
	}
	return line[:len(line)-2], false
}

func (s *returnSender) killedRecently() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.killedAt) < soakCloseTime
}

// violations lists accepted messages without an end, requests that were read but not answered, and non-retriable messages that may have
// run twice.
func (p *returnRig) violations() (found []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found = append(found, p.unanswered...)
	for id, m := range p.messages {
		if m.accepted && !m.ended {
			found = append(found, fmt.Sprintf("%s was accepted and has no end", id))
		}
		if m.class == "once" && m.runs > 1 {
			found = append(found, fmt.Sprintf("%s may have run %d times", id, m.runs))
		}
	}
	return found
}

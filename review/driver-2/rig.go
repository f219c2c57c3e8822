// Command driver-2 runs the cases of the second review: review/N/run.sh starts it with the number of its case. It starts the project's own
// sender by the deploy file, on loopback, with stand-ins of its own for clients, receivers and the platform.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig is what one play of a case has: a temporary folder, the record and all processes that it started.
type rig struct {
	trouble bool
	dir     string
	began   time.Time

	mu      sync.Mutex
	record  *os.File
	senders []*sender
	broken  []string
}

func newRig(record string) (*rig, error) {
	dir, err := os.MkdirTemp("", "ravenlink-review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &rig{trouble: os.Getenv("TROUBLE") != "0", dir: dir, began: time.Now(), record: f}, nil
}

// note writes one line of the record.
func (r *rig) note(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, a...))
}

// breaks notes that the rule was broken.
func (r *rig) breaks(format string, a ...any) {
	what := fmt.Sprintf(format, a...)
	r.note("BROKEN  %s", what)
	r.mu.Lock()
	r.broken = append(r.broken, what)
	r.mu.Unlock()
}

// end stops what still runs and removes the folder.
func (r *rig) end() {
	r.mu.Lock()
	all := append([]*sender{}, r.senders...)
	r.mu.Unlock()
	for _, s := range all {
		s.kill()
	}
	_ = r.record.Close()
	_ = os.RemoveAll(r.dir)
}

// freeAddr is a loopback address that nobody listens on just now.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// runLine is `run` of the deploy file.
func runLine() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(text)
	if m == nil {
		return "", errors.New("the deploy file has no line `run`")
	}
	return string(m[1]), nil
}

// place is where a sender runs: the same over all its processes.
type place struct {
	name, listen, discovery, state, config, operator string
}

// newPlace makes a place with a state folder and a start file.
func (r *rig) newPlace(name, discovery string, start map[string]any) (p place, err error) {
	p = place{name: name, discovery: discovery, state: filepath.Join(r.dir, name+"-state"), config: filepath.Join(r.dir, name+".json")}
	if p.listen, err = freeAddr(); err != nil {
		return p, err
	}
	if err = os.Mkdir(p.state, 0o700); err != nil {
		return p, err
	}
	start["name"], start["listen"], start["discovery"] = name, p.listen, discovery
	return p, p.write(start)
}

// write puts a start file in place, by a rename.
func (p place) write(start map[string]any) error {
	text, err := json.MarshalIndent(start, "", "  ")
	if err != nil {
		return err
	}
	if err = os.WriteFile(p.config+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(p.config+".new", p.config)
}

// sender is one process.
type sender struct {
	rig  *rig
	cmd  *exec.Cmd
	log  *bytes.Buffer
	done chan struct{}
	err  error
	what string
}

// start starts `run` at a place.
func (r *rig) start(p place, what string) (*sender, error) {
	line, err := runLine()
	if err != nil {
		return nil, err
	}
	if p.operator != "" {
		line += " --operator " + p.operator
	}
	s := &sender{rig: r, log: &bytes.Buffer{}, done: make(chan struct{}), what: what}
	s.cmd = exec.Command("/bin/sh", "-c", line)
	s.cmd.Env = append(os.Environ(), "RELAY_NAME="+p.name, "RELAY_LISTEN="+p.listen, "RELAY_DISCOVERY="+p.discovery,
		"RELAY_STATE="+p.state, "RELAY_CONFIG="+p.config, "RAVENLINK_LOG="+os.Getenv("RAVENLINK_LOG"))
	s.cmd.Stdout, s.cmd.Stderr = s.log, s.log
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	r.note("start   %s: %s (pid %d)", what, line, s.cmd.Process.Pid)
	r.mu.Lock()
	r.senders = append(r.senders, s)
	r.mu.Unlock()
	go func() {
		s.err = s.cmd.Wait()
		r.note("exit    %s: %v", what, s.cmd.ProcessState)
		close(s.done)
	}()
	return s, nil
}

// signal sends one to the process that `run` became.
func (s *sender) signal(sig syscall.Signal) {
	s.rig.note("signal  %s: %v", s.what, sig)
	_ = s.cmd.Process.Signal(sig)
}

func (s *sender) ended() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// kill ends the process and waits for that.
func (s *sender) kill() {
	if s.ended() {
		return
	}
	_ = syscall.Kill(-s.cmd.Process.Pid, syscall.SIGKILL)
	<-s.done
}

// endsWithin waits for the end of a process.
func (s *sender) endsWithin(d time.Duration) bool {
	select {
	case <-s.done:
		return true
	case <-time.After(d):
		return false
	}
}

// ready waits until the sender answers PING: from then on it is in use.
func (s *sender) ready(p place) error {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if s.ended() {
			return fmt.Errorf("%s ended: %s", s.what, tail(s.log.String()))
		}
		c, err := net.DialTimeout("tcp", p.listen, time.Second)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(time.Second))
		_, _ = c.Write([]byte("*1\r\n$4\r\nPING\r\n"))
		b := make([]byte, 7)
		n, _ := c.Read(b)
		_ = c.Close()
		if strings.HasPrefix(string(b[:n]), "+PONG") {
			s.rig.note("ready   %s", s.what)
			return nil
		}
	}
	return fmt.Errorf("%s was not ready in 30 s", s.what)
}

func tail(text string) string {
	if len(text) > 600 {
		text = text[len(text)-600:]
	}
	return strings.TrimSpace(text)
}

// fellow starts a second sender of the deployment, which nothing befalls.
func (r *rig) fellow(a *agent, known map[string]any, lanes ...map[string]any) error {
	p, err := r.newPlace("n1", a.addr, startFile(known, lanes...))
	if err != nil {
		return err
	}
	s, err := r.start(p, "the other sender")
	if err != nil {
		return err
	}
	return s.ready(p)
}

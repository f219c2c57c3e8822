package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	dest        = 7    // the destination that trouble comes to
	others      = 3    // further destinations, numbered from there on, which are always well
	ordersDst   = 1000 // where orders go
	readyWithin = 15 * time.Second
	answerIn    = 400 * time.Millisecond // a client waits so long for its answer
	beat        = 2 * time.Second        // of a watch
	wellTakes   = 150 * time.Millisecond // a call to one of the other destinations
)

// play is one run of a case.
type play struct {
	start   time.Time
	trouble bool
	run     string // the deploy file's line
	temp    string

	otherTaken, otherCalls atomic.Int64 // messages for the other destinations, and calls there

	mu      sync.Mutex
	record  *os.File
	calls   []call
	notices []notice
	senders []*sender
	servers []*http.Server
	addrs   []string // of senders
	links   [senders]string
	answer  func(c *call) (status int, after time.Duration) // of the receiver; status 0 hangs
}

// call is one that a receiver got whole.
type call struct {
	ID, Key, Body string
	At            time.Duration
	Status        int // as answered; 0 for none
}

type notice struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	AfterMS int64  `json:"after_ms"`
	At      time.Duration
}

// sender is one process of the project's program.
type sender struct {
	p        *play
	name     string
	listen   string // for clients
	operator string // its file, empty for none
	env      []string
	cmd      *exec.Cmd
	gone     chan struct{}
}

func newPlay(folder string) (*play, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, fmt.Errorf("it is started from the repository's root: %w", err)
	}
	line := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(text)
	if line == nil {
		return nil, errors.New("the deploy file has no run line")
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	p := &play{start: time.Now(), trouble: os.Getenv("TROUBLE") != "0", run: string(line[1]), temp: temp, record: record}
	p.note("trouble: %v", p.trouble)
	return p, nil
}

func (p *play) since() time.Duration { return time.Since(p.start) }

// note writes one line of the record.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteHeld(format, args...)
}

func (p *play) noteHeld(format string, args ...any) {
	fmt.Fprintf(p.record, "%8.3f  %s\n", p.since().Seconds(), fmt.Sprintf(format, args...))
}

// end stops all that was started.
func (p *play) end() {
	for _, s := range p.senders {
		s.kill()
	}
	for _, s := range p.servers {
		_ = s.Close()
	}
	p.note("other destinations: %d messages taken on, %d calls", p.otherTaken.Load(), p.otherCalls.Load())
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.temp)
	}
}

// serve starts a stand-in over HTTP and tells its address.
func (p *play) serve(h http.Handler) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	p.servers = append(p.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// receiver is the only endpoint of the destination.
func (p *play) receiver() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /events", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		c := &call{ID: r.Header.Get("X-Txn"), Key: r.Header.Get("Idempotency-Key"), Body: string(body), At: p.since()}
		status, after := p.answer(c)
		p.note("receiver: call id=%s body=%q, to be answered %d after %v", c.ID, c.Body, status, after)
		if status == 0 { // it takes the call and answers nothing
			<-r.Context().Done()
		} else {
			time.Sleep(after)
			c.Status = status
			w.WriteHeader(status)
			p.note("receiver: answered %d to id=%s", status, c.ID)
		}
		p.mu.Lock()
		p.calls = append(p.calls, *c)
		p.mu.Unlock()
	})
	m.HandleFunc("GET /alive", func(w http.ResponseWriter, r *http.Request) {
		switch status, _ := p.answer(nil); status {
		case 0:
			<-r.Context().Done()
		case 200:
		default:
			w.WriteHeader(503)
		}
	})
	return m
}

// platform is discovery and the platform.
func (p *play) platform(receivers []string) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /discovery/hosts", func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, list(receivers))
		for r.URL.Query().Get("watch") == "1" {
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(beat):
				fmt.Fprintln(w)
			}
		}
	})
	m.HandleFunc("POST /v2/finals", func(w http.ResponseWriter, r *http.Request) {
		lines := bufio.NewScanner(r.Body)
		var all []notice
		for lines.Scan() {
			n := notice{At: p.since()}
			if json.Unmarshal(lines.Bytes(), &n) != nil {
				w.WriteHeader(400)
				return
			}
			all = append(all, n)
		}
		p.mu.Lock()
		for _, n := range all {
			p.noteHeld("platform: notice id=%s %s, after_ms=%d", n.ID, n.State, n.AfterMS)
		}
		p.notices = append(p.notices, all...)
		p.mu.Unlock()
		w.WriteHeader(204)
	})
	return m
}

// list names the receiver of each destination.
func list(receivers []string) string {
	var members []string
	for i, addr := range receivers {
		members = append(members, fmt.Sprintf(`{"id":"r-%d","host_port":"%s","locality":"here","flavor":"plant","cell":%d,"phase":"SERVING",`+
			`"size":1,"up_since_ms":0}`, dest+i, addr, dest+i))
	}
	return `{"revision":2,"complete":true,"members":[` + strings.Join(members, ",") + `]}`
}

// well is a receiver that is always so.
func (p *play) well() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /events", func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		p.otherCalls.Add(1)
		time.Sleep(wellTakes)
	})
	m.HandleFunc("GET /alive", func(http.ResponseWriter, *http.Request) {})
	return m
}

// usualTraffic hands so many notices a second in at a sender, for the other destinations, until stop is called.
func (p *play) usualTraffic(s *sender, perSec int) (stop func()) {
	done := make(chan struct{})
	go func() {
		each := time.NewTicker(time.Second / time.Duration(perSec))
		defer each.Stop()
		var c *client
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-each.C:
			}
			if c == nil {
				var err error
				if c, err = dial(s.listen); err != nil {
					c = nil
					continue
				}
			}
			id := fmt.Sprintf("%s-other-%d", s.name, n)
			answer, err := c.say(answerIn, "ENQUEUE", "0000000000000000", id,
				fmt.Sprintf("c=notice,d=9000,k=%s,dest=%d", id, dest+1+n%others), "notice "+id)
			if err != nil {
				c.close()
				c = nil
			} else if answer == "+OK" {
				p.otherTaken.Add(1)
			}
		}
	}()
	return func() { close(done) }
}

// world starts the stand-ins, and gives what every sender is told.
func (p *play) world() (receivers []string, discovery string, err error) {
	for i := range 1 + others {
		h := p.well()
		if i == 0 {
			h = p.receiver()
		}
		addr, err := p.serve(h)
		if err != nil {
			return nil, "", err
		}
		receivers = append(receivers, addr)
	}
	discovery, err = p.serve(p.platform(receivers))
	return receivers, discovery, err
}

// settings are those of a small deployment: two or three senders, one lane that must never take effect twice and one that is keyed.
const settings = `{"name":"%s","seed":"8c1f30d27a5be9%02x","discovery":"%s","limits":{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3},
"known":%s,
"settings":{"balancers":%d,"me":%d,"zone":0,"zones":["here"],"machine_types":["plant"],"discovery":"automatic","weight_source":"off",
"classes":[
 {"name":"payout","aim":2500,"deadline":12000,"group":"all","importance":3,"late_worth":0.3,"repeat":"once"},
 {"name":"notice","aim":2500,"deadline":12000,"group":"all","importance":1,"late_worth":0.5,"repeat":"by_key","window":15000}],
"family_info":{"max_calls":20,"own_limits":[false],"batch_by_kind":[1],"late":"halves"},
"limits":{"most_held":200,"send_cap":8,"probes":true,"cancel":true,"retry_after":true,"peers":false,"max_retry_after":2000,
 "connect_timeout":1000,"conn_idle":5000},
"report":{"how":"off","names":[]},
"rules":{"start_capacity":0.2,"warm_within":10000,"overload_factor":2,"fall":2000,"stop_sending_within":1000,"grace_to_answer":300}}}`

// sender prepares a process; operatorText is what its operator's file says, empty for none.
func (p *play) sender(number, of int, receivers []string, discovery, operatorText string) (*sender, error) {
	name := string(rune('a' + number))
	dir := filepath.Join(p.temp, name)
	if err := os.MkdirAll(filepath.Join(dir, "state"), 0o755); err != nil {
		return nil, err
	}
	listen, err := p.freeAddr()
	if err != nil {
		return nil, err
	}
	config := filepath.Join(dir, "config.json")
	text := fmt.Sprintf(settings, name, number, discovery, list(receivers), of, number)
	if err := os.WriteFile(config, []byte(text), 0o644); err != nil {
		return nil, err
	}
	s := &sender{p: p, name: name, listen: listen}
	if operatorText != "" {
		s.operator = filepath.Join(dir, "operator.toml")
		if err := os.WriteFile(s.operator, []byte(operatorText), 0o644); err != nil {
			return nil, err
		}
	}
	s.env = append(os.Environ(), "RELAY_NAME="+name, "RELAY_LISTEN="+listen, "RELAY_DISCOVERY="+discovery,
		"RELAY_STATE="+filepath.Join(dir, "state"), "RELAY_CONFIG="+config, "RAVENLINK_LOG=debug")
	p.senders = append(p.senders, s)
	return s, nil
}

// freeAddr finds an address that nobody has: below the ports that the system gives to connections, so that none takes it meanwhile.
func (p *play) freeAddr() (string, error) {
	for range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", 15000+rand.IntN(15000))
		l, err := net.Listen("tcp", addr)
		if err != nil || slices.Contains(p.addrs, addr) {
			if err == nil {
				_ = l.Close()
			}
			continue
		}
		_ = l.Close()
		p.addrs = append(p.addrs, addr)
		return addr, nil
	}
	return "", errors.New("no free port")
}

// diskMB gives the sender another limit on its folder.
func (s *sender) diskMB(mb int) error {
	path := filepath.Join(s.p.temp, s.name, "config.json")
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(strings.Replace(string(text), `"disk_mb":3`, fmt.Sprintf(`"disk_mb":%d`, mb), 1)), 0o644)
}

// quiet has a key rest for so many milliseconds after a call without an outcome.
func (s *sender) quiet(ms int) error {
	path := filepath.Join(s.p.temp, s.name, "config.json")
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(strings.Replace(string(text), `"grace_to_answer":300`, fmt.Sprintf(`"grace_to_answer":300,"key_quiet":%d`, ms), 1)), 0o644)
}

// begin starts the process by the deploy file's line.
func (s *sender) begin() error {
	line := s.p.run
	if s.operator != "" {
		line += " serve --operator " + s.operator
	}
	s.cmd = exec.Command("/bin/sh", "-c", line)
	s.cmd.Env = s.env
	log, err := os.OpenFile(filepath.Join(s.p.temp, s.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	s.cmd.Stdout, s.cmd.Stderr = log, log
	if err := s.cmd.Start(); err != nil {
		return err
	}
	s.gone = make(chan struct{})
	go func(cmd *exec.Cmd, gone chan struct{}) {
		_ = cmd.Wait()
		close(gone)
	}(s.cmd, s.gone)
	s.p.note("sender %s: started", s.name)
	return nil
}

// ready waits until it answers PING.
func (s *sender) ready() error {
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c, err := dial(s.listen)
		if err != nil {
			continue
		}
		answer, err := c.say(2*time.Second, "PING")
		c.close()
		if err == nil && answer == "+PONG" {
			s.p.note("sender %s: answers PING", s.name)
			return nil
		}
	}
	return fmt.Errorf("sender %s is not ready within %v", s.name, readyWithin)
}

func (s *sender) signal(sig syscall.Signal) {
	s.p.note("sender %s: %v", s.name, sig)
	_ = s.cmd.Process.Signal(sig)
}

// ended waits for the process' end for so long.
func (s *sender) ended(within time.Duration) bool {
	select {
	case <-s.gone:
		s.p.note("sender %s: has ended", s.name)
		return true
	case <-time.After(within):
		return false
	}
}

func (s *sender) kill() {
	if s.cmd == nil || s.cmd.Process == nil {
		return
	}
	select {
	case <-s.gone:
	default:
		_ = s.cmd.Process.Kill()
		<-s.gone
	}
}

// logged tells a sender's log lines that hold a word.
func (s *sender) logged(word string) (lines []string) {
	text, _ := os.ReadFile(filepath.Join(s.p.temp, s.name+".log"))
	for l := range strings.SplitSeq(string(text), "\n") {
		if strings.Contains(l, word) {
			lines = append(lines, l)
		}
	}
	return lines
}

// client is one connection to a sender.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

func dial(addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn, bufio.NewReader(conn)}, nil
}

func (c *client) close() { _ = c.conn.Close() }

// say sends one command and waits for its answer.
func (c *client) say(within time.Duration, words ...string) (string, error) {
	_ = c.conn.SetDeadline(time.Now().Add(within))
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		return "", err
	}
	line, err := c.r.ReadString('\n')
	return strings.TrimSpace(line), err
}

// handIn hands one message in on a connection of its own.
func (p *play) handIn(who string, s *sender, id, fields, body string) string {
	c, err := dial(s.listen)
	if err != nil {
		return ""
	}
	defer c.close()
	at := p.since()
	answer, err := c.say(answerIn, "ENQUEUE", "0000000000000000", id, fields, body)
	if err != nil {
		answer = ""
	}
	p.note("%s to sender %s at %.3f: id=%s %s body=%q: answer %q", who, s.name, at.Seconds(), id, fields, body, answer)
	return answer
}

// noticeOf gives the first notice of an id.
func (p *play) noticeOf(id string) (n notice, told bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.notices {
		if n.ID == id {
			return n, true
		}
	}
	return n, false
}

// callsOf gives the calls of an id, as they ended.
func (p *play) callsOf(id string) (cs []call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.calls {
		if c.ID == id {
			cs = append(cs, c)
		}
	}
	return cs
}

// until waits for something to come true.
func (p *play) until(within time.Duration, done func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return done()
}

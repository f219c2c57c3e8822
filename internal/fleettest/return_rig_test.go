package fleettest

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravenlink/internal/loopback"
)

// Outage is how a destination fails.
type Outage string

// The outages.
const (
	Refuses Outage = "refuses" // connections are refused
	Hangs   Outage = "hangs"   // calls are taken and not answered; those still open at the return are reset
	Errors  Outage = "errors"  // most calls are answered 500
)

// ReturnPlay is a fleet of built senders that meets an outage of some destinations and their return. Times are since all senders answer.
type ReturnPlay struct {
	Seed        uint64
	Senders     int
	Capacities  []float64 // calls a second of each destination when warm; number 1 first
	Out         int       // so many of the first destinations fail
	Endpoints   int       // of each of those; the others have one
	How         Outage
	From, Until time.Duration // of the outage
	Load        float64       // hand-ins in parts of all capacities
	Killed      float64       // share of the senders that are killed during the outage, and start again
	LateKills   float64       // share that is killed so that it is back right after the return
	Weights     string        // weight_source of the settings
	Notes       bool          // senders hear each other's datagrams
	Joins       bool          // each destination that is out gets one more endpoint during the outage
	Signals     float64       // share of the senders that get signals in series, and are killed in the end
	Crowd       int           // idle clients at the first sender
	Within      time.Duration // the time of a message; returnWithin if 0
	Settle      time.Duration // after the last hand-in, in which every message has to end; not judged if 0
}

const (
	returnShare  = 0.22 // of the capacity right after the return
	returnWarm   = 10 * time.Second
	returnFactor = 2
	returnWindow = 2 * time.Second
	returnWatch  = 6 * time.Second // so long the return is watched
	returnDown   = 600 * time.Millisecond
	returnTook   = 150 * time.Millisecond // of a call
	returnTarget = 2500 * time.Millisecond
	returnWithin = 28 * time.Second
	mostHandIns  = 3 // of one message
	beatOfList   = time.Second

	firstNotesPort = 20_000
)

var nextNotesPort atomic.Int64 // of this test program; plays run side by side

func init() { nextNotesPort.Store(firstNotesPort) }

// budget is how many calls in a window a destination bears that may have n by the settings.
func budget(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// arrival is a call or probe as a destination saw it.
type arrival struct {
	At      time.Duration
	Message string // empty for a probe
	By      int    // the sender
}

// fallen is the worst window of a return.
type fallen struct {
	Dst     int
	Calls   int
	Budget  float64
	At      time.Duration // when the window ends
	Senders int           // that took part
	Probes  int           // among the calls
}

func (f fallen) ratio() float64 { return float64(f.Calls) / f.Budget }

func (f fallen) String() string {
	return fmt.Sprintf("destination %d: %d calls from %d senders, %d of them probes, in the window that ends %v after second 0; %.1f let through (%.2f)",
		f.Dst, f.Calls, f.Senders, f.Probes, f.At.Round(time.Millisecond), f.Budget, f.ratio())
}

// worst finds the window with most calls for its budget, of what came within so long after the return.
func worst(dst int, capacity float64, back, until time.Duration, came []arrival) (w fallen) {
	w.Dst = dst
	for i, last := range came {
		if last.At < back || last.At > until {
			continue
		}
		n, by, probes := 0, map[int]bool{}, 0
		for j := i; j >= 0 && came[j].At > last.At-returnWindow && came[j].At >= back; j-- {
			n++
			by[came[j].By] = true
			if came[j].Message == "" {
				probes++
			}
		}
		share := min(1, returnShare+(1-returnShare)*float64(last.At-back)/float64(returnWarm))
		b := budget(returnFactor * capacity * share * returnWindow.Seconds())
		if f := (fallen{dst, n, b, last.At, len(by), probes}); f.ratio() > w.ratio() || w.Calls == 0 {
			w = f
		}
	}
	return w
}

// endpoint is one address of a destination.
type endpoint struct {
	d      *returning
	at     *loopback.Reservation
	server *http.Server // nil while it refuses
}

// returning is a destination of the play.
type returning struct {
	p        *returnRig
	number   int
	capacity float64

	mu        sync.Mutex
	endpoints []*endpoint
	hangs     bool
	errs      bool
	changed   chan struct{} // closed at the return
	draw      *rand.Rand
	came      []arrival
}

func (d *returning) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	_, _ = io.Copy(io.Discard, in.Body)
	id := in.Header.Get("X-Txn")
	d.mu.Lock()
	d.came = append(d.came, arrival{d.p.now(), id, d.p.handedTo(id)})
	hangs, fails, changed := d.hangs, d.errs && d.draw.Float64() < 0.8, d.changed
	d.mu.Unlock()
	d.p.ran(id)
	if hangs {
		select {
		case <-changed:
		case <-in.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	if fails {
		out.WriteHeader(http.StatusInternalServerError)
		return
	}
	if id != "" {
		time.Sleep(returnTook) // the call's work; decides nothing
		d.p.over(id)
	}
	out.WriteHeader(http.StatusOK)
}

func (d *returning) open(e *endpoint) {
	l, err := e.at.Listen()
	require.NoError(d.p.t, err)
	e.server = &http.Server{Handler: d}
	d.p.work.Go(func() { _ = e.server.Serve(l) })
}

// fail begins the outage, and back ends it.
func (d *returning) fail(how Outage) {
	d.mu.Lock()
	d.hangs, d.errs, d.changed = how == Hangs, how == Errors, make(chan struct{})
	es := slices.Clone(d.endpoints)
	d.mu.Unlock()
	for _, e := range es {
		if how == Refuses {
			_ = e.server.Close()
			e.server = nil
		}
	}
}

func (d *returning) back() {
	d.mu.Lock()
	d.hangs, d.errs = false, false
	close(d.changed)
	es := slices.Clone(d.endpoints)
	d.mu.Unlock()
	for _, e := range es {
		if e.server == nil {
			d.open(e)
		}
	}
}

// member is the entry of an endpoint in discovery's list.
func (d *returning) member(i int) string {
	return fmt.Sprintf(`{"id":"s-%d-%d","host_port":"%s","locality":"z","flavor":"m","cell":%d,"phase":"SERVING","size":%g}`, d.number, i,
		d.endpoints[i].at.Addr, d.number, d.capacity)
}

// returnSender is one process of the play and what its clients know of it.
type returnSender struct {
	number int
	dir    string
	listen *loopback.Reservation
	part   float64 // of the traffic
	log    logText

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	idle   []*soakConn // of clients
	leaves time.Time   // when it was asked to end, zero if it was not
	killed time.Time
}

// returnRig plays it.
type returnRig struct {
	ReturnPlay
	t       testing.TB
	dir     string
	start   time.Time
	dsts    []*returning
	senders []*returnSender
	agent   *http.Server
	agentAt string
	work    sync.WaitGroup
	done    chan struct{}

	mu         sync.Mutex
	draw       *rand.Rand
	handIns    map[string]int // hand-ins of a message so far, by its name without its number
	holder     map[string]int // the sender that has a message
	lines      []string       // of the list
	more       chan struct{}
	messages   map[string]*handed // by id
	unanswered []string           // requests that were read and not answered
	notesPort  int
	relays     []*net.UDPConn // of notes: what sender i writes to all comes to relays[i], which its peers know it by
}

func (p *returnRig) now() time.Duration { return time.Since(p.start) }

func (p *returnRig) handedTo(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if by, known := p.holder[id]; known {
		return by
	}
	return -1
}

// Play plays it and gives the worst window of each destination that was out.
func (r ReturnPlay) Play(t testing.TB) []fallen {
	t.Helper()
	dir, err := os.MkdirTemp("", "return")
	require.NoError(t, err)
	p := &returnRig{ReturnPlay: r, t: t, dir: dir, done: make(chan struct{}), more: make(chan struct{}),
		draw: rand.New(rand.NewPCG(r.Seed, 44)), handIns: map[string]int{}, holder: map[string]int{}, messages: map[string]*handed{}}
	defer p.close()
	p.setUp()
	for _, s := range p.senders {
		p.spawn(s)
	}
	for _, s := range p.senders {
		require.Eventually(t, func() bool { return (&Sender{Listen: s.listen.Addr.String()}).ping() }, long, looks)
	}
	p.start = time.Now()
	p.schedule()
	p.sleepUntil(p.Until + returnWatch)
	ws := p.judge()
	if p.Settle > 0 {
		p.sleepUntil(p.Until + returnWatch + p.Settle)
		faults := p.broken()
		assert.Empty(t, faults)
		p.tellOf(faults)
	}
	return ws
}

func (p *returnRig) setUp() {
	host := ownHost()
	for i, c := range p.Capacities {
		d := &returning{p: p, number: i + 1, capacity: c, draw: rand.New(rand.NewPCG(p.Seed, uint64(i)))}
		n := 1
		if i < p.Out {
			n = p.Endpoints
		}
		for range n {
			d.addEndpoint(host)
		}
		p.dsts = append(p.dsts, d)
	}
	p.serveAgent()
	for i := range p.Senders {
		s := &returnSender{number: i, dir: filepath.Join(p.dir, fmt.Sprint("n", i)), part: p.draw.ExpFloat64() + 0.1}
		var err error
		s.listen, err = loopback.Reserve(host)
		require.NoError(p.t, err)
		require.NoError(p.t, os.MkdirAll(filepath.Join(s.dir, "state"), 0o700))
		p.senders = append(p.senders, s)
	}
	if p.Notes {
		p.relayNotes()
	}
}

func (d *returning) addEndpoint(host string) {
	at, err := loopback.Reserve(host)
	require.NoError(d.p.t, err)
	e := &endpoint{d: d, at: at}
	d.mu.Lock()
	d.endpoints = append(d.endpoints, e)
	d.mu.Unlock()
	d.open(e)
}

// notesOf is the address at which a sender hears notes. This program's own address has no other use of UDP, so no port there is taken.
func (p *returnRig) notesOf(sender int) *net.UDPAddr {
	return &net.UDPAddr{IP: net.ParseIP(ownHost()), Port: p.notesPort + sender}
}

// relayNotes hands the notes of each sender on to all others.
func (p *returnRig) relayNotes() {
	p.notesPort = int(nextNotesPort.Add(int64(p.Senders))) - p.Senders
	for range p.senders {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(ownHost())})
		require.NoError(p.t, err)
		p.relays = append(p.relays, c)
	}
	for i, c := range p.relays {
		p.work.Go(func() {
			buf := make([]byte, 512)
			for {
				n, err := c.Read(buf)
				if err != nil {
					return
				}
				for j := range p.senders {
					if j != i {
						_, _ = c.WriteToUDP(buf[:n], p.notesOf(j))
					}
				}
			}
		})
	}
}

// peers are the settings of a sender's notes.
func (p *returnRig) peers(s *returnSender) string {
	if !p.Notes {
		return ""
	}
	var all []string
	for _, c := range p.relays {
		all = append(all, fmt.Sprintf("%q", c.LocalAddr()))
	}
	return fmt.Sprintf(`"peer_listen":"%s","peers_all":"%s","peers":[%s],`, p.notesOf(s.number), p.relays[s.number].LocalAddr(), strings.Join(all, ","))
}

func (p *returnRig) settings() string {
	return fmt.Sprintf(`{"balancers":%d,"discovery":"automatic","weight_source":"%s","machine_types":["m"],"zones":["z"],
"classes":[{"name":"notice","aim":%[3]d,"deadline":%[4]d,"group":"all","importance":1,"late_worth":0.5,"repeat":"by_key","window":15000},
{"name":"once","aim":%[3]d,"deadline":%[4]d,"group":"all","importance":1,"late_worth":0.5,"repeat":"once"}],
"family_info":{"max_calls":12,"own_limits":[false],"batch_by_kind":[1],"late":"halves"},
"limits":{"most_held":60,"send_cap":6,"probes":true,"cancel":true,"retry_after":true,"peers":%[5]t,"max_retry_after":2000,"connect_timeout":1000,"conn_idle":5000},
"rules":{"start_capacity":%[6]g,"warm_within":%[7]d,"overload_factor":%[8]d}}`, p.Senders, p.Weights, returnTarget.Milliseconds(), p.within().Milliseconds(),
		p.Notes, returnShare, returnWarm.Milliseconds(), returnFactor)
}

// spawn starts a sender's process on its folder.
func (p *returnRig) spawn(s *returnSender) {
	config := fmt.Sprintf(`{"name":"n%d","discovery":"%s","seed":"%016x",%s"limits":{"cores":1,"memory_mb":192,"sockets":512,"disk_mb":3},`+
		`"known":%s,"settings":%s}`, s.number, p.agentAt, p.Seed<<16|uint64(s.number), p.peers(s), p.whole(), p.settings())
	require.NoError(p.t, os.WriteFile(filepath.Join(s.dir, "config.json"), []byte(config), 0o600))
	cmd := exec.Command(Binary(p.t))
	cmd.Env = append(os.Environ(), "RAVENLINK_LOG=info", "RELAY_CONFIG="+filepath.Join(s.dir, "config.json"), "RELAY_STATE="+filepath.Join(s.dir, "state"),
		"RELAY_LISTEN="+s.listen.Addr.String(), "RELAY_DISCOVERY="+p.agentAt, fmt.Sprintf("RELAY_NAME=n%d", s.number))
	cmd.Stderr = &s.log
	require.NoError(p.t, cmd.Start())
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cmd, s.ended, s.leaves = cmd, ended, time.Time{}
}

// kill ends a sender's process by SIGKILL, with its clients' connections.
func (s *returnSender) kill() {
	s.mu.Lock()
	cmd, ended, idle := s.cmd, s.ended, s.idle
	s.cmd, s.idle, s.killed = nil, nil, time.Now()
	s.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-ended
	for _, c := range idle {
		_ = c.Close()
	}
}

// serveAgent stands in for discovery and the platform of all senders.
func (p *returnRig) serveAgent() {
	l, err := net.Listen("tcp", ownHost()+":0")
	require.NoError(p.t, err)
	p.agentAt = l.Addr().String()
	p.agent = &http.Server{Handler: http.HandlerFunc(p.serve)}
	p.work.Go(func() { _ = p.agent.Serve(l) })
}

func (p *returnRig) serve(out http.ResponseWriter, in *http.Request) {
	if in.Method == http.MethodGet {
		p.watch(out, in)
		return
	}
	text, _ := io.ReadAll(in.Body)
	for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
		var n struct {
			ID, State string
			After     int `json:"after_ms"`
		}
		if json.Unmarshal(lines.Bytes(), &n) != nil {
			continue
		}
		p.over(n.ID)
		if n.State == "returned" {
			p.comeAgain(n.ID, n.After)
		}
	}
	out.WriteHeader(http.StatusNoContent)
}

func (p *returnRig) watch(out http.ResponseWriter, in *http.Request) {
	out.WriteHeader(http.StatusOK)
	beat := time.NewTicker(beatOfList)
	defer beat.Stop()
	for sent := 0; ; {
		p.mu.Lock()
		lines, more := p.lines[sent:], p.more
		p.mu.Unlock()
		fmt.Fprintln(out, strings.Join(lines, "\n"))
		sent += len(lines)
		out.(http.Flusher).Flush()
		select {
		case <-in.Context().Done():
			return
		case <-more:
		case <-beat.C:
		}
	}
}

// whole is the list as it stands.
func (p *returnRig) whole() string {
	var members []string
	for _, d := range p.dsts {
		d.mu.Lock()
		for i := range d.endpoints {
			members = append(members, d.member(i))
		}
		d.mu.Unlock()
	}
	return fmt.Sprintf(`{"revision":1,"complete":true,"members":[%s]}`, strings.Join(members, ","))
}

// join adds an endpoint to a destination, and tells all senders.
func (p *returnRig) join(d *returning) {
	d.addEndpoint(ownHost())
	d.mu.Lock()
	member := d.member(len(d.endpoints) - 1)
	d.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lines = append(p.lines, fmt.Sprintf(`{"revision":%d,"complete":false,"members":[%s]}`, len(p.lines)+2, member))
	close(p.more)
	p.more = make(chan struct{})
}

// at does something at a time of the play, unless it is over by then.
func (p *returnRig) at(when time.Duration, do func()) {
	p.work.Go(func() {
		t := time.NewTimer(when - p.now())
		defer t.Stop()
		select {
		case <-p.done:
		case <-t.C:
			do()
		}
	})
}

// schedule draws all that happens.
func (p *returnRig) schedule() {
	for _, d := range p.dsts[:p.Out] {
		p.at(p.From, func() { d.fail(p.How) })
		if p.Joins {
			p.at(p.From+time.Duration(p.draw.Float64()*float64(p.Until-p.From)), func() { p.join(d) })
		}
		p.at(p.Until, d.back)
	}
	killed, late := int(p.Killed*float64(p.Senders)), int(p.LateKills*float64(p.Senders))
	for i, s := range p.senders[:killed+late] {
		kill := p.From + time.Duration(p.draw.Float64()*float64(p.Until-p.From-returnDown))
		if i >= killed {
			kill = p.Until - returnDown + time.Duration(p.draw.Float64()*float64(returnDown))
		}
		p.at(kill, s.kill)
		p.at(kill+returnDown, func() { p.spawn(s) })
	}
	p.signals()
	p.crowd()
	total := 0.0
	for _, c := range p.Capacities {
		total += c
	}
	for at, i := 0.0, 0; at < (p.Until + returnWatch).Seconds(); i++ {
		to, dst := p.drawSender(), p.drawDestination(total)
		p.at(time.Duration(at*float64(time.Second)), func() { p.handIn(fmt.Sprintf("%08x", i), dst, to) })
		at += p.draw.ExpFloat64() / (p.Load * total)
	}
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

func (p *returnRig) sleepUntil(at time.Duration) { time.Sleep(at - p.now()) }

// judge gives the worst window of each destination that was out.
func (p *returnRig) judge() (ws []fallen) {
	for _, d := range p.dsts[:p.Out] {
		d.mu.Lock()
		came := slices.Clone(d.came)
		d.mu.Unlock()
		w := worst(d.number, d.capacity, p.Until, p.Until+returnWatch, came)
		ws = append(ws, w)
		if w.ratio() > 1 {
			p.t.Log(w)
			p.tell(d, w, came)
		}
	}
	return ws
}

// tell shows what the senders logged of the calls of a window.
func (p *returnRig) tell(d *returning, w fallen, came []arrival) {
	for _, a := range came {
		if a.At > w.At || a.At <= w.At-returnWindow || a.At < p.Until {
			continue
		}
		text := "nothing"
		if a.By >= 0 && a.Message != "" {
			for line := range strings.Lines(p.senders[a.By].log.read()) {
				if strings.Contains(line, "call of "+a.Message) {
					text = strings.TrimSpace(line)
				}
			}
		}
		p.t.Logf("%v %q at n%d, which logged %s", a.At.Round(time.Millisecond), a.Message, a.By, text)
	}
}

// tellOf shows what the senders logged of messages at fault.
func (p *returnRig) tellOf(faults []string) {
	for _, f := range faults {
		id, _, _ := strings.Cut(f, " ")
		by := p.handedTo(id)
		p.t.Logf("%s, handed to n%d", f, by)
		for line := range strings.Lines(p.senders[max(by, 0)].log.read()) {
			if strings.Contains(line, id) || strings.Contains(line, `"phase"`) {
				p.t.Log(strings.TrimSpace(line))
			}
		}
	}
}

func (p *returnRig) close() {
	close(p.done)
	for _, s := range p.senders {
		s.kill()
		s.listen.Release()
	}
	_ = p.agent.Close()
	for _, c := range p.relays {
		_ = c.Close()
	}
	for _, d := range p.dsts {
		for _, e := range d.endpoints {
			if e.server != nil {
				_ = e.server.Close()
			}
			e.at.Release()
		}
	}
	p.work.Wait()
	_ = os.RemoveAll(p.dir)
}

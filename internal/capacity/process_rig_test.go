package capacity

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenlink/internal/loopback"
)

const stepTimeout = 60 * time.Second // for each step of a measurement

var build struct {
	once sync.Once
	dir  string
	err  error
}

// buildBinary builds the program once per test run, with the flags of the deployment, and returns its path.
func buildBinary(t testing.TB) string {
	t.Helper()
	build.once.Do(func() {
		if build.dir, build.err = os.MkdirTemp("", "capacity"); build.err != nil {
			return
		}
		c := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", filepath.Join(build.dir, "ravenlink"), "ravenlink/cmd/ravenlink")
		c.Env = append(os.Environ(), "CGO_ENABLED=1")
		if out, err := c.CombinedOutput(); err != nil {
			build.err = fmt.Errorf("%w: %s", err, out)
		}
	})
	require.NoError(t, build.err)
	return filepath.Join(build.dir, "ravenlink")
}

// environment emulates discovery, the platform and all receivers for one sender.
type environment struct {
	t           testing.TB
	dir         string
	listenAddr  string
	platform    *httptest.Server
	receiver    *httptest.Server
	deadAddr    string // a reserved address without a listener
	listUpdates chan string
	calls       atomic.Int64
	notices     atomic.Int64
	downCount   int64 // destinations 1 to downCount have deadAddr
}

func newEnvironment(t testing.TB) *environment {
	env := &environment{t: t, dir: t.TempDir(), listUpdates: make(chan string, 4)}
	env.receiver = httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		_, _ = io.Copy(io.Discard, in.Body)
		env.calls.Add(1)
	}))
	env.platform = httptest.NewServer(http.HandlerFunc(env.servePlatform))
	env.listenAddr, env.deadAddr = reserveAddr(t), reserveAddr(t)
	t.Cleanup(func() {
		env.platform.CloseClientConnections()
		env.platform.Close()
		env.receiver.CloseClientConnections()
		env.receiver.Close()
	})
	return env
}

// reserveAddr reserves a loopback address until the test ends.
func reserveAddr(t testing.TB) string {
	r, err := loopback.Reserve("127.0.0.1")
	require.NoError(t, err)
	t.Cleanup(r.Release)
	return r.Addr.String()
}

func (env *environment) servePlatform(out http.ResponseWriter, in *http.Request) {
	if in.Method != http.MethodGet {
		text, _ := io.ReadAll(in.Body)
		env.notices.Add(int64(bytes.Count(text, []byte("\n"))))
		out.WriteHeader(http.StatusNoContent)
		return
	}
	out.WriteHeader(http.StatusOK)
	fmt.Fprintf(out, `{"revision":%s,"complete":false,"members":[]}`+"\n", in.URL.Query().Get("from"))
	heartbeat := time.NewTicker(time.Second)
	defer heartbeat.Stop()
	for {
		out.(http.Flusher).Flush()
		select {
		case <-in.Context().Done():
			return
		case text := <-env.listUpdates:
			_, _ = io.WriteString(out, text+"\n")
		case <-heartbeat.C:
			_, _ = io.WriteString(out, "\n")
		}
	}
}

// destinationList is a discovery list of destinations 1 to n with one receiver each, plus the destination extra if that is above 0.
func (env *environment) destinationList(revision, n, extra int64, complete bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"revision":%d,"complete":%t,"members":[`, revision, complete)
	appendMember := func(dst int64, first bool) {
		at := env.receiver.Listener.Addr().String()
		if dst <= env.downCount {
			at = env.deadAddr
		}
		if !first {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"id":"receiver-%06d","host_port":"%s","locality":"z%d","flavor":"m","cell":%d,"phase":"SERVING","size":1}`, dst, at, dst%12, dst)
	}
	for i := range n {
		appendMember(i+1, i == 0)
	}
	if extra > 0 {
		appendMember(extra, n == 0)
	}
	b.WriteString("]}")
	return b.String()
}

// startConfig sets the size of a sender and the limits in its start file. The defaults are so high that none but the disk limit is reached.
type startConfig struct {
	destinations int64
	diskMB       float64
	memoryMB     int
	maxHeld      int    // messages held in memory
	operator     string // content of the operator's file; empty for none
}

const settings = `{"balancers":500,"me":0,"zone":0,"discovery":"automatic","weight_source":"off","machine_types":["m"],
"zones":["z0","z1","z2","z3","z4","z5","z6","z7","z8","z9","z10","z11"],
"classes":[{"name":"notice","aim":2000,"deadline":7200000,"group":"all","importance":1,"late_worth":0.5,"repeat":"by_key","window":15000}],
"family_info":{"max_calls":64,"own_limits":[false],"batch_by_kind":[1],"late":"halves"},
"limits":{"most_held":%d,"send_cap":6,"probes":true,"cancel":true,"retry_after":true,"peers":false,"max_retry_after":2000,"connect_timeout":1000,"conn_idle":5000},
"rules":{"start_capacity":0.2,"warm_within":10000,"overload_factor":2}}`

// sender is a process of the built program.
type sender struct {
	env       *environment
	cmd       *exec.Cmd
	startedAt time.Time
	serving   chan time.Duration // receives the time from process start to serving
	exited    chan struct{}
	mu        sync.Mutex
	logTail   []string // the last 20 log lines
}

func (env *environment) writeFile(name, text string) string {
	path := filepath.Join(env.dir, name)
	require.NoError(env.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func (env *environment) stateDir() string { return filepath.Join(env.dir, "state") }

// writeConfig writes the start file and, if given, the operator's file.
func (env *environment) writeConfig(l startConfig) {
	if l.memoryMB == 0 {
		l.memoryMB = 16384
	}
	if l.maxHeld == 0 {
		l.maxHeld = 20_000_000
	}
	if l.diskMB == 0 {
		l.diskMB = 4000
	}
	env.writeFile("config.json", fmt.Sprintf(`{"name":"n0","discovery":"%s","seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":%d,"sockets":1024,"disk_mb":%g},"known":%s,"settings":%s}`,
		env.platform.Listener.Addr(), l.memoryMB, l.diskMB, env.destinationList(1, l.destinations, 0, true), fmt.Sprintf(settings, l.maxHeld)))
	require.NoError(env.t, os.MkdirAll(env.stateDir(), 0o700))
	if l.operator != "" {
		env.writeFile("operator.toml", l.operator)
	}
}

// startSender starts a process with the files of writeConfig without waiting until it serves.
func (env *environment) startSender() *sender {
	p := &sender{env: env, serving: make(chan time.Duration, 1), exited: make(chan struct{})}
	p.cmd = exec.Command(buildBinary(env.t))
	if _, err := os.Stat(filepath.Join(env.dir, "operator.toml")); err == nil {
		p.cmd.Args = append(p.cmd.Args, "--operator", filepath.Join(env.dir, "operator.toml"))
	}
	p.cmd.Env = append(os.Environ(), "RAVENLINK_LOG=info", "RELAY_CONFIG="+filepath.Join(env.dir, "config.json"), "RELAY_STATE="+env.stateDir(),
		"RELAY_LISTEN="+env.listenAddr, "RELAY_DISCOVERY="+env.platform.Listener.Addr().String(), "RELAY_NAME=n0")
	errs, err := p.cmd.StderrPipe()
	require.NoError(env.t, err)
	p.startedAt = time.Now()
	require.NoError(env.t, p.cmd.Start())
	go func() {
		lines := bufio.NewScanner(errs)
		lines.Buffer(make([]byte, 64<<10), 1<<20)
		for lines.Scan() {
			if strings.Contains(lines.Text(), `"to":"serving"`) {
				p.serving <- time.Since(p.startedAt)
			}
			p.mu.Lock()
			if p.logTail = append(p.logTail, lines.Text()); len(p.logTail) > 20 {
				p.logTail = p.logTail[1:]
			}
			p.mu.Unlock()
		}
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	env.t.Cleanup(p.kill)
	return p
}

func (p *sender) recentLog() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.logTail, "\n")
}

var errTimeout = errors.New("step did not complete in time")

// waitServing waits until the sender serves clients and returns the time since its start.
func (p *sender) waitServing(timeout time.Duration) (time.Duration, error) {
	select {
	case d := <-p.serving:
		return d, nil
	case <-p.exited:
		return 0, errors.New("sender exited before serving: " + p.recentLog())
	case <-time.After(timeout):
		return timeout, errTimeout
	}
}

func (p *sender) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// residentMemory returns RssAnon and VmRSS in bytes.
func (p *sender) residentMemory() (anon, rss float64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(p.env.t, err)
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		switch {
		case strings.HasPrefix(line, "RssAnon:"):
			anon = parseKilobytes(p.env.t, f[1])
		case strings.HasPrefix(line, "VmRSS:"):
			rss = parseKilobytes(p.env.t, f[1])
		}
	}
	return anon, rss
}

// peakRSS returns VmHWM in bytes.
func (p *sender) peakRSS() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(p.env.t, err)
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "VmHWM:") {
			return parseKilobytes(p.env.t, strings.Fields(line)[1])
		}
	}
	return 0
}

func parseKilobytes(t testing.TB, text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	require.NoError(t, err)
	return n * 1024
}

// cpuTime is the total CPU time of the process' threads.
func (p *sender) cpuTime() time.Duration {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	require.NoError(p.env.t, err)
	sum := int64(0)
	for _, task := range tasks {
		text, err := os.ReadFile(task)
		if err != nil { // the thread has ended since the glob
			continue
		}
		n, err := strconv.ParseInt(strings.Fields(string(text))[0], 10, 64)
		require.NoError(p.env.t, err)
		sum += n
	}
	return time.Duration(sum)
}

// diskUsage is the total size of the files in the state folder in bytes.
func (env *environment) diskUsage() (sum float64) {
	require.NoError(env.t, filepath.Walk(env.stateDir(), func(_ string, i os.FileInfo, err error) error {
		if err == nil && !i.IsDir() {
			sum += float64(i.Size())
		}
		return nil
	}))
	return sum
}

// client is a client connection to the sender.
type client struct {
	net.Conn
	reader *bufio.Reader
	t      testing.TB
}

func (env *environment) dial() *client {
	c, err := net.Dial("tcp", env.listenAddr)
	require.NoError(env.t, err)
	return &client{Conn: c, reader: bufio.NewReaderSize(c, 64<<10), t: env.t}
}

func appendHandIn(b *strings.Builder, id string, dst int64, millis int, body string) {
	fields := fmt.Sprintf("c=notice,d=%d,k=%s,dest=%d", millis, id, dst)
	fmt.Fprintf(b, "*5\r\n$7\r\nENQUEUE\r\n$4\r\n0000\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", len(id), id, len(fields), fields, len(body), body)
}

const batchSize = 64 // hand-ins per write

// handInMany hands in messages first to last over four connections, until the timeout, and returns how many were accepted and how many
// were rejected.
func (env *environment) handInMany(first, last int64, dst func(int64) int64, timeout time.Duration) (accepted, rejected int64, elapsed time.Duration) {
	const connections = 4
	deadline := time.Now().Add(timeout)
	var wait sync.WaitGroup
	var next, ok, notOK atomic.Int64
	next.Store(first)
	errs := make(chan error, connections)
	startedAt := time.Now()
	for range connections {
		c := env.dial()
		wait.Go(func() {
			defer func() { _ = c.Close() }()
			for time.Now().Before(deadline) {
				from := next.Add(batchSize) - batchSize
				if from >= last {
					return
				}
				var b strings.Builder
				n := min(batchSize, last-from)
				for i := range n {
					appendHandIn(&b, fmt.Sprintf("m-%010d", from+i), dst(from+i), 7_000_000, "a body of twenty byt")
				}
				if _, err := io.WriteString(c, b.String()); err != nil {
					errs <- err
					return
				}
				for range n {
					line, err := c.reader.ReadString('\n')
					if err != nil {
						errs <- err
						return
					}
					if strings.HasPrefix(line, "+OK") {
						ok.Add(1)
					} else {
						notOK.Add(1)
					}
				}
			}
		})
	}
	wait.Wait()
	close(errs)
	for err := range errs {
		require.NoError(env.t, err)
	}
	return ok.Load(), notOK.Load(), time.Since(startedAt)
}

// waitAccepted hands in messages for a destination, one at a time, until one is accepted, and returns how long that took.
func (env *environment) waitAccepted(dst int64, name string, timeout time.Duration) (time.Duration, error) {
	startedAt := time.Now()
	c := env.dial()
	defer func() { _ = c.Close() }()
	for i := 0; time.Since(startedAt) < timeout; i++ {
		var b strings.Builder
		appendHandIn(&b, fmt.Sprintf("%s-%d", name, i), dst, 10_000, "x")
		if _, err := io.WriteString(c, b.String()); err != nil {
			return 0, err
		}
		line, err := c.reader.ReadString('\n')
		if err != nil {
			return 0, err
		}
		if strings.HasPrefix(line, "+OK") {
			return time.Since(startedAt), nil
		}
	}
	return timeout, errTimeout
}

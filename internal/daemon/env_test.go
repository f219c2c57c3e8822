package daemon

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"ravenlink/internal/operator"
)

const (
	testTimeout  = 20 * time.Second // not reached by a passing run
	testInterval = 2 * time.Millisecond
)

// testEnv simulates receivers, discovery and the platform.
type testEnv struct {
	t                 *testing.T
	dir               string
	listen            string
	platform          *httptest.Server
	discoveryEnv      string // address of discovery in the environment
	receiver          *httptest.Server
	answer            func(id string, call int, w http.ResponseWriter)
	feed              *memberFeed // of the current platform
	settings          string
	diskMB            float64
	operatorFile      string // path, empty for none
	sender            *Program
	requireTwoWatches bool           // each watch waits for its first object until there are two
	prepare           func(*Program) // called before Run

	mu          sync.Mutex
	firstObject func() string // the first object of each watch
	calls       map[string]int
	bodies      map[string]string
	keys        map[string]string
	probes      int
	watches     []string // queries of the watches at the current platform
	notices     map[string]string
	rejectPosts int    // number of notice posts to answer with 500
	hangPosts   bool   // notice posts get no answer
	onPost      func() // called when a post was received, before its answer
}

const settings = `{"balancers":1,"discovery":"automatic","weight_source":"off","machine_types":["m"],"zones":["z"],
"classes":[{"name":"notice","aim":2000,"deadline":8000,"group":"all","importance":1,"late_worth":0.5,"repeat":"by_key","window":15000},
{"name":"once","aim":2000,"deadline":8000,"group":"all","importance":1,"late_worth":0.5,"repeat":"once"}],
"family_info":{"max_calls":20,"own_limits":[false],"batch_by_kind":[1],"late":"halves"},
"limits":{"most_held":200,"send_cap":6,"probes":true,"cancel":true,"retry_after":true,"max_retry_after":2000,"connect_timeout":1000,"conn_idle":5000},
"rules":{"start_capacity":0.2,"warm_within":1000,"overload_factor":2}}`

func newTestEnv(t *testing.T, answer func(id string, call int, w http.ResponseWriter)) *testEnv {
	t.Helper()
	w := &testEnv{t: t, dir: t.TempDir(), answer: answer, settings: settings, diskMB: 3,
		calls: map[string]int{}, bodies: map[string]string{}, keys: map[string]string{}, notices: map[string]string{}}
	require.NoError(t, os.Mkdir(filepath.Join(w.dir, "state"), 0o700))
	w.receiver = httptest.NewServer(http.HandlerFunc(w.receive))
	w.moveDiscovery()
	w.discoveryEnv = w.platform.Listener.Addr().String()
	w.listen = reserveAddr(t)
	t.Cleanup(func() {
		w.receiver.CloseClientConnections()
		w.receiver.Close()
	})
	return w
}

var envCount atomic.Int64

// uniqueHost returns a loopback address that no other environment uses: a sender's port is free while the sender is down and
// could otherwise be assigned to a test running in parallel.
func uniqueHost() string {
	p, n := os.Getpid(), envCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 1+p%250, 1+p/250%250, 1+n%250)
}

// memberFeed holds the lines that a discovery server sends to all its watches after their first object. A watch that the sender has
// abandoned may still be open, so each line goes to every watch.
type memberFeed struct {
	lines      []string
	changed    chan struct{} // closed when a line is added
	twoWatches chan struct{} // closed after the second watch was opened
}

// broadcast sends a line to all watches of the current platform, and to later ones if it is valid JSON.
func (w *testEnv) broadcast(line string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.feed.lines = append(w.feed.lines, line)
	close(w.feed.changed)
	w.feed.changed = make(chan struct{})
}

// moveDiscovery opens discovery and platform at a new address. The old server keeps running.
func (w *testEnv) moveDiscovery() {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := &memberFeed{changed: make(chan struct{}), twoWatches: make(chan struct{})}
	p := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) { w.serve(out, in, list) }))
	w.platform, w.feed, w.watches = p, list, nil
	w.t.Cleanup(func() { p.CloseClientConnections(); p.Close() })
}

func ok(_ string, _ int, w http.ResponseWriter) { w.WriteHeader(200) }

func (w *testEnv) receive(out http.ResponseWriter, in *http.Request) {
	if in.Method == http.MethodGet {
		w.mu.Lock()
		w.probes++
		w.mu.Unlock()
		w.answer("probe", 0, out)
		return
	}
	body, err := io.ReadAll(in.Body)
	if err != nil {
		return
	}
	id := in.Header.Get("X-Txn")
	w.mu.Lock()
	w.calls[id]++
	call := w.calls[id]
	w.bodies[id], w.keys[id] = string(body), in.Header.Get("Idempotency-Key")
	w.mu.Unlock()
	w.answer(id, call, out)
}

func (w *testEnv) serve(out http.ResponseWriter, in *http.Request, list *memberFeed) {
	if in.Method == http.MethodGet {
		w.watch(out, in, list)
		return
	}
	lines := bufio.NewScanner(in.Body)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hangPosts {
		w.mu.Unlock()
		_, _ = io.ReadAll(in.Body)
		<-in.Context().Done()
		w.mu.Lock()
		return
	}
	if w.rejectPosts > 0 {
		w.rejectPosts--
		out.WriteHeader(500)
		return
	}
	for lines.Scan() {
		var n struct{ ID, State string }
		if json.Unmarshal(lines.Bytes(), &n) != nil {
			out.WriteHeader(400)
			return
		}
		w.notices[n.ID] = n.State
	}
	if posted := w.onPost; posted != nil {
		w.mu.Unlock()
		posted()
		w.mu.Lock()
	}
	out.WriteHeader(204)
}

func (w *testEnv) watch(out http.ResponseWriter, in *http.Request, list *memberFeed) {
	w.mu.Lock()
	if list == w.feed {
		if w.watches = append(w.watches, in.URL.RawQuery); len(w.watches) == 2 {
			close(list.twoWatches)
		}
	}
	w.mu.Unlock()
	if w.requireTwoWatches {
		select {
		case <-list.twoWatches:
		case <-in.Context().Done():
			return
		}
	}
	out.WriteHeader(200)
	fmt.Fprintln(out, w.watchStart(in))
	for sent, late := 0, true; ; late = false {
		w.mu.Lock()
		lines, more := list.lines[sent:], list.changed
		w.mu.Unlock()
		sent += len(lines)
		for _, line := range lines {
			if !late || json.Valid([]byte(line)) {
				fmt.Fprintln(out, line)
			}
		}
		out.(http.Flusher).Flush()
		select {
		case <-in.Context().Done():
			return
		case <-more:
		}
	}
}

// watchStart returns the first object of a watch; by default it has no changes.
func (w *testEnv) watchStart(in *http.Request) string {
	w.mu.Lock()
	held := w.firstObject
	w.mu.Unlock()
	if held != nil {
		return held()
	}
	return fmt.Sprintf(`{"revision":%s,"complete":false,"members":[]}`, in.URL.Query().Get("from"))
}

// setFirstObject sets the first object of later watches. It locks because watches of a killed sender may still be served.
func (w *testEnv) setFirstObject(first func() string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.firstObject = first
}

// callCount returns the number of calls for a message.
func (w *testEnv) callCount(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls[id]
}

// member returns the list entry of the receiver in the given phase.
func (w *testEnv) member(phase string) string {
	return fmt.Sprintf(`{"revision":2,"complete":false,"members":[{"id":"s-1","host_port":"%s","locality":"z","flavor":"m",`+
		`"cell":7,"phase":"%s","size":1}]}`, w.receiver.Listener.Addr(), phase)
}

func (w *testEnv) env(name string) string {
	return map[string]string{"RELAY_CONFIG": filepath.Join(w.dir, "config.json"), "RELAY_STATE": filepath.Join(w.dir, "state"),
		"RELAY_LISTEN": w.listen, "RELAY_DISCOVERY": w.discoveryEnv, "RELAY_NAME": "n0"}[name]
}

func (w *testEnv) writeConfig() {
	known := strings.Replace(w.member("SERVING"), "false", "true", 1)
	known = strings.Replace(known, "]}", `,{"id":"s-9","locality":"z","flavor":"m","cell":9,"phase":"DRAINING","size":1}]}`, 1)
	text := fmt.Sprintf(`{"name":"n0","discovery":"%s","seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024,"disk_mb":%g},`+
		`"known":%s,"settings":%s}`, w.platform.Listener.Addr(), w.diskMB, known, w.settings)
	require.NoError(w.t, os.WriteFile(w.env("RELAY_CONFIG"), []byte(text), 0o600))
}

// start runs a sender in this process; stop drains it and checks that it ends without an error.
func (w *testEnv) start() (stop func()) {
	w.t.Helper()
	w.writeConfig()
	p, err := New(w.env, zap.NewNop(), nil, nil)
	require.NoError(w.t, err)
	w.sender, p.firstListTimeout = p, testTimeout
	if w.prepare != nil {
		w.prepare(p)
	}
	ctx, cancel := context.WithCancel(context.Background())
	if w.operatorFile != "" {
		f, err := operator.Read(w.operatorFile)
		require.NoError(w.t, err)
		if f.DeadLetters != nil {
			p.EnableDeadLetters(*f.DeadLetters)
		}
		if f.Fleet != nil {
			p.JoinFleet(*f.Fleet)
		}
	}
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	var once sync.Once
	stop = func() {
		once.Do(func() {
			cancel()
			require.NoError(w.t, <-done)
			require.Equal(w.t, stopped, p.phase)
		})
	}
	w.t.Cleanup(stop)
	return stop
}

// testClient is the connection of a client.
type testClient struct {
	net.Conn
	r *bufio.Reader
}

func (w *testEnv) dial() *testClient {
	w.t.Helper()
	var c net.Conn
	require.Eventually(w.t, func() (up bool) {
		var err error
		c, err = net.Dial("tcp", w.listen)
		return err == nil
	}, testTimeout, testInterval)
	w.t.Cleanup(func() { _ = c.Close() })
	return &testClient{Conn: c, r: bufio.NewReader(c)}
}

func command(args ...string) string {
	s := fmt.Sprintf("*%d\r\n", len(args))
	for _, a := range args {
		s += fmt.Sprintf("$%d\r\n%s\r\n", len(a), a)
	}
	return s
}

func handIn(id, fields, body string) string { return command("ENQUEUE", "0000", id, fields, body) }

// send writes a command and returns the reply, empty if the connection ends.
func (c *testClient) send(text string) string {
	if _, err := io.WriteString(c, text); err != nil {
		return ""
	}
	line, _ := c.r.ReadString('\n')
	return strings.TrimSpace(line)
}

func (w *testEnv) locked(f func() bool) func() bool {
	return func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return f()
	}
}

func (w *testEnv) eventually(f func() bool, what ...any) {
	w.t.Helper()
	require.Eventually(w.t, w.locked(f), testTimeout, testInterval, what...)
}

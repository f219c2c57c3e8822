package daemon

import (
	"context"
	"errors"
	"io/fs"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ravenlink/internal/loopback"
	"ravenlink/internal/platform"
	"ravenlink/internal/relay"
	"ravenlink/internal/routing"
	"ravenlink/internal/spool"
	"ravenlink/internal/transport"
)

// stage is a point in the processing of a message at which the process may be killed.
type stage string

const (
	atAccepted        stage = "acceptance recorded, +OK not written"
	atReplied         stage = "+OK written, no leg yet"
	atLegPicked       stage = "leg picked, not recorded"
	atLegRecorded     stage = "leg recorded, before its first byte"
	atCallStarted     stage = "part of the call written"
	atCallReceived    stage = "last byte of the call received"
	atOutcomeRead     stage = "outcome known, not recorded"
	atOutcomeRecorded stage = "outcome recorded, the module not informed"
	atEndDecided      stage = "end decided, not recorded"
	atEndRecorded     stage = "end recorded, notice not sent"
	atNoticeSent      stage = "notice sent, not acknowledged"
	atCompleted       stage = "completed"
)

// callReceived reports whether the receiver has the whole call at this stage.
func (m stage) callReceived() bool {
	return !slices.Contains([]stage{atAccepted, atReplied, atLegPicked, atLegRecorded, atCallStarted}, m)
}

// killEnv has a sender that is killed at one stage: its state directory is copied at that time, and it sends nothing after.
type killEnv struct {
	*testEnv
	p       *Program
	stage   stage
	once    sync.Once
	nextDir string // copy of the state at the kill
	killed  chan struct{}
	release chan struct{} // unblocks stopped goroutines for the cleanup
	onStage func()        // called at the stage instead of a kill
	stop    func()
}

// reach is called at each stage; at the chosen one it blocks the caller.
func (d *killEnv) reach(at stage) {
	if at != d.stage {
		return
	}
	if d.onStage != nil {
		d.once.Do(d.onStage)
		return
	}
	d.once.Do(func() {
		d.nextDir = d.copyState()
		d.p.agent.Move("127.0.0.1:1") // no further notices or list calls
		close(d.killed)
	})
	<-d.release
}

// copyState copies the state directory. The rest of the sender keeps running: if a file is renamed after the directory was listed
// (`open cold.json.new: no such file or directory`, once beside 24 busy processes), the copy is repeated.
func (d *killEnv) copyState() (dir string) {
	for {
		dir = d.t.TempDir()
		err := os.CopyFS(filepath.Join(dir, "state"), os.DirFS(d.p.stateDir))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			d.t.Error(err)
		}
		return dir
	}
}

// reachIfCalled ignores legs that were not sent: on a busy machine a leg may time out before its first byte.
func (d *killEnv) reachIfCalled(at stage) {
	if d.locked(func() bool { return d.testEnv.calls["a"] > 0 })() {
		d.reach(at)
	}
}

func (d *killEnv) isKilled() bool {
	select {
	case <-d.killed:
		return true
	default:
		return false
	}
}

// Send sends a leg through the caller of the program, passing the stages on the way.
func (d *killEnv) Send(ctx context.Context, l relay.Leg) relay.Outcome {
	if d.isKilled() {
		<-d.release
		return relay.Outcome{Result: routing.NotSent}
	}
	ready := l.Authorize
	l.Authorize = func() bool {
		is := ready()
		if is {
			d.reach(atLegRecorded)
			d.writePartOfCall(l)
		}
		return is && !d.isKilled()
	}
	return d.p.caller.Send(ctx, l)
}

// writePartOfCall writes the beginning of the call if atCallStarted is the stage.
func (d *killEnv) writePartOfCall(l relay.Leg) {
	if d.stage != atCallStarted || !l.Confirm() {
		return
	}
	c, err := net.Dial("tcp", l.Receiver.Addr)
	if err == nil {
		_, err = c.Write([]byte("POST /events HTTP/1.1\r\nX-Txn: " + l.Msg.ID))
		defer func() { _ = c.Close() }()
	}
	if err != nil {
		d.t.Error(err)
	}
	d.reach(atCallStarted)
}

func (d *killEnv) Undelivered(u relay.Undelivered) {
	if d.reach(atEndRecorded); !d.isKilled() {
		d.p.notices.Undelivered(u)
	}
}

func (d *killEnv) MessageAccepted(int64) { d.reach(atReplied) }
func (d *killEnv) LegStarted(int64)      { d.reach(atLegPicked) }
func (d *killEnv) LegEnded(int64)        { d.reachIfCalled(atOutcomeRead) }
func (d *killEnv) LegRefused(int64)      {}
func (d *killEnv) MessageEnded(int64)    { d.reach(atEndDecided) }

// logger detects the two stages that are only visible as log entries.
func (d *killEnv) logger() *zap.Logger {
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{}), zapcore.AddSync(&logBuffer{}), zap.DebugLevel),
		zap.Hooks(func(e zapcore.Entry) error {
			switch e.Message {
			case "handed in":
				d.reach(atAccepted)
			case "leg":
				d.reachIfCalled(atOutcomeRecorded)
			}
			return nil
		}))
}

// newKillEnv returns an environment whose sender is killed or stopped at a stage.
func newKillEnv(t *testing.T, at stage, answer func(d *killEnv, id string, out http.ResponseWriter)) *killEnv {
	d := &killEnv{stage: at, killed: make(chan struct{}), release: make(chan struct{})}
	d.testEnv = newTestEnv(t, func(id string, _ int, out http.ResponseWriter) { answer(d, id, out) })
	return d
}

// begin starts the sender with hooks at the stages.
func (d *killEnv) begin() {
	w := d.testEnv
	w.prepare = func(p *Program) {
		d.p = p
		p.engine = relay.New(d.logger(), p.clock, p.router, p.spool, d)
		p.engine.SetNotifier(d)
		p.engine.Observer = d
		p.frontend = platform.NewFrontend(d.logger(), p.engine)
		p.server.Close()
		var err error
		p.server, err = transport.Listen(w.listen, 100, p.frontend.Serve)
		require.NoError(w.t, err)
	}
	w.onPost = func() { d.reach(atNoticeSent) }
	d.stop = w.start()
	w.prepare = nil
	w.t.Cleanup(func() { close(d.release) })
}

// restart starts the next sender on the copied state.
func (d *killEnv) restart() (stop func()) {
	w := d.testEnv
	w.mu.Lock()
	clear(w.notices)
	clear(w.calls)
	w.onPost = nil
	w.mu.Unlock()
	w.dir, w.listen = d.nextDir, reserveAddr(w.t)
	return w.start()
}

const killClasses = `[{"name":"free","repeat":"repeatable","aim":2000,"deadline":60000,"group":"all","importance":1,"late_worth":0.5},
{"name":"keyed","repeat":"by_key","window":60000,"aim":2000,"deadline":60000,"group":"all","importance":1,"late_worth":0.5},
{"name":"brief","repeat":"by_key","window":1000,"aim":2000,"deadline":60000,"group":"all","importance":1,"late_worth":0.5},
{"name":"once","repeat":"once","aim":2000,"deadline":60000,"group":"all","importance":1,"late_worth":0.5}]`

// Expected handling of the message by the next process.
const (
	expectCall     = "call"     // it never ran and is called once
	expectRetry    = "retry"    // it may have run: called again if its class and window allow, else reported as failed
	expectFailed   = "failed"   // no call, reported as failed
	expectReturned = "returned" // no call, reported as returned
	expectNothing  = "none"     // no call and no notice
)

// TestKillAtEachStageOfAMessage kills a sender at each stage, for each kind of class. The next process acts on what was recorded by then.
func TestKillAtEachStageOfAMessage(t *testing.T) {
	t.Parallel()
	for _, row := range []struct {
		at     stage
		status int // of the receiver's reply; 0 for a destination without a receiver
		then   string
	}{
		{atAccepted, 200, expectCall}, {atReplied, 200, expectCall}, {atLegPicked, 200, expectCall},
		{atLegRecorded, 200, expectRetry}, {atCallStarted, 200, expectRetry}, {atCallReceived, 200, expectRetry}, {atOutcomeRead, 200, expectRetry}, {atOutcomeRecorded, 200, expectRetry}, {atEndDecided, 200, expectRetry},
		{atCompleted, 200, expectNothing},
		{atOutcomeRead, 503, expectRetry}, {atOutcomeRecorded, 503, expectCall}, {atOutcomeRecorded, 500, expectRetry},
		{atEndDecided, 429, expectCall}, {atEndRecorded, 429, expectReturned}, {atNoticeSent, 429, expectReturned}, {atCompleted, 429, expectNothing}, // Retry-After beyond the deadline
		{atEndDecided, 0, expectReturned}, {atEndRecorded, 0, expectReturned}, {atNoticeSent, 0, expectReturned}, {atCompleted, 0, expectNothing},
	} {
		for _, class := range []string{"free", "keyed", "brief", "once"} {
			for _, late := range []bool{false, true} {
				if late && (class != "brief" || row.then != expectRetry) {
					continue
				}
				name := strings.Join([]string{string(row.at), http.StatusText(row.status), class}, ", ")
				if late {
					name += ", past its window"
				}
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					then := row.then
					if then == expectRetry && (class == "once" || late) {
						then = expectFailed
					}
					testKill(t, row.at, row.status, class, late, then)
				})
			}
		}
	}
}

// testKill brings a message to a stage, kills its sender there and checks what the next one does.
func testKill(t *testing.T, at stage, status int, class string, expired bool, expected string) {
	d := newKillEnv(t, at, func(d *killEnv, id string, out http.ResponseWriter) {
		if !d.isKilled() && id != "probe" {
			d.reach(atCallReceived)
			out.Header().Set("Retry-After", "100")
			out.WriteHeader(status)
		}
	})
	w := d.testEnv
	w.settings = settings[:strings.Index(settings, `"classes":`)] + `"classes":` + killClasses + settings[strings.Index(settings, ",\n\"family_info"):]
	d.begin()
	fields := "c=" + class + ",d=60000,k=5c0f,dest=7"
	if status == 0 {
		fields = "c=" + class + ",d=500,k=5c0f,dest=9" // on a busy machine a shorter deadline passes before the message is accepted
	}
	go w.dial().send(handIn("a", fields, "x"))
	if at == atCompleted {
		w.eventually(func() bool { return d.p.engine.Stats.Accepted.Load() > 0 && len(d.p.spool.Pending()) == 0 })
		go d.reach(atCompleted)
	}
	waitClosed(t, d.killed)
	killedAt := time.Now()
	if expired {
		require.Eventually(t, func() bool { return time.Since(killedAt) > time.Second }, testTimeout, testInterval)
	}
	w.mu.Lock()
	require.Equal(t, status > 0 && at.callReceived(), w.calls["a"] == 1, "whole calls before the kill")
	w.mu.Unlock()
	stop := d.restart()
	expectNotice := func(as string) {
		w.eventually(func() bool { return w.notices["a"] == as })
		require.Zero(t, w.calls["a"], "it is not called")
	}
	switch expected {
	case expectFailed:
		expectNotice("failed")
	case expectReturned:
		expectNotice("returned")
	case expectNothing:
		require.Equal(t, "+PONG", w.dial().send(command("PING")))
		require.Zero(t, w.sender.router.Pending())
		require.Zero(t, w.sender.notices.Pending())
	default:
		w.eventually(func() bool { // on a busy machine the window of class brief may have passed
			return w.calls["a"] == 1 || class == "brief" && expected == expectRetry && w.notices["a"] != ""
		})
	}
	w.eventually(func() bool { return len(w.sender.spool.Pending()) == 0 }, "its end is on record")
	stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	require.LessOrEqual(t, w.calls["a"], 1)
	require.True(t, expected == expectNothing || w.calls["a"] == 1 != (w.notices["a"] != ""), "one end")
}

// TestSIGTERMAtEachStageOfAMessage stops the sender at a stage, which continues once the clients are closed. The client gets its
// reply, and the message ends exactly once, in this process.
func TestSIGTERMAtEachStageOfAMessage(t *testing.T) {
	t.Parallel()
	for at, status := range map[stage]int{atAccepted: 200, atReplied: 200, atLegPicked: 200, atLegRecorded: 200, atCallReceived: 200, atOutcomeRead: 200, atOutcomeRecorded: 200,
		atEndDecided: 429, atEndRecorded: 429, atNoticeSent: 429} {
		t.Run(string(at), func(t *testing.T) {
			t.Parallel()
			d := newKillEnv(t, at, func(d *killEnv, id string, out http.ResponseWriter) {
				d.reach(atCallReceived)
				out.Header().Set("Retry-After", "100")
				out.WriteHeader(status)
			})
			w := d.testEnv
			begun, gone := make(chan struct{}), make(chan struct{})
			d.onStage = func() {
				close(begun)
				go func() { d.stop(); close(gone) }()
				for { // until the listener is closed and the connections wait for a command
					c, err := net.Dial("tcp", w.listen)
					if err != nil {
						return
					}
					_ = c.Close()
					time.Sleep(testInterval)
				}
			}
			d.begin()
			require.Equal(t, "+OK", w.dial().send(handIn("a", "c=once,d=60000,dest=7", "x")))
			waitClosed(t, begun)
			waitClosed(t, gone)
			next, _, err := spool.Open(d.p.stateDir, 1<<20)
			require.NoError(t, err)
			require.Empty(t, next.Pending())
			require.NoError(t, next.Close())
			require.Equal(t, 1, w.calls["a"])
			require.Equal(t, map[int]string{200: "", 429: "returned"}[status], w.notices["a"])
		})
	}
}

// A client that disconnects before its reply will hand in again under another id: the first message is neither sent nor reported.
func TestNothingIsSentForAClientGoneBeforeItsReply(t *testing.T) {
	t.Parallel()
	d := newKillEnv(t, atAccepted, func(*killEnv, string, http.ResponseWriter) {})
	w := d.testEnv
	var c *testClient
	d.onStage = func() { // the reset arrives before the reply is written
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	d.begin()
	c = w.dial()
	_, err := c.Write([]byte(handIn("a", once, "x")))
	require.NoError(t, err)
	w.eventually(func() bool { return d.p.engine.Stats.Accepted.Load() == 1 && len(d.p.spool.Pending()) == 0 })
	d.stop()
	require.Zero(t, d.p.router.Pending())
	require.Empty(t, w.calls)
	require.Empty(t, w.notices)
}

// Further signals during a drain have no effect: queued messages stay pending, and the process exits without an error.
func TestFurtherSignalsDuringDrainAreIgnored(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, ok)
	cmd := startProcess(w)
	require.Equal(t, "+OK", w.dial().send(handIn("a", "c=notice,d=60000,dest=9", "x")))
	for _, s := range []os.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP} {
		require.NoError(t, cmd.Process.Signal(s))
	}
	require.NoError(t, cmd.Wait())
	s, _, err := spool.Open(w.env("RELAY_STATE"), 1<<20)
	require.NoError(t, err)
	require.Len(t, s.Pending(), 1)
	require.NoError(t, s.Close())
}

func waitClosed(t *testing.T, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(testTimeout):
		require.Fail(t, "not reached")
	}
}

// reserveAddr returns an address that is not assigned elsewhere until the test ends, so that a sender can restart there.
func reserveAddr(t *testing.T) string {
	t.Helper()
	r, err := loopback.Reserve(uniqueHost())
	require.NoError(t, err)
	t.Cleanup(r.Release)
	return r.Addr.String()
}

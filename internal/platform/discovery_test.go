package platform

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ravenlink/internal/routing"
	"ravenlink/internal/transport"
)

const (
	onDemandLimit = 6 * time.Second // after a watch fell silent, or discovery became reachable, as specified by the operators
	moveLimit     = 4 * time.Second // after SIGHUP
	margin        = 500 * time.Millisecond
	pushedLimit   = 250 * time.Millisecond // where lists are pushed: the shortest time in which a drain must be honoured

	settings = `{"discovery":"%s","balancers":1,"machine_types":["m"],"zones":["z"],"classes":[{"name":"n","aim":2000,"deadline":8000,"group":"all",` +
		`"importance":1,"late_worth":0.5,"repeat":"once"}],"family_info":{"max_calls":20},"limits":{"most_held":4,"send_cap":6},` +
		`"rules":{"start_capacity":0.2,"warm_within":1000,"overload_factor":2,"ask_within":10000}}`
	head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	list = "{\n\"revision\":2,\n\"members\":[]}\n"
	last = "0\r\n\r\n"
)

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// behaviour is what an agent does on a connection. It leaves the connection open unless it closes it.
type behaviour func(c net.Conn)

func hangs(net.Conn) {}

func says(text string, then ...behaviour) behaviour {
	return func(c net.Conn) {
		_, _ = io.WriteString(c, text)
		for _, d := range then {
			d(c)
		}
	}
}

func closes(c net.Conn) { _ = c.Close() }

// trickles sends a text repeatedly without end.
func trickles(text string) behaviour {
	return func(c net.Conn) {
		for err := error(nil); err == nil; time.Sleep(100 * time.Millisecond) {
			_, err = io.WriteString(c, text)
		}
	}
}

// watchFailures are the ways in which a response or a watch that has begun fails.
var watchFailures = map[string]behaviour{
	"silent":               hangs,
	"broken":               closes,
	"over":                 says(last, closes),
	"nonsense":             says(chunk("nonsense\n")),
	"no list":              says(chunk(`{"revision":"7"}` + "\n")),
	"torn list":            says(chunk(`{"revision":7,"members":[{`), closes),
	"list without end":     says(chunk(`{"revision":7,"members":[`), trickles(chunk(" "))),
	"line without end":     trickles(chunk(" ")),
	"floods of blanks":     trickles(chunk(strings.Repeat(" ", 5000))),
	"chunk without border": says("fffff\r\n", trickles(" ")),
}

// callFailures are the ways in which a call fails; nil refuses the connection.
var callFailures = map[string]behaviour{
	"refused":           nil,
	"hung":              hangs,
	"reset":             closes,
	"503":               says("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
	"503 late":          func(c net.Conn) { time.Sleep(2 * time.Second); says("HTTP/1.1 503 Busy\r\n\r\n")(c) },
	"head without end":  says("HTTP/1.1 200 OK\r\nX: ", trickles("x")),
	"heads without end": trickles("HTTP/1.1 100 Continue\r\n\r\n"),
	"beats alone":       says(head, trickles(chunk("\n"))),
}

func init() {
	for name, d := range watchFailures {
		callFailures["answer "+name] = says(head, d)
	}
}

// discoveryTest runs a Discovery with its module and an agent in a synctest bubble.
type discoveryTest struct {
	*Discovery
	agent          *Agent
	behave         func(addr string) behaviour // for the call that starts; nil refuses
	mu             sync.Mutex                  // guards behave and
	callCount      int                         // number of calls
	fromRevisions  []string                    // the revisions that the calls asked from
	reachableSince atomic.Int64                // when the list became available, as specified by the operators
	deliveredAt    atomic.Int64                // when a call was answered with the list; 0 for not yet
	delivered      chan struct{}               // closed at that time

	serving sync.WaitGroup
}

func (p *discoveryTest) sendList(c net.Conn) {
	if _, err := io.WriteString(c, head+chunk(list)); err == nil && p.deliveredAt.CompareAndSwap(0, time.Now().UnixNano()) {
		close(p.delivered)
	}
}

func (p *discoveryTest) connect(ctx context.Context, addr string, within time.Duration) (*transport.Conn, error) {
	p.mu.Lock()
	p.callCount++
	does := p.behave(addr)
	p.mu.Unlock()
	if does == nil {
		return nil, errors.New("refused")
	}
	ours, theirs := net.Pipe()
	context.AfterFunc(ctx, func() { _ = ours.Close(); _ = theirs.Close() })
	p.serving.Go(func() {
		in, err := http.ReadRequest(bufio.NewReader(theirs))
		if err != nil {
			return
		}
		p.mu.Lock()
		p.fromRevisions = append(p.fromRevisions, in.FormValue("from"))
		p.mu.Unlock()
		if in.FormValue("from") != "7" { // revision of a list that was never complete
			does(theirs)
		}
	})
	return transport.WrapConn(ours), nil
}

// startDiscovery starts a test with a random seed. It ends with the synctest bubble.
func startDiscovery(t *testing.T, seed time.Duration, mode string, does func(p *discoveryTest, addr string) behaviour) *discoveryTest {
	return startDiscoveryWithMemory(t, seed, mode, 32<<20, zap.NewNop(), does)
}

// startDiscoveryWithMemory also sets the bytes of memory for the members of a large list, and a logger.
func startDiscoveryWithMemory(t *testing.T, seed time.Duration, mode string, listMemory int64, log *zap.Logger, does func(p *discoveryTest, addr string) behaviour) *discoveryTest {
	ctx, cancel := context.WithCancel(t.Context())
	router := routing.New(uint64(seed), gjson.Parse(fmt.Sprintf(settings, mode)), func() int64 { return time.Now().UnixMicro() }, func(string) {}, func(string) {})
	p := &discoveryTest{agent: NewAgent("here"), delivered: make(chan struct{})}
	p.Discovery = NewDiscovery(log, router, p.agent, time.Second, mode == onDemand, listMemory)
	assert.NoError(t, p.LoadKnown([]byte(`{"revision":1,"members":[{"id":"s-1","host_port":"r:1","locality":"z","flavor":"m","cell":7,"phase":"SERVING","size":1}]}`)))
	p.dial = p.connect
	p.behave = func(addr string) behaviour { return does(p, addr) }
	go router.RunTimer(ctx)
	go func() {
		for {
			switch c, err := router.NextTask(ctx); {
			case err != nil:
				return
			case c.Kind == routing.Watch:
				p.RequestWatch()
			}
		}
	}()
	over := make(chan struct{})
	go func() { p.Run(ctx); close(over) }()
	t.Cleanup(func() { cancel(); <-over; p.serving.Wait() })
	return p
}

func (p *discoveryTest) markReachable() { p.reachableSince.Store(time.Now().UnixNano()) }

// awaitList waits for the list and returns how long that took.
func (p *discoveryTest) awaitList() time.Duration {
	select {
	case <-p.delivered:
	case <-time.After(time.Minute):
		return time.Minute
	}
	return time.Duration(p.deliveredAt.Load() - p.reachableSince.Load())
}

const (
	pushed   = "automatic"
	onDemand = "subscribe"
)

var modes = map[string]time.Duration{pushed: pushedLimit, onDemand: onDemandLimit - margin} // and the limit after recovery

// Whatever way calls fail while discovery is unreachable, and at whatever moment it recovers, the list arrives
// in time.
func TestListArrivesInTimeAfterFailedCalls(t *testing.T) {
	for mode, limit := range modes {
		for name, does := range callFailures {
			t.Run(mode+"/"+name, func(t *testing.T) {
				worst, made := time.Duration(0), 0
				for down := 5 * time.Second; down <= time.Minute; down += 730 * time.Millisecond {
					if down > 15*time.Second {
						down = time.Minute
					}
					synctest.Test(t, func(t *testing.T) {
						back := time.Now().Add(down)
						p := startDiscovery(t, down, mode, func(p *discoveryTest, _ string) behaviour {
							if time.Now().Before(back) {
								return does
							}
							return p.sendList
						})
						time.Sleep(down)
						p.mu.Lock()
						made = p.callCount
						p.mu.Unlock()
						p.markReachable()
						worst = max(worst, p.awaitList())
					})
				}
				t.Log(mode, name, worst, made)
				assert.Less(t, worst, limit)
				assert.Less(t, made, map[string]int{pushed: 450, onDemand: 16}[mode], "calls in a minute")
			})
		}
	}
}

// Whatever way an open watch fails, and whatever way the first call to reopen it fails, the missed changes
// arrive in time. The time is counted from the failure, or from that call if lists are requested on demand and
// the watch ended visibly, since discovery was unreachable then.
func TestMissedChangesArriveInTimeAfterWatchFailure(t *testing.T) {
	for mode := range modes {
		for end, breaks := range watchFailures {
			worst := time.Duration(0)
			plain := end == "broken" || end == "over" || end == "nonsense" || end == "no list" || end == "torn list"
			limit := onDemandLimit - margin
			if plain && mode == pushed {
				limit = pushedLimit
			}
			for name, does := range callFailures {
				synctest.Test(t, func(t *testing.T) {
					p := startDiscovery(t, time.Duration(len(name)), mode, func(p *discoveryTest, _ string) behaviour {
						switch p.callCount {
						case 1:
							return func(c net.Conn) {
								says(head + chunk(list))(c)
								for range 5 {
									time.Sleep(2 * time.Second)
									says(chunk("\n"))(c)
								}
								p.markReachable()
								breaks(c)
							}
						case 2:
							if plain && mode == onDemand {
								p.markReachable()
							}
							return does
						}
						return p.sendList
					})
					worst = max(worst, p.awaitList())
					assert.Less(t, worst, limit, "%s, %s, then %s", mode, end, name)
				})
			}
			t.Log(mode, end, worst)
		}
	}
}

// The agent's list counts as delivered on recovery, so at every moment a call must be in progress that it can
// answer.
func TestPushedListsAlwaysHaveACallInProgress(t *testing.T) {
	for down := time.Second; down < 6*time.Second; down += 130 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			back := time.Now().Add(down)
			p := startDiscovery(t, down, pushed, func(p *discoveryTest, _ string) behaviour {
				return func(c net.Conn) { time.Sleep(time.Until(back)); p.sendList(c) }
			})
			time.Sleep(down)
			p.markReachable()
			assert.Zero(t, p.awaitList())
		})
	}
}

// Discovery may move while a watch is open, while a call hangs or between calls, and the first call at the new
// address may fail.
func TestListArrivesInTimeAfterMove(t *testing.T) {
	old := map[string]behaviour{"a watch is up": says(head, trickles(chunk("{\"revision\":2,\"members\":[]}\n"))), "calls hang": hangs, "calls fail": nil}
	for mode := range modes {
		for before, there := range old {
			worst := time.Duration(0)
			for name, does := range callFailures {
				for at := 3 * time.Second; at < 9*time.Second; at += 610 * time.Millisecond {
					synctest.Test(t, func(t *testing.T) {
						news := 0
						p := startDiscovery(t, at, mode, func(p *discoveryTest, addr string) behaviour {
							if addr == "here" {
								return there
							}
							if news++; news == 1 {
								return does
							}
							return p.sendList
						})
						time.Sleep(at)
						p.markReachable()
						p.agent.Move("there")
						worst = max(worst, p.awaitList())
						p.mu.Lock()
						defer p.mu.Unlock()
						assert.LessOrEqual(t, news, 8, "calls at the new place, %s, %s", before, name)
					})
				}
			}
			t.Log("moved", mode, before, worst)
			assert.Less(t, worst, moveLimit-margin, "%s, %s", mode, before)
		}
	}
}

// A request of the module that came while a watch was open must not cancel the random delay of the next call:
// the watches of all senders may fail at once.
func TestEarlierRequestDoesNotSkipRandomDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startDiscovery(t, 1, onDemand, func(p *discoveryTest, _ string) behaviour {
			if p.callCount > 1 {
				return p.sendList
			}
			return says(head+chunk(list), func(net.Conn) { p.RequestWatch(); time.Sleep(2 * time.Second); p.markReachable() }, closes)
		})
		assert.Greater(t, p.awaitList(), time.Second)
	})
}

// Uses real sockets: a full accept queue admits no connection and reports nothing. New calls start beside the
// hung ones.
func TestRecoveryFromFullAcceptQueue(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	file := os.NewFile(uintptr(fd), "listener")
	l, err := net.FileListener(file)
	require.NoError(t, err)
	_ = file.Close()
	for full := false; !full; { // by connections that wait to be accepted
		c, err := net.DialTimeout("tcp", l.Addr().String(), 50*time.Millisecond)
		if full = err != nil; !full {
			defer c.Close()
		}
	}
	testRecovery(t, l, "i/o timeout", func() {})
}

// Idle clients may use up the descriptors. The first one that becomes free serves to fetch the list.
func TestRecoveryFromDescriptorExhaustion(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var was syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &was))
	few := was
	few.Cur = 64
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &few))
	defer func() { assert.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &was)) }()
	var idle []*os.File
	for f, err := os.Open(os.DevNull); err == nil; f, err = os.Open(os.DevNull) {
		idle = append(idle, f)
	}
	testRecovery(t, l, "too many open files", func() {
		for _, f := range idle {
			_ = f.Close()
		}
	})
}

// testRecovery waits until a call fails with the given error, then calls mend, accepts connections and waits
// for the list.
func testRecovery(t *testing.T, l net.Listener, fails string, mend func()) {
	router := routing.New(1, gjson.Parse(fmt.Sprintf(settings, pushed)), func() int64 { return time.Now().UnixMicro() }, func(string) {}, func(string) {})
	logs, seen := observer.New(zap.WarnLevel)
	d := NewDiscovery(zap.New(logs), router, NewAgent(l.Addr().String()), 300*time.Millisecond, false, 32<<20)
	ctx, cancel := context.WithCancel(t.Context())
	over := make(chan struct{})
	go func() { d.Run(ctx); close(over) }()
	for seen.Len() == 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	assert.Contains(t, seen.All()[0].ContextMap()["error"], fails)
	mend()
	taken := make(chan struct{})
	go func() {
		defer close(taken)
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			defer c.Close()
			says(head + chunk(list))(c)
		}
	}()
	select {
	case <-d.firstList:
	case <-time.After(10 * time.Second):
		assert.Fail(t, "the list never came")
	}
	cancel()
	<-over
	_ = l.Close()
	<-taken
}

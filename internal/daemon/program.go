// Package daemon implements the process of a sender: it assembles the subsystems and runs them through the process phases.
package daemon

import (
	"context"
	"errors"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/gjson"
	"go.uber.org/zap"

	"ravenlink/internal/backlog"
	"ravenlink/internal/fleet"
	"ravenlink/internal/keep"
	"ravenlink/internal/kept"
	"ravenlink/internal/ordered"
	"ravenlink/internal/platform"
	"ravenlink/internal/relay"
	"ravenlink/internal/routing"
	"ravenlink/internal/spool"
	"ravenlink/internal/startup"
	"ravenlink/internal/transport"
)

type phase uint8

// Phases of the process, from start to exit.
const (
	starting phase = iota
	recovering
	serving
	draining
	stopped
)

func (p phase) String() string {
	return [...]string{"starting", "recovering", "serving", "draining", "stopped"}[p]
}

const (
	heapShare             = 0.7                     // of the memory limit, for the Go heap; the rest is for files, stacks and sockets
	listMemoryDivisor     = 4                       // this fraction of the memory limit is for the members of a list while it is read
	clientSocketDivisor   = 2                       // this fraction of the descriptors is for clients
	receiverSocketDivisor = 3                       // this fraction is for receivers; the rest is reserve
	idleTimeoutShare      = 0.8                     // of the configured idle timeout; connections idle for longer are not reused
	acceptPeriod          = 600 * time.Millisecond  // after the drain begins: new connections are still accepted
	legStartDeadline      = 2400 * time.Millisecond // after SIGTERM: no leg starts later
	drainDeadline         = 3300 * time.Millisecond // after SIGTERM: the process exits before SIGKILL
	firstListTimeout      = 300 * time.Millisecond  // the agent replies at once unless discovery is down; clients wait slightly longer for their replies
	pollInterval          = 20 * time.Millisecond   // between checks of a wait condition
	statsInterval         = 10 * time.Second        // between log lines with the counters
)

// Program is the process of one sender.
type Program struct {
	log           *zap.Logger
	env           func(string) string
	reload        <-chan os.Signal
	agent         *platform.Agent
	levels        *levels // nil without an operator's file
	operatorFile  string
	resender      *keep.Resender // nil if dead letters are not stored
	fleet         *fleet.Runtime // nil if the sender is not in a fleet
	eraser        *eraser        // nil if the sender takes no orders
	backlogTable  *backlog.Table // as in the file; nil if the backlog is off
	ordered       *ordered.Host  // nil if channels are off
	phase         phase          // only changed by enter
	clock         relay.Clock
	stateDir      string // persistent
	maxDiskBytes  int64  // limit of stateDir
	maxSpoolBytes int64  // part of maxDiskBytes for the spool
	settings      gjson.Result
	spool         *spool.Spool
	router        *routing.Router
	pool          *transport.Pool
	server        *transport.Server
	datagrams     *transport.Datagrams // nil if notes between senders are not allowed

	engine    *relay.Engine
	frontend  *platform.Frontend
	caller    *platform.Caller
	notices   *platform.Notices
	discovery *platform.Discovery

	probeTimeout     time.Duration // timeout of a probe
	firstListTimeout time.Duration // how long to wait for the first list before legs start
	probes           atomic.Int64
	workers          sync.WaitGroup
}

// enter changes the phase.
func (p *Program) enter(next phase) {
	p.log.Info("phase", zap.Stringer("from", p.phase), zap.Stringer("to", next))
	p.phase = next
}

// New reads the start file and opens everything that a sender needs before it serves. The backlog is on if it has a table.
func New(env func(string) string, log *zap.Logger, reload <-chan os.Signal, backlogTable *backlog.Table) (*Program, error) {
	config, err := startup.Read(env)
	if err != nil {
		return nil, err
	}
	runtime.GOMAXPROCS(startup.Cores(config))
	debug.SetMemoryLimit(int64(heapShare * float64(startup.MaxMemoryBytes(config))))
	listenAddr, discoveryAddr := startup.Addresses(env, config)
	p := &Program{log: log.With(zap.String("sender", startup.SenderName(config))), env: env, reload: reload, agent: platform.NewAgent(discoveryAddr),
		clock: relay.NewClock(), firstListTimeout: firstListTimeout}
	backlogTable = p.fitBacklog(backlogTable, startup.MaxSpoolBytes(config), startup.MaxMemoryBytes(config))
	if err := p.openSpool(startup.StateDir(env), startup.MaxSpoolBytes(config), backlogTable); err != nil {
		return nil, err
	}
	settings := startup.ModuleSettings(config)
	p.settings, p.stateDir, p.maxDiskBytes, p.maxSpoolBytes = settings, startup.StateDir(env), startup.MaxDiskBytes(config), startup.MaxSpoolBytes(config)
	connectTimeout, idleTimeout := startup.ConnTimeouts(settings)
	p.pool = transport.NewPool(connectTimeout, time.Duration(idleTimeoutShare*float64(idleTimeout)), startup.MaxSockets(config)/receiverSocketDivisor)
	moduleLog := withPart(p.log, "module")
	p.router = routing.New(startup.Seed(config), settings, p.clock.Now, p.pool.CloseIdle, func(text string) { moduleLog.Info(text) })
	p.probeTimeout = connectTimeout
	_, probeLoad := startup.LoadReports(settings)
	p.caller = platform.NewCaller(p.pool, p.clock, p.router, probeLoad)
	p.engine = relay.New(withPart(p.log, "messages"), p.clock, p.router, p.spool, p.caller)
	p.notices = platform.NewNotices(withPart(p.log, "notices"), p.agent, connectTimeout, p.onNoticesDelivered)
	p.engine.SetNotifier(p.notices)
	if backlogTable != nil {
		p.engine.EnableBacklog(backlogLimits(settings, backlogTable), startup.HasOrderedClass(settings), p.notices.Pending)
	}
	p.discovery = platform.NewDiscovery(withPart(p.log, "discovery"), p.router, p.agent, connectTimeout, startup.NeedsSubscription(settings),
		startup.MaxMemoryBytes(config)/listMemoryDivisor)
	p.restoreCold()
	if err := p.discovery.LoadKnown(startup.KnownReceivers(config)); err != nil {
		return nil, err
	}
	if startup.PeerNotesAllowed(settings) {
		own, all, each := startup.PeerAddrs(config)
		if p.datagrams, err = transport.OpenDatagrams(own, all, each); err != nil {
			return nil, err
		}
	}
	p.frontend = platform.NewFrontend(withPart(p.log, "clients"), p.engine)
	p.server, err = transport.Listen(listenAddr, startup.MaxSockets(config)/clientSocketDivisor, p.frontend.Serve)
	return p, err
}

func (p *Program) openSpool(dir string, maxBytes int64, backlogTable *backlog.Table) error {
	open := spool.Open
	if backlogTable != nil {
		open, maxBytes = spool.OpenBacklog, backlogTable.Bytes()
	}
	s, notes, err := open(dir, maxBytes)
	for _, n := range notes {
		p.log.Warn("spool", zap.String("note", n))
	}
	p.spool = s
	return err
}

// Run runs the process through its phases until it has drained, which the end of ctx starts.
func (p *Program) Run(ctx context.Context) error {
	legsCtx, stopLegs := context.WithCancel(context.Background())
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	defer stopLegs()
	shutdownAt := make(chan time.Time, 1) // SIGKILL follows relative to this time, also if shutdown was requested before serving
	defer context.AfterFunc(ctx, func() { shutdownAt <- time.Now() })()
	p.engine.SetContexts(legsCtx, workCtx)
	p.enter(recovering)
	if p.fleet != nil {
		p.goWorker(func() { p.fleet.Run(legsCtx) }) // returns leased shares as soon as no leg may start
	}
	p.startWorkers(workCtx)
	p.engine.StartLoader() // spilled messages are loaded and expire from here on
	p.discovery.WaitFirstList(p.firstListTimeout)
	if p.eraser != nil {
		p.eraser.awaitFences()
	}
	p.recoverPending(legsCtx)
	p.engine.Run()
	if p.resender != nil {
		p.goWorker(func() { p.resender.Run(legsCtx) })
	}
	p.enter(serving)
	p.goWorker(func() {
		if err := p.server.Serve(workCtx); err != nil {
			p.log.Error("clients", zap.Error(err))
		}
	})
	<-ctx.Done()
	p.enter(draining)
	p.drain(<-shutdownAt, stopLegs)
	stopLegs()
	stopWork()
	p.close()
	p.enter(stopped)
	if p.resender != nil {
		return errors.Join(p.resender.Close(), p.spool.Close())
	}
	return p.spool.Close()
}

func (p *Program) goWorker(f func()) {
	p.workers.Add(1)
	go func() {
		defer p.workers.Done()
		f()
	}()
}

// startWorkers starts the goroutines that do not depend on clients.
func (p *Program) startWorkers(ctx context.Context) {
	p.goWorker(func() { p.router.RunTimer(ctx) })
	p.goWorker(func() { p.notices.Run(ctx) })
	p.goWorker(func() { p.discovery.Run(ctx) })
	p.goWorker(func() { p.runTasks(ctx) })
	p.goWorker(func() { p.reloadOnSignal(ctx) })
	p.goWorker(func() { p.logStatsPeriodically(ctx) })
	p.goWorker(func() { p.persistCold(ctx) })
	if p.datagrams != nil {
		p.goWorker(func() { p.datagrams.Receive(p.router.HandleNote) })
	}
}

// drain accepts new connections for acceptPeriod, closes the clients, stops starting legs and waits for those in flight. The deadlines count
// from the shutdown request, but acceptPeriod from now: clients may have been waiting to connect while the sender recovered.
func (p *Program) drain(begun time.Time, stopLegs context.CancelFunc) {
	if p.ordered != nil {
		p.ordered.ReleaseAll()
	}
	p.waitUntil(time.Now().Add(acceptPeriod), func() bool { return false })
	var clientsGone atomic.Bool
	p.goWorker(func() {
		p.server.Close()
		clientsGone.Store(true)
	})
	noticesSent := func() bool { return p.notices.Pending() == 0 } // checked last: a message that ends in between has queued its notice
	p.waitUntil(begun.Add(legStartDeadline), func() bool { return clientsGone.Load() && p.engine.Pending() == 0 && noticesSent() })
	stopLegs()
	p.waitUntil(begun.Add(drainDeadline), func() bool { return clientsGone.Load() && p.engine.LegsInFlight() == 0 && noticesSent() })
}

// waitUntil waits for the time end or until done returns true.
func (p *Program) waitUntil(end time.Time, done func() bool) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for time.Now().Before(end) && !done() {
		<-ticker.C
	}
}

func (p *Program) close() {
	if p.datagrams != nil {
		p.datagrams.Close()
	}
	p.server.Abort()
	p.server.Close()
	p.engine.Wait()
	p.pool.Close()
	p.notices.Close()
	p.workers.Wait()
}

// logStatsPeriodically logs the counters every statsInterval and at the end of ctx.
func (p *Program) logStatsPeriodically(ctx context.Context) {
	ticker := time.NewTicker(statsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.logStats()
			return
		case <-ticker.C:
			p.logStats()
		}
	}
}

// followOperatorFile makes each reload read the operator's file again.
func (p *Program) followOperatorFile(file string, ls *levels) { p.operatorFile, p.levels = file, ls }

// EnableDeadLetters stores undelivered messages as dead letters. It must be called before Run. If the store cannot be opened, the sender
// serves without it.
func (p *Program) EnableDeadLetters(t keep.Table) {
	log := withPart(p.log, "kept")
	store, err := keep.Open(p.stateDir, int64(t.MaxMB*1e6), int64(t.MaxAge))
	if err == nil {
		classOf := func(name string) (l kept.Class) {
			l.Known, l.Retriable, l.Keyed, l.Window = startup.ClassRetry(p.settings, name)
			return l
		}
		p.resender, err = keep.NewResender(log, store, t, p.engine, classOf, p.router.Healthy, p.router.Pending, p.router.Capacity(), p.pendingBeforeStart())
	}
	if err != nil {
		log.Error("nothing is kept", zap.Error(err))
		return
	}
	p.engine.OnDelivered, p.engine.OnNeverRan = p.resender.OnDelivered, p.resender.OnNeverRan
}

// onNoticesDelivered completes messages whose end the platform has acknowledged, after storing them as dead letters if that is on.
func (p *Program) onNoticesDelivered(us []relay.Undelivered) {
	if p.resender != nil {
		p.resender.Add(us)
	}
	for _, u := range us {
		p.engine.Complete(u.Msg)
	}
}

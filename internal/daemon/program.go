// Package daemon is one sender's process: it joins the parts and takes them through its phases.
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
	"ravenlink/internal/keep"
	"ravenlink/internal/kept"
	"ravenlink/internal/ordered"
	"ravenlink/internal/platform"
	"ravenlink/internal/recent"
	"ravenlink/internal/relay"
	"ravenlink/internal/routing"
	"ravenlink/internal/spool"
	"ravenlink/internal/startup"
	"ravenlink/internal/told"
	"ravenlink/internal/transport"
)

type phase uint8

// The program's phases, from start to exit.
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
	memoryShare = 0.7                     // of the limit, for the Go heap; the rest is files, stacks and sockets
	listPart    = 4                       // of the memory limit, one in so many is for the members of a list while it is read
	clientPart  = 2                       // of the descriptors, one in so many is for clients
	callPart    = 3                       // and one in so many for receivers; the rest is reserve
	idleShare   = 0.8                     // of the told idle time; older connections are not used
	doorsOpen   = 600 * time.Millisecond  // after SIGTERM: new connections come for a while
	picksEnd    = 2400 * time.Millisecond // after SIGTERM: no leg starts later
	drainEnd    = 3300 * time.Millisecond // after SIGTERM: we are gone before we are killed
	firstList   = 300 * time.Millisecond  // the agent answers at once, or discovery is down; clients wait a little longer for their answers
	glance      = 20 * time.Millisecond   // between looks whether all is done
	tallyEvery  = 10 * time.Second        // between lines of counts
)

// Program is one sender's process.
type Program struct {
	log      *zap.Logger
	env      func(string) string
	reload   <-chan os.Signal
	agent    *platform.Agent
	levels   *levels // nil without an operator's file
	opFile   string
	keeper   *keep.Keeper   // nil where nothing is kept
	fleet    *membership    // nil where there is none
	eraser   *eraser        // nil where it takes no orders
	rests    *backlog.Table // nil where the backlog is off; as the file has it
	ordered  *ordered.Host  // nil where there are no channels
	phase    phase          // changes in enter only
	clock    relay.Clock
	state    string // the folder that lasts
	disk     int64  // bytes that it may hold,
	room     int64  // and of them the spool
	settings gjson.Result
	spool    *spool.Spool
	router   *routing.Router
	pool     *transport.Pool
	server   *transport.Server
	ended    *recent.Memory
	notes    *transport.Datagrams // nil where senders may not write to one another

	engine    *relay.Engine
	front     *platform.Front
	calls     *platform.Calls
	notices   *platform.Notices
	discovery *platform.Discovery

	probeFor time.Duration // how long a probe may take
	listWait time.Duration // for the first list, before anything is sent
	probes   atomic.Int64
	work     sync.WaitGroup
}

// enter is the one place where the phase changes.
func (p *Program) enter(next phase) {
	p.log.Info("phase", zap.Stringer("from", p.phase), zap.Stringer("to", next))
	p.phase = next
}

// New reads the start file and opens all that a sender needs before it serves, with a backlog where there is a table of one.
func New(env func(string) string, log *zap.Logger, reload <-chan os.Signal, rests *backlog.Table) (*Program, error) {
	c, err := startup.Read(env)
	if err != nil {
		return nil, err
	}
	runtime.GOMAXPROCS(startup.Cores(c))
	debug.SetMemoryLimit(int64(memoryShare * float64(startup.Memory(c))))
	listen, discoveryAt := startup.Addresses(env, c)
	p := &Program{log: log.With(zap.String("sender", startup.Name(c))), env: env, reload: reload, agent: platform.NewAgent(discoveryAt),
		clock: relay.NewClock(), listWait: firstList}
	rests = p.fits(rests, startup.SpoolRoom(c), startup.Memory(c))
	if err := p.openSpool(startup.StateDir(env), startup.SpoolRoom(c), startup.Aside(c), rests); err != nil {
		return nil, err
	}
	settings := startup.Module(c)
	p.settings, p.state, p.disk, p.room = settings, startup.StateDir(env), startup.Disk(c), startup.SpoolRoom(c)
	up, idle := startup.Connections(settings)
	p.pool = transport.NewPool(up, time.Duration(idleShare*float64(idle)), startup.Sockets(c)/callPart)
	connections := part(p.log, "connections")
	p.pool.Closed = func(c transport.Closing) { logClosing(connections, c) }
	module := part(p.log, "module")
	p.router = routing.New(startup.Seed(c), settings, p.clock.Now, p.pool.CloseIdle, func(text string) { module.Info(text) })
	p.probeFor = up
	_, probeLoad := startup.Reports(settings)
	p.calls = platform.NewCalls(p.pool, p.clock, p.router, probeLoad)
	p.engine = relay.New(part(p.log, "messages"), p.clock, p.router, p.spool, p.calls)
	p.notices = platform.NewNotices(part(p.log, "notices"), p.agent, up, p.told)
	p.engine.Tell(p.notices)
	p.rememberEnds(startup.Memory(c))
	if rests != nil {
		p.engine.Rest(bounds(settings, rests), startup.KeepsOrder(settings), p.notices.Owed)
	}
	p.discovery = platform.NewDiscovery(part(p.log, "discovery"), p.router, p.agent, up, startup.Subscribes(settings),
		startup.Memory(c)/listPart)
	p.coldBefore()
	if err := p.discovery.Known(startup.Known(c), p.state, told.Room(p.disk)); err != nil {
		return nil, err
	}
	if startup.Notes(settings) {
		own, all, each := startup.Fellows(c)
		if p.notes, err = transport.OpenDatagrams(own, all, each); err != nil {
			return nil, err
		}
	}
	p.front = platform.NewFront(part(p.log, "clients"), p.engine)
	bounds := transport.BoundsFor(startup.Memory(c), startup.Sockets(c)/clientPart)
	if p.server, err = transport.Listen(listen, bounds.Connections, p.front.Serve); err != nil {
		return nil, err
	}
	p.server.LimitCommands(bounds.CommandBytes)
	return p, nil
}

// rememberEnds has the ends of messages remembered in the folder. Where it cannot be had, they are for as long as the process lives.
func (p *Program) rememberEnds(memory int64) {
	m, err := recent.Open(p.state, recent.Room(memory, p.disk))
	if err != nil {
		p.log.Warn("ended messages are remembered in this process alone", zap.Error(err))
	}
	p.ended = m
	retriable := map[string]bool{} // looked up at each end, so the settings are read once
	for _, lane := range startup.LaneNames(p.settings) {
		_, retriable[lane], _, _ = startup.Repeats(p.settings, lane)
	}
	p.engine.RememberEnds(m, func(lane string) bool { return retriable[lane] })
}

// openSpool opens the spool of a folder, in so many bytes less what is kept aside for other files.
func (p *Program) openSpool(dir string, most, aside int64, rests *backlog.Table) error {
	open, room := spool.Open, most-aside
	if rests != nil {
		open, room = spool.OpenBacklog, min(room, rests.Bytes())
	}
	s, notes, err := open(dir, room)
	for _, n := range notes {
		p.log.Warn("spool", zap.String("note", n))
	}
	p.spool = s
	return err
}

// Run takes the program through its phases; ending ctx drains it.
func (p *Program) Run(ctx context.Context) error {
	picking, stopPicking := context.WithCancel(context.Background())
	working, stopWorking := context.WithCancel(context.Background())
	defer stopWorking()
	defer stopPicking()
	asked := make(chan time.Time, 1) // to end; SIGKILL follows by that time, also where it came before serving
	defer context.AfterFunc(ctx, func() { asked <- time.Now() })()
	p.engine.Begin(picking, working)
	p.enter(recovering)
	if p.fleet != nil {
		p.goWork(func() { p.takePart(ctx, picking) })
	}
	p.start(working)
	p.engine.Load() // what rests is watched from here on
	p.discovery.Heard(p.listWait)
	if p.eraser != nil {
		p.eraser.await()
	}
	p.recover(picking)
	p.engine.Run()
	if p.keeper != nil {
		p.goWork(func() { p.keeper.Run(picking) })
	}
	p.enter(serving)
	p.goWork(func() {
		if err := p.server.Serve(working); err != nil {
			p.log.Error("clients", zap.Error(err))
		}
	})
	<-ctx.Done()
	p.enter(draining)
	p.drain(<-asked, stopPicking)
	stopPicking()
	stopWorking()
	p.close()
	p.enter(stopped)
	if p.keeper != nil {
		return errors.Join(p.keeper.Close(), p.spool.Close(), p.ended.Close())
	}
	return errors.Join(p.spool.Close(), p.ended.Close())
}

func (p *Program) goWork(f func()) {
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		f()
	}()
}

// start sets going all that does not depend on clients.
func (p *Program) start(working context.Context) {
	p.goWork(func() { p.router.Tick(working) })
	p.goWork(func() { p.notices.Run(working) })
	p.goWork(func() { p.discovery.Run(working) })
	p.goWork(func() { p.chores(working) })
	p.goWork(func() { p.reloads(working) })
	p.goWork(func() { p.count(working) })
	p.goWork(func() { p.keepCold(working) })
	if p.notes != nil {
		p.goWork(func() { p.notes.Receive(p.router.Noted) })
	}
}

// drain keeps on for a while, then lets go of the clients, then starts no more legs, then waits for those out. The ends count from
// when it was asked for; the doors stay open from now on, for who waits at them while a sender recovers.
func (p *Program) drain(begun time.Time, stopPicking context.CancelFunc) {
	if p.ordered != nil {
		p.ordered.Leave()
	}
	p.until(time.Now().Add(doorsOpen), func() bool { return false })
	var gone atomic.Bool // the clients
	p.goWork(func() {
		p.server.Close()
		gone.Store(true)
	})
	told := func() bool { return p.notices.Owed() == 0 } // looked at last: what ends meanwhile has its notice there
	p.until(begun.Add(picksEnd), func() bool { return gone.Load() && p.engine.Owed() == 0 && told() })
	stopPicking()
	p.until(begun.Add(drainEnd), func() bool { return gone.Load() && p.engine.Out() == 0 && told() })
}

// until waits for a moment, or until all is done.
func (p *Program) until(end time.Time, done func() bool) {
	look := time.NewTicker(glance)
	defer look.Stop()
	for time.Now().Before(end) && !done() {
		<-look.C
	}
}

func (p *Program) close() {
	if p.notes != nil {
		p.notes.Close()
	}
	p.server.Cut()
	p.server.Close()
	p.engine.Wait()
	p.pool.Close()
	p.notices.Close()
	p.work.Wait()
}

// count writes a line of counts now and then.
func (p *Program) count(ctx context.Context) {
	every := time.NewTicker(tallyEvery)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			p.countLine()
			return
		case <-every.C:
			p.countLine()
		}
	}
}

// operated has the operator's file read again at each reload.
func (p *Program) operated(file string, ls *levels) { p.opFile, p.levels = file, ls }

// Keep has what ends undelivered kept. It comes before Run. A store that cannot be had keeps nobody from serving.
func (p *Program) Keep(t keep.Table) {
	log := part(p.log, "kept")
	store, err := keep.Open(p.state, int64(t.MostMB*1e6), int64(t.Age))
	if err == nil {
		lanes := func(name string) kept.Lane { return KeptLane(p.settings, name) }
		p.keeper, err = keep.NewKeeper(log, store, t, p.engine, lanes, p.router.Healthy, p.router.Owed, p.router.Room(), p.spool.Owes)
	}
	if err != nil {
		log.Error("nothing is kept", zap.Error(err))
		return
	}
	p.engine.Delivered, p.engine.Proven, p.engine.SentByKeeper = p.keeper.Delivered, p.keeper.Proven, p.keeper.Sent
	p.keeper.OwedAgain = func(channel string) bool { return p.ordered == nil || p.ordered.OwedAgain(channel) }
}

// KeptLane gives what the settings allow for kept messages of a traffic class.
func KeptLane(settings gjson.Result, name string) (l kept.Lane) {
	l.Known, l.Retriable, l.Keyed, l.Window = startup.Repeats(settings, name)
	return l
}

// told lets go of messages of whose end the platform knows, once they are kept where that is wanted.
func (p *Program) told(us []relay.Undelivered) {
	if p.keeper != nil {
		p.keeper.Keep(us)
	}
	for _, u := range us {
		p.engine.Over(u.Msg)
	}
}

package fleettest

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ravenlink/internal/fleet"
	"ravenlink/internal/links"
	"ravenlink/internal/members"
	"ravenlink/internal/purge"
	"ravenlink/internal/routing"
	"ravenlink/internal/spool"
	"ravenlink/internal/verdicts"
)

const (
	wholeFleet  = 99_000 // destinations
	limitedOne  = 100    // one destination in this has a declared limit, where limits are wanted
	limitPerSec = 2      // calls a second of each of those
	downOf      = 1000   // of so many destinations
	downParts   = 15     // so many are down
	countLines  = 64     // lines of counts that are kept, and texts of warnings
	ordersDst   = 1_000_000
)

// limited and down say which destinations have a limit and which are down, where messages go there at all. None is both.
func limited(dst int64) bool { return dst%limitedOne == limitedOne/2 }
func down(dst int64) bool    { return dst%downOf < downParts }

// Place is a sender of the fleet and where it is heard.
type Place struct{ Name, Addr string }

// Wants says what of a fleet's runtime is on. The zero value has all but limits.
type Wants struct {
	EachLimited bool // every destination that is drawn has a limit: the planted fault
	Destination int  // so many are drawn from; wholeFleet if 0
	Lacking     int  // so many of the first senders do not list the last one
	Silent      bool // the drivers make messages, and nobody is told of them
}

func (w Wants) destinations() int64 {
	if w.Destination == 0 {
		return wholeFleet
	}
	return int64(w.Destination)
}

// declared lists the limits that every operator's file of the fleet has.
func (w Wants) declared() (all []fleet.Declared) {
	for dst := range w.destinations() {
		if w.EachLimited || limited(dst) {
			all = append(all, fleet.Declared{Dst: dst, PerSec: limitPerSec})
		}
	}
	return all
}

// tableOf is a sender's `[fleet]`, with all parts on and settings left out that may be.
func tableOf(listed []Place, self Place, limits []fleet.Declared) fleet.Table {
	orders := int64(ordersDst)
	t := fleet.Table{Name: "east", Self: self.Name, Listen: self.Addr, Orders: &orders, Tenants: []fleet.Tenant{{Name: "acme", Dst: []int64{7}}},
		Limits: &fleet.Limits{Declared: limits}, Verdicts: &fleet.Verdicts{}, Channels: &fleet.Channels{}}
	for _, p := range listed {
		if p != self {
			t.Peers = append(t.Peers, links.PeerTable{Name: p.Name, Address: p.Addr})
		}
	}
	t.Fill()
	return t
}

// Hollow is a sender without clients, receivers and decisions: its runtime, log, links and parts are the real ones.
type Hollow struct {
	Place
	dir    string
	table  fleet.Table
	Lines  *lines
	Driver *driver
	stop   func()
}

// NewHollow makes one whose folder is below dir.
func NewHollow(p Place, dir string, t fleet.Table, w Wants, seed uint64) *Hollow {
	h := &Hollow{Place: p, dir: filepath.Join(dir, p.Name), table: t, Lines: &lines{members: map[string]string{}, bad: map[string]int{}}}
	h.Driver = newDriver(w, seed)
	return h
}

// Start opens the runtime and has it and the driver run until Stop.
func (h *Hollow) Start() error {
	var faults []string
	h.table.Check(func(setting, what string) { faults = append(faults, setting+": "+what) })
	if len(faults) > 0 {
		return fmt.Errorf("%s: %s", h.Name, strings.Join(faults, "; "))
	}
	if err := os.MkdirAll(h.dir, 0o700); err != nil {
		return err
	}
	r, err := fleet.Open(h.table, h.dir, zap.New(h.Lines), h.Driver)
	if err != nil {
		return err
	}
	if err := r.TakeOrders(noMessages{}); err != nil {
		return err
	}
	channels, err := h.table.Order(zap.New(h.Lines), noEngine{}, 100_000)
	if err != nil {
		return err
	}
	r.Order(channels)
	if _, err := channels.Host.Restore(nil); err != nil {
		return err
	}
	h.run(r, channels.Host.Run)
	return nil
}

// run has the channels' host end before the runtime.
func (h *Hollow) run(r *fleet.Runtime, channels func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { r.Run(ctx) })
	running.Go(func() { channels(ctx) })
	running.Go(func() { h.Driver.run(ctx, h.Driver.tells(r)) })
	h.stop = func() { cancel(); running.Wait() }
}

// Stop has it leave the fleet.
func (h *Hollow) Stop() {
	if h.stop != nil {
		h.stop()
		h.stop = nil
	}
}

// noMessages stands for the sender's messages, of which there are none: orders erase nothing and channels hold nothing.
type noMessages struct{}

func (noMessages) Mark() int64                               { return 0 }
func (noMessages) Refuse([]fleet.Cuts)                       {}
func (noMessages) Recall(fleet.Tenant, int64) (int64, int64) { return 0, 0 }
func (noMessages) Erase(fleet.Tenant, purge.Kinds, int64) (purge.Counts, error) {
	return purge.Counts{}, nil
}
func (noMessages) Holds(fleet.Tenant, purge.Kinds, int64) (int64, error) { return 0, nil }
func (noMessages) Post(purge.Notice) error                               { return nil }

// noEngine stands for the relay's engine.
type noEngine struct{}

func (noEngine) Now() int64                   { return time.Since(began).Microseconds() + 1 }
func (noEngine) Holds(string) bool            { return false }
func (noEngine) Keep(*spool.Message) error    { return nil }
func (noEngine) Await(*spool.Message)         {}
func (noEngine) Over(*spool.Message)          {}
func (noEngine) Resume(*spool.Message)        {}
func (noEngine) GiveUp(*spool.Message, int64) {}
func (noEngine) Abandon(string, int64)        {}

var began = time.Now()

// lines takes a sender's log in: the newest lines of counts, each member's newest state, and how often anything was wrong.
type lines struct {
	mu      sync.Mutex
	members map[string]string // by name; as many as are listed
	counts  []countLine
	bad     map[string]int // by text, of warnings and errors: so many texts at most
}

type countLine struct {
	at time.Time
	of map[string]float64
}

func (l *lines) Enabled(z zapcore.Level) bool      { return z >= zap.InfoLevel }
func (l *lines) With([]zapcore.Field) zapcore.Core { return l }
func (l *lines) Sync() error                       { return nil }
func (l *lines) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if l.Enabled(e.Level) {
		return c.AddCore(e, l)
	}
	return c
}

func (l *lines) Write(e zapcore.Entry, fields []zapcore.Field) error {
	text := zapcore.NewMapObjectEncoder()
	for _, f := range fields {
		f.AddTo(text)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case e.Message == "counts":
		of := map[string]float64{}
		for name, v := range text.Fields {
			if n, is := v.(float64); is && !strings.HasPrefix(name, "state_") {
				of[name] = n
			}
		}
		if l.counts = append(l.counts, countLine{e.Time, of}); len(l.counts) > countLines {
			l.counts = l.counts[1:]
		}
	case e.Message == "member":
		l.members[fmt.Sprint(text.Fields["name"])] = fmt.Sprintf("%v %v", text.Fields["state"], text.Fields["incarnation"])
	case e.Level >= zap.WarnLevel && len(l.bad) < countLines:
		l.bad[e.Message+fmt.Sprint(" ", text.Fields["cause"], text.Fields["error"])]++
	}
	return nil
}

// sees tells whether each of these is in a state at a sender.
func (l *lines) sees(state members.State, all []Place) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range all {
		if is, _, _ := strings.Cut(l.members[p.Name], " "); is != state.String() {
			return false
		}
	}
	return true
}

// incarnation is the newest one of a member that was told.
func (l *lines) incarnation(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, n, _ := strings.Cut(l.members[name], " ")
	return n
}

// last is the newest line of counts.
func (l *lines) last() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.counts) == 0 {
		return nil
	}
	return l.counts[len(l.counts)-1].of
}

// between gives what counts grew by a second, from the first line after one time to the last before another.
func (l *lines) between(from, to time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var first, last *countLine
	for i := range l.counts {
		c := &l.counts[i]
		if first == nil && !c.at.Before(from) {
			first = c
		}
		if !c.at.After(to) {
			last = c
		}
	}
	if first == nil || last == nil || !last.at.After(first.at) {
		return nil
	}
	grew, span := map[string]float64{}, last.at.Sub(first.at).Seconds()
	for name, v := range last.of {
		grew[name] = (v - first.of[name]) / span
	}
	return grew
}

// Shared, Told and Floor are the module's ears: the driver heeds shares of nothing and what others saw down, as a sender's decisions would.
func (d *driver) Shared(dst int64, perSec float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if perSec == 0 {
		d.held[dst] = true
	} else {
		delete(d.held, dst)
	}
}

func (d *driver) Floor(float64) {}

func (d *driver) Told(_ string, v routing.Sight) {
	if v.Kind == routing.SeenDown {
		d.know(v.Dst, time.Duration(verdicts.GreatestDown-v.Age)*time.Microsecond)
	}
}

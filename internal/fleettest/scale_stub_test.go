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
	totalDestinations = 99_000 // of the whole deployment
	limitedEvery      = 100    // one destination of this many has a declared limit
	limitPerSec       = 2      // declared limit of each of those, in calls per second
	downGroup         = 1000   // of this many destinations
	downPerGroup      = 15     // this many are down
	maxLogRecords     = 64     // counts records kept, and distinct texts of warnings
	ordersDestination = 1_000_000
)

// isLimited and isDown tell which destinations have a limit and which are down; none is both.
func isLimited(dst int64) bool { return dst%limitedEvery == limitedEvery/2 }
func isDown(dst int64) bool    { return dst%downGroup < downPerGroup }

// PeerAddr is the name of a sender and the address it listens on for peers.
type PeerAddr struct{ Name, Addr string }

// StubOptions configures the stub senders of a fleet. The zero value is the normal configuration.
type StubOptions struct {
	EachLimited bool // every destination in use has a limit, which is the deliberate fault of TestScaleInShort
	Destination int  // number of destinations in use; totalDestinations if 0
	Lacking     int  // this many of the first senders do not list the last one
	Silent      bool // drivers hand in messages but do not report them to the runtime
}

func (opts StubOptions) destinationCount() int64 {
	if opts.Destination == 0 {
		return totalDestinations
	}
	return int64(opts.Destination)
}

// declaredLimits lists the limits that all operator's files of the fleet declare.
func (opts StubOptions) declaredLimits() (all []fleet.Declared) {
	for dst := range opts.destinationCount() {
		if opts.EachLimited || isLimited(dst) {
			all = append(all, fleet.Declared{Dst: dst, PerSec: limitPerSec})
		}
	}
	return all
}

// fleetTable is the `[fleet]` table of a sender, with all features enabled and optional settings at their defaults.
func fleetTable(peers []PeerAddr, self PeerAddr, limits []fleet.Declared) fleet.Table {
	orders := int64(ordersDestination)
	table := fleet.Table{Name: "east", Self: self.Name, Listen: self.Addr, Orders: &orders, Tenants: []fleet.Tenant{{Name: "acme", Dst: []int64{7}}},
		Limits: &fleet.Limits{Declared: limits}, Verdicts: &fleet.Verdicts{}, Channels: &fleet.Channels{}}
	for _, p := range peers {
		if p != self {
			table.Peers = append(table.Peers, links.PeerTable{Name: p.Name, Address: p.Addr})
		}
	}
	table.SetDefaults()
	return table
}

// StubSender is a sender without clients, receivers and routing. Its fleet runtime, log, links and features are the real ones.
type StubSender struct {
	PeerAddr
	dir     string
	table   fleet.Table
	Records *logRecorder
	Driver  *driver
	stop    func()
}

// NewStubSender returns a sender with a state folder below dir.
func NewStubSender(p PeerAddr, dir string, t fleet.Table, opts StubOptions, seed uint64) *StubSender {
	h := &StubSender{PeerAddr: p, dir: filepath.Join(dir, p.Name), table: t, Records: &logRecorder{members: map[string]string{}, problems: map[string]int{}}}
	h.Driver = newDriver(opts, seed)
	return h
}

// Start opens the fleet runtime and runs it and the driver until Stop.
func (h *StubSender) Start() error {
	var faults []string
	h.table.Validate(func(setting, what string) { faults = append(faults, setting+": "+what) })
	if len(faults) > 0 {
		return fmt.Errorf("%s: %s", h.Name, strings.Join(faults, "; "))
	}
	if err := os.MkdirAll(h.dir, 0o700); err != nil {
		return err
	}
	r, err := fleet.Open(h.table, h.dir, zap.New(h.Records), h.Driver)
	if err != nil {
		return err
	}
	if err := r.EnablePurging(noMessageStore{}); err != nil {
		return err
	}
	channels, _, err := r.EnableChannels(noEngine{}, 100_000)
	if err != nil {
		return err
	}
	if _, err := channels.Restore(nil); err != nil {
		return err
	}
	h.run(r, channels.Run)
	return nil
}

// run starts the runtime, the channels and the driver, and sets stop to end them and wait for them.
func (h *StubSender) run(r *fleet.Runtime, channels func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { r.Run(ctx) })
	running.Go(func() { channels(ctx) })
	running.Go(func() { h.Driver.run(ctx, h.Driver.target(r)) })
	h.stop = func() { cancel(); running.Wait() }
}

// Stop makes the sender leave the fleet and waits for its end.
func (h *StubSender) Stop() {
	if h.stop != nil {
		h.stop()
		h.stop = nil
	}
}

// noMessageStore replaces the sender's message store and is always empty: purge orders erase nothing and channels hold nothing.
type noMessageStore struct{}

func (noMessageStore) NextCutoff() int64                         { return 0 }
func (noMessageStore) SetCutoffs([]fleet.Cutoffs)                {}
func (noMessageStore) Recall(fleet.Tenant, int64) (int64, int64) { return 0, 0 }
func (noMessageStore) Erase(fleet.Tenant, purge.Kinds, int64) (purge.Counts, error) {
	return purge.Counts{}, nil
}
func (noMessageStore) CountMatching(fleet.Tenant, purge.Kinds, int64) (int64, error) { return 0, nil }
func (noMessageStore) Post(purge.Notice) error                                       { return nil }

// noEngine replaces the relay's engine.
type noEngine struct{}

func (noEngine) Now() int64                          { return time.Since(processStart).Microseconds() + 1 }
func (noEngine) IsActive(string) bool                { return false }
func (noEngine) Store(*spool.Message) error          { return nil }
func (noEngine) Complete(*spool.Message)             {}
func (noEngine) Resume(*spool.Message)               {}
func (noEngine) AbandonStored(*spool.Message, int64) {}
func (noEngine) Abandon(string, int64)               {}

var processStart = time.Now()

// logRecorder records from a sender's log the newest counts, the newest state of each member, and the number of warnings and errors.
type logRecorder struct {
	mu       sync.Mutex
	members  map[string]string // state and incarnation by name; bounded by the number of listed senders
	counts   []countsRecord
	problems map[string]int // warnings and errors by text; at most maxLogRecords texts
}

type countsRecord struct {
	at     time.Time
	values map[string]float64
}

func (l *logRecorder) Enabled(z zapcore.Level) bool      { return z >= zap.InfoLevel }
func (l *logRecorder) With([]zapcore.Field) zapcore.Core { return l }
func (l *logRecorder) Sync() error                       { return nil }
func (l *logRecorder) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if l.Enabled(e.Level) {
		return c.AddCore(e, l)
	}
	return c
}

func (l *logRecorder) Write(e zapcore.Entry, fields []zapcore.Field) error {
	encoder := zapcore.NewMapObjectEncoder()
	for _, f := range fields {
		f.AddTo(encoder)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case e.Message == "counts":
		values := map[string]float64{}
		for name, v := range encoder.Fields {
			if n, is := v.(float64); is && !strings.HasPrefix(name, "state_") {
				values[name] = n
			}
		}
		if l.counts = append(l.counts, countsRecord{e.Time, values}); len(l.counts) > maxLogRecords {
			l.counts = l.counts[1:]
		}
	case e.Message == "member":
		l.members[fmt.Sprint(encoder.Fields["name"])] = fmt.Sprintf("%v %v", encoder.Fields["state"], encoder.Fields["incarnation"])
	case e.Level >= zap.WarnLevel && len(l.problems) < maxLogRecords:
		l.problems[e.Message+fmt.Sprint(" ", encoder.Fields["cause"], encoder.Fields["error"])]++
	}
	return nil
}

// sees reports whether the sender sees all given peers in a state.
func (l *logRecorder) sees(state members.State, all []PeerAddr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range all {
		if current, _, _ := strings.Cut(l.members[p.Name], " "); current != state.String() {
			return false
		}
	}
	return true
}

// incarnation is the newest logged incarnation of a member.
func (l *logRecorder) incarnation(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, n, _ := strings.Cut(l.members[name], " ")
	return n
}

// lastCounts is the newest counts record.
func (l *logRecorder) lastCounts() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.counts) == 0 {
		return nil
	}
	return l.counts[len(l.counts)-1].values
}

// ratesBetween returns the growth of all counts per second, from the first record after one time to the last before another.
func (l *logRecorder) ratesBetween(from, to time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var first, last *countsRecord
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
	rates, seconds := map[string]float64{}, last.at.Sub(first.at).Seconds()
	for name, v := range last.values {
		rates[name] = (v - first.values[name]) / seconds
	}
	return rates
}

// SetLease, SetRetryFloor and ReceiveObservation are called by the fleet runtime. Like the routing module, the driver holds back messages to
// destinations of whose limit it has no share or which other senders have seen down.
func (d *driver) SetLease(dst int64, perSec float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if perSec == 0 {
		d.withoutLease[dst] = true
	} else {
		delete(d.withoutLease, dst)
	}
}

func (d *driver) SetRetryFloor(float64) {}

func (d *driver) ReceiveObservation(_ string, v routing.Observation) {
	if v.Kind == routing.ObservedDown {
		d.markDown(v.Dst, time.Duration(verdicts.MaxAgeDown-v.Age)*time.Microsecond)
	}
}

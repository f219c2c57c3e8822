package fleet

import (
	"encoding/binary"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"ravenlink/internal/fleetlog"
	"ravenlink/internal/links"
	"ravenlink/internal/members"
	"ravenlink/internal/post"
	"ravenlink/internal/ranked"
	"ravenlink/internal/routing"
	"ravenlink/internal/verdicts"
)

const (
	syncCallsPerSec    = 20         // calls per second while a joiner syncs with the others
	snapshotInterval   = 10_000_000 // µs between two snapshots of verdicts in the folder
	snapshotVersion    = 1          // format version of a snapshot's records
	snapshotChunkBytes = 24 << 10   // bytes of a snapshot in one record
)

var verdictsKey = Key("verdicts")

// verdictExchange shares observations of destinations between the senders of the fleet.
type verdictExchange struct {
	r           *Runtime
	mu          *ranked.Mutex
	table       *verdicts.Table
	syncing     atomic.Bool
	syncLimiter *rate.Limiter

	snapshotAt int64 // used only by the verdicts' worker
}

func newVerdictExchange(r *Runtime) *verdictExchange {
	t, limits := verdicts.Defaults()
	limits.BytesPerSec = r.table.Verdicts.BytesPerSec
	h := &verdictExchange{r: r, mu: ranked.New(ranked.Verdicts, "verdicts"), table: verdicts.New(r.table.Self, r.id.Incarnation, t, limits),
		syncLimiter: rate.NewLimiter(syncCallsPerSec, syncCallsPerSec)}
	h.syncing.Store(true)
	h.restore()
	return h
}

func (h *verdictExchange) Kind() links.Kind { return links.Verdicts }

func (h *verdictExchange) Receive(from string, f links.Frame) error {
	m, err := verdicts.Decode(f.Body)
	if err != nil {
		return err
	}
	receivedAt := h.r.now()
	h.r.pool.Submit(verdictsKey, func() {
		h.mu.Lock()
		now := h.r.now()
		facts, messages := h.table.ReceiveWithin(now, f.Age+now-receivedAt, from, m)
		facts = slices.DeleteFunc(facts, func(f verdicts.Fact) bool { return !h.applies(now, f) })
		h.mu.Unlock()
		send(h.r, links.Verdicts, messages)
		for _, f := range facts {
			h.deliver(f)
		}
	})
	return nil
}

// applies reports whether a received fact is in force here, not hidden by this sender's own observation.
func (h *verdictExchange) applies(now int64, f verdicts.Fact) bool {
	if f.Origin == h.r.table.Self {
		return false
	}
	return slices.ContainsFunc(h.table.Facts(now, f.Subject), func(o verdicts.Fact) bool {
		return o.Origin == f.Origin && o.Kind == f.Kind && o.Version == f.Version
	})
}

// deliver passes a fact to the module, which weighs it by its age. The age passed is the upper bound.
func (h *verdictExchange) deliver(f verdicts.Fact) {
	v := routing.Observation{Dst: f.Dst, Age: f.Age + f.Slack}
	switch f.Kind {
	case verdicts.Down:
		v.Kind = routing.ObservedDown
	case verdicts.Recovered:
		v.Kind, v.Warm = routing.ObservedRecovery, f.Value
	case verdicts.RetryAfter:
		v.Kind, v.RetryAfter = routing.ObservedRetryAfter, f.Remaining()
	case verdicts.Limit:
		v.Kind, v.PerSec = routing.ObservedLimit, f.Value
	case verdicts.ConnsScarce:
		v.Kind = routing.ObservedConnShortage
	default:
		return
	}
	h.r.metrics.observations.Inc()
	h.r.module.ReceiveObservation(f.Receiver, v)
}

// report shares an observation of this sender's module with the others.
func (h *verdictExchange) report(receiver string, v routing.Observation) {
	f := verdicts.Fact{Subject: verdicts.Subject{Dst: v.Dst, Receiver: receiver}, Age: v.Age}
	switch v.Kind {
	case routing.ObservedDown:
		f.Kind = verdicts.Down
	case routing.ObservedRecovery:
		f.Kind, f.Value = verdicts.Recovered, min(max(v.Warm, 0), 1)
	case routing.ObservedRetryAfter:
		f.Kind, f.Duration = verdicts.RetryAfter, v.RetryAfter
	case routing.ObservedLimit:
		f.Kind, f.Value = verdicts.Limit, v.PerSec
	case routing.ObservedConnShortage:
		f.Kind = verdicts.ConnsScarce
	}
	h.r.pool.Submit(verdictsKey, func() {
		h.update(func(now int64) []post.PeerMessage[verdicts.Msg] { return h.table.Observe(now, f) })
	})
}

func (h *verdictExchange) update(event func(now int64) []post.PeerMessage[verdicts.Msg]) {
	h.mu.Lock()
	messages := event(h.r.now())
	h.mu.Unlock()
	send(h.r, links.Verdicts, messages)
}

func (h *verdictExchange) Tick() {
	h.r.pool.Submit(verdictsKey, func() {
		now := h.r.now()
		h.update(h.table.Tick)
		h.mu.Lock()
		syncing := h.table.Syncing(now)
		h.mu.Unlock()
		h.syncing.Store(syncing)
		if now >= h.snapshotAt+snapshotInterval {
			h.snapshotAt = now
			h.saveSnapshot(now)
		}
	})
}

// allows limits a joiner to a low rate of calls until it has synced.
func (h *verdictExchange) allows() bool { return !h.syncing.Load() || h.syncLimiter.Allow() }

func (h *verdictExchange) UpdateMembers(now int64, v members.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.SetView(now, v)
}

func (h *verdictExchange) Leave(now int64) { h.saveSnapshot(now) }

// saveSnapshot writes a snapshot with the wall-clock time, split into records of a few pages. Records left over from a
// longer snapshot are deleted.
func (h *verdictExchange) saveSnapshot(now int64) {
	h.mu.Lock()
	snapshot, err := h.table.Snapshot(now)
	h.mu.Unlock()
	if err == nil {
		err = h.writeSnapshot(append(binary.BigEndian.AppendUint64(nil, uint64(time.Now().UnixMicro())), snapshot...))
	}
	if err != nil {
		h.r.metrics.snapshotFailures.Inc()
		h.r.log.Debug("verdicts not remembered", zap.Error(err))
	}
}

func snapshotKey(i int) string { return fmt.Sprintf("snapshot %04d", i) }

func (h *verdictExchange) writeSnapshot(snapshot []byte) error {
	var rs []fleetlog.Record
	for chunk := range slices.Chunk(snapshot, snapshotChunkBytes) {
		rs = append(rs, fleetlog.Record{Bucket: fleetlog.Verdicts, Key: snapshotKey(len(rs)), Version: snapshotVersion, Value: chunk})
	}
	var stale []string
	err := h.r.store.Each(fleetlog.Verdicts, func(r fleetlog.Record) error {
		if r.Key >= snapshotKey(len(rs)) {
			stale = append(stale, r.Key)
		}
		return nil
	})
	if err == nil && len(stale) > 0 {
		err = h.r.store.Delete(fleetlog.Verdicts, stale...)
	}
	if err != nil {
		return err
	}
	return h.r.store.Put(rs...)
}

// restore loads the snapshot of an earlier process. One that is of another format, corrupt or too old is ignored.
func (h *verdictExchange) restore() {
	var snapshot []byte
	err := h.r.store.Each(fleetlog.Verdicts, func(r fleetlog.Record) error {
		if r.Version != snapshotVersion {
			return fmt.Errorf("snapshot of verdicts has format %d, supported is %d", r.Version, snapshotVersion)
		}
		snapshot = append(snapshot, r.Value...)
		return nil
	})
	if err == nil && len(snapshot) > 8 {
		downFor := time.Now().UnixMicro() - int64(binary.BigEndian.Uint64(snapshot))
		var n int
		n, err = h.table.Restore(h.r.now(), snapshot[8:], downFor)
		h.r.log.Info("verdicts remembered", zap.Int("count", n), zap.Duration("age", time.Duration(downFor)*time.Microsecond))
	}
	if err != nil {
		h.r.log.Warn("verdicts of an earlier start", zap.Error(err))
	}
}

// forget removes all facts on destinations whose data was purged, in the folder too.
func (h *verdictExchange) forget(dsts []int64) (n int64, err error) {
	h.mu.Lock()
	now := h.r.now()
	n = int64(h.table.Forget(now, dsts...))
	h.mu.Unlock()
	var keys []string
	err = h.r.store.Each(fleetlog.Verdicts, func(r fleetlog.Record) error {
		keys = append(keys, r.Key)
		return nil
	})
	if err == nil {
		err = h.r.store.Wipe(fleetlog.Verdicts, keys...) // written again with the next snapshot
	}
	return n, err
}

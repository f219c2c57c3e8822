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
	trickle      = 20         // calls a second while a joiner learns what the others know
	rememberGap  = 10_000_000 // µs between two snapshots of verdicts in the folder
	snapshotForm = 1          // of the records that hold one
	snapshotPart = 24 << 10   // bytes of a snapshot in one record
)

var hearsayKey = Key("verdicts")

// hearsay has what the senders of the fleet saw of destinations.
type hearsay struct {
	r        *Runtime
	mu       *ranked.Mutex
	table    *verdicts.Table
	learning atomic.Bool
	slowly   *rate.Limiter

	rememberAt int64 // of the verdicts' worker alone
}

func newHearsay(r *Runtime) *hearsay {
	t, room := verdicts.Usual()
	room.Rate = r.table.Verdicts.BytesPerSec
	h := &hearsay{r: r, mu: ranked.New(ranked.Verdicts, "verdicts"), table: verdicts.New(r.table.Self, r.id.Incarnation, t, room),
		slowly: rate.NewLimiter(trickle, trickle)}
	h.learning.Store(true)
	h.restore()
	return h
}

func (h *hearsay) Kind() links.Kind { return links.Verdicts }

func (h *hearsay) Hear(from string, f links.Frame) error {
	m, err := verdicts.Decode(f.Body)
	if err != nil {
		return err
	}
	came := h.r.now()
	h.r.pool.Do(hearsayKey, func() {
		h.mu.Lock()
		now := h.r.now()
		news, letters := h.table.HeardWithin(now, f.Age+now-came, from, m)
		news = slices.DeleteFunc(news, func(f verdicts.Fact) bool { return !h.stands(now, f) })
		h.mu.Unlock()
		send(h.r, links.Verdicts, letters)
		for _, f := range news {
			h.tell(f)
		}
	})
	return nil
}

// stands tells whether a fact that came counts here and no own sight hides it.
func (h *hearsay) stands(now int64, f verdicts.Fact) bool {
	if f.Origin == h.r.table.Self {
		return false
	}
	return slices.ContainsFunc(h.table.Of(now, f.Subject), func(o verdicts.Fact) bool {
		return o.Origin == f.Origin && o.Kind == f.Kind && o.Version == f.Version
	})
}

// tell passes a fact on to the module, which weighs it by its age. The age told is the greatest that it may have.
func (h *hearsay) tell(f verdicts.Fact) {
	v := routing.Sight{Dst: f.Dst, Age: f.Age + f.Slack}
	switch f.Kind {
	case verdicts.Down:
		v.Kind = routing.SeenDown
	case verdicts.Back:
		v.Kind, v.Warm = routing.SeenBack, f.Level
	case verdicts.Wait:
		v.Kind, v.Wait = routing.SeenWait, f.Left()
	case verdicts.Limit:
		v.Kind, v.PerSec = routing.SeenLimit, f.Level
	case verdicts.Scarce:
		v.Kind = routing.SeenScarce
	default:
		return
	}
	h.r.counts.news.Inc()
	h.r.module.Told(f.Receiver, v)
}

// saw has the others told what this sender's module saw.
func (h *hearsay) saw(receiver string, v routing.Sight) {
	f := verdicts.Fact{Subject: verdicts.Subject{Dst: v.Dst, Receiver: receiver}, Age: v.Age}
	switch v.Kind {
	case routing.SeenDown:
		f.Kind = verdicts.Down
	case routing.SeenBack:
		f.Kind, f.Level = verdicts.Back, min(max(v.Warm, 0), 1)
	case routing.SeenWait:
		f.Kind, f.For = verdicts.Wait, v.Wait
	case routing.SeenLimit:
		f.Kind, f.Level = verdicts.Limit, v.PerSec
	case routing.SeenScarce:
		f.Kind = verdicts.Scarce
	}
	h.r.pool.Do(hearsayKey, func() {
		h.turn(func(now int64) []post.Letter[verdicts.Msg] { return h.table.Own(now, f) })
	})
}

func (h *hearsay) turn(event func(now int64) []post.Letter[verdicts.Msg]) {
	h.mu.Lock()
	letters := event(h.r.now())
	h.mu.Unlock()
	send(h.r, links.Verdicts, letters)
}

func (h *hearsay) Tick() {
	h.r.pool.Do(hearsayKey, func() {
		now := h.r.now()
		h.turn(h.table.Tick)
		h.mu.Lock()
		learning := h.table.Learning(now)
		h.mu.Unlock()
		h.learning.Store(learning)
		if now >= h.rememberAt+rememberGap {
			h.rememberAt = now
			h.remember(now)
		}
	})
}

// lets holds a joiner to a trickle until it has learned.
func (h *hearsay) lets() bool { return !h.learning.Load() || h.slowly.Allow() }

func (h *hearsay) Seen(now int64, v members.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.View(now, v)
}

func (h *hearsay) Leave(now int64) { h.remember(now) }

// remember writes a snapshot with the wall time down, in records of a few pages. Of an older one that was longer no part stays.
func (h *hearsay) remember(now int64) {
	h.mu.Lock()
	whole, err := h.table.Snapshot(now)
	h.mu.Unlock()
	if err == nil {
		err = h.write(append(binary.BigEndian.AppendUint64(nil, uint64(time.Now().UnixMicro())), whole...))
	}
	if err != nil {
		h.r.counts.unwritten.Inc()
		h.r.log.Debug("verdicts not remembered", zap.Error(err))
	}
}

func partName(i int) string { return fmt.Sprintf("snapshot %04d", i) }

func (h *hearsay) write(whole []byte) error {
	var rs []fleetlog.Record
	for part := range slices.Chunk(whole, snapshotPart) {
		rs = append(rs, fleetlog.Record{Bucket: fleetlog.Verdicts, Key: partName(len(rs)), Version: snapshotForm, Value: part})
	}
	var past []string
	err := h.r.store.Each(fleetlog.Verdicts, func(r fleetlog.Record) error {
		if r.Key >= partName(len(rs)) {
			past = append(past, r.Key)
		}
		return nil
	})
	if err == nil && len(past) > 0 {
		err = h.r.store.Delete(fleetlog.Verdicts, past...)
	}
	if err != nil {
		return err
	}
	return h.r.store.Put(rs...)
}

// restore takes up the snapshot of an earlier process. One that is of another form, torn or too old counts for nothing.
func (h *hearsay) restore() {
	var whole []byte
	err := h.r.store.Each(fleetlog.Verdicts, func(r fleetlog.Record) error {
		if r.Version != snapshotForm {
			return fmt.Errorf("snapshot of verdicts in form %d, this is %d", r.Version, snapshotForm)
		}
		whole = append(whole, r.Value...)
		return nil
	})
	if err == nil && len(whole) > 8 {
		downFor := time.Now().UnixMicro() - int64(binary.BigEndian.Uint64(whole))
		var n int
		n, err = h.table.Restore(h.r.now(), whole[8:], downFor)
		h.r.log.Info("verdicts remembered", zap.Int("count", n), zap.Duration("age", time.Duration(downFor)*time.Microsecond))
	}
	if err != nil {
		h.r.log.Warn("verdicts of an earlier start", zap.Error(err))
	}
}

// forget has nothing left of destinations whose data was purged, in the folder neither.
func (h *hearsay) forget(dsts []int64) (n int64, err error) {
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
		err = h.r.store.Wipe(fleetlog.Verdicts, keys...) // written anew at the next snapshot
	}
	return n, err
}

package keep

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"ravenlink/internal/kept"
	"ravenlink/internal/relay"
	"ravenlink/internal/routing"
	"ravenlink/internal/spool"
	"ravenlink/internal/strict"
)

// Table is the table `kept` of the operator's file. Dead letters are stored if the table is present.
type Table struct {
	MaxMB  float64         `toml:"most_mb"` // size limit of the store
	MaxAge strict.Duration `toml:"age"`     // after which a record is evicted
	Rules  []kept.Rule     `toml:"rule"`
}

// Defaults and limits.
const (
	defaultMaxMB    = 64
	defaultMaxAge   = strict.Duration(30 * 24 * 3600 * 1e6)
	minMaxMB        = 0.1
	pollInterval    = time.Second // between two calls of ProcessDue
	maxReadsPerPoll = 500         // records read in one call of ProcessDue
	capacityDivisor = 2           // dead letters are resent while less than 1/capacityDivisor of the sender's capacity is in use
)

// SetDefaults fills in settings that were left out.
func (t *Table) SetDefaults() {
	t.MaxMB, t.MaxAge = cmp.Or(t.MaxMB, defaultMaxMB), cmp.Or(t.MaxAge, defaultMaxAge)
	for i := range t.Rules {
		t.Rules[i].SetDefaults()
	}
}

// Validate reports each invalid setting; number is the index of the rule, or -1 for the table's own settings.
func (t Table) Validate(report func(number int, setting, what string)) {
	if t.MaxMB < minMaxMB {
		report(-1, "most_mb", "that is less than a tenth of a megabyte")
	}
	for i, r := range t.Rules {
		r.Validate(func(setting, what string) { report(i, setting, what) })
	}
}

// Engine is the part of the relay engine that a Resender needs.
type Engine interface {
	Class(name string) (int, bool)
	Accept(m *spool.Message, class int) (routing.Disposition, int64)
	Deliver(m *spool.Message)
	Now() int64
}

// Resender stores messages that ended undelivered as dead letters and resends them by rule, each record at most once.
type Resender struct {
	log      *zap.Logger
	store    *Store
	engine   Engine
	classes  func(name string) kept.Class
	healthy  func(dst int64) bool // whether the sender believes the destination healthy
	inFlight func() int           // number of messages in the sender
	capacity int                  // limit of inFlight

	mu        sync.Mutex
	rules     []kept.Rule
	resentAs  map[string]string // from ids of resent messages that are not finished to their records; as many as are in Resending or Resent
	limiter   kept.RateLimiter
	due       map[string]dueEntry // waiting records, at most as many as the store holds; removed when decided
	delivered []string            // keys of resentAs that were delivered and are not recorded yet; emptied by each ProcessDue
}

// dueEntry says when to process a record next.
type dueEntry struct {
	at  int64
	dst int64
}

// NewResender returns a Resender on a store. isPending reports whether a message from before the start is still pending at the sender: a
// resend with such a message continues, and any other counts as sent, because its outcome is unknown.
func NewResender(log *zap.Logger, s *Store, t Table, engine Engine, classes func(string) kept.Class, healthy func(int64) bool,
	inFlight func() int, capacity int, isPending func(id string) bool) (*Resender, error) {
	k := &Resender{log: log, store: s, engine: engine, classes: classes, healthy: healthy, inFlight: inFlight, capacity: capacity, rules: t.Rules,
		resentAs: map[string]string{}, due: map[string]dueEntry{}}
	var interrupted []*kept.Record
	err := k.forEach(func(r *kept.Record) {
		if r.State == kept.Waiting {
			k.due[r.ID] = dueEntry{0, r.Dst}
		}
		if r.State == kept.Resending {
			interrupted = append(interrupted, r)
		}
		if r.State == kept.Resent && isPending(r.ResentAs) {
			k.resentAs[r.ResentAs] = r.ID
		}
	})
	if err != nil {
		return nil, err
	}
	for _, r := range interrupted {
		reason := "intended before a restart: it may have been sent"
		if isPending(r.ResentAs) {
			reason = "intended before a restart, and on record as taken on"
			k.resentAs[r.ResentAs] = r.ID
		}
		if err := s.Update(r.ID, func(r *kept.Record) error { return r.Transition(kept.Resent, engine.Now(), reason) }); err != nil {
			return nil, err
		}
	}
	return k, nil
}

// SetRules replaces the rules. Messages already resent under the old ones are not affected.
func (k *Resender) SetRules(rules []kept.Rule) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rules = rules
	for id, w := range k.due {
		k.due[id] = dueEntry{0, w.dst}
	}
}

// forEach calls f for all records, page by page.
func (k *Resender) forEach(f func(*kept.Record)) error {
	for from := []byte(nil); ; {
		rs, next, err := k.store.Page(from, nil)
		if err != nil {
			return err
		}
		for _, r := range rs {
			f(r)
		}
		if from = next; from == nil {
			return nil
		}
	}
}

// Add stores undelivered messages and returns once they are on disk. An error of the store is logged and does not stop the sender.
func (k *Resender) Add(us []relay.Undelivered) {
	now := k.engine.Now()
	var rs []*kept.Record
	attempts := map[string]func() []relay.Attempt{}
	for _, u := range us {
		if u.BodyErased {
			continue
		}
		m := u.Msg
		r := kept.New(m.ID, m.Class, m.Dst, m.Key, m.OrderKey, m.Body, now, u.Rejected, u.RetryAfter, convertLegs(u.Attempts()), k.origin(m.ID))
		if r.AcceptSeq == 0 {
			r.AcceptSeq = m.AcceptSeq
		}
		rs = append(rs, r)
		attempts[r.ID] = u.Attempts
	}
	evicted, err := k.store.Add(rs, now) // messages fenced off by a purge are not stored
	if err != nil {
		k.log.Error("ends not kept", zap.Int("count", len(rs)), zap.Error(err))
		return
	}
	if evicted > 0 {
		k.log.Warn("kept messages gave way to newer ones", zap.Int("count", evicted))
	}
	for _, r := range rs {
		k.markDue(r.ID, r.Dst)
		if latest := attempts[r.ID](); !slices.Equal(convertLegs(latest), r.Legs) { // an outcome arrived during the write
			k.OnNeverRan(r.ID, latest)
		}
	}
	for _, u := range us {
		k.finishResend(u.Msg.ID, kept.FailedAgain, "ended undelivered, and is kept as "+u.Msg.ID)
	}
}

// origin returns the record that a message was resent from, or nil.
func (k *Resender) origin(id string) *kept.Record {
	k.mu.Lock()
	from := k.resentAs[id]
	k.mu.Unlock()
	if from == "" {
		return nil
	}
	r, err := k.store.Get(from)
	if err != nil {
		k.log.Warn("record of what was sent again", zap.String("id", id), zap.Error(err))
		return nil
	}
	return r
}

// convertLegs converts the attempts of a message to the legs of a record.
func convertLegs(attempts []relay.Attempt) (ls []kept.Leg) {
	for _, a := range attempts {
		ls = append(ls, kept.Leg{At: a.SentAt, Elapsed: a.Elapsed, Receiver: a.Receiver, Result: a.Result, RetryAfter: a.RetryAfter, NeverRan: a.NeverRan})
	}
	return ls
}

var errUnchanged = errors.New("kept messages: record unchanged")

// OnNeverRan handles the proof that a leg never ran, found after its message was reported undelivered. If the message is not stored
// yet, Add reads its attempts again; a held record is decided on again, because it was held by this process.
func (k *Resender) OnNeverRan(id string, attempts []relay.Attempt) {
	var r kept.Record
	err := k.store.Update(id, func(now *kept.Record) error {
		if !now.MarkNeverRan(convertLegs(attempts)) {
			return errUnchanged
		}
		r = *now
		if now.State != kept.Held {
			return nil
		}
		r.State = kept.Waiting
		return now.Transition(kept.Waiting, k.engine.Now(), "an answer that came after its end proves that a leg never ran")
	})
	switch {
	case errors.Is(err, ErrNotFound), errors.Is(err, errUnchanged):
	case err != nil:
		k.log.Error("leg not kept as never run", zap.String("id", id), zap.Error(err))
	case r.State == kept.Waiting:
		k.markDue(r.ID, r.Dst)
	}
}

// markDue schedules a record for the next ProcessDue.
func (k *Resender) markDue(id string, dst int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.due[id] = dueEntry{0, dst}
}

// OnDelivered handles the delivery of a message. If it was a resend, Run records that later, so that the caller does not wait for the disk.
func (k *Resender) OnDelivered(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.resentAs[id] != "" {
		k.delivered = append(k.delivered, id)
	}
}

func (k *Resender) recordDelivered() {
	k.mu.Lock()
	delivered := k.delivered
	k.delivered = nil
	k.mu.Unlock()
	for _, id := range delivered {
		k.finishResend(id, kept.Delivered, "delivered")
	}
}

// finishResend records the outcome of a resend.
func (k *Resender) finishResend(id string, to kept.State, reason string) {
	k.mu.Lock()
	from := k.resentAs[id]
	delete(k.resentAs, id)
	k.mu.Unlock()
	if from == "" {
		return
	}
	if err := k.store.Update(from, func(r *kept.Record) error { return r.Transition(to, k.engine.Now(), reason) }); err != nil {
		k.log.Error("end of what was sent again not recorded", zap.String("id", from), zap.Error(err))
	}
}

// Run processes due records until ctx is done.
func (k *Resender) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if err := k.ProcessDue(ctx); err != nil && ctx.Err() == nil {
			k.log.Error("kept messages", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			k.recordDelivered()
			return
		case <-ticker.C:
		}
	}
}

// Store returns the store.
func (k *Resender) Store() *Store { return k.store }

// Close closes the store.
func (k *Resender) Close() error { return k.store.Close() }

// ProcessDue processes the due records once, the longest due first. To bound its cost with many records it reads a limited number, and none
// of a destination that has reached its rate.
func (k *Resender) ProcessDue(ctx context.Context) error {
	k.recordDelivered()
	now := k.engine.Now()
	k.mu.Lock()
	rules := k.rules
	k.limiter.Prune(now)
	var ids []string
	for id, w := range k.due {
		if w.at <= now && k.limiter.WouldAllow(w.dst, now) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Or(cmp.Compare(k.due[a].at, k.due[b].at), strings.Compare(a, b)) })
	k.mu.Unlock()
	for _, id := range ids[:min(len(ids), maxReadsPerPoll)] {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := k.processRecord(id, rules); err != nil {
			return err
		}
	}
	return nil
}

// processRecord decides about one record and carries the decision out, or schedules the record again.
func (k *Resender) processRecord(id string, rules []kept.Rule) error {
	k.mu.Lock()
	w, ready := k.due[id], k.limiter.WouldAllow(k.due[id].dst, k.engine.Now())
	k.mu.Unlock()
	if !ready {
		return nil
	}
	r, err := k.store.Get(id)
	if errors.Is(err, ErrNotFound) {
		k.unschedule(id)
		return nil
	}
	if err != nil {
		return err
	}
	now := k.engine.Now()
	v := kept.Decide(r, rules, k.classes(r.Class), now)
	switch {
	case v.Action == "":
		k.unschedule(id)
		return nil
	case v.Action == kept.Hold:
		k.unschedule(id)
		return k.hold(id, rules, now)
	case now < v.NotBefore:
		w.at = v.NotBefore
	case v.Action == kept.Drop:
		k.unschedule(id)
		return k.store.Drop(id)
	case (v.IgnoreHealth || k.healthy(r.Dst)) && k.inFlight()*capacityDivisor < k.capacity && k.allow(r.Dst, v.Rate, now):
		k.unschedule(id)
		return k.resend(id, v)
	default:
		w.at = now + pollInterval.Microseconds()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, still := k.due[id]; still {
		k.due[id] = w
	}
	return nil
}

// hold holds a record for an operator, unless it was proven meanwhile that it never ran and another action applies.
func (k *Resender) hold(id string, rules []kept.Rule, now int64) error {
	dst := int64(0)
	err := k.store.Update(id, func(r *kept.Record) error {
		dst = r.Dst
		v := kept.Decide(r, rules, k.classes(r.Class), now)
		if v.Action != kept.Hold {
			return errUnchanged
		}
		return r.Transition(kept.Held, now, v.Reason)
	})
	if errors.Is(err, errUnchanged) {
		k.markDue(id, dst)
		return nil
	}
	return err
}

func (k *Resender) unschedule(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.due, id)
}

func (k *Resender) allow(dst int64, rate float64, now int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.limiter.Allow(dst, rate, now)
}

// resend sends a record again under a new id. The intention is on disk before the message's first byte can go out.
func (k *Resender) resend(id string, v kept.Decision) error {
	var r kept.Record
	err := k.store.Update(id, func(now *kept.Record) error {
		now.ResentAs = now.NextID()
		if err := now.Transition(kept.Resending, k.engine.Now(), v.Reason); err != nil {
			return err
		}
		r = *now
		return nil
	})
	if err != nil {
		return err
	}
	class, known := k.engine.Class(r.Class)
	until, _ := kept.ResendableUntil(&r, k.classes(r.Class))
	m := &spool.Message{ID: r.ResentAs, Class: r.Class, Key: r.Key, OrderKey: r.OrderKey, Dst: r.Dst, Body: r.Body, AcceptSeq: r.AcceptSeq,
		Expires: min(k.engine.Now()+v.Deadline, until)}
	k.mu.Lock()
	k.resentAs[r.ResentAs] = id
	k.mu.Unlock()
	disposition := routing.Failed
	if known {
		disposition, _ = k.engine.Accept(m, class)
	}
	if disposition != routing.Held {
		k.mu.Lock()
		delete(k.resentAs, r.ResentAs)
		k.due[id] = dueEntry{k.engine.Now() + pollInterval.Microseconds(), r.Dst}
		k.mu.Unlock()
		return k.store.Update(id, func(r *kept.Record) error {
			r.ResentAs = ""
			return r.Transition(kept.Waiting, k.engine.Now(), "not taken on just now; nothing went out")
		})
	}
	if err := k.store.Update(id, func(r *kept.Record) error {
		return r.Transition(kept.Resent, k.engine.Now(), "sent again as "+r.ResentAs)
	}); err != nil {
		k.log.Error("sending again not recorded; the intention is", zap.String("id", id), zap.Error(err))
	}
	k.engine.Deliver(m)
	return nil
}

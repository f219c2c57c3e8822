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

// Table is `kept` in the operator's file. Kept is on where the table is there.
type Table struct {
	MostMB float64     `toml:"most_mb"` // of the store
	Age    strict.Span `toml:"age"`     // after which a record gives way
	Rules  []kept.Rule `toml:"rule"`
}

// What stands for settings left out.
const (
	usualMB   = 64
	usualAge  = strict.Span(30 * 24 * 3600 * 1e6)
	leastMB   = 0.1
	lookIn    = time.Second // between looks for what is due
	mostReads = 500         // records read in one look
	roomPart  = 2           // kept messages go out while less than one part in so many of the holding room is in use
)

// Fill sets what was left out, and Check names what is wrong.
func (t *Table) Fill() {
	t.MostMB, t.Age = cmp.Or(t.MostMB, usualMB), cmp.Or(t.Age, usualAge)
	for i := range t.Rules {
		t.Rules[i].Fill()
	}
}

// Check names what is wrong, by setting; number is that of a rule from 0, -1 for the table's own.
func (t Table) Check(fault func(number int, setting, what string)) {
	if t.MostMB < leastMB {
		fault(-1, "most_mb", "that is less than a tenth of a megabyte")
	}
	for i, r := range t.Rules {
		r.Check(func(setting, what string) { fault(i, setting, what) })
	}
}

// Engine is what the keeper needs of the engine.
type Engine interface {
	Lane(name string) (int, bool)
	Take(m *spool.Message, lane int) (routing.Way, int64)
	Carry(m *spool.Message)
	Now() int64
}

// Keeper keeps what ends undelivered, and sends it again by rule, each record at most once.
type Keeper struct {
	log     *zap.Logger
	store   *Store
	engine  Engine
	lanes   func(name string) kept.Lane
	healthy func(dst int64) bool // by the module's belief
	owed    func() int           // messages with the sender
	room    int                  // how many it may hold

	// OwedAgain, where it is set before the first end, tells whether a client is to hand a position of a channel in again whose message ended
	// undelivered, however it ended.
	OwedAgain func(channel string) bool

	mu     sync.Mutex
	rules  []kept.Rule
	sentAs map[string]sending // ids sent again and not over; as many as are in Intended or Sent
	pace   kept.Pace
	due    map[string]wait  // records that wait, as many as the store holds; emptied as they are decided on
	done   []*spool.Message // of sentAs, delivered and not written down yet; emptied at each look
}

// sending is a record that was sent again.
type sending struct {
	from  string // its id
	taken int64  // the count of what was sent (spool.Message.Taken), 0 for not known: another message may bear that id before or after
}

// wait is when a record is to be looked at again.
type wait struct {
	at  int64
	dst int64
}

// NewKeeper takes up a store. owes tells whether the sender owes a message of this id and count from before its start: an intention whose message is
// owed goes on; any other counts as sent, for nobody can tell.
func NewKeeper(log *zap.Logger, s *Store, t Table, engine Engine, lanes func(string) kept.Lane, healthy func(int64) bool,
	owed func() int, room int, owes func(id string, taken int64) bool) (*Keeper, error) {
	k := &Keeper{log: log, store: s, engine: engine, lanes: lanes, healthy: healthy, owed: owed, room: room, rules: t.Rules,
		sentAs: map[string]sending{}, due: map[string]wait{}}
	var unsure []*kept.Record
	err := k.each(func(r *kept.Record) {
		if r.State == kept.Waiting {
			k.due[r.ID] = wait{0, r.Dst}
		}
		if r.State == kept.Intended {
			unsure = append(unsure, r)
		}
		if r.State == kept.Sent && owes(r.SentAs, r.Taken) {
			k.sentAs[r.SentAs] = sending{r.ID, r.Taken}
		}
	})
	if err != nil {
		return nil, err
	}
	for _, r := range unsure {
		why := "intended before a restart: it may have been sent"
		if owes(r.SentAs, r.Taken) {
			why = "intended before a restart, and on record as taken on"
			k.sentAs[r.SentAs] = sending{r.ID, r.Taken}
		}
		if err := s.Change(r.ID, func(r *kept.Record) error { return r.Turn(kept.Sent, engine.Now(), why) }); err != nil {
			return nil, err
		}
	}
	return k, nil
}

// Rule puts other rules in force. What is out under the old ones stays out.
func (k *Keeper) Rule(rules []kept.Rule) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rules = rules
	for id, w := range k.due {
		k.due[id] = wait{0, w.dst}
	}
}

// each walks all records, a page at a time.
func (k *Keeper) each(f func(*kept.Record)) error {
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

// Keep writes ends down; it returns once they are on disk. A store that fails keeps nobody from serving: it is logged.
func (k *Keeper) Keep(us []relay.Undelivered) {
	now := k.engine.Now()
	var rs []*kept.Record
	attempts := map[string]func() []relay.Attempt{}
	for _, u := range us {
		if u.Bare {
			continue
		}
		m := u.Msg
		r := kept.New(m.ID, m.Lane, m.Dst, m.Key, m.OrderKey, m.Body, now, u.PushedBack, u.Advice, legs(u.Attempts()), k.before(m))
		if r.Taken == 0 {
			r.Taken = m.Taken
		}
		if m.Channel != "" && k.OwedAgain != nil && k.OwedAgain(m.Channel) {
			r.ClientMayRepeat = true
		}
		rs = append(rs, r)
		attempts[r.ID] = u.Attempts
	}
	gaveWay, err := k.store.Keep(rs, now) // what a purge has fenced off is not kept
	if err != nil {
		k.log.Error("ends not kept", zap.Int("count", len(rs)), zap.Error(err))
		return
	}
	if gaveWay > 0 {
		k.log.Warn("kept messages gave way to newer ones", zap.Int("count", gaveWay))
	}
	for _, r := range rs {
		k.lookAt(r.ID, r.Dst)
		if since := attempts[r.ID](); !slices.Equal(legs(since), r.Legs) { // an outcome came while the record was written
			k.Proven(r.ID, since)
		}
	}
	for _, u := range us {
		k.settle(u.Msg, kept.Followed, "ended undelivered, and is kept as "+u.Msg.ID)
	}
}

// before finds the record that a message was sent again from, nil for none.
func (k *Keeper) before(m *spool.Message) *kept.Record {
	k.mu.Lock()
	from, is := k.sentFrom(m)
	k.mu.Unlock()
	if !is {
		return nil
	}
	r, err := k.store.Get(from)
	if err != nil {
		k.log.Warn("record of what was sent again", zap.String("id", m.ID), zap.Error(err))
		return nil
	}
	return r
}

// Sent tells whether a message is a kept one that was sent again and is not over: no client handed it in.
func (k *Keeper) Sent(m *spool.Message) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, is := k.sentFrom(m)
	return is
}

// sentFrom finds the id of the record that a message was sent again from. The lock is held.
func (k *Keeper) sentFrom(m *spool.Message) (from string, is bool) {
	s, is := k.sentAs[m.ID]
	return s.from, is && (s.taken == 0 || s.taken == m.Taken)
}

// legs are a message's as a record has them.
func legs(attempts []relay.Attempt) (ls []kept.Leg) {
	for _, a := range attempts {
		ls = append(ls, kept.Leg{At: a.SentAt, Took: a.Took, Receiver: a.Receiver, Result: a.Result, Wait: a.Wait, NeverRan: a.NeverRan})
	}
	return ls
}

var errNothingNew = errors.New("kept messages: nothing new")

// Proven takes in that a leg surely never ran, found out after its message was told as undelivered. What is not kept yet is read again by
// Keep; what is held is decided on anew, for it was this process that held it.
func (k *Keeper) Proven(id string, attempts []relay.Attempt) {
	var r kept.Record
	err := k.store.Change(id, func(now *kept.Record) error {
		if !now.Prove(legs(attempts)) {
			return errNothingNew
		}
		r = *now
		if now.State != kept.Held {
			return nil
		}
		r.State = kept.Waiting
		return now.Turn(kept.Waiting, k.engine.Now(), "an answer that came after its end proves that a leg never ran")
	})
	switch {
	case errors.Is(err, ErrUnknown), errors.Is(err, errNothingNew):
	case err != nil:
		k.log.Error("leg not kept as never run", zap.String("id", id), zap.Error(err))
	case r.State == kept.Waiting:
		k.lookAt(r.ID, r.Dst)
	}
}

// lookAt has a record looked at next.
func (k *Keeper) lookAt(id string, dst int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.due[id] = wait{0, dst}
}

// Delivered says that a message is over and was not undelivered. Those that were not sent again are of no interest; the
// others are written down by Run, so that nobody waits for the disk.
func (k *Keeper) Delivered(m *spool.Message) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, is := k.sentFrom(m); is {
		k.done = append(k.done, m)
	}
}

func (k *Keeper) writeDone() {
	k.mu.Lock()
	done := k.done
	k.done = nil
	k.mu.Unlock()
	for _, m := range done {
		k.settle(m, kept.Done, "delivered")
	}
}

// settle ends the sending again of a record.
func (k *Keeper) settle(m *spool.Message, to kept.State, why string) {
	k.mu.Lock()
	from, is := k.sentFrom(m)
	if is {
		delete(k.sentAs, m.ID)
	}
	k.mu.Unlock()
	if !is {
		return
	}
	if err := k.store.Change(from, func(r *kept.Record) error { return r.Turn(to, k.engine.Now(), why) }); err != nil {
		k.log.Error("end of what was sent again not recorded", zap.String("id", from), zap.Error(err))
	}
}

// Run looks for what is due until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	look := time.NewTicker(lookIn)
	defer look.Stop()
	for {
		if err := k.Look(ctx); err != nil && ctx.Err() == nil {
			k.log.Error("kept messages", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			k.writeDone()
			return
		case <-look.C:
		}
	}
}

// Store gives the store.
func (k *Keeper) Store() *Store { return k.store }

// Close lets go of the store.
func (k *Keeper) Close() error { return k.store.Close() }

// Look does once what is due, the longest due first. It reads so many records at most, and none of a destination that may
// get nothing now, so that a long list costs the sender little.
func (k *Keeper) Look(ctx context.Context) error {
	k.writeDone()
	now := k.engine.Now()
	k.mu.Lock()
	rules := k.rules
	k.pace.Tidy(now)
	var ids []string
	for id, w := range k.due {
		if w.at <= now && k.pace.Ready(w.dst, now) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Or(cmp.Compare(k.due[a].at, k.due[b].at), strings.Compare(a, b)) })
	k.mu.Unlock()
	for _, id := range ids[:min(len(ids), mostReads)] {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := k.one(id, rules); err != nil {
			return err
		}
	}
	return nil
}

// one decides on one record and carries that out, or says when to look again.
func (k *Keeper) one(id string, rules []kept.Rule) error {
	k.mu.Lock()
	w, ready := k.due[id], k.pace.Ready(k.due[id].dst, k.engine.Now())
	k.mu.Unlock()
	if !ready {
		return nil
	}
	r, err := k.store.Get(id)
	if errors.Is(err, ErrUnknown) {
		k.decided(id)
		return nil
	}
	if err != nil {
		return err
	}
	now := k.engine.Now()
	v := kept.Decide(r, rules, k.lanes(r.Lane), now)
	switch {
	case v.Act == "":
		k.decided(id)
		return nil
	case v.Act == kept.Hold:
		k.decided(id)
		return k.hold(id, rules, now)
	case now < v.At:
		w.at = v.At
	case v.Act == kept.Drop:
		k.decided(id)
		return k.store.Drop(id)
	case (v.Sick || k.healthy(r.Dst)) && k.owed()*roomPart < k.room && k.take(r.Dst, v.Rate, now):
		k.decided(id)
		return k.send(id, v)
	default:
		w.at = now + lookIn.Microseconds()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, still := k.due[id]; still {
		k.due[id] = w
	}
	return nil
}

// hold has a record wait for a person, unless it was proven meanwhile that it never ran and another act is due.
func (k *Keeper) hold(id string, rules []kept.Rule, now int64) error {
	dst := int64(0)
	err := k.store.Change(id, func(r *kept.Record) error {
		dst = r.Dst
		v := kept.Decide(r, rules, k.lanes(r.Lane), now)
		if v.Act != kept.Hold {
			return errNothingNew
		}
		return r.Turn(kept.Held, now, v.Why)
	})
	if errors.Is(err, errNothingNew) {
		k.lookAt(id, dst)
		return nil
	}
	return err
}

func (k *Keeper) decided(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.due, id)
}

func (k *Keeper) take(dst int64, rate float64, now int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.pace.Free(dst, rate, now)
}

// send has a record go out again under a new id. The intention is on disk before the message can have a first byte.
func (k *Keeper) send(id string, v kept.Verdict) error {
	var r kept.Record
	err := k.store.Change(id, func(now *kept.Record) error {
		now.SentAs = now.NextID()
		if err := now.Turn(kept.Intended, k.engine.Now(), v.Why); err != nil {
			return err
		}
		r = *now
		return nil
	})
	if err != nil {
		return err
	}
	lane, known := k.engine.Lane(r.Lane)
	until, _ := kept.MaySend(&r, k.lanes(r.Lane))
	m := &spool.Message{ID: r.SentAs, Lane: r.Lane, Key: r.Key, OrderKey: r.OrderKey, Dst: r.Dst, Body: r.Body, Taken: r.Taken,
		Expires: min(k.engine.Now()+v.Deadline, until)}
	k.mu.Lock()
	k.sentAs[r.SentAs] = sending{id, r.Taken}
	k.mu.Unlock()
	way := routing.Failed
	if known {
		way, _ = k.engine.Take(m, lane)
	}
	if way != routing.Held {
		k.mu.Lock()
		delete(k.sentAs, r.SentAs)
		k.due[id] = wait{k.engine.Now() + lookIn.Microseconds(), r.Dst}
		k.mu.Unlock()
		return k.store.Change(id, func(r *kept.Record) error {
			r.SentAs = ""
			return r.Turn(kept.Waiting, k.engine.Now(), "not taken on just now; nothing went out")
		})
	}
	if err := k.store.Change(id, func(r *kept.Record) error { return r.Turn(kept.Sent, k.engine.Now(), "sent again as "+r.SentAs) }); err != nil {
		k.log.Error("sending again not recorded; the intention is", zap.String("id", id), zap.Error(err))
	}
	k.engine.Carry(m)
	return nil
}

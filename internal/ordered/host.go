// Package ordered runs the state machine of internal/channels: it guards the table with one lock, writes the rows of many calls in one
// durable step, sends peer messages, and hands messages to the engine when they may be sent.
package ordered

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"ravenlink/internal/channels"
	"ravenlink/internal/post"
	"ravenlink/internal/ranked"
	"ravenlink/internal/relay"
	"ravenlink/internal/spool"
)

// Store persists rows. Write is atomic and durable; a row without a value is deleted.
type Store interface {
	Write(rows []channels.Row) error
	Rows() ([]channels.Row, error)
}

// Engine delivers messages. It is implemented by relay.Engine.
type Engine interface {
	Now() int64
	IsActive(id string) bool
	Store(m *spool.Message) error
	Complete(m *spool.Message)
	Resume(m *spool.Message)
	AbandonStored(m *spool.Message, retryAfter int64)
	Abandon(id string, retryAfter int64)
}

const (
	maxQueued       = 4096                   // calls whose effects are not yet applied; beyond it peer messages are dropped, because they are repeated
	inProgressRetry = int64(100_000)         // µs; retry-after for a client whose message is being handed in on another connection
	disabledRetry   = int64(1_000_000)       // µs; retry-after at a sender that cannot write its state
	maxTick         = 500 * time.Millisecond // longest time between two ticks
	minTick         = time.Millisecond
)

// ErrDisabled is returned when channels are disabled on this sender until a restart.
var ErrDisabled = errors.New("channels are disabled until a restart")

// Host runs the channels of one sender. No other lock is taken, and no I/O done, while its lock is held.
type Host struct {
	log    *zap.Logger
	engine Engine
	store  Store
	send   func(post.PeerMessage[channels.Msg]) // must not block
	settle int64                                // µs for which a leg that may still run holds off the next message

	mu       *ranked.Mutex
	table    *channels.Table
	pending  map[string]*pending // by message id; entries are removed as messages end
	queue    []*job              // effects not yet applied, in the order of the calls
	disabled bool
	stopped  bool // Run has ended: pending messages are left to the next process
	dropped  int  // peer messages

	wake     chan struct{}
	runEnded chan struct{} // closed when Run has returned
}

// pending is a message accepted here.
type pending struct {
	m        *spool.Message
	answered bool // its client has the answer, or will certainly never get it
	ready    bool // released by the table
	resumed  bool // handed to the engine

	abandoned  bool // while it was with the engine
	retryAfter int64
}

// job holds the effects of one call.
type job struct {
	e      channels.Effects
	done   chan struct{} // closed once its rows are on disk, or have failed to be written
	failed bool
}

// New returns a host, which Run starts.
func New(log *zap.Logger, engine Engine, store Store, table *channels.Table, send func(post.PeerMessage[channels.Msg]), settle int64) *Host {
	return &Host{log: log, engine: engine, store: store, table: table, send: send, settle: settle, pending: map[string]*pending{},
		mu: ranked.New(ranked.Channels, "channels"), wake: make(chan struct{}, 1), runEnded: make(chan struct{})}
}

// Restore takes over the messages of channels that were pending before a restart and returns the others. It is called before Run. If the
// stored rows cannot be read, all messages of channels are aborted and channels are disabled until a restart.
func (h *Host) Restore(unfinished []*spool.Message) (others []*spool.Message, err error) {
	byID := map[string]*spool.Message{}
	for _, m := range unfinished {
		if m.Channel != "" && !m.Ended {
			byID[m.ID] = m
		} else {
			others = append(others, m)
		}
	}
	rows, err := h.store.Rows()
	if err == nil {
		err = h.restore(rows, byID)
	}
	if err != nil {
		h.abortAll(byID)
		return others, err
	}
	for _, m := range unfinished {
		if byID[m.ID] != nil { // its client was never told that it was accepted
			h.engine.Complete(m)
		}
	}
	return others, nil
}

// abortAll aborts all messages of channels and disables channels.
func (h *Host) abortAll(byID map[string]*spool.Message) {
	h.mu.Lock()
	h.disabled = true
	h.table.Disable()
	h.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		h.engine.AbandonStored(byID[id], disabledRetry)
	}
}

// restore restores the table, and moves the messages that it holds from byID to pending.
func (h *Host) restore(rows []channels.Row, byID map[string]*spool.Message) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.engine.Now()
	ids, err := h.table.Restore(now, rows, func(id string) bool { return byID[id] != nil && mayHaveRun(byID[id]) })
	if err != nil {
		return err
	}
	for _, e := range ids {
		if m := byID[e.ID]; m != nil && m.Channel == e.Channel && m.Pos == e.Pos {
			h.pending[m.ID] = &pending{m: m, answered: true}
			delete(byID, m.ID)
		} else { // it has ended
			h.enqueue(h.table.Ended(now, e.Channel, e.Pos, true, true))
		}
	}
	return nil
}

func mayHaveRun(m *spool.Message) bool {
	for _, l := range m.Legs {
		if !l.NeverRan {
			return true
		}
	}
	return false
}

// Declare accepts a contract. If it returns nil, the contract is on this sender's disk.
func (h *Host) Declare(k channels.Contract) error {
	h.mu.Lock()
	e, err := h.table.Declare(h.engine.Now(), k)
	if err != nil {
		h.mu.Unlock()
		return err
	}
	return h.unlockAndWait(h.enqueue(e))
}

// Forget deletes all state of the channels to some destinations and returns the keys of the deleted rows.
func (h *Host) Forget(dsts []int64) ([]string, error) {
	h.mu.Lock()
	e, keys := h.table.Forget(h.engine.Now(), dsts)
	return keys, h.unlockAndWait(h.enqueue(e))
}

// Receive handles a peer message.
func (h *Host) Receive(from string, m channels.Msg) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.queue) >= maxQueued {
		h.dropped++
		return
	}
	h.enqueue(h.table.Receive(h.engine.Now(), from, m))
}

// HandIn decides on a message. It waits for this sender's disk, but never for a peer.
func (h *Host) HandIn(m *spool.Message, _ int) relay.HandInResult {
	in := channels.HandInRequest{Channel: m.Channel, Pos: m.Pos, ID: m.ID, Key: m.OrderKey, Dst: m.Dst,
		Deadline: m.Expires, Settle: h.settle, DryRun: true}
	h.mu.Lock()
	v, e := h.table.HandIn(h.engine.Now(), in)
	j := h.enqueue(e)
	if v.Outcome != channels.Accepted {
		if v.Outcome != channels.Duplicate {
			h.mu.Unlock()
			return answerOf(v)
		}
		if err := h.unlockAndWait(j); err != nil { // the rows of the first hand-in are written before
			return relay.HandInResult{RetryAfter: disabledRetry, Pos: -1}
		}
		return answerOf(v)
	}
	if h.pending[m.ID] != nil {
		h.mu.Unlock()
		return relay.HandInResult{RetryAfter: inProgressRetry, Pos: v.Pos}
	}
	h.pending[m.ID] = &pending{m: m}
	h.mu.Unlock()
	return h.accept(m, in)
}

// accept records a message in the spool and then has the table accept it.
func (h *Host) accept(m *spool.Message, in channels.HandInRequest) relay.HandInResult {
	discard := func() {
		h.mu.Lock()
		delete(h.pending, m.ID)
		h.mu.Unlock()
	}
	if h.engine.IsActive(m.ID) {
		discard()
		return relay.HandInResult{Cause: "this id is taken on already", Pos: -1}
	}
	if err := h.engine.Store(m); err != nil {
		h.log.Warn("not taken on", zap.Error(err))
		discard()
		return relay.HandInResult{RetryAfter: disabledRetry, Pos: -1}
	}
	in.DryRun = false
	h.mu.Lock()
	v, e := h.table.HandIn(h.engine.Now(), in)
	j := h.enqueue(e)
	if v.Outcome != channels.Accepted {
		delete(h.pending, m.ID)
		h.mu.Unlock()
		h.engine.Complete(m)
		return answerOf(v)
	}
	if err := h.unlockAndWait(j); err != nil {
		discard()
		h.engine.Complete(m)
		return relay.HandInResult{RetryAfter: disabledRetry, Pos: -1}
	}
	w := answerOf(v)
	w.OnAnswered = func() { h.answered(m.ID) }
	return w
}

func answerOf(v channels.HandInResult) relay.HandInResult {
	return relay.HandInResult{OK: v.Outcome == channels.Accepted || v.Outcome == channels.Duplicate, Cause: v.Cause, RetryAfter: v.RetryAfter, Pos: v.Pos}
}

// ConnectionClosed reports that a connection that used a channel has closed.
func (h *Host) ConnectionClosed(channel string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.ConnectionClosed(channel)
}

// MayBegin reports whether a leg may start. It is called right before the leg's first byte.
func (h *Host) MayBegin(m *spool.Message) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.MayBegin(h.engine.Now(), m.Channel, m.Pos)
}

// Ended reports that a released message has ended.
func (h *Host) Ended(m *spool.Message, delivered, mayRun bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.pending, m.ID)
	h.enqueue(h.table.Ended(h.engine.Now(), m.Channel, m.Pos, delivered, mayRun))
}

// Postponed reports that a released message did not start, because this sender no longer owns its channel. The message is pending again,
// unless it was abandoned meanwhile or channels are disabled: then it ends here.
func (h *Host) Postponed(m *spool.Message, mayRun bool) {
	h.mu.Lock()
	x := h.pending[m.ID]
	if x == nil || h.stopped {
		h.mu.Unlock()
		return
	}
	x.ready, x.resumed = false, false
	h.enqueue(h.table.Postponed(h.engine.Now(), m.Channel, m.Pos, mayRun))
	over, retryAfter := x.abandoned, x.retryAfter
	if h.disabled {
		over, retryAfter = true, disabledRetry
	}
	if over {
		delete(h.pending, m.ID)
	}
	h.mu.Unlock()
	if over {
		h.engine.AbandonStored(m, retryAfter)
	}
}

// ReleaseAll releases every channel, because the process is about to exit.
func (h *Host) ReleaseAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.enqueue(h.table.ReleaseAll(h.engine.Now()))
}

// Wait blocks until Run has returned.
func (h *Host) Wait() { <-h.runEnded }

// MarkStale disables channels because this sender's state directory is an older copy, whose promises and positions cannot be trusted.
func (h *Host) MarkStale() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.disabled {
		h.disabled = true
		h.table.Disable()
		h.log.Error("channels stop here: the folder is an older copy; start with the newest one, or without its fleet log")
	}
}

// View returns the status of all channels and the counts, for operators.
func (h *Host) View() ([]channels.ChannelStatus, channels.Counts) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.View(), h.table.Count()
}

// answered marks that the client of a message has its answer, so that the message may be sent.
func (h *Host) answered(id string) {
	h.mu.Lock()
	x := h.pending[id]
	if x != nil {
		x.answered = true
	}
	h.mu.Unlock()
	h.resumeIfReady(id)
}

// resumeIfReady hands a message to the engine once it is released and its client answered.
func (h *Host) resumeIfReady(id string) {
	h.mu.Lock()
	x := h.pending[id]
	resume := x != nil && x.ready && x.answered && !x.resumed
	if resume {
		x.resumed = true
	}
	h.mu.Unlock()
	if resume {
		h.engine.Resume(x.m)
	}
}

// enqueue queues the effects of a call. The caller holds mu.
func (h *Host) enqueue(e channels.Effects) *job {
	j := &job{e: e, done: make(chan struct{})}
	if h.disabled {
		h.fail([]*job{j})
		return j
	}
	h.queue = append(h.queue, j)
	select {
	case h.wake <- struct{}{}:
	default:
	}
	return j
}

// unlockAndWait releases mu and waits until the rows of a job are on disk.
func (h *Host) unlockAndWait(j *job) error {
	h.mu.Unlock()
	<-j.done
	if j.failed {
		return ErrDisabled
	}
	return nil
}

// Run applies effects in order until ctx ends. Calls that are then still waiting fail with ErrDisabled.
func (h *Host) Run(ctx context.Context) {
	defer close(h.runEnded)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			h.stop()
			return
		case <-h.wake:
		case <-timer.C:
		}
		h.mu.Lock()
		now := h.engine.Now()
		jobs := append(h.queue, &job{e: h.table.Tick(now), done: make(chan struct{})})
		h.queue = nil
		next := maxTick
		if at := h.table.Next(); at > 0 {
			next = max(minTick, min(maxTick, time.Duration(at-now)*time.Microsecond))
		}
		h.mu.Unlock()
		h.apply(jobs)
		timer.Reset(next)
	}
}

func (h *Host) stop() {
	h.mu.Lock()
	jobs := h.queue
	h.queue, h.disabled, h.stopped = nil, true, true
	h.table.Disable()
	h.mu.Unlock()
	h.fail(jobs)
}

func (h *Host) fail(jobs []*job) {
	for _, j := range jobs {
		j.failed = true
		close(j.done)
	}
}

// apply writes the rows of many calls in one step and then applies their other effects.
func (h *Host) apply(jobs []*job) {
	var rows []channels.Row
	for _, j := range jobs {
		rows = append(rows, j.e.Rows...)
	}
	if len(rows) > 0 {
		if err := h.store.Write(rows); err != nil {
			h.log.Error("channels stop here until a restart: their state cannot be written", zap.Error(err))
			h.mu.Lock()
			h.disabled = true
			h.table.Disable()
			jobs = append(jobs, h.queue...)
			h.queue = nil
			h.mu.Unlock()
			h.fail(jobs)
			return
		}
	}
	for _, j := range jobs {
		close(j.done)
		for _, m := range j.e.PeerMessages {
			h.send(m)
		}
		for _, id := range j.e.Release {
			h.release(id)
		}
		for _, g := range j.e.Aborts {
			h.abort(g)
		}
	}
}

func (h *Host) release(id string) {
	h.mu.Lock()
	if x := h.pending[id]; x != nil {
		x.ready = true
	}
	h.mu.Unlock()
	h.resumeIfReady(id)
}

func (h *Host) abort(g channels.Abort) {
	h.mu.Lock()
	x := h.pending[g.ID]
	if x == nil {
		h.mu.Unlock()
		return
	}
	if x.resumed {
		x.abandoned, x.retryAfter = true, g.RetryAfter
		h.mu.Unlock()
		h.engine.Abandon(g.ID, g.RetryAfter)
		return
	}
	delete(h.pending, g.ID)
	if x.ready { // the table considers it handed to the engine
		h.enqueue(h.table.Ended(h.engine.Now(), x.m.Channel, x.m.Pos, false, false))
	}
	h.mu.Unlock()
	h.engine.AbandonStored(x.m, g.RetryAfter)
}

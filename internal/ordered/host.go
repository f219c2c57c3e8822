// Package ordered runs the decisions of internal/channels: one lock, rows to a store in one durable step for many calls, letters to
// other senders, messages to the engine when their turn has come.
package ordered

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"ravenlink/internal/channels"
	"ravenlink/internal/post"
	"ravenlink/internal/ranked"
	"ravenlink/internal/relay"
	"ravenlink/internal/spool"
)

// Store keeps rows. Write puts all of them or none on disk; a row without a value is deleted.
type Store interface {
	Write(rows []channels.Row) error
	Rows() ([]channels.Row, error)
}

// Engine carries messages; relay.Engine is one.
type Engine interface {
	Now() int64
	Keep(m *spool.Message) error
	Await(m *spool.Message)
	Over(m *spool.Message)
	Resume(m *spool.Message)
	GiveUp(m *spool.Message, advice int64)
	Abandon(id string, advice int64)
}

const (
	mostQueued = 4096                   // calls whose effects are not yet carried out; letters beyond are dropped, for they are repeated
	aMoment    = int64(100_000)         // µs; for a client whose message another connection hands in right now
	noStore    = int64(1_000_000)       // µs; for clients of a sender that cannot write
	longest    = 500 * time.Millisecond // between looks at what is due
	shortest   = time.Millisecond
)

// ErrPaused says that channels take nothing in here for now.
var ErrPaused = errors.New("channels: their state cannot be written")

// Host is one sender's part in channels. Its lock leads to no other and is held over no I/O.
type Host struct {
	log    *zap.Logger
	engine Engine
	store  Store
	send   func(post.Letter[channels.Msg]) // must not block
	settle int64                           // µs for which a leg that may still run keeps the next message back

	mu        *ranked.Mutex
	table     *channels.Table
	held      map[string]*held // by id; emptied as messages end
	queue     []*job           // effects not yet carried out, in the order of the calls
	paused    bool             // the store takes no rows, or was not read yet
	unread    *unread          // nil once the store was read
	stopped   bool             // Run has ended: what is held stays owed to the next process
	older     uint64           // the latest start of this folder that the fleet has seen
	dropped   int              // letters
	unwritten unwritten        // Run's alone

	wake chan struct{}
	over chan struct{} // closed when Run has ended
}

// held is a message taken on here.
type held struct {
	m        *spool.Message
	answered bool // its client has the answer, or surely never will
	due      bool // its turn has come
	going    bool // it is with the decisions

	abandoned bool // while it was with the decisions
	advice    int64
}

// job is what one call asks for.
type job struct {
	e     channels.Effects
	taken *spool.Message // that the call took on; nil for none
	done  chan struct{}  // closed once its rows are on disk, or cannot be
	bad   bool
}

// New makes a host; Run sets it going.
func New(log *zap.Logger, engine Engine, store Store, table *channels.Table, send func(post.Letter[channels.Msg]), settle int64) *Host {
	return &Host{log: log, engine: engine, store: store, table: table, send: send, settle: settle, held: map[string]*held{},
		mu: ranked.New(ranked.Channels, "channels"), wake: make(chan struct{}, 1), over: make(chan struct{})}
}

// Declare takes a contract on; without an error it is on this sender's disk.
func (h *Host) Declare(k channels.Contract) error {
	h.mu.Lock()
	if h.paused {
		h.mu.Unlock()
		return ErrPaused
	}
	e, err := h.table.Declare(h.engine.Now(), k)
	if err != nil {
		h.mu.Unlock()
		return err
	}
	return h.wait(h.add(e))
}

// OwedAgain tells whether a position of a channel is owed again by its client where its message ends undelivered; so it is where the contract
// is not known here.
func (h *Host) OwedAgain(channel string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.table.Passes(channel)
}

// Forget lets go of all that is known of channels to some destinations, and names the rows that went.
func (h *Host) Forget(dsts []int64) ([]string, error) {
	h.mu.Lock()
	if h.paused {
		h.mu.Unlock()
		return nil, ErrPaused
	}
	e, gone := h.table.Forget(h.engine.Now(), dsts)
	return gone, h.wait(h.add(e))
}

// Heard takes a letter in.
func (h *Host) Heard(from string, m channels.Msg) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.paused || len(h.queue) >= mostQueued {
		h.dropped++
		return
	}
	h.add(h.table.Heard(h.engine.Now(), from, m))
}

// HandIn decides on a message. It waits for this sender's disk and for no link.
func (h *Host) HandIn(m *spool.Message, _ int) relay.Word {
	in := channels.In{Channel: m.Channel, Pos: m.Pos, ID: m.ID, Key: m.OrderKey, Dst: m.Dst, Until: m.Expires, Settle: h.settle, Look: true}
	h.mu.Lock()
	v, e := h.table.HandIn(h.engine.Now(), in)
	j := h.add(e)
	if v.Way != channels.Taken {
		if v.Way != channels.Doubled {
			h.mu.Unlock()
			return word(v)
		}
		if err := h.wait(j); err != nil { // the first one's rows come before
			return relay.Word{Wait: noStore, Pos: -1}
		}
		return word(v)
	}
	if h.held[m.ID] != nil {
		h.mu.Unlock()
		return relay.Word{Wait: aMoment, Pos: v.Pos}
	}
	h.held[m.ID] = &held{m: m}
	h.mu.Unlock()
	return h.take(m, in)
}

// take writes a message down and then has it taken on.
func (h *Host) take(m *spool.Message, in channels.In) relay.Word {
	forget := func() {
		h.mu.Lock()
		h.letGo(m)
		h.mu.Unlock()
	}
	if err := h.engine.Keep(m); err != nil {
		forget()
		return h.notKept(err)
	}
	in.Look = false
	h.mu.Lock()
	if !h.has(m) { // its deadline has ended it
		h.mu.Unlock()
		return relay.Word{Wait: aMoment, Pos: -1}
	}
	v, e := h.table.HandIn(h.engine.Now(), in)
	j := h.add(e)
	if v.Way != channels.Taken {
		h.letGo(m)
		h.mu.Unlock()
		h.engine.Over(m)
		return word(v)
	}
	j.taken = m
	if err := h.wait(j); err != nil {
		forget()
		h.engine.Over(m)
		return relay.Word{Wait: noStore, Pos: -1}
	}
	w := word(v)
	w.Then = func() { h.answered(m.ID) }
	return w
}

// has tells whether a message is held, and not another of its id; mu is held.
func (h *Host) has(m *spool.Message) bool {
	x := h.held[m.ID]
	return x != nil && x.m == m
}

// letGo holds a message no longer; mu is held.
func (h *Host) letGo(m *spool.Message) {
	if h.has(m) {
		delete(h.held, m.ID)
	}
}

// notKept answers a hand-in that the spool did not take.
func (h *Host) notKept(err error) relay.Word {
	switch {
	case errors.Is(err, spool.ErrTwice):
		return relay.Word{Cause: "this id is taken on already", Pos: -1}
	case errors.Is(err, spool.ErrEnding):
		return relay.Word{Wait: aMoment, Pos: -1}
	}
	h.log.Warn("not taken on", zap.Error(err))
	return relay.Word{Wait: noStore, Pos: -1}
}

func word(v channels.Verdict) relay.Word {
	return relay.Word{OK: v.Way == channels.Taken || v.Way == channels.Doubled, Cause: v.Cause, Wait: v.Wait, Pos: v.Pos}
}

// Gone says that a connection that used a channel has ended.
func (h *Host) Gone(channel string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Gone(channel)
}

// MayBegin is asked right before a leg's first byte.
func (h *Host) MayBegin(m *spool.Message) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.MayBegin(h.engine.Now(), m.Channel, m.Pos)
}

// Ended says that a message is over, which was released or waited to its deadline.
func (h *Host) Ended(m *spool.Message, delivered, mayRun bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unread != nil {
		h.unread.over(m)
		return
	}
	h.letGo(m)
	h.add(h.table.Ended(h.engine.Now(), m.Channel, m.Pos, delivered, mayRun))
}

// Postponed says that a message which was released did not begin, for its channel had ceased to be this sender's. It waits for its turn again,
// unless it was abandoned meanwhile.
func (h *Host) Postponed(m *spool.Message, mayRun bool) {
	h.mu.Lock()
	x := h.held[m.ID]
	if x == nil || h.stopped {
		h.mu.Unlock()
		return
	}
	x.due, x.going = false, false
	h.add(h.table.Postponed(h.engine.Now(), m.Channel, m.Pos, mayRun))
	over, advice := x.abandoned, x.advice
	if over {
		delete(h.held, m.ID)
	}
	h.mu.Unlock()
	if over {
		h.engine.GiveUp(m, advice)
	}
}

// Leave has every channel handed over: the process is about to end.
func (h *Host) Leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.add(h.table.Leave(h.engine.Now()))
}

// Wait waits until Run has ended.
func (h *Host) Wait() { <-h.over }

// Older says that this sender's folder is an older copy, of which the fleet has seen a later start: what it knows of promises and positions is
// not to be trusted. All of it is forgotten, and what is held ends.
func (h *Host) Older(start uint64) {
	h.mu.Lock()
	if start <= h.older {
		h.mu.Unlock()
		return
	}
	h.older = start
	e := h.table.Reset(h.engine.Now(), start)
	ends := e.GiveUp
	e.GiveUp = nil
	h.add(e)
	h.mu.Unlock()
	h.log.Error("channels begin anew here: the folder is an older copy", zap.Uint64("start", start), zap.Int("given_up", len(ends)))
	for _, g := range ends {
		h.giveUp(g)
	}
}

// View is for an operator's eyes.
func (h *Host) View() ([]channels.Seen, channels.Counts) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.View(), h.table.Count()
}

// answered lets a message go whose client has its answer.
func (h *Host) answered(id string) {
	h.mu.Lock()
	x := h.held[id]
	if x != nil {
		x.answered = true
	}
	h.mu.Unlock()
	h.goOn(id)
}

// goOn hands a message to the decisions, once its turn has come and its client is answered.
func (h *Host) goOn(id string) {
	h.mu.Lock()
	x := h.held[id]
	goes := x != nil && x.due && x.answered && !x.going
	if goes {
		x.going = true
	}
	h.mu.Unlock()
	if goes {
		h.engine.Resume(x.m)
	}
}

// add queues a call's effects; mu is held.
func (h *Host) add(e channels.Effects) *job {
	j := &job{e: e, done: make(chan struct{})}
	if h.stopped {
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

// wait lets mu go and waits until a job's rows are on disk.
func (h *Host) wait(j *job) error {
	h.mu.Unlock()
	<-j.done
	if j.bad {
		return ErrPaused
	}
	return nil
}

// Run carries effects out, in order, until ctx ends; what then waits is answered that it cannot be.
func (h *Host) Run(ctx context.Context) {
	defer close(h.over)
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
		h.readAgain()
		h.mu.Lock()
		now := h.engine.Now()
		jobs := append(h.queue, &job{e: h.table.Tick(now), done: make(chan struct{})})
		h.queue = nil
		next := longest
		if at := h.table.Next(); at > 0 {
			next = max(shortest, min(longest, time.Duration(at-now)*time.Microsecond))
		}
		h.mu.Unlock()
		h.carryOut(jobs)
		timer.Reset(next)
	}
}

func (h *Host) stop() {
	h.mu.Lock()
	jobs := h.queue
	h.queue, h.stopped = nil, true
	h.table.Break()
	h.mu.Unlock()
	h.fail(jobs)
}

func (h *Host) fail(jobs []*job) {
	for _, j := range jobs {
		j.bad = true
		close(j.done)
	}
}

// carryOut writes the rows of many calls in one step, then does the rest.
func (h *Host) carryOut(jobs []*job) {
	if err := h.write(jobs); err != nil {
		h.pause(jobs, err)
		return
	}
	for _, j := range jobs {
		close(j.done)
		for _, l := range j.e.Letters {
			h.send(l)
		}
		for _, id := range j.e.Release {
			h.release(id)
		}
		for _, g := range j.e.GiveUp {
			h.giveUp(g)
		}
	}
}

func (h *Host) release(id string) {
	h.mu.Lock()
	if x := h.held[id]; x != nil {
		x.due = true
	}
	h.mu.Unlock()
	h.goOn(id)
}

func (h *Host) giveUp(g channels.GivenUp) {
	h.mu.Lock()
	x := h.held[g.ID]
	if x == nil {
		h.mu.Unlock()
		return
	}
	if x.going {
		x.abandoned, x.advice = true, g.Advice
		h.mu.Unlock()
		h.engine.Abandon(g.ID, g.Advice)
		return
	}
	delete(h.held, g.ID)
	if x.due { // the table thinks it with the decisions
		h.add(h.table.Ended(h.engine.Now(), x.m.Channel, x.m.Pos, false, false))
	}
	h.mu.Unlock()
	h.engine.GiveUp(x.m, g.Advice)
}

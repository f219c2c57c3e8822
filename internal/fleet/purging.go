package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"ravenlink/internal/fleetlog"
	"ravenlink/internal/links"
	"ravenlink/internal/members"
	"ravenlink/internal/post"
	"ravenlink/internal/purge"
	"ravenlink/internal/ranked"
)

const (
	memoForm  = 1        // of the records that hold a memo
	memoPart  = 24 << 10 // bytes of a memo in one record
	mostActs  = 256      // waiting to be carried out; a further one failed, and comes again
	tickGap   = 200_000  // µs between ticks, once this sender serves: nothing is repeated more often than each second
	destroyed = "operator's file"
)

var (
	purgeKey    = Key("purge")
	errActs     = errors.New("too much waits to be erased")
	errPurgeOff = errors.New("this sender takes no orders")
	errUnsaved  = errors.New("not on disk")
)

// Cuts is a tenant and up to where what it handed in here is fenced off.
type Cuts struct {
	Tenant     Tenant
	Held, Kept int64
}

// Eraser does on this sender what a purge asks for. Its calls may take long and are made one at a time, under no lock.
type Eraser interface {
	Mark() int64                                    // above all taken on so far
	Refuse(all []Cuts)                              // what is older, from now on
	Recall(t Tenant, cut int64) (ended, open int64) // open: of those not over yet
	Erase(t Tenant, k purge.Kinds, cut int64) (purge.Counts, error)
	Holds(t Tenant, k purge.Kinds, cut int64) (int64, error)
	Post(n purge.Notice) error
}

// forgetter is a part that learned something of destinations.
type forgetter interface {
	forget(dsts []int64) (int64, error)
}

// purging takes part in purges.
type purging struct {
	r       *Runtime
	mu      *ranked.Mutex
	machine *purge.Machine
	eraser  Eraser
	acts    chan purge.Act
	ready   atomic.Bool
	unsaved []purge.Act // of outs whose memo could not be written; of the purge's worker alone
	dirty   bool
	ticked  int64 // of the ticking goroutine alone
}

// TakeOrders has this sender take part in purges. It comes before Run; nothing of what is fenced off was resumed then.
func (r *Runtime) TakeOrders(e Eraser) error {
	if r.table.Orders == nil {
		return nil
	}
	memo, err := r.readMemo()
	if err != nil {
		return err
	}
	var names []string
	for _, t := range r.table.Tenants {
		names = append(names, t.Name)
	}
	me := purge.Me{Name: r.table.Self, Folder: r.id.Folder, Incarnation: r.id.Incarnation, Boot: rand.Uint64()}
	p := &purging{r: r, mu: ranked.New(ranked.Purge, "purge"), machine: purge.New(me, names, memo), eraser: e,
		acts: make(chan purge.Act, mostActs)}
	r.purging = p
	r.add(p)
	p.refuse()
	p.turn(p.machine.Begin)
	for _, t := range r.table.Tenants { // segments of another copy of the folder
		held, kept := p.machine.Cut(t.Name, purge.Held), p.machine.Cut(t.Name, purge.Kept)
		for k, cut := range map[purge.Kinds]int64{purge.Held: held, purge.Kept: kept} {
			if n, err := e.Holds(t, k, cut); cut > 0 && (err != nil || n > 0) {
				p.turn(func(now int64) purge.Out { return p.machine.Found(now, t.Name) })
			}
		}
	}
	return nil
}

// Ready tells whether this sender may say that it serves: what it has is not older than what others have fenced off, as far as it can know.
func (r *Runtime) Ready() bool { return r.purging == nil || r.purging.ready.Load() }

// TakeOrder takes an order on. Without an error it is on this sender's disk.
func (r *Runtime) TakeOrder(body []byte) error {
	if r.purging == nil {
		return errPurgeOff
	}
	o, err := purge.Parse(body)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	p := r.purging
	if !r.pool.Do(purgeKey, func() {
		var refused error
		saved := p.turn(func(now int64) (out purge.Out) {
			out, refused = p.machine.Accept(now, o)
			return out
		})
		if refused == nil && !saved {
			refused = errUnsaved
		}
		done <- refused
	}) {
		return ErrBusy
	}
	if err := <-done; !errors.Is(err, errUnsaved) {
		return err
	}
	return ErrBusy
}

// ErrBusy says that an order may be handed in again later.
var ErrBusy = errors.New("not just now")

func (p *purging) Kind() links.Kind { return links.Purge }

func (p *purging) Hear(from string, f links.Frame) error {
	m, err := decode[purge.Msg](f.Body)
	if err != nil {
		return err
	}
	p.do(func(now int64) purge.Out { return p.machine.Hear(now, from, m) })
	return nil
}

func (p *purging) Tick() {
	now := p.r.now()
	if p.ready.Load() && now-p.ticked < tickGap {
		return
	}
	p.ticked = now
	p.do(p.machine.Tick)
	p.do(func(now int64) (out purge.Out) {
		p.ready.Store(p.machine.Ready(now))
		return out
	})
}

func (p *purging) Seen(_ int64, v members.View) {
	p.do(func(now int64) purge.Out { return p.machine.Seen(now, v) })
	for _, d := range p.r.table.Destroyed {
		p.do(func(now int64) purge.Out { return p.machine.Declare(now, d.Sender, d.number(), destroyed) })
	}
}

func (p *purging) Leave(int64) {}

func (p *purging) do(event func(now int64) purge.Out) {
	p.r.pool.Do(purgeKey, func() { p.turn(event) })
}

// turn has an event taken in, and carries out what comes of it once it is on disk. It runs on the purge's worker, or before that does.
func (p *purging) turn(event func(now int64) purge.Out) (saved bool) {
	p.mu.Lock()
	out := event(p.r.now())
	save := out.Save || p.dirty
	var memo purge.Memo
	if save {
		memo = p.machine.Memo()
	}
	p.mu.Unlock()
	for _, n := range out.Notes {
		p.r.log.Info(n)
	}
	p.unsaved = append(p.unsaved, out.Acts...)
	if save {
		if err := p.write(memo); err != nil {
			p.dirty = true // letters are repeated, acts wait
			p.r.counts.unwritten.Inc()
			p.r.log.Error("purges not on disk", zap.Error(err))
			return false
		}
		p.dirty = false
		p.refuse()
	}
	acts := p.unsaved
	p.unsaved = nil
	for _, a := range acts {
		select {
		case p.acts <- a:
		default:
			p.did(a, purge.Done{Fault: errActs.Error()})
		}
	}
	if p.r.links != nil {
		p.send(out.Letters)
	}
	return true
}

func (p *purging) send(letters []post.Letter[purge.Msg]) {
	for i := range letters {
		if letters[i].To == "" {
			panic("purge: a letter to all")
		}
	}
	send(p.r, links.Purge, letters)
}

// refuse puts all fences in force where messages come in.
func (p *purging) refuse() {
	var all []Cuts
	p.mu.Lock()
	for _, t := range p.r.table.Tenants {
		c := Cuts{t, p.machine.Cut(t.Name, purge.Held), p.machine.Cut(t.Name, purge.Kept)}
		if c.Held > 0 || c.Kept > 0 {
			all = append(all, c)
		}
	}
	p.mu.Unlock()
	p.eraser.Refuse(all)
}

func (p *purging) did(a purge.Act, d purge.Done) {
	d.Kind, d.Key, d.Round = a.Kind, a.Key, a.Round
	if a.Notice != nil {
		d.Notice = a.Notice.ID
	}
	p.do(func(now int64) purge.Out { return p.machine.Did(now, d) })
}

// run carries acts out until ctx ends. What is cut short begins again at the next start.
func (p *purging) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-p.acts:
			p.did(a, p.carryOut(a))
		}
	}
}

func (p *purging) carryOut(a purge.Act) (d purge.Done) {
	ranked.Free("carrying out a purge")
	t, listed := p.r.table.tenant(a.Key.Tenant)
	var err error
	switch {
	case a.Kind == purge.Post:
		err = p.eraser.Post(*a.Notice)
	case !listed:
		err = purge.ErrTenant
	case a.Kind == purge.Fence:
		d.Cut = p.eraser.Mark()
	case a.Kind == purge.Recall && a.Kinds&purge.Held != 0:
		var open int64
		if d.Counts.Ended, open = p.eraser.Recall(t, a.Cut); open > 0 {
			err = fmt.Errorf("%d messages under way", open)
		}
	case a.Kind == purge.Erase:
		d.Counts, err = p.eraser.Erase(t, a.Kinds, a.Cut)
		if err == nil && a.Kinds&purge.Learned != 0 {
			d.Counts.Learned, err = p.forget(t)
		}
	case a.Kind == purge.Verify:
		d.Found, err = p.eraser.Holds(t, a.Kinds, a.Cut)
	}
	if err != nil {
		d.Fault = err.Error()
	}
	return d
}

// forget has the other parts forget what they learned of destinations that are the tenant's alone.
func (p *purging) forget(t Tenant) (n int64, err error) {
	for _, part := range p.r.order {
		if f, any := part.(forgetter); any {
			some, fault := f.forget(t.alone())
			n += some
			err = errors.Join(err, fault)
		}
	}
	return n, errors.Join(err, p.r.store.Wipe(fleetlog.Purge)) // and nothing of theirs in the log's free pages
}

// write has a memo outlast the process; what ended longest ago gives way if there is no room.
func (p *purging) write(m purge.Memo) error {
	for {
		err := p.r.writeMemo(m)
		if !errors.Is(err, fleetlog.ErrFull) {
			return err
		}
		p.mu.Lock()
		shed := p.machine.Shed()
		m = p.machine.Memo()
		p.mu.Unlock()
		if !shed {
			return err
		}
	}
}

func memoName(i int) string { return fmt.Sprintf("memo %04d", i) }

// writeMemo has a memo outlast the process, in one step.
func (r *Runtime) writeMemo(m purge.Memo) error {
	ranked.Free("writing to the fleet's log")
	whole, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	var rs []fleetlog.Record
	for part := range slices.Chunk(whole, memoPart) {
		rs = append(rs, fleetlog.Record{Bucket: fleetlog.Purge, Key: memoName(len(rs)), Version: memoForm, Value: part})
	}
	rs = append(rs, fleetlog.Record{Bucket: fleetlog.Purge, Key: "parts", Version: memoForm, Value: fmt.Append(nil, len(rs))})
	return r.store.Put(rs...)
}

func (r *Runtime) readMemo() (m purge.Memo, err error) {
	head, found, err := r.store.Get(fleetlog.Purge, "parts")
	if err != nil || !found {
		return m, err
	}
	n, whole := 0, []byte(nil)
	if _, err := fmt.Sscan(string(head.Value), &n); err != nil {
		return m, fmt.Errorf("purges of an earlier start: %w", err)
	}
	for i := range n {
		rec, found, err := r.store.Get(fleetlog.Purge, memoName(i))
		if err != nil || !found || rec.Version != memoForm {
			return m, fmt.Errorf("purges of an earlier start: record %d cannot be read: %w", i, errors.Join(err, errTorn))
		}
		whole = append(whole, rec.Value...)
	}
	if err := cbor.Unmarshal(whole, &m); err != nil {
		return m, fmt.Errorf("purges of an earlier start: %w", err)
	}
	return m, nil
}

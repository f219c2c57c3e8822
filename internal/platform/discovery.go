package platform

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ravenlink/internal/protocol"
	"ravenlink/internal/routing"
	"ravenlink/internal/told"
	"ravenlink/internal/transport"
)

// Where lists are pushed, what the agent holds counts as told at once: while no watch is up a call is always out, and the next begins beside
// it. Where they are asked for, what discovery has counts as told 6 s after it could be reached, and 6 s after a watch fell silent: that has to
// be seen, one call may hang, and the next is answered (2.5 + 0.3 + 2.2 + 0.3 s); 4 s after a move (0.8 + 2.2 + 0.3 s).
const (
	silence      = 2500 * time.Millisecond // without an object or a beat, which comes every 2 s, after which a watch is opened anew
	pushedFirst  = 600 * time.Millisecond  // for the first answer where the agent holds the list; it answers at once
	pushedNext   = 200 * time.Millisecond  // from a call to the next beside it, by a draw from half to all: six are out at most, and one whose list grows
	askedFirst   = 2200 * time.Millisecond // where a call goes through to discovery, which fails it after 2 s if it is busy
	askedSoon    = 300 * time.Millisecond  // before a call that nobody asks for, by a draw: the watch fell silent, the call before failed
	movedSoon    = 800 * time.Millisecond  // likewise when discovery moved: all senders hear of that at once
	unaskedCalls = 2                       // then the module says when
	steadyFrom   = 64 << 10                // bytes of text of a list, up to which its call has no more time than others
	steadyStep   = 16 << 10                // bytes of text from there from one step of its growth to the next
	largeOn      = 600 * time.Millisecond  // for each further 5,000 members of a large list, counted from the members before; see watch.goesOn
	largeAgain   = 2 * time.Second         // from a list that was too large to the next call, so that discovery need not send it five times a second
)

var (
	errSilent     = errors.New("the watch fell silent")
	errRenumbered = errors.New("discovery has had older lists alone for long: it numbers them anew")
	errBeside     = errors.New("another call reads the large list") // not worth a line in the log
)

// Discovery follows the list of receivers.
type Discovery struct {
	log       *zap.Logger
	router    *routing.Router
	agent     *Agent
	within    time.Duration
	mostList  int64         // bytes of memory for the members of a large list
	onlyAsked bool          // the module says when to watch
	ask       chan struct{} // it said so
	revision  int64         // told to calls; standing's, but for a call that asks for all
	standing  told.Standing
	told      *told.Changes // nil before Known

	began   time.Time // of this follower; times of standing are counted from it
	at      place     // of the latest call
	next    time.Time // no call begins before
	unasked int       // calls left that nobody needs to ask for
	calls   sync.WaitGroup

	dial      func(ctx context.Context, addr string, within time.Duration) (*transport.Conn, error)
	heard     chan struct{} // closed at the first answer
	heardOnce sync.Once
}

// NewDiscovery makes a follower. With onlyAsked it watches only when Asked; a connection comes up within a time or not at all.
// The members of a large list take at most so many bytes of memory in the call that reads it.
func NewDiscovery(log *zap.Logger, router *routing.Router, agent *Agent, within time.Duration, onlyAsked bool, mostList int64) *Discovery {
	return &Discovery{began: time.Now(), log: log, router: router, agent: agent, within: within, onlyAsked: onlyAsked, mostList: mostList, ask: make(chan struct{}, 1),
		dial: transport.Dial, heard: make(chan struct{})}
}

// Known takes the list from before the start, with what an earlier process was told since. That is kept in a folder, in so many bytes.
func (d *Discovery) Known(text []byte, dir string, most int64) error {
	l, err := protocol.ParseList(text)
	if err != nil {
		return fmt.Errorf("known list: %w", err)
	}
	begin := l.Revision
	if d.told, l, err = told.Open(dir, most, l); err != nil {
		d.log.Warn("what an earlier process was told of receivers is not known", zap.Error(err))
	}
	if l.Revision > begin {
		d.log.Info("an earlier process was told more of receivers", zap.Int64("revision", l.Revision), zap.Int64("start_file", begin))
	}
	d.revision, d.standing.Revision = l.Revision, l.Revision
	d.router.List(listings(l), true, true)
	return nil
}

// Heard waits for the first answer, or so long: what the agent holds counts as told from the first moment of a process. Where
// it has to be asked for nothing is told before.
func (d *Discovery) Heard(within time.Duration) {
	if d.onlyAsked {
		return
	}
	select {
	case <-d.heard:
	case <-time.After(within):
	}
}

// Run keeps a watch open until ctx ends.
func (d *Discovery) Run(ctx context.Context) {
	defer d.calls.Wait()
	d.at = d.agent.place()
	for d.due(ctx) {
		var err error
		began := time.Now()
		d.at = d.agent.place()
		moved := d.at.during(ctx, func(here context.Context, addr string) { err = d.follow(here, addr) })
		if ctx.Err() != nil {
			return
		}
		if !moved {
			d.log.Warn("watch on the list broke", zap.Error(err), zap.Int64("revision", d.revision))
		}
		if d.onlyAsked {
			d.broke(moved, err, began)
		}
	}
}

// due waits until a call may begin: where lists are pushed, after a moment; else the module asks, or one is due unasked.
func (d *Discovery) due(ctx context.Context) bool {
	for {
		var asked <-chan struct{}
		var soon <-chan time.Time
		if d.onlyAsked && d.unasked == 0 {
			asked = d.ask
		} else {
			soon = time.After(max(time.Until(d.next), time.Nanosecond)) // none that is past: in a test's bubble the race detector stumbles over it
		}
		select {
		case <-ctx.Done():
			return false
		case <-asked:
			return true
		case <-soon:
			if d.onlyAsked {
				d.unasked--
				d.router.ListAsked()
			}
			return true
		case <-d.at.stays.Done(): // discovery moved with no call out
			d.at = d.agent.place()
			if d.onlyAsked {
				d.again(movedSoon)
			}
		}
	}
}

// broke says when the next call is due where lists are asked for. Danger: the module's span is too long for a watch that fell silent, whose
// loss counts from then, and for a move; and a call that failed at once must come back no sooner than one that hung, for discovery's sake.
func (d *Discovery) broke(moved bool, err error, began time.Time) {
	switch {
	case moved: // the list is not lost: the new address goes on from the same revision
		d.at = d.agent.place()
		d.again(movedSoon)
	case errors.Is(err, errSilent):
		d.again(askedSoon)
	case d.unasked > 0:
		d.next = began.Add(askedFirst + rand.N(askedSoon))
	default:
		select {
		case <-d.ask: // said while a watch was up; it is the module's to say when
		default:
		}
		d.router.ListLost()
	}
}

// again has calls made that nobody asks for, the first within a time, by a draw.
func (d *Discovery) again(within time.Duration) {
	d.next, d.unasked = time.Now().Add(rand.N(within)), unaskedCalls
}

// Asked says that the module wants a watch.
func (d *Discovery) Asked() {
	select {
	case d.ask <- struct{}{}:
	default:
	}
}

// watch is an open one that has brought its first object.
type watch struct {
	conn    *transport.Conn
	objects *protocol.Watch
	first   protocol.List
	close   context.CancelFunc
	large   bool      // it has the place of the call that reads a large list
	steady  bool      // it has the place of the call that has time while its list grows
	stepped time.Time // its list grew by a step then; of a race's call alone

	nextStep int64     // bytes of text of its list, at which it has grown by a step
	until    time.Time // for the whole object or beat that is read
}

// within sets the time limit for what is read next.
func (w *watch) within(d time.Duration) { w.limit(time.Now().Add(d)) }

func (w *watch) limit(until time.Time) {
	w.until = until
	_ = w.conn.SetDeadline(until)
}

// goesOn is the one exception to a limit for a whole object: where a large list has grown by another 5,000 members, there are 0.6 s for the
// next, so one that streams steadily is read to its end, and one that hangs or trickles is found out in that time. Up to 1 MiB of text and
// 3 MiB of memory nothing of it holds, but where lists are pushed for the one call of contest.grown.
func (w *watch) goesOn() {
	if time.Until(w.until) < largeOn {
		w.within(largeOn)
	}
}

// follow follows the list at one address until its watch breaks.
func (d *Discovery) follow(ctx context.Context, addr string) error {
	w, err := d.open(ctx, addr)
	if err != nil {
		return err
	}
	defer w.close()
	w.objects.Limit(d.mostList, func() error { w.goesOn(); return nil })
	w.objects.Grown(func(int64) {})
	d.unasked = 0
	if err := d.take(w.first); err != nil {
		return err
	}
	w.first = protocol.List{} // a large one is not kept as long as the watch
	d.heardOnce.Do(func() { close(d.heard) })
	for {
		w.within(silence) // for a whole object or beat: bytes alone show no life
		l, beat, err := w.objects.Next()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return errSilent
		case err != nil:
			return err
		case !beat:
			if err := d.take(l); err != nil {
				return err
			}
		}
	}
}

// open opens a watch, by one call where lists are asked for.
func (d *Discovery) open(ctx context.Context, addr string) (w *watch, err error) {
	if !d.onlyAsked {
		return d.race(ctx, addr)
	}
	here, leave := context.WithCancel(ctx)
	if w, err = d.call(here, addr, d.revision, askedFirst, &contest{large: make(chan struct{}, 1)}); err != nil {
		leave()
		return nil, err
	}
	w.close = leave
	return w, nil
}

// contest is what the calls of a race have in common.
type contest struct {
	won              chan *watch
	large            chan struct{} // the place of the call that reads a large list; emptied as that fails
	steady           chan struct{} // likewise, of the one call that has time while its list grows; nil where lists are asked for
	began            time.Time
	grew             atomic.Int64 // when that call's list grew last, in ns since the beginning of the race; 0 while there is none
	warned, tooLarge sync.Once    // in the log
}

// grown notes that the list of a call has grown, and has the one call whose list is beyond 64 KiB go on as long as it grows by two steps of
// 16 KiB within 0.6 s; time is counted from the step before, so a list that begins to trickle just before a step is found out in 0.6 s too.
// Danger: a sender that has a fiftieth of a core cannot read 1 MiB in 0.6 s, and calls beside one another, each cut off in that time, let none
// of them come to its end. So others are held back from the first 4 KiB on: where five have begun by the time one is at 64 KiB, each of its
// further steps takes longer than the pause to the next call, and they go on beginning.
func (among *contest) grown(w *watch, text int64) {
	now, before := time.Now(), w.stepped
	step := text >= w.nextStep
	if step {
		w.stepped = now
		w.nextStep = text - text%steadyStep + steadyStep
	}
	if !w.steady {
		select {
		case among.steady <- struct{}{}:
			w.steady = true
		default:
			return // another has it, and this one keeps its limit
		}
	}
	among.grew.Store(int64(now.Sub(among.began)))
	if until := before.Add(largeOn); step && !before.IsZero() && until.After(w.until) {
		w.limit(until)
	}
}

// leaves gives back the places that a call has.
func (among *contest) leaves(w *watch) {
	if w == nil {
		return
	}
	if w.large {
		<-among.large
	}
	if w.steady {
		among.grew.Store(0)
		<-among.steady
	}
}

// latest is when the newest call began, or the list of the steady one grew since. Danger: a call that hangs must not be waited for, so
// only growth counts, not that the call is there.
func (among *contest) latest(began time.Time) time.Time {
	if grew := among.began.Add(time.Duration(among.grew.Load())); grew.After(began) {
		return grew
	}
	return began
}

// race makes one call beside the other until one is answered. Danger: the agent is silent while discovery is down, and what it gets at
// the return counts as told at once, so no moment may be without a call, and a call that it has lost must not be waited for. While one reads
// a large list, no other begins: six large lists at once are more than there is memory for. None begins either within 0.1 to 0.2 s of the
// growth of a list by 4 KiB, so that calls do not starve the one that gets on.
func (d *Discovery) race(ctx context.Context, addr string) (*watch, error) {
	race, over := context.WithCancel(ctx)
	defer over()
	among := &contest{began: time.Now(), won: make(chan *watch), large: make(chan struct{}, 1), steady: make(chan struct{}, 1)}
	for {
		if len(among.large) == 0 {
			from := d.revision
			d.calls.Go(func() { d.enter(ctx, race, addr, from, among) })
		}
		began, pause := time.Now(), pushedNext/2+rand.N(pushedNext/2)
		for d.next = began.Add(pause); time.Until(d.next) > 0; d.next = among.latest(began).Add(pause) {
			select {
			case w := <-among.won:
				return w, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(time.Until(d.next)):
			}
		}
	}
}

// enter makes a call that ends with the race, unless it has won it.
func (d *Discovery) enter(ctx, race context.Context, addr string, from int64, among *contest) {
	here, leave := context.WithCancel(ctx)
	out := context.AfterFunc(race, leave)
	w, err := d.call(here, addr, from, pushedFirst, among)
	if in := out(); in && err == nil {
		w.close = leave
		select {
		case among.won <- w:
			return
		case <-race.Done():
		}
	}
	leave()
	switch {
	case err == nil || race.Err() != nil || errors.Is(err, errBeside):
	case errors.Is(err, protocol.ErrTooLarge):
		among.tooLarge.Do(func() { d.log.Error("what is known stays in force", zap.Error(err)) })
	default:
		among.warned.Do(func() { d.log.Warn("call for the list failed, others follow", zap.Error(err)) })
	}
	if errors.Is(err, protocol.ErrTooLarge) {
		select {
		case <-time.After(largeAgain):
		case <-race.Done():
		}
	}
	among.leaves(w)
}

// call makes one call for the changes after a revision. It is over within a time, connecting and first object included, whatever comes; see
// goesOn for a large list, which only the call that finds a place in large reads, and grown for one that gets on; it keeps those places, also as
// it fails. Its connection closes with ctx.
func (d *Discovery) call(ctx context.Context, addr string, from int64, within time.Duration, among *contest) (w *watch, err error) {
	until := time.Now().Add(within)
	c, err := d.dial(ctx, addr, min(d.within, within))
	if err != nil {
		return nil, err
	}
	w = &watch{conn: c, until: until, nextStep: steadyFrom}
	_ = c.SetDeadline(until)
	if err := protocol.WriteWatch(c.W, addr, from); err != nil {
		return nil, err
	}
	if err := c.Flush(); err != nil {
		return nil, err
	}
	if w.objects, err = protocol.NewWatch(c.R); err != nil {
		return nil, err
	}
	w.objects.Grown(func(text int64) { among.grown(w, text) })
	w.objects.Limit(d.mostList, func() error {
		if !w.large {
			select {
			case among.large <- struct{}{}:
				w.large = true
			default:
				return errBeside
			}
		}
		w.goesOn()
		return nil
	})
	for beat := true; beat; { // beats alone tell nothing
		if w.first, beat, err = w.objects.Next(); err != nil {
			_ = c.Close()
			return w, err
		}
	}
	return w, nil
}

// take takes in what a watch has brought, unless it is older than what was told before. An error ends the watch: discovery numbers its lists
// anew, and the next call asks for all.
func (d *Discovery) take(l protocol.List) error {
	switch d.standing.Hear(l.Revision, time.Since(d.began).Microseconds()+1) {
	case told.Older:
		d.log.Warn("an older list changes nothing", zap.Int64("revision", l.Revision), zap.Int64("known", d.revision))
		d.router.List(nil, false, false) // discovery was heard all the same
		return nil
	case told.Begins:
		d.revision = 0
		return errRenumbered
	}
	d.log.Info("list", zap.Int64("revision", l.Revision), zap.Bool("whole", l.Whole), zap.Int("members", len(l.Members)))
	d.revision = l.Revision
	if d.told != nil { // first: from the moment in which a list is in force, the next process keeps to it too
		if err := d.told.Take(l); err != nil {
			d.log.Warn("what was told of receivers is not kept for the next process", zap.Error(err))
		}
	}
	d.router.List(listings(l), l.Whole, false)
	return nil
}

func listings(l protocol.List) []routing.Listing {
	ls := make([]routing.Listing, 0, len(l.Members))
	for _, m := range l.Members {
		ls = append(ls, routing.Listing{ID: m.ID, Addr: m.Addr, Zone: m.Zone, Kind: m.Kind, Dst: m.Dst, Weight: m.Weight,
			Listed: m.Serving})
	}
	return ls
}

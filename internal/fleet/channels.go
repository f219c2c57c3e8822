package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ravenlink/internal/channels"
	"ravenlink/internal/fleetlog"
	"ravenlink/internal/links"
	"ravenlink/internal/members"
	"ravenlink/internal/ordered"
	"ravenlink/internal/post"
	"ravenlink/internal/strict"
)

// Channels turns on ordering contracts. Spans left out are the usual ones.
type Channels struct {
	Most  int         `toml:"most"`  // channels known at once; left out: as many as the fleet's log holds
	Held  int         `toml:"held"`  // messages held over all channels
	Lease strict.Span `toml:"lease"` // for which an owner goes on without a majority of a channel's electors
	Leg   strict.Span `toml:"leg"`   // the longest that a leg is out, with the settle time after it
	Live  strict.Span `toml:"live"`  // after its last hand-in, for which a client keeps other senders off
	Drain strict.Span `toml:"drain"` // for which an owner that gives a channel up goes on with what has not begun
	Idle  strict.Span `toml:"idle"`  // after which an unused channel is given back
}

const (
	channelBytes = 2 << 10 // of the fleet's log for a channel: an elector's row, an owner's and some messages, at the usual window
	usualHeld    = 1000
	mostChannels = 1_000_000
	channelForm  = 1 // of a row
)

// room is how many channels the fleet's log holds.
func (t Table) room() int { return int(max(1, fleetlog.Room(t.Bytes())/channelBytes)) }

func (c *Channels) fill(t *Table) {
	u := channels.Usual
	c.Most, c.Held = cmp.Or(c.Most, t.room()), cmp.Or(c.Held, usualHeld)
	c.Lease, c.Leg, c.Live = cmp.Or(c.Lease, strict.Span(u.Lease)), cmp.Or(c.Leg, strict.Span(u.Leg)), cmp.Or(c.Live, strict.Span(u.Live))
	c.Drain, c.Idle = cmp.Or(c.Drain, strict.Span(u.Drain)), cmp.Or(c.Idle, strict.Span(u.Idle))
}

func (c Channels) timing(t Table) channels.Timing {
	u := channels.Usual
	return channels.Timing{Lease: int64(c.Lease), Drift: int64(t.DriftPPM), Answer: min(u.Answer, int64(c.Lease)/6), Leg: int64(c.Leg), Live: int64(c.Live),
		Drain: int64(c.Drain), Idle: int64(c.Idle), Forget: u.Forget}
}

func (c Channels) check(t Table, fault func(setting, what string)) {
	if c.Most < 1 || c.Most > mostChannels {
		fault("most", fmt.Sprintf("1 to %d channels", mostChannels))
	} else if c.Most > t.room() {
		fault("most", fmt.Sprintf("the fleet's log holds %d channels; most_mb says more room", t.room()))
	}
	if c.Held < 1 || c.Held > mostChannels {
		fault("held", fmt.Sprintf("1 to %d messages", mostChannels))
	}
	if err := c.timing(t).Check(); err != nil {
		fault("lease", err.Error())
	}
}

// errNotJoined says that the fleet's log is not open yet.
var errNotJoined = errors.New("the fleet cannot be had")

// Ordering is this sender's part in channels. It is there before its fleet: until that is joined no row can be read and no letter is sent.
type Ordering struct {
	Host    *ordered.Host
	LegMost time.Duration // for which a leg of a channel may be out, so that with its settle time it ends within what a later owner waits

	joined atomic.Pointer[Runtime]
}

// Order makes this sender's part in channels, where the table has them; nil where it does not. Settle is the time, in µs, for which a leg that
// may still run keeps the next message back.
func (t Table) Order(log *zap.Logger, engine ordered.Engine, settle int64) (*Ordering, error) {
	c := t.Channels
	if c == nil {
		return nil, nil
	}
	o := &Ordering{LegMost: time.Duration(int64(c.Leg)-settle) * time.Microsecond}
	if o.LegMost <= 0 {
		return nil, fmt.Errorf("fleet.channels.leg of %v is not above the settle time of %v", c.Leg, strict.Span(settle))
	}
	table := channels.New(t.Self, 0, t.Listed(), c.timing(t), channels.Room{Channels: c.Most, Held: c.Held})
	table.Limit(budget{o.log})
	o.Host = ordered.New(log, engine, rows{o.log}, table, o.send, settle)
	return o, nil
}

// Order has channels take part in this fleet. It comes before Run, and the host's Run has to end before the runtime's does.
func (r *Runtime) Order(o *Ordering) {
	o.Host.Begin(r.id.Incarnation)
	o.joined.Store(r)
	r.add(o)
	r.ordering = o
}

// log is the fleet's, nil until that is joined.
func (o *Ordering) log() *fleetlog.Log {
	if r := o.joined.Load(); r != nil {
		return r.store
	}
	return nil
}

func (o *Ordering) send(l post.Letter[channels.Msg]) {
	if r := o.joined.Load(); r != nil {
		send(r, links.Channels, []post.Letter[channels.Msg]{l})
	}
}

// Kind is that of channels' letters.
func (o *Ordering) Kind() links.Kind { return links.Channels }

// Hear gives a letter to the host.
func (o *Ordering) Hear(from string, f links.Frame) error {
	m, err := decode[channels.Msg](f.Body)
	if err == nil {
		o.Host.Heard(from, m)
	}
	return err
}

// Tick has nothing to do: the host has a timer of its own.
func (o *Ordering) Tick() {}

// Seen has channels begin anew where the fleet has seen a later start of this folder.
func (o *Ordering) Seen(_ int64, v members.View) {
	if me, _ := v.Member(v.Self); me.Incarnation > o.joined.Load().id.Incarnation {
		o.Host.Older(me.Incarnation)
	}
}

// Leave waits for the host's last rows.
func (o *Ordering) Leave(int64) { o.Host.Wait() }

// rows keeps channels' rows in the fleet's log.
type rows struct{ log func() *fleetlog.Log }

// budget is the room that the fleet's log has for channels.
type budget struct{ log func() *fleetlog.Log }

func (b budget) Cost(key, value int) int64 { return fleetlog.Cost(key, value) }
func (b budget) Largest() int              { return fleetlog.LargestValue }

func (b budget) Claim(bytes int64) bool {
	log := b.log()
	return log != nil && log.Claim(bytes)
}

func (b budget) Room() int64 {
	if log := b.log(); log != nil {
		return log.ChannelRoom()
	}
	return 0
}

// Write puts the newest value of each key down and forgets what is no more, in one step.
func (s rows) Write(all []channels.Row) error {
	last := map[string]int{}
	for i, r := range all {
		last[r.Key] = i
	}
	var put []fleetlog.Record
	var gone []fleetlog.Key
	for i, r := range all {
		switch {
		case last[r.Key] != i:
		case r.Value == nil:
			gone = append(gone, fleetlog.Key{Bucket: fleetlog.Channels, Key: r.Key})
		default:
			put = append(put, fleetlog.Record{Bucket: fleetlog.Channels, Key: r.Key, Version: channelForm, Value: r.Value})
		}
	}
	log := s.log()
	if log == nil {
		return errNotJoined
	}
	return log.Change(put, gone)
}

// Rows reads all that there are; one of a form that is not known is an error.
func (s rows) Rows() (all []channels.Row, err error) {
	log := s.log()
	if log == nil {
		return nil, errNotJoined
	}
	err = log.Each(fleetlog.Channels, func(r fleetlog.Record) error {
		if r.Version != channelForm {
			return fmt.Errorf("channel row %q is of form %d", r.Key, r.Version)
		}
		all = append(all, channels.Row{Key: r.Key, Value: r.Value})
		return nil
	})
	return all, err
}

// forget lets go of contracts and positions of channels to some destinations, so that none of their bytes is left in the fleet's log.
func (o *Ordering) forget(dsts []int64) (int64, error) {
	gone, err := o.Host.Forget(dsts)
	if err != nil || len(gone) == 0 {
		return 0, err
	}
	return int64(len(gone)), o.log().Wipe(fleetlog.Channels, gone...)
}

// TakeContract takes a contract on. Without an error it is on this sender's disk.
func (r *Runtime) TakeContract(order []byte) error {
	if r.ordering == nil {
		return errors.New("channels are off here")
	}
	k, err := channels.DecodeContract(order)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(r.table.Tenants, func(t Tenant) bool { return t.Name == k.Tenant })
	if i < 0 {
		return fmt.Errorf("tenant: no %q in the operator's file", k.Tenant)
	}
	if !slices.Contains(r.table.Tenants[i].Dst, k.Dst) {
		return fmt.Errorf("dst: destination %d is not tenant %s's in the operator's file", k.Dst, k.Tenant)
	}
	if err := r.ordering.Host.Declare(k); errors.Is(err, ordered.ErrPaused) {
		return ErrBusy
	} else if err != nil {
		return err
	}
	return nil
}

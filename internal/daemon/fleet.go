package daemon

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ravenlink/internal/channels"
	"ravenlink/internal/fleet"
	"ravenlink/internal/platform"
	"ravenlink/internal/routing"
	"ravenlink/internal/startup"
)

const joinAgain = 2 * time.Second // between tries to join a fleet that cannot be had

// membership is a sender's place in its fleet. The fleet is joined before Run or, where it cannot be had then, as soon as it can; until that
// the sender decides alone, and orders and messages of channels are not taken on.
type membership struct {
	table    fleet.Table
	log      *zap.Logger
	ordering *fleet.Ordering               // nil where there are no channels
	joined   atomic.Pointer[fleet.Runtime] // nil before it is joined
}

// May is asked right before a call's first byte.
func (m *membership) May(dst int64) bool {
	r := m.joined.Load()
	return r == nil || r.May(dst)
}

// Came, Began, Paused, TurnedAway and Ended are the relay's Watcher.
func (m *membership) Came(dst int64)       { m.tell((*fleet.Runtime).Came, dst) }
func (m *membership) Began(dst int64)      { m.tell((*fleet.Runtime).Began, dst) }
func (m *membership) Paused(dst int64)     { m.tell((*fleet.Runtime).Paused, dst) }
func (m *membership) TurnedAway(dst int64) { m.tell((*fleet.Runtime).TurnedAway, dst) }
func (m *membership) Ended(dst int64)      { m.tell((*fleet.Runtime).Ended, dst) }

func (m *membership) tell(event func(*fleet.Runtime, int64), dst int64) {
	if r := m.joined.Load(); r != nil {
		event(r, dst)
	}
}

// saw passes on what the module saw.
func (m *membership) saw(receiver string, v routing.Sight) {
	if r := m.joined.Load(); r != nil {
		r.Saw(receiver, v)
	}
}

// ready tells whether the fleet's fences are known here, or cannot be.
func (m *membership) ready() bool {
	r := m.joined.Load()
	return r == nil || r.Ready()
}

// takeOrder tells contracts from other orders.
func (m *membership) takeOrder(order []byte) error {
	r := m.joined.Load()
	switch {
	case r == nil:
		return fleet.ErrBusy
	case channels.IsContract(order):
		return r.TakeContract(order)
	}
	return r.TakeOrder(order)
}

// Fleet has this sender take part in its fleet. It comes before Run. Where the fleet cannot be had, one line says why; the sender serves
// alone, and Run tries again.
func (p *Program) Fleet(t fleet.Table) {
	m := &membership{table: t, log: part(p.log, "fleet")}
	p.fleet = m
	p.router.Gate, p.engine.Watch = m.May, m
	if t.Orders != nil {
		p.eraser = &eraser{p: p}
		p.eraser.cuts.Store(new([]fleet.Cuts))
		p.engine.Fenced = p.eraser.oldMessage
		p.front.Orders = &platform.Orders{Dst: *t.Orders, Take: m.takeOrder, Busy: fleet.ErrBusy}
	}
	p.order(t)
	if err := p.join(); err != nil {
		m.log.Error("this sender goes without the fleet", zap.Error(err))
	}
}

// order has this sender take part in channels, where the table says so.
func (p *Program) order(t fleet.Table) {
	o, err := t.Order(p.fleet.log, p.engine, startup.KeyQuiet(p.settings))
	if err != nil {
		p.fleet.log.Error("channels are off", zap.Error(err))
	}
	if o != nil {
		p.fleet.ordering = o
		p.ordered, p.front.Channels = o.Host, o.Host
		p.engine.Order(o.Host, o.LegMost)
	}
}

// join opens what the fleet needs. Nothing is sent before the runtime runs.
func (p *Program) join() error {
	m := p.fleet
	r, err := p.openFleet(m.table, m.log)
	if err != nil {
		return err
	}
	if p.eraser != nil {
		if err := r.TakeOrders(p.eraser); err != nil {
			m.log.Error("this sender takes no orders", zap.Error(err))
		}
	}
	if startup.OwnLimits(p.settings) {
		r.RoutesApart()
	}
	if m.ordering != nil {
		r.Order(m.ordering)
	}
	m.joined.Store(r)
	return nil
}

// takePart runs the fleet until picking ends: it gives back what was lent as soon as no leg may begin. A fleet that could not be had is tried
// again until this sender is asked to end.
func (p *Program) takePart(asked, picking context.Context) {
	if p.fleet.joined.Load() == nil && !p.joinLate(asked) {
		return
	}
	p.fleet.joined.Load().Run(picking)
}

// joinLate joins the fleet as soon as it can be had. False: this sender was asked to end before.
func (p *Program) joinLate(asked context.Context) bool {
	again := time.NewTicker(joinAgain)
	defer again.Stop()
	for {
		select {
		case <-asked.Done():
			return false
		case <-again.C:
		}
		err := p.join()
		if err != nil {
			p.fleet.log.Debug("this sender goes without the fleet still", zap.Error(err))
			continue
		}
		p.fleet.log.Info("this sender is with its fleet now")
		if p.eraser != nil {
			p.goWork(p.eraser.recallFenced)
		}
		return true
	}
}

// recover takes up what is owed: messages of channels wait there for their turn.
func (p *Program) recover(picking context.Context) {
	if p.spool.Earlier() {
		p.router.Restarted()
	}
	owed := p.spool.Owed()
	if p.eraser != nil {
		owed = p.eraser.giveUp(owed)
	}
	if p.ordered != nil {
		others, err := p.ordered.Restore(owed)
		if err != nil {
			p.fleet.log.Error("channels pause here: what was written cannot be read; it is tried again", zap.Error(err))
		}
		owed = others
		p.goWork(func() { p.ordered.Run(picking) })
	}
	p.engine.Recover(owed)
}

// openFleet counts the fleet's log against the part of the disk that the spool leaves.
func (p *Program) openFleet(t fleet.Table, log *zap.Logger) (*fleet.Runtime, error) {
	if room := p.disk - p.room; t.Bytes() > room {
		return nil, fmt.Errorf("fleet.most_mb of %g does not fit: the spool leaves %.2f MB of the folder", t.MostMB, float64(room)/1e6)
	}
	return fleet.Open(t, p.state, log, p.router)
}

// saw passes on what the module saw, where a fleet wants to know.
func (p *Program) saw(c routing.Chore) {
	if p.fleet != nil {
		p.fleet.saw(c.Receiver.ID, c.Sight)
	}
}

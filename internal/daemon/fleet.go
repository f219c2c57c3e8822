package daemon

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"ravenlink/internal/channels"
	"ravenlink/internal/fleet"
	"ravenlink/internal/platform"
	"ravenlink/internal/routing"
	"ravenlink/internal/startup"
)

// Fleet has this sender take part in its fleet. It comes before Run. Where the fleet cannot be had, one line says why and the sender serves
// alone.
func (p *Program) Fleet(t fleet.Table) {
	log := part(p.log, "fleet")
	r, err := p.openFleet(t, log)
	if err != nil {
		log.Error("this sender goes without the fleet", zap.Error(err))
		return
	}
	if t.Orders != nil {
		e := &eraser{p: p}
		e.cuts.Store(new([]fleet.Cuts))
		if err := r.TakeOrders(e); err != nil {
			log.Error("this sender takes no orders", zap.Error(err))
		} else {
			p.eraser = e
			p.engine.Fenced = e.oldMessage
			p.front.Orders = &platform.Orders{Dst: *t.Orders, Take: takes(r), Busy: fleet.ErrBusy}
		}
	}
	if startup.OwnLimits(p.settings) {
		r.RoutesApart()
	}
	p.fleet = r
	p.router.Gate = r.May
	p.engine.Watch = r
	p.order(r)
}

// takes tells contracts from other orders.
func takes(r *fleet.Runtime) func([]byte) error {
	return func(order []byte) error {
		if channels.IsContract(order) {
			return r.TakeContract(order)
		}
		return r.TakeOrder(order)
	}
}

// order has this sender take part in channels, where the table says so.
func (p *Program) order(r *fleet.Runtime) {
	settle := startup.KeyQuiet(p.settings)
	host, most, err := r.Order(p.engine, settle)
	if err != nil {
		part(p.log, "fleet").Error("channels are off", zap.Error(err))
	}
	if host != nil {
		p.ordered, p.front.Channels = host, host
		p.engine.Order(host, most)
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
			part(p.log, "fleet").Error("channels pause here: what was written cannot be read; it is tried again", zap.Error(err))
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
		p.fleet.Saw(c.Receiver.ID, c.Sight)
	}
}

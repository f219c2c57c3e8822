package daemon

import (
	"context"

	"ravenlink/internal/routing"
)

// chores carries out what belongs to no message: probes, notes to fellows, the watch that the module asks for.
func (p *Program) chores(ctx context.Context) {
	for {
		c, err := p.router.Chore(ctx)
		if err != nil {
			return
		}
		switch c.Kind {
		case routing.Probe:
			p.probes.Add(1)
			p.goWork(func() { p.calls.Probe(ctx, c.Receiver, p.probeFor) })
		case routing.Note:
			if p.notes != nil {
				p.notes.Send(c.Text)
			}
		case routing.Watch:
			p.discovery.Asked()
		case routing.Saw:
			p.saw(c)
		}
	}
}

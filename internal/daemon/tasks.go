package daemon

import (
	"context"

	"ravenlink/internal/routing"
)

// runTasks runs the module's tasks that belong to no message: probes, notes to peers, watches and observations for the fleet.
func (p *Program) runTasks(ctx context.Context) {
	for {
		task, err := p.router.NextTask(ctx)
		if err != nil {
			return
		}
		switch task.Kind {
		case routing.Probe:
			p.probes.Add(1)
			p.goWorker(func() { p.caller.Probe(ctx, task.Receiver, p.probeTimeout) })
		case routing.Note:
			if p.datagrams != nil {
				p.datagrams.Send(task.Text)
			}
		case routing.Watch:
			p.discovery.RequestWatch()
		case routing.ShareObservation:
			p.shareObservation(task)
		}
	}
}

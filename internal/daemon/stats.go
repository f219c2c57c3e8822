package daemon

import (
	"runtime"

	"go.uber.org/zap"

	"ravenlink/choice"
	"ravenlink/internal/routing"
)

// logStats logs the counters and gauges of the sender.
func (p *Program) logStats() {
	t := p.engine.Stats
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	var dropped int64
	if p.datagrams != nil {
		dropped = p.datagrams.Dropped()
	}
	module, clients := p.router.Stats(), p.server.Stats()
	leg := func(r routing.Result) int64 { return t.Legs[r].Load() }
	fields := append(p.backlogFields(), zap.Int64("taken", t.Accepted.Load()), zap.Int64("busy", p.frontend.BusyReplies.Load()),
		zap.Int64("refused", p.frontend.ErrorReplies.Load()), zap.Int64("delivered", t.Delivered.Load()),
		zap.Int64("pushed_back", t.Rejected.Load()), zap.Int64("failed", t.Failed.Load()),
		zap.Int64("legs_turned_away", leg(routing.Refused)), zap.Int64("legs_not_connected", leg(routing.NotConnected)),
		zap.Int64("legs_not_sent", leg(routing.NotSent)), zap.Int64("legs_errored", leg(routing.Errored)),
		zap.Int64("legs_timed_out", leg(routing.TimedOut)), zap.Int64("legs_reset", leg(routing.Reset)),
		zap.Int64("legs_called_off", leg(routing.Cancelled)), zap.Int64("legs_gone", leg(routing.Gone)),
		zap.Int64("legs_out", p.engine.LegsInFlight()), zap.Int("calls_believed", module.Calls), zap.Int("receivers_known", module.Known),
		zap.Int("receivers_closed", module.Closed), zap.Int("receivers_warming", module.Warming), zap.Int("calls_cold", module.ColdCalls), zap.Int64("probes", p.probes.Load()), zap.Int64("notes_dropped", dropped),
		zap.Int("clients", clients.Open), zap.Int("clients_idle", clients.Idle), zap.Int("clients_served", clients.Served),
		zap.Int("clients_taken", clients.Accepted), zap.Int("clients_turned_away", clients.OverLimit),
		zap.Int("clients_let_go_unserved", clients.EvictedUnserved), zap.Int("clients_let_go_served", clients.EvictedServed),
		zap.Int("clients_quiet", clients.IdleTimeouts), zap.Int("clients_begun", clients.CommandTimeouts), zap.Int("clients_crossed", clients.WroteAfterClose),
		zap.Int("owed", p.router.Pending()), zap.Int("notices_owed", p.notices.Pending()),
		zap.Int("connections", p.pool.OpenConns()), zap.Int("goroutines", runtime.NumGoroutine()),
		zap.Uint64("heap_bytes", mem.HeapInuse))
	p.log.Info("counts", append(fields, endFields(module.Ended)...)...)
}

// endFields returns the number of undelivered messages by end reason.
func endFields(counts choice.EndCounts) (fields []zap.Field) {
	for reason, n := range counts {
		fields = append(fields, zap.Int("ended_"+choice.EndReason(reason).String(), n))
	}
	return fields
}

// backlogFields returns the counters of the backlog, none if it is off.
func (p *Program) backlogFields() []zap.Field {
	if p.backlogTable == nil {
		return nil
	}
	t := &p.engine.BacklogStats
	return []zap.Field{zap.Int64("spilled", t.Spilled.Load()), zap.Int64("loaded", t.Loaded.Load()), zap.Int64("resting", p.engine.BacklogSize()),
		zap.Int64("resting_due", t.Due.Load()), zap.Int64("resting_rejected", t.Rejected.Load())}
}

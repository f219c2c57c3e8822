package daemon

import (
	"runtime"

	"go.uber.org/zap"

	"ravenlink/choice"
	"ravenlink/internal/routing"
	"ravenlink/internal/transport"
)

// countLine writes how things stand.
func (p *Program) countLine() {
	t := p.engine.Tally
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	var dropped int64
	if p.notes != nil {
		dropped = p.notes.Dropped()
	}
	b, crowd, conns := p.router.Believes(), p.server.Crowd(), p.pool.Counts()
	leg := func(r routing.Result) int64 { return t.Legs[r].Load() }
	fields := append(p.restLine(), zap.Int64("taken", t.Taken.Load()), zap.Int64("busy", p.front.Busy.Load()),
		zap.Int64("refused", p.front.Refused.Load()), zap.Int64("delivered", t.Delivered.Load()),
		zap.Int64("pushed_back", t.PushedBack.Load()), zap.Int64("failed", t.Failed.Load()),
		zap.Int64("legs_turned_away", leg(routing.TurnedAway)), zap.Int64("legs_not_connected", leg(routing.NotConnected)),
		zap.Int64("legs_not_sent", leg(routing.NotSent)), zap.Int64("legs_errored", leg(routing.Errored)),
		zap.Int64("legs_timed_out", leg(routing.TimedOut)), zap.Int64("legs_reset", leg(routing.Reset)),
		zap.Int64("legs_called_off", leg(routing.CalledOff)), zap.Int64("legs_gone", leg(routing.GoneThere)),
		zap.Int64("legs_out", p.engine.Out()), zap.Int("calls_believed", b.Calls), zap.Int("receivers_known", b.Known),
		zap.Int("receivers_closed", b.Closed), zap.Int("receivers_warming", b.Warming), zap.Int("calls_cold", b.ColdCalls), zap.Int64("probes", p.probes.Load()), zap.Int64("notes_dropped", dropped),
		zap.Int("clients", crowd.Open), zap.Int("clients_idle", crowd.Idle), zap.Int("clients_served", crowd.Served),
		zap.Int("clients_taken", crowd.Taken), zap.Int("clients_turned_away", crowd.TurnedAway),
		zap.Int("clients_let_go_unserved", crowd.LetGoUnserved), zap.Int("clients_let_go_served", crowd.LetGoServed),
		zap.Int("clients_quiet", crowd.Quiet), zap.Int("clients_begun", crowd.Begun), zap.Int("clients_crossed", crowd.Crossed), zap.Int("clients_no_room", crowd.NoRoom),
		zap.Int("owed", p.router.Owed()), zap.Int("notices_owed", p.notices.Owed()),
		zap.Int("connections", p.pool.Open()), zap.Int64("connections_made", conns.Made),
		zap.Int64("connections_spoken", conns.Spoken), zap.Int64("answers_unknown", conns.Unknown),
		zap.Int64("answers_foreign", p.calls.Foreign.Load()+p.notices.Foreign.Load()), zap.Int("goroutines", runtime.NumGoroutine()),
		zap.Uint64("heap_bytes", mem.HeapInuse))
	p.log.Info("counts", append(fields, endFields(b.Ended)...)...)
}

// logClosing writes why a connection to a receiver ended.
func logClosing(log *zap.Logger, c transport.Closing) {
	log.Debug("connection closed", zap.String("receiver", c.Receiver), zap.Uint64("connection", c.Connection), zap.Int("calls", c.Exchanges),
		zap.Stringer("why", c.Why))
}

// endFields tells why messages ended undelivered.
func endFields(counts choice.EndCounts) (fields []zap.Field) {
	for reason, n := range counts {
		fields = append(fields, zap.Int("ended_"+choice.EndReason(reason).String(), n))
	}
	return fields
}

// restLine tells of the backlog, where it is on.
func (p *Program) restLine() []zap.Field {
	if p.rests == nil {
		return nil
	}
	t := &p.engine.Backlogged
	return []zap.Field{zap.Int64("spilled", t.Spilled.Load()), zap.Int64("loaded", t.Loaded.Load()), zap.Int64("resting", p.engine.Resting()),
		zap.Int64("resting_due", t.Due.Load()), zap.Int64("resting_rejected", t.Rejected.Load())}
}

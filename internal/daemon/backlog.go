package daemon

import (
	"slices"

	"github.com/tidwall/gjson"
	"go.uber.org/zap"

	"ravenlink/internal/backlog"
	"ravenlink/internal/startup"
)

// fitBacklog returns the table with defaults from the sender's limits. Values that do not fit are logged and reduced rather than turning
// the backlog off: messages spilled by an earlier process would then never end.
func (p *Program) fitBacklog(t *backlog.Table, spool, memory int64) *backlog.Table {
	if t == nil {
		return nil
	}
	p.backlogTable = t
	limits, filled := backlog.Table{}, *t
	limits.SetDefaults(spool, memory)
	t.CheckFits(spool, memory, func(setting, what string) {
		withPart(p.log, "messages").Error("backlog brought down to what fits", zap.String("setting", setting), zap.String("fault", what))
	})
	filled.SetDefaults(spool, memory)
	filled.MostMB, filled.MostMessages = min(filled.MostMB, limits.MostMB), min(filled.MostMessages, limits.MostMessages)
	return &filled
}

// backlogLimits returns the limits of the queues.
func backlogLimits(settings gjson.Result, t *backlog.Table) backlog.Limits {
	b := backlog.Limits{Capacity: startup.MaxQueued(settings), Slots: startup.MaxCalls(settings), MaxSpilled: t.MostMessages}
	if ts := startup.TargetTimes(settings); len(ts) > 0 {
		b.Interval = slices.Min(ts)
	}
	return b
}

// pendingBeforeStart returns a predicate for the ids of messages pending from before the start, in memory or spilled.
func (p *Program) pendingBeforeStart() func(id string) bool {
	pending := map[string]bool{}
	for _, m := range p.spool.Pending() {
		pending[m.ID] = true
	}
	return func(id string) bool { return pending[id] || p.backlogTable != nil && p.spool.Has(id) }
}

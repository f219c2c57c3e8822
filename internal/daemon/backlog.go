package daemon

import (
	"slices"

	"github.com/tidwall/gjson"
	"go.uber.org/zap"

	"ravenlink/internal/backlog"
	"ravenlink/internal/startup"
)

// fits fills a table of a backlog by the sender's limits. One that does not fit is brought down to them, and a line says so: what rests from
// before would get no end without a backlog.
func (p *Program) fits(t *backlog.Table, spool, memory int64) *backlog.Table {
	if t == nil {
		return nil
	}
	p.rests = t
	most, filled := backlog.Table{}, *t
	most.Fill(spool, memory)
	t.Fit(spool, memory, func(setting, what string) {
		part(p.log, "messages").Error("backlog brought down to what fits", zap.String("setting", setting), zap.String("fault", what))
	})
	filled.Fill(spool, memory)
	filled.MostMB, filled.MostMessages = min(filled.MostMB, most.MostMB), min(filled.MostMessages, most.MostMessages)
	return &filled
}

// bounds are those of the queues, by the settings.
func bounds(settings gjson.Result, t *backlog.Table) backlog.Bounds {
	b := backlog.Bounds{Room: startup.MostHeld(settings), Slots: startup.Slots(settings), Most: t.MostMessages}
	if ts := startup.Targets(settings); len(ts) > 0 {
		b.Span = slices.Min(ts)
	}
	return b
}

package fleet

import (
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"go.uber.org/zap"

	"ravenlink/internal/members"
)

// counts are the fleet's, in a registry of their own. They go into a line of the log now and then; there is no address to ask.
type counts struct {
	registry               *prometheus.Registry
	sent, heard, bad       *prometheus.CounterVec // letters, by kind
	spent, held            prometheus.Counter     // calls that the gate let go, and those that it held back
	news                   prometheus.Counter     // verdicts told to the module
	unwritten              prometheus.Counter     // snapshots that found no room in the folder
	state, incarnation     *prometheus.GaugeVec   // of members
	refused, linked, bytes prometheus.CounterFunc
}

func newCounts(r *Runtime) *counts {
	c := &counts{registry: prometheus.NewRegistry()}
	byKind := func(name string) *prometheus.CounterVec {
		v := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name}, []string{"kind"})
		c.registry.MustRegister(v)
		return v
	}
	one := func(name string) prometheus.Counter {
		n := prometheus.NewCounter(prometheus.CounterOpts{Name: name})
		c.registry.MustRegister(n)
		return n
	}
	ask := func(name string, f func() float64) prometheus.CounterFunc {
		n := prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name}, f)
		c.registry.MustRegister(n)
		return n
	}
	byMember := func(name string) *prometheus.GaugeVec {
		v := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name}, []string{"member"})
		c.registry.MustRegister(v)
		return v
	}
	c.sent, c.heard, c.bad = byKind("letters_sent"), byKind("letters_heard"), byKind("letters_bad")
	c.spent, c.held, c.news, c.unwritten = one("calls_let"), one("calls_held_back"), one("verdicts_told"), one("snapshots_unwritten")
	c.state, c.incarnation = byMember("state"), byMember("incarnation")
	c.refused = ask("work_refused", func() float64 { return float64(r.pool.Refused()) })
	c.linked = ask("posts_failed", func() float64 { return float64(r.links.Counts().Failed) })
	c.bytes = ask("bytes_out", func() float64 { return float64(r.links.Counts().BytesOut) })
	return c
}

func (c *counts) member(m members.Member) {
	c.state.WithLabelValues(m.Name).Set(float64(m.State))
	c.incarnation.WithLabelValues(m.Name).Set(float64(m.Incarnation))
}

// read gives all counts by name, and label where there is one.
func (c *counts) read() (names []string, values map[string]float64, err error) {
	families, err := c.registry.Gather()
	values = map[string]float64{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			name := f.GetName()
			if name == "incarnation" {
				continue // told as it changes
			}
			for _, l := range m.GetLabel() {
				name += "_" + strings.ReplaceAll(l.GetValue(), " ", "_")
			}
			values[name] = value(m)
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, values, err
}

func value(m *dto.Metric) float64 {
	if c := m.GetCounter(); c != nil {
		return c.GetValue()
	}
	return m.GetGauge().GetValue()
}

// say writes a line.
func (c *counts) say(log *zap.Logger) {
	names, values, err := c.read()
	if err != nil {
		log.Warn("counts", zap.Error(err))
		return
	}
	var fields []zap.Field
	for _, n := range names {
		fields = append(fields, zap.Float64(n, values[n]))
	}
	log.Info("counts", fields...)
}

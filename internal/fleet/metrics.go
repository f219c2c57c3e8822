package fleet

import (
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"go.uber.org/zap"

	"ravenlink/internal/members"
)

// metrics holds the fleet's metrics, in a registry of its own. They are logged periodically; there is no endpoint to
// scrape.
type metrics struct {
	registry                        *prometheus.Registry
	sent, received, malformed       *prometheus.CounterVec // peer messages, by kind
	allowed, denied                 prometheus.Counter     // calls that the gate allowed, and those that it denied
	observations                    prometheus.Counter     // observations passed to the module
	snapshotFailures                prometheus.Counter     // snapshots that could not be written to the folder
	state, incarnation              *prometheus.GaugeVec   // of members
	rejected, postsFailed, bytesOut prometheus.CounterFunc
}

func newMetrics(r *Runtime) *metrics {
	c := &metrics{registry: prometheus.NewRegistry()}
	byKind := func(name string) *prometheus.CounterVec {
		v := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name}, []string{"kind"})
		c.registry.MustRegister(v)
		return v
	}
	counter := func(name string) prometheus.Counter {
		n := prometheus.NewCounter(prometheus.CounterOpts{Name: name})
		c.registry.MustRegister(n)
		return n
	}
	counterFunc := func(name string, f func() float64) prometheus.CounterFunc {
		n := prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name}, f)
		c.registry.MustRegister(n)
		return n
	}
	byMember := func(name string) *prometheus.GaugeVec {
		v := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name}, []string{"member"})
		c.registry.MustRegister(v)
		return v
	}
	c.sent, c.received, c.malformed = byKind("letters_sent"), byKind("letters_heard"), byKind("letters_bad")
	c.allowed, c.denied, c.observations, c.snapshotFailures = counter("calls_let"), counter("calls_held_back"), counter("verdicts_told"), counter("snapshots_unwritten")
	c.state, c.incarnation = byMember("state"), byMember("incarnation")
	c.rejected = counterFunc("work_refused", func() float64 { return float64(r.pool.Rejected()) })
	c.postsFailed = counterFunc("posts_failed", func() float64 { return float64(r.links.Counts().Failed) })
	c.bytesOut = counterFunc("bytes_out", func() float64 { return float64(r.links.Counts().BytesOut) })
	return c
}

func (c *metrics) setMember(m members.Member) {
	c.state.WithLabelValues(m.Name).Set(float64(m.State))
	c.incarnation.WithLabelValues(m.Name).Set(float64(m.Incarnation))
}

// gather returns all metrics by name, with label values appended.
func (c *metrics) gather() (names []string, values map[string]float64, err error) {
	families, err := c.registry.Gather()
	values = map[string]float64{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			name := f.GetName()
			if name == "incarnation" {
				continue // logged when it changes
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

// log writes all metrics as one line.
func (c *metrics) log(log *zap.Logger) {
	names, values, err := c.gather()
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

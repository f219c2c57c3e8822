// Package fleet is a laboratory of what a fleet's senders share, in virtual time: many senders, few destinations with small limits, links
// that are slow, lose and are cut. It sets the leases of internal/shares beside other ways to keep one limit and beside an all-knowing one.
package fleet

// Scenario is a run to be made. Times are µs from its start.
type Scenario struct {
	Name    string
	Senders int
	Dsts    int
	Limit   float64 // calls a second, of each destination
	Load    float64 // messages that come, over the limit
	Uneven  float64 // exponent of the senders' parts in the traffic of a destination: 0 is even
	Churn   int64   // the parts are drawn anew so often; 0 for never
	Delay   int64   // mean one-way delay of a link, drawn from half to one and a half of it
	Loss    float64
	Length  int64
	Cut     [2]int64 // from, to: the fleet is in two parts, even and odd senders
	Dead    [2]int64 // from, to: every tenth sender is killed, and comes back without memory
	Paused  [2]int64 // from, to: every tenth sender is stopped, and goes on with what it knew
	Halved  int64    // from then on all limits are half; 0 for never
	Seed    uint64
}

// Constants of the laboratory's fleet: they belong to the scenarios, not to what is measured.
const (
	second   = int64(1_000_000)
	step     = second / 100
	turn     = second / 10 // between two turns of a sender's timers
	target   = second      // a message delivered by then has its whole value
	deadline = 8 * second  // and none after it
	lateLeft = 0.3         // of the value is left just before the deadline
	detect   = 3 * second  // until views doubt who is cut off, killed or stopped
	back     = second      // until views see that it is back
	burst    = 0.25        // s of the limit that a destination takes at once
	debtMost = 1.0         // s of the limit that refused calls may use up ahead
	frame    = 24          // bytes a letter costs beside its own
	warmLoad = 0.4         // over the limit until then
	warm     = 10 * second // before figures count
)

// Scenarios are those of docs/limits.md, for a number of senders.
func Scenarios(n int, seed uint64) []Scenario {
	base := Scenario{Senders: n, Dsts: 6, Limit: 60, Load: 0.8, Uneven: 0.8, Churn: 10 * second, Delay: 5_000, Loss: 0.01, Length: 60 * second, Seed: seed}
	with := func(name string, change func(*Scenario)) Scenario {
		s := base
		s.Name = name
		change(&s)
		return s
	}
	return []Scenario{
		with("thin", func(*Scenario) {}),
		with("busy", func(s *Scenario) { s.Load = 1.3 }),
		with("slow links", func(s *Scenario) { s.Load, s.Delay, s.Loss = 1.0, 100_000, 0.1 }),
		with("halves", func(s *Scenario) { s.Load, s.Cut = 1.0, [2]int64{20 * second, 40 * second} }),
		with("killed", func(s *Scenario) { s.Load, s.Dead = 1.0, [2]int64{20 * second, 35 * second} }),
		with("stopped", func(s *Scenario) { s.Load, s.Paused = 1.0, [2]int64{20 * second, 30 * second} }),
		with("halved limit", func(s *Scenario) { s.Load, s.Halved = 0.9, 30*second }),
	}
}

// Package fleet simulates in virtual time how the senders of a fleet share the rate limits of destinations: many senders, few
// destinations with small limits, and links that delay and lose messages or are partitioned. It compares the leases of
// internal/shares with other ways to keep a common limit and with an all-knowing policy as the upper bound.
package fleet

// Scenario describes one run. Times are in µs from its start.
type Scenario struct {
	Name          string
	Senders       int
	Dsts          int
	Limit         float64 // calls per second, of each destination
	Load          float64 // messages that arrive, as a multiple of the limit
	Skew          float64 // exponent of the distribution of a destination's traffic over the senders; 0 is even
	ChurnInterval int64   // how often that distribution is drawn again; 0 for never
	Delay         int64   // mean one-way delay of a link; each delay is between half and one and a half of it
	Loss          float64
	Length        int64
	Partitioned   [2]int64 // from, to: the network is partitioned between even and odd senders
	Killed        [2]int64 // from, to: every tenth sender is killed, and restarts without state
	Paused        [2]int64 // from, to: every tenth sender is paused, and continues with its old state
	HalveAt       int64    // from then on all limits are halved; 0 for never
	Seed          uint64
}

// Constants of the simulated fleet. They describe the environment, not the compared policies.
const (
	second         = int64(1_000_000)
	step           = second / 100
	tickInterval   = second / 10 // between two ticks of a sender
	target         = second      // a message delivered by then has its full value
	deadline       = 8 * second  // a message delivered later has no value
	lateValue      = 0.3         // share of the value left just before the deadline
	detectionDelay = 3 * second  // until views show a killed, paused or unreachable sender as dead
	recoveryDelay  = second      // until views show it as alive again
	burstSeconds   = 0.25        // capacity of a destination's token bucket, in seconds of its limit
	maxDebt        = 1.0         // how far refused calls may overdraw the bucket, in seconds of the limit
	frameOverhead  = 24          // bytes that a peer message takes besides its body
	warmUpLoad     = 0.4         // load until the end of the warm-up, as a multiple of the limit
	warmUp         = 10 * second // time before figures are measured
)

// Scenarios returns the scenarios of docs/limits.md for n senders.
func Scenarios(n int, seed uint64) []Scenario {
	base := Scenario{Senders: n, Dsts: 6, Limit: 60, Load: 0.8, Skew: 0.8, ChurnInterval: 10 * second, Delay: 5_000, Loss: 0.01, Length: 60 * second, Seed: seed}
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
		with("halves", func(s *Scenario) { s.Load, s.Partitioned = 1.0, [2]int64{20 * second, 40 * second} }),
		with("killed", func(s *Scenario) { s.Load, s.Killed = 1.0, [2]int64{20 * second, 35 * second} }),
		with("stopped", func(s *Scenario) { s.Load, s.Paused = 1.0, [2]int64{20 * second, 30 * second} }),
		with("halved limit", func(s *Scenario) { s.Load, s.HalveAt = 0.9, 30*second }),
	}
}

package kept

import (
	"fmt"
	"time"

	"ravenlink/internal/strict"
)

// Action is what a rule does with a dead letter.
type Action string

// Actions of a rule.
const (
	Hold   Action = "hold" // for an operator
	Drop   Action = "drop"
	Resend Action = "send"
)

// Rule decides about the dead letters that it matches. The first matching rule applies.
type Rule struct {
	Class        string          `toml:"lane"`         // empty: any
	Destinations []int64         `toml:"destination"`  // none: any
	Outcome      string          `toml:"end"`          // pushed_back, failed, or empty for either
	MayHaveRun   string          `toml:"may_have_run"` // yes, no, or empty for either
	MinAge       strict.Duration `toml:"older"`        // 0: any age
	Action       Action          `toml:"act"`
	Delay        strict.Duration `toml:"after"`    // since it was stored
	Hours        string          `toml:"hours"`    // time of day, UTC, in which to resend, such as 06:00-18:00; empty: any
	Rate         float64         `toml:"rate"`     // resends a second per destination
	IgnoreHealth bool            `toml:"sick"`     // resend even if the destination is believed unhealthy
	MaxResends   int             `toml:"most"`     // resends of one message
	Deadline     strict.Duration `toml:"deadline"` // of the resent message
}

// Defaults and limits of settings.
const (
	defaultRate       = 1.0
	defaultMaxResends = 3
	defaultDeadline   = strict.Duration(28e6)
	maxRate           = 1000.0
)

// SetDefaults fills in settings that were left out.
func (r *Rule) SetDefaults() {
	if r.Rate == 0 {
		r.Rate = defaultRate
	}
	if r.MaxResends == 0 {
		r.MaxResends = defaultMaxResends
	}
	if r.Deadline == 0 {
		r.Deadline = defaultDeadline
	}
}

// Validate reports each invalid setting of a rule.
func (r Rule) Validate(report func(setting, what string)) {
	oneOf := func(setting, v string, allowed ...string) {
		for _, f := range allowed {
			if v == f {
				return
			}
		}
		report(setting, fmt.Sprintf("%q is none of %q", v, allowed))
	}
	oneOf("act", string(r.Action), string(Hold), string(Drop), string(Resend))
	oneOf("end", r.Outcome, "", "pushed_back", "failed")
	oneOf("may_have_run", r.MayHaveRun, "", "yes", "no")
	if _, _, err := parseHours(r.Hours); err != nil {
		report("hours", err.Error())
	}
	if r.Rate < 0 || r.Rate > maxRate {
		report("rate", fmt.Sprintf("%v is not within 0 and %v", r.Rate, maxRate))
	}
	if r.MaxResends < 0 || r.MaxResends > 100 {
		report("most", fmt.Sprintf("%d is not within 0 and 100", r.MaxResends))
	}
}

// parseHours parses a time-of-day range into minutes since midnight. A range that ends before it begins spans midnight.
func parseHours(text string) (from, to int, err error) {
	if text == "" {
		return 0, 24 * 60, nil
	}
	var a, b, c, d int
	if n, err := fmt.Sscanf(text, "%d:%d-%d:%d", &a, &b, &c, &d); n != 4 || err != nil || a < 0 || a > 23 || c < 0 || c > 24 ||
		b < 0 || b > 59 || d < 0 || d > 59 || c == 24 && d > 0 || fmt.Sprintf("%02d:%02d-%02d:%02d", a, b, c, d) != text {
		return 0, 0, fmt.Errorf("%q is not a time range such as 06:00-18:00", text)
	}
	return 60*a + b, 60*c + d, nil
}

// nextOpening returns the earliest time, not before at, that lies within the hours.
func nextOpening(text string, at int64) int64 {
	from, to, err := parseHours(text)
	if err != nil || from == to || to-from == 24*60 {
		return at
	}
	t := time.UnixMicro(at).UTC()
	midnight := time.Date(t.Year(), t.Month(), t.Day(), 0, 0, 0, 0, time.UTC)
	minute := t.Hour()*60 + t.Minute()
	within := minute >= from && minute < to
	if to < from {
		within = minute >= from || minute < to
	}
	if within {
		return at
	}
	next := midnight.Add(time.Duration(from) * time.Minute)
	if next.Before(t) {
		next = next.AddDate(0, 0, 1)
	}
	return next.UnixMicro()
}

func (r Rule) matches(k *Record, now int64) bool {
	if r.Class != "" && r.Class != k.Class || r.Outcome == "pushed_back" && !k.Rejected || r.Outcome == "failed" && k.Rejected ||
		r.MayHaveRun == "yes" && !k.MayHaveRun() || r.MayHaveRun == "no" && k.MayHaveRun() || now-k.StoredAt < int64(r.MinAge) {
		return false
	}
	if len(r.Destinations) == 0 {
		return true
	}
	for _, d := range r.Destinations {
		if d == k.Dst {
			return true
		}
	}
	return false
}

// Class is what a traffic class allows for a message that may have run.
type Class struct {
	Known     bool
	Retriable bool
	Keyed     bool
	Window    int64 // µs for which receivers remember a key
}

// keyMargin is how much earlier than its window a key is treated as forgotten. One second covers the way to the receiver and the
// difference between the clocks of two starts of a sender.
const keyMargin = int64(1_000_000)

// Decision is what to do with a record: Action, not before NotBefore. The zero value means that nothing is to be done.
type Decision struct {
	Action       Action
	NotBefore    int64 // µs
	Rate         float64
	IgnoreHealth bool
	Deadline     int64 // µs, of the resent message
	Reason       string
}

// farFuture is later than any real time.
const farFuture = int64(1) << 62

// ResendableUntil returns the time until which a message may be resent without an operator's approval. A message that may have run is not
// resent if its class forbids repeats; in a keyed class it is resent only within the key's window.
func ResendableUntil(k *Record, class Class) (until int64, reason string) {
	switch {
	case !class.Known:
		return 0, "its lane is not known here"
	case !k.MayHaveRun() || class.Retriable || k.ResendApproved:
		return farFuture, ""
	case !class.Keyed || k.Key == "":
		return 0, "it may have run, and its lane allows no repeat"
	}
	return k.FirstRunAt + class.Window - keyMargin, "it may have run, and its key is forgotten by now"
}

// Decide returns the decision about a record. If the clock was set back, ages are too low and actions are only delayed.
func Decide(k *Record, rules []Rule, class Class, now int64) Decision {
	if k.State != Waiting {
		return Decision{}
	}
	for i, r := range rules {
		if !r.matches(k, now) {
			continue
		}
		name := fmt.Sprintf("rule %d", i+1)
		at := k.StoredAt + int64(r.Delay)
		switch r.Action {
		case Hold:
			return Decision{Action: Hold, Reason: name}
		case Drop:
			return Decision{Action: Drop, NotBefore: at, Reason: name}
		}
		if k.Generation >= r.MaxResends {
			return Decision{Action: Hold, Reason: fmt.Sprintf("%s: sent again %d times already", name, k.Generation)}
		}
		at = nextOpening(r.Hours, max(at, now))
		until, reason := ResendableUntil(k, class)
		if at > until {
			return Decision{Action: Hold, Reason: name + ": " + reason}
		}
		return Decision{Action: Resend, NotBefore: at, Rate: r.Rate, IgnoreHealth: r.IgnoreHealth, Deadline: int64(r.Deadline), Reason: name}
	}
	return Decision{Action: Hold, Reason: "no rule fits"}
}

// RateLimiter limits the rate of resends per destination.
type RateLimiter struct {
	nextAllowed map[int64]int64 // by destination; Prune removes entries in the past
}

// Allow reports whether a message may be resent to a destination now, and if so reserves the slot.
func (p *RateLimiter) Allow(dst int64, rate float64, now int64) bool {
	if p.nextAllowed == nil {
		p.nextAllowed = map[int64]int64{}
	}
	at, interval := p.nextAllowed[dst], int64(1e6/rate)
	if at > now+interval { // the clock was set back
		at = now + interval
	}
	if rate <= 0 || now < at {
		return false
	}
	p.nextAllowed[dst] = now + interval
	return true
}

// WouldAllow reports whether Allow may succeed, without reserving a slot. It ignores times too far in the future, which come from before the
// clock was set back.
func (p *RateLimiter) WouldAllow(dst, now int64) bool {
	at := p.nextAllowed[dst]
	return at <= now || at > now+maxInterval
}

// maxInterval is the interval of the lowest rate that WouldAllow honors: one resend a day.
const maxInterval = int64(86_400_000_000)

// Prune removes destinations whose next allowed time has passed.
func (p *RateLimiter) Prune(now int64) {
	for d, at := range p.nextAllowed {
		if at <= now {
			delete(p.nextAllowed, d)
		}
	}
}

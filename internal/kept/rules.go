package kept

import (
	"fmt"
	"time"

	"ravenlink/internal/strict"
)

// Act is what a rule does.
type Act string

// The acts.
const (
	Hold Act = "hold" // for a person
	Drop Act = "drop"
	Send Act = "send" // again
)

// Rule says what becomes of the messages that it fits. The first that fits counts.
type Rule struct {
	Lane        string      `toml:"lane"`         // empty: any
	Destination []int64     `toml:"destination"`  // none: any
	End         string      `toml:"end"`          // pushed_back, failed, or empty for either
	MayHaveRun  string      `toml:"may_have_run"` // yes, no, or empty for either
	Older       strict.Span `toml:"older"`        // than this; 0 for any age
	Act         Act         `toml:"act"`
	After       strict.Span `toml:"after"`    // since it was kept
	Hours       string      `toml:"hours"`    // of the day, UTC, within which to send, such as 06:00-18:00; empty: any
	Rate        float64     `toml:"rate"`     // kept messages a second for a destination
	Sick        bool        `toml:"sick"`     // send although the destination is not believed healthy
	Most        int         `toml:"most"`     // generations
	Deadline    strict.Span `toml:"deadline"` // of what is sent again
}

// What stands for settings left out.
const (
	usualRate     = 1.0
	usualMost     = 3
	usualDeadline = strict.Span(28e6)
	mostRate      = 1000.0
)

// Fill sets what was left out.
func (r *Rule) Fill() {
	if r.Rate == 0 {
		r.Rate = usualRate
	}
	if r.Most == 0 {
		r.Most = usualMost
	}
	if r.Deadline == 0 {
		r.Deadline = usualDeadline
	}
}

// Check names what is wrong with a rule.
func (r Rule) Check(fault func(setting, what string)) {
	one := func(setting, v string, few ...string) {
		for _, f := range few {
			if v == f {
				return
			}
		}
		fault(setting, fmt.Sprintf("%q is none of %q", v, few))
	}
	one("act", string(r.Act), string(Hold), string(Drop), string(Send))
	one("end", r.End, "", "pushed_back", "failed")
	one("may_have_run", r.MayHaveRun, "", "yes", "no")
	if _, _, err := hours(r.Hours); err != nil {
		fault("hours", err.Error())
	}
	if r.Rate < 0 || r.Rate > mostRate {
		fault("rate", fmt.Sprintf("%v is not within 0 and %v", r.Rate, mostRate))
	}
	if r.Most < 0 || r.Most > 100 {
		fault("most", fmt.Sprintf("%d is not within 0 and 100", r.Most))
	}
}

// CheckLane names what a rule asks for that its lane does not allow: to send again what was returned to its client. A rule for any lane sends
// such messages in retriable lanes alone, and is not at fault.
func (r Rule) CheckLane(lane Lane, fault func(setting, what string)) {
	if r.Act == Send && r.End == "pushed_back" && r.Lane != "" && lane.Known && !lane.Retriable {
		fault("act", fmt.Sprintf("what was pushed back in lane %q may be handed in again by its client and is not sent again by rule: the lane is not retriable", r.Lane))
	}
}

// hours reads a span of the day as minutes since midnight. One that ends before it begins runs over midnight.
func hours(text string) (from, to int, err error) {
	if text == "" {
		return 0, 24 * 60, nil
	}
	var a, b, c, d int
	if n, err := fmt.Sscanf(text, "%d:%d-%d:%d", &a, &b, &c, &d); n != 4 || err != nil || a < 0 || a > 23 || c < 0 || c > 24 ||
		b < 0 || b > 59 || d < 0 || d > 59 || c == 24 && d > 0 || fmt.Sprintf("%02d:%02d-%02d:%02d", a, b, c, d) != text {
		return 0, 0, fmt.Errorf("%q are no hours, such as 06:00-18:00", text)
	}
	return 60*a + b, 60*c + d, nil
}

// opens gives the earliest time from at on that lies within hours.
func opens(text string, at int64) int64 {
	from, to, err := hours(text)
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

func (r Rule) fits(k *Record, now int64) bool {
	if r.Lane != "" && r.Lane != k.Lane || r.End == "pushed_back" && !k.PushedBack || r.End == "failed" && k.PushedBack ||
		r.MayHaveRun == "yes" && !k.MayHaveRun() || r.MayHaveRun == "no" && k.MayHaveRun() || now-k.KeptAt < int64(r.Older) {
		return false
	}
	if len(r.Destination) == 0 {
		return true
	}
	for _, d := range r.Destination {
		if d == k.Dst {
			return true
		}
	}
	return false
}

// Lane is what a lane allows for a message that may have run.
type Lane struct {
	Known     bool
	Retriable bool
	Keyed     bool
	Window    int64 // µs for which a key is remembered
}

// keyMargin is how much sooner a key counts as forgotten, for the way there: a second, for the clocks of two starts of a
// sender may differ.
const keyMargin = int64(1_000_000)

// Verdict is what becomes of a record: Act now, or at a later time At, or not at all (an empty Act and At of 0).
type Verdict struct {
	Act      Act
	At       int64 // µs; not before
	Rate     float64
	Sick     bool
	Deadline int64 // µs, of what is sent again
	Why      string
}

// never is a time that does not come.
const never = int64(1) << 62

// MaySend tells whether a message may be sent again without a person's word, and until when. In a retriable lane it always may. Elsewhere what
// its client may hand in again is the client's: sent again as well, one order would run twice, in a keyed lane too, for nobody knows when the
// client comes. What may have run is not sent again where the lane forbids a repeat; where the lane is keyed, only within the window of its key.
func MaySend(k *Record, lane Lane) (until int64, why string) {
	switch {
	case !lane.Known:
		return 0, "its lane is not known here"
	case lane.Retriable:
		return never, ""
	case k.MayComeAgain() && !k.RepeatCleared:
		return 0, "it was returned to its client, which may have handed it in again"
	case !k.MayHaveRun() || k.Cleared:
		return never, ""
	case !lane.Keyed || k.Key == "":
		return 0, "it may have run, and its lane allows no repeat"
	}
	return k.FirstRun + lane.Window - keyMargin, "it may have run, and its key is forgotten by now"
}

// Decide says what becomes of a record at a time. A clock that was set back makes ages small, and so only delays.
func Decide(k *Record, rules []Rule, lane Lane, now int64) Verdict {
	if k.State != Waiting {
		return Verdict{}
	}
	for i, r := range rules {
		if !r.fits(k, now) {
			continue
		}
		name := fmt.Sprintf("rule %d", i+1)
		at := k.KeptAt + int64(r.After)
		switch r.Act {
		case Hold:
			return Verdict{Act: Hold, Why: name}
		case Drop:
			return Verdict{Act: Drop, At: at, Why: name}
		}
		if k.Generation >= r.Most {
			return Verdict{Act: Hold, Why: fmt.Sprintf("%s: sent again %d times already", name, k.Generation)}
		}
		at = opens(r.Hours, max(at, now))
		until, why := MaySend(k, lane)
		if at > until {
			return Verdict{Act: Hold, Why: name + ": " + why}
		}
		return Verdict{Act: Send, At: at, Rate: r.Rate, Sick: r.Sick, Deadline: int64(r.Deadline), Why: name}
	}
	return Verdict{Act: Hold, Why: "no rule fits"}
}

// Pace keeps what is sent again to each destination within a rate.
type Pace struct {
	next map[int64]int64 // by destination; emptied of those past by Tidy
}

// Free tells whether another may go to a destination now, and takes its place if so.
func (p *Pace) Free(dst int64, rate float64, now int64) bool {
	if p.next == nil {
		p.next = map[int64]int64{}
	}
	at, gap := p.next[dst], int64(1e6/rate)
	if at > now+gap { // the clock was set back
		at = now + gap
	}
	if rate <= 0 || now < at {
		return false
	}
	p.next[dst] = now + gap
	return true
}

// Ready tells whether one might be free, without taking its place. A time far ahead, from before a clock was set back, does
// not count.
func (p *Pace) Ready(dst, now int64) bool {
	at := p.next[dst]
	return at <= now || at > now+longestGap
}

// longestGap is the gap of the slowest rate that is heeded so: one a day.
const longestGap = int64(86_400_000_000)

// Tidy forgets destinations whose time has come.
func (p *Pace) Tidy(now int64) {
	for d, at := range p.next {
		if at <= now {
			delete(p.next, d)
		}
	}
}

package scenario

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"

	"ravenlink/internal/strict"
)

// Upper bounds, so that a mistyped number is reported at once and does not run the machine out of memory.
const (
	maxSenders      = 10_000
	maxDestinations = 100_000
	maxLength       = Duration(24 * 3600 * 1e6)
)

// check reports every invalid setting with its path.
func (s *Scenario) check(report func(path, what string)) {
	checkEnums(reflect.ValueOf(s).Elem(), "", report)
	inRange := func(path string, v, low, high float64) {
		if math.IsNaN(v) || v < low || v > high {
			report(path, fmt.Sprintf("%v is not within %v and %v", v, low, high))
		}
	}
	inRange("length", float64(s.Length), 1e5, float64(maxLength))
	inRange("team.senders", float64(s.Fleet.Senders), 1, maxSenders)
	inRange("team.zones", float64(s.Fleet.Zones), 1, 100)
	inRange("team.slots", float64(s.Fleet.MaxCalls), 0, 1e6)
	inRange("team.held", float64(s.Fleet.MaxQueued), 0, 1e8)
	inRange("team.legs", float64(s.Fleet.MaxLegs), 1, 1000)
	inRange("team.slots_room", s.Fleet.CallHeadroom, .01, 1e4)
	inRange("network.jitter", s.Network.Jitter, 0, 1)
	inRange("network.note_loss", s.Network.NoteLoss, 0, 1)
	inRange("clients.repeats", float64(s.Clients.MaxRetries), 0, 1000)
	inRange("clients.heed", s.Clients.ObeyShare, 0, 1)
	inRange("clients.half_heed", s.Clients.HalfObeyShare, 0, 1-s.Clients.ObeyShare)
	inRange("clients.leave", s.Clients.LeaveShare, 0, 1)
	inRange("traffic.rate", s.Traffic.Rate, 0, 1e7)
	inRange("traffic.load", s.Traffic.Load, 0, 1e4)
	inRange("traffic.swing", s.Traffic.Swing, 0, 1)
	inRange("traffic.zipf", s.Traffic.Zipf, 0, 5)
	inRange("traffic.quiet", s.Traffic.QuietShare, 0, 1)
	inRange("traffic.clumps", s.Traffic.ClusterShare, 0, 1)
	inRange("traffic.closed", float64(s.Traffic.ClosedClients), 0, 1e6)
	inRange("rules.overload", s.Rules.OverloadFactor, 0, 1e6)
	if s.Traffic.ClosedClients > 0 && s.Traffic.MessagesPerClient <= 0 {
		report("traffic.each", "closed clients need a number of messages each")
	}
	if s.Traffic.Curve == "wave" && s.Traffic.Period <= 0 {
		report("traffic.period", "a wave needs a period")
	}
	if len(s.Classes) == 0 {
		report("lane", "there is no lane; a [[lane]] with nothing but a name will do")
	}
	if len(s.Kinds) == 0 {
		report("kind", "there is no kind of destination; a [[kind]] with nothing but a name will do")
	}
	s.checkClasses(report, inRange)
	s.checkKinds(report, inRange)
	for i, f := range s.Faults {
		s.checkFault(fmt.Sprintf("trouble.%d", i), f, report, inRange)
	}
}

func (s *Scenario) checkClasses(report func(path, what string), inRange func(string, float64, float64, float64)) {
	seen := map[string]bool{}
	for i, c := range s.Classes {
		p := fmt.Sprintf("lane.%d.", i)
		if c.Name == "" || seen[c.Name] {
			report(p+"name", "a lane needs a name of its own")
		}
		seen[c.Name] = true
		inRange(p+"share", c.Share, 0, 1e6)
		inRange(p+"target", float64(c.Target), 1, float64(c.Deadline))
		inRange(p+"late_value", c.LateValue, 0, 1)
		inRange(p+"keys", float64(c.Keys), 1, 1e7)
		if c.RetryMode == "keyed" && c.KeyWindow <= 0 {
			report(p+"window", "a keyed lane needs a window")
		}
	}
}

func (s *Scenario) checkKinds(report func(path, what string), inRange func(string, float64, float64, float64)) {
	all, seen := 0, map[string]bool{}
	for i, k := range s.Kinds {
		p := fmt.Sprintf("kind.%d.", i)
		if k.Name == "" || seen[k.Name] {
			report(p+"name", "a kind needs a name of its own")
		}
		seen[k.Name] = true
		all += k.Destinations
		inRange(p+"destinations", float64(k.Destinations), 0, maxDestinations)
		if len(k.Endpoints) != 2 || k.Endpoints[0] < 1 || k.Endpoints[1] < k.Endpoints[0] || k.Endpoints[1] > 1000 {
			report(p+"endpoints", "write the fewest and the most, such as [1, 3]")
		}
		if err := k.Work.Distribution().Check(); err != nil {
			report(p+"work", err.Error())
		}
		inRange(p+"work.mean", float64(k.Work.Mean), 1, 1e12)
		inRange(p+"places", float64(k.Workers), 0, 1e6)
		inRange(p+"queue", float64(k.Queue), 0, 1e9)
		inRange(p+"batch", float64(k.Batch), 1, 1e4)
		inRange(p+"errors", k.ErrorShare, 0, 1)
		inRange(p+"cold_share", k.ColdShare, .001, 1)
		inRange(p+"limit.tells_wait", k.Limit.RetryAfterShare, 0, 1)
		if err := k.Limit.Model(max(1, k.Limit.Rate)).Check(); err != nil {
			report(p+"limit", err.Error())
		}
	}
	if all == 0 || all > maxDestinations {
		report("kind", fmt.Sprintf("there are %d destinations; between 1 and %d will do", all, maxDestinations))
	}
}

// magnitudeMeaning lists the kinds of fault that need a magnitude, and says what it is.
var magnitudeMeaning = map[Enum]string{"slow": "a factor", "errors": "a share", "reset": "a share", "lost": "a share",
	"limit": "a share that is left", "burst": "a factor", "clock": "a share by which it runs fast or slow", "lie": "a factor", "notes": "a share"}

func (s *Scenario) checkFault(p string, f Fault, report func(path, what string), inRange func(string, float64, float64, float64)) {
	if f.At > s.Length {
		report(p+".at", fmt.Sprintf("%v is after the end of the run, %v", f.At, s.Length))
	}
	if what := magnitudeMeaning[f.Kind]; what != "" && f.Magnitude == 0 {
		report(p+".size", fmt.Sprintf("trouble %s needs %s", f.Kind, what))
	}
	if slices.Contains([]Enum{"errors", "reset", "lost", "notes", "limit"}, f.Kind) {
		inRange(p+".size", f.Magnitude, 0, 1)
	}
	inRange(p+".share", f.DestinationShare, 0, 1)
	inRange(p+".senders", f.SenderShare, 0, 1)
	all := 0
	for _, k := range s.Kinds {
		all += k.Destinations
	}
	for _, n := range f.Destinations {
		inRange(p+".destination", float64(n), 1, float64(all))
	}
	if f.OfKind != "" && !slices.ContainsFunc(s.Kinds, func(k Kind) bool { return k.Name == f.OfKind }) {
		report(p+".of_kind", fmt.Sprintf("there is no kind %q", f.OfKind))
	}
}

// checkEnums reports every Enum field whose text is not one of the texts in its tag.
func checkEnums(v reflect.Value, path string, report func(path, what string)) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name := strict.TOMLName(f)
		if name == "" {
			continue
		}
		at := strings.TrimPrefix(path+"."+name, ".")
		switch x := v.Field(i); {
		case x.Type() == reflect.TypeFor[Enum]():
			allowed := strings.Fields(f.Tag.Get("of"))
			if !slices.Contains(allowed, x.String()) {
				report(at, fmt.Sprintf("%q is none of %s", x.String(), strings.Join(allowed, ", ")))
			}
		case x.Kind() == reflect.Struct:
			checkEnums(x, at, report)
		case x.Kind() == reflect.Slice && x.Type().Elem().Kind() == reflect.Struct:
			for j := range x.Len() {
				checkEnums(x.Index(j), fmt.Sprintf("%s.%d", at, j), report)
			}
		}
	}
}

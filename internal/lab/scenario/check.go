package scenario

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"

	"ravenlink/internal/strict"
)

// The most that a scenario may ask for, so that a slip of a digit is told at once and not by a machine out of memory.
const (
	mostSenders      = 10_000
	mostDestinations = 100_000
	mostLength       = Span(24 * 3600 * 1e6)
)

// check names everything that is wrong, by path.
func (s *Scenario) check(fault func(path, what string)) {
	words(reflect.ValueOf(s).Elem(), "", fault)
	in := func(path string, v, least, most float64) {
		if math.IsNaN(v) || v < least || v > most {
			fault(path, fmt.Sprintf("%v is not within %v and %v", v, least, most))
		}
	}
	in("length", float64(s.Length), 1e5, float64(mostLength))
	in("team.senders", float64(s.Team.Senders), 1, mostSenders)
	in("team.zones", float64(s.Team.Zones), 1, 100)
	in("team.slots", float64(s.Team.Slots), 0, 1e6)
	in("team.held", float64(s.Team.Held), 0, 1e8)
	in("team.legs", float64(s.Team.Legs), 1, 1000)
	in("team.slots_room", s.Team.SlotsRoom, .01, 1e4)
	in("network.jitter", s.Network.Jitter, 0, 1)
	in("network.note_loss", s.Network.NoteLoss, 0, 1)
	in("clients.repeats", float64(s.Clients.Repeats), 0, 1000)
	in("clients.heed", s.Clients.Heed, 0, 1)
	in("clients.half_heed", s.Clients.HalfHeed, 0, 1-s.Clients.Heed)
	in("clients.leave", s.Clients.Leave, 0, 1)
	in("traffic.rate", s.Traffic.Rate, 0, 1e7)
	in("traffic.load", s.Traffic.Load, 0, 1e4)
	in("traffic.swing", s.Traffic.Swing, 0, 1)
	in("traffic.zipf", s.Traffic.Zipf, 0, 5)
	in("traffic.quiet", s.Traffic.Quiet, 0, 1)
	in("traffic.clumps", s.Traffic.Clumps, 0, 1)
	in("traffic.closed", float64(s.Traffic.Closed), 0, 1e6)
	in("rules.overload", s.Rules.Overload, 0, 1e6)
	if s.Traffic.Closed > 0 && s.Traffic.Each <= 0 {
		fault("traffic.each", "closed clients need a number of messages each")
	}
	if s.Traffic.Curve == "wave" && s.Traffic.Period <= 0 {
		fault("traffic.period", "a wave needs a period")
	}
	if len(s.Lanes) == 0 {
		fault("lane", "there is no lane; a [[lane]] with nothing but a name will do")
	}
	if len(s.Kinds) == 0 {
		fault("kind", "there is no kind of destination; a [[kind]] with nothing but a name will do")
	}
	s.checkLanes(fault, in)
	s.checkKinds(fault, in)
	for i, t := range s.Troubles {
		s.checkTrouble(fmt.Sprintf("trouble.%d", i), t, fault, in)
	}
}

func (s *Scenario) checkLanes(fault func(path, what string), in func(string, float64, float64, float64)) {
	seen := map[string]bool{}
	for i, l := range s.Lanes {
		p := fmt.Sprintf("lane.%d.", i)
		if l.Name == "" || seen[l.Name] {
			fault(p+"name", "a lane needs a name of its own")
		}
		seen[l.Name] = true
		in(p+"share", l.Share, 0, 1e6)
		in(p+"target", float64(l.Target), 1, float64(l.Deadline))
		in(p+"late_value", l.LateValue, 0, 1)
		in(p+"keys", float64(l.Keys), 1, 1e7)
		if l.Repeat == "keyed" && l.Window <= 0 {
			fault(p+"window", "a keyed lane needs a window")
		}
	}
}

func (s *Scenario) checkKinds(fault func(path, what string), in func(string, float64, float64, float64)) {
	all, seen := 0, map[string]bool{}
	for i, k := range s.Kinds {
		p := fmt.Sprintf("kind.%d.", i)
		if k.Name == "" || seen[k.Name] {
			fault(p+"name", "a kind needs a name of its own")
		}
		seen[k.Name] = true
		all += k.Destinations
		in(p+"destinations", float64(k.Destinations), 0, mostDestinations)
		if len(k.Endpoints) != 2 || k.Endpoints[0] < 1 || k.Endpoints[1] < k.Endpoints[0] || k.Endpoints[1] > 1000 {
			fault(p+"endpoints", "write the fewest and the most, such as [1, 3]")
		}
		if err := k.Work.Times().Check(); err != nil {
			fault(p+"work", err.Error())
		}
		in(p+"work.mean", float64(k.Work.Mean), 1, 1e12)
		in(p+"places", float64(k.Places), 0, 1e6)
		in(p+"queue", float64(k.Queue), 0, 1e9)
		in(p+"batch", float64(k.Batch), 1, 1e4)
		in(p+"errors", k.Errors, 0, 1)
		in(p+"cold_share", k.ColdShare, .001, 1)
		in(p+"limit.tells_wait", k.Limit.TellsWait, 0, 1)
		if err := k.Limit.Model(max(1, k.Limit.Rate)).Check(); err != nil {
			fault(p+"limit", err.Error())
		}
	}
	if all == 0 || all > mostDestinations {
		fault("kind", fmt.Sprintf("there are %d destinations; between 1 and %d will do", all, mostDestinations))
	}
}

// needsSize are the troubles that mean nothing without one, and what it is.
var needsSize = map[Word]string{"slow": "a factor", "errors": "a share", "reset": "a share", "lost": "a share",
	"limit": "a share that is left", "burst": "a factor", "clock": "a part by which it runs fast or slow", "lie": "a factor", "notes": "a share"}

func (s *Scenario) checkTrouble(p string, t Trouble, fault func(path, what string), in func(string, float64, float64, float64)) {
	if t.At > s.Length {
		fault(p+".at", fmt.Sprintf("%v is after the end of the day, %v", t.At, s.Length))
	}
	if what := needsSize[t.Kind]; what != "" && t.Size == 0 {
		fault(p+".size", fmt.Sprintf("trouble %s needs %s", t.Kind, what))
	}
	if slices.Contains([]Word{"errors", "reset", "lost", "notes", "limit"}, t.Kind) {
		in(p+".size", t.Size, 0, 1)
	}
	in(p+".share", t.Share, 0, 1)
	in(p+".senders", t.Senders, 0, 1)
	all := 0
	for _, k := range s.Kinds {
		all += k.Destinations
	}
	for _, n := range t.Destination {
		in(p+".destination", float64(n), 1, float64(all))
	}
	if t.OfKind != "" && !slices.ContainsFunc(s.Kinds, func(k Kind) bool { return k.Name == t.OfKind }) {
		fault(p+".of_kind", fmt.Sprintf("there is no kind %q", t.OfKind))
	}
}

// words checks each text that must be one of a few.
func words(v reflect.Value, path string, fault func(path, what string)) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name := strict.Name(f)
		if name == "" {
			continue
		}
		at := strings.TrimPrefix(path+"."+name, ".")
		switch x := v.Field(i); {
		case x.Type() == reflect.TypeFor[Word]():
			few := strings.Fields(f.Tag.Get("of"))
			if !slices.Contains(few, x.String()) {
				fault(at, fmt.Sprintf("%q is none of %s", x.String(), strings.Join(few, ", ")))
			}
		case x.Kind() == reflect.Struct:
			words(x, at, fault)
		case x.Kind() == reflect.Slice && x.Type().Elem().Kind() == reflect.Struct:
			for j := range x.Len() {
				words(x.Index(j), fmt.Sprintf("%s.%d", at, j), fault)
			}
		}
	}
}

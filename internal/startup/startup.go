// Package startup decodes the start settings, for the adapter and the real sender alike: each function reads
// the few that one part needs. The settings' names end here.
package startup

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"ravenlink/choice"
)

// Where the settings do not tell: a connection that takes longer will hardly come up; one idle for less is
// kept by most servers.
const (
	untoldUp   = time.Second
	untoldIdle = 5 * time.Second
)

// Micros rounds the settings' milliseconds to whole microseconds, once.
func Micros(v gjson.Result) int64 { return int64(math.Round(v.Float() * 1000)) }

// Span is Micros for a length of time that must not become 0, which means no limit.
func Span(v gjson.Result) int64 {
	if v.Float() > 0 {
		return max(1, Micros(v))
	}
	return 0
}

// limit reads a number that bounds something; absent means no bound.
func limit(v gjson.Result) int {
	if v.Int() <= 0 {
		return 1 << 30
	}
	return int(v.Int())
}

// Sender starts a decision module on a host. A call takes inCall messages at most, whatever the kinds allow.
func Sender(h choice.Host, seed uint64, c gjson.Result, inCall int) *choice.Sender {
	team := choice.Team{Senders: max(1, int(c.Get("balancers").Int())),
		Zone: int(c.Get("zone").Int()), CrossingFee: c.Get("deductions.cross_zone").Float()}
	room := choice.Room{Slots: limit(c.Get("family_info.max_calls")), Held: MostHeld(c),
		Legs: limit(c.Get("limits.send_cap")), HalvesLate: c.Get("family_info.late").String() == "halves",
		Idle: Micros(c.Get("limits.conn_idle"))}
	allowed := choice.Allowed{Probes: c.Get("limits.probes").Bool(),
		Subscribe: Subscribes(c), Notes: Notes(c), Cancel: c.Get("limits.cancel").Bool()}
	if c.Get("limits.retry_after").Bool() {
		allowed.MaxAdvice = Micros(c.Get("limits.max_retry_after"))
	}
	guards := choice.Guards{StartShare: c.Get("rules.start_capacity").Float(),
		WarmWithin: Micros(c.Get("rules.warm_within")), Overload: c.Get("rules.overload_factor").Float(),
		KeyRest: Micros(c.Get("rules.key_quiet")), AskWithin: Micros(c.Get("rules.ask_within"))}
	trust := map[string]choice.WeightTrust{"nominal": choice.NominalWeight, "rough": choice.RoughWeight}
	return choice.New(h, seed, team, lanes(c), kinds(c, inCall), room, allowed, guards,
		trust[c.Get("weight_source").String()])
}

func lanes(c gjson.Result) (ls []choice.Lane) {
	repeat := map[string]choice.Repeat{"repeatable": choice.Retriable, "by_key": choice.Keyed}
	for _, l := range c.Get("classes").Array() {
		ls = append(ls, choice.Lane{Repeat: repeat[l.Get("repeat").String()], AnyInDst: l.Get("group").String() == "all",
			Window: Micros(l.Get("window")), Target: Span(l.Get("aim")), Deadline: Span(l.Get("deadline")),
			Value: l.Get("importance").Float(), LateValue: l.Get("late_worth").Float(),
			InOrder: l.Get("sequential").Bool()})
	}
	return ls
}

func kinds(c gjson.Result, inCall int) (ks []choice.Kind) {
	for i := range c.Get("machine_types").Array() {
		n := strconv.Itoa(i)
		batch := int(c.Get("family_info.batch_by_kind." + n).Int())
		ks = append(ks, choice.Kind{Apart: c.Get("family_info.own_limits." + n).Bool(), Batch: max(1, min(inCall, batch))})
	}
	return ks
}

// MostHeld is how many messages the sender may hold.
func MostHeld(c gjson.Result) int { return limit(c.Get("limits.most_held")) }

// Subscribes tells whether changes of the list come only to a sender that has asked.
func Subscribes(c gjson.Result) bool { return c.Get("discovery").String() == "subscribe" }

// KeepsOrder tells whether the messages of a key take turns in some lane.
func KeepsOrder(c gjson.Result) bool {
	return slices.ContainsFunc(lanes(c), func(l choice.Lane) bool { return l.InOrder })
}

// Notes tells whether senders may write to one another.
func Notes(c gjson.Result) bool { return c.Get("limits.peers").Bool() }

// Reports tells whether answers hold reports, and whether those to probes do.
func Reports(c gjson.Result) (answers, probes bool) {
	how := c.Get("report.how").String()
	return how == "inline", how == "inline" || how == "on_probe"
}

// Connections gives how long a connection may take to come up, and how long it may stand idle.
func Connections(c gjson.Result) (up, idle time.Duration) {
	return span(c.Get("limits.connect_timeout"), untoldUp), span(c.Get("limits.conn_idle"), untoldIdle)
}

func span(v gjson.Result, untold time.Duration) time.Duration {
	if v.Float() <= 0 {
		return untold
	}
	return time.Duration(Span(v)) * time.Microsecond
}

// OwnLimits tells whether routes of any kind have limits of their own.
func OwnLimits(c gjson.Result) bool {
	return slices.ContainsFunc(kinds(c, 1), func(k choice.Kind) bool { return k.Apart })
}

// LaneNames names the lanes by number; one without a name has an empty one.
func LaneNames(c gjson.Result) (ns []string) {
	for _, l := range c.Get("classes").Array() {
		ns = append(ns, l.Get("name").String())
	}
	return ns
}

// Repeats gives, for a lane's name, whether it is known, may run again, carries a key, and for how long that is remembered in µs.
func Repeats(c gjson.Result, name string) (known, retriable, keyed bool, window int64) {
	for i, n := range LaneNames(c) {
		if n == name {
			l := lanes(c)[i]
			return true, l.Repeat == choice.Retriable, l.Repeat == choice.Keyed && l.AnyInDst, l.Window
		}
	}
	return false, false, false, 0
}

// KindNames names the kinds of destination by number.
func KindNames(c gjson.Result) []string { return names(c.Get("machine_types")) }

// ZoneNames names the zones by number.
func ZoneNames(c gjson.Result) []string { return names(c.Get("zones")) }

func names(v gjson.Result) (ns []string) {
	for _, n := range v.Array() {
		ns = append(ns, n.String())
	}
	return ns
}

// KeyQuiet is for how long, in µs, a leg that may still run keeps the next message of its key back.
func KeyQuiet(c gjson.Result) int64 { return Micros(c.Get("rules.key_quiet")) }

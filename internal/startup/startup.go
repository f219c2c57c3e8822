// Package startup decodes the start settings for the adapter and the sender. Each function reads the settings of one
// subsystem; no other package uses the names of the settings.
package startup

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"ravenlink/choice"
)

// Defaults: a connection attempt that takes longer than 1 s rarely succeeds, and most servers keep a connection that
// was idle for less than 5 s.
const (
	defaultConnectTimeout = time.Second
	defaultIdleTimeout    = 5 * time.Second
)

// Micros converts milliseconds to microseconds, rounded to the nearest.
func Micros(v gjson.Result) int64 { return int64(math.Round(v.Float() * 1000)) }

// PositiveMicros is Micros for a duration whose 0 means no limit: a positive value is never rounded to 0.
func PositiveMicros(v gjson.Result) int64 {
	if v.Float() > 0 {
		return max(1, Micros(v))
	}
	return 0
}

// limit reads an upper bound; an absent one is unlimited.
func limit(v gjson.Result) int {
	if v.Int() <= 0 {
		return 1 << 30
	}
	return int(v.Int())
}

// NewSender creates a decision module on a host. A call carries at most maxPerCall messages, whatever the batch sizes
// of the kinds are.
func NewSender(h choice.Host, seed uint64, c gjson.Result, maxPerCall int) *choice.Sender {
	topology := choice.Topology{Senders: max(1, int(c.Get("balancers").Int())),
		Zone: int(c.Get("zone").Int()), CrossZoneCost: c.Get("deductions.cross_zone").Float()}
	limits := choice.Limits{MaxCalls: limit(c.Get("family_info.max_calls")), MaxQueued: MaxQueued(c),
		MaxLegs: limit(c.Get("limits.send_cap")), ExponentialDecay: c.Get("family_info.late").String() == "halves",
		IdleTimeout: Micros(c.Get("limits.conn_idle"))}
	capabilities := choice.Capabilities{Probes: c.Get("limits.probes").Bool(),
		Subscribe: NeedsSubscription(c), PeerNotes: PeerNotesAllowed(c), Cancel: c.Get("limits.cancel").Bool()}
	if c.Get("limits.retry_after").Bool() {
		capabilities.MaxRetryAfter = Micros(c.Get("limits.max_retry_after"))
	}
	rules := choice.Rules{StartCapacity: c.Get("rules.start_capacity").Float(),
		WarmUpTime: Micros(c.Get("rules.warm_within")), OverloadFactor: c.Get("rules.overload_factor").Float(),
		KeyQuietTime: Micros(c.Get("rules.key_quiet")), MaxLookupInterval: Micros(c.Get("rules.ask_within"))}
	trust := map[string]choice.WeightTrust{"nominal": choice.NominalWeight, "rough": choice.RoughWeight}
	return choice.New(h, seed, topology, classes(c), kinds(c, maxPerCall), limits, capabilities, rules,
		trust[c.Get("weight_source").String()])
}

func classes(c gjson.Result) (ls []choice.Class) {
	repeat := map[string]choice.RetryMode{"repeatable": choice.Retriable, "by_key": choice.Keyed}
	for _, l := range c.Get("classes").Array() {
		ls = append(ls, choice.Class{RetryMode: repeat[l.Get("repeat").String()], DstWideKeys: l.Get("group").String() == "all",
			KeyWindow: Micros(l.Get("window")), Target: PositiveMicros(l.Get("aim")), Deadline: PositiveMicros(l.Get("deadline")),
			Value: l.Get("importance").Float(), LateValue: l.Get("late_worth").Float(),
			Ordered: l.Get("sequential").Bool()})
	}
	return ls
}

func kinds(c gjson.Result, maxPerCall int) (ks []choice.Kind) {
	for i := range c.Get("machine_types").Array() {
		n := strconv.Itoa(i)
		batch := int(c.Get("family_info.batch_by_kind." + n).Int())
		ks = append(ks, choice.Kind{PerReceiver: c.Get("family_info.own_limits." + n).Bool(), Batch: max(1, min(maxPerCall, batch))})
	}
	return ks
}

// MaxQueued returns the limit on messages in the sender's queues.
func MaxQueued(c gjson.Result) int { return limit(c.Get("limits.most_held")) }

// NeedsSubscription reports whether discovery sends changes of the list only to subscribed senders.
func NeedsSubscription(c gjson.Result) bool { return c.Get("discovery").String() == "subscribe" }

// HasOrderedClass reports whether any class delivers the messages of a key in order.
func HasOrderedClass(c gjson.Result) bool {
	return slices.ContainsFunc(classes(c), func(l choice.Class) bool { return l.Ordered })
}

// PeerNotesAllowed reports whether senders may exchange notes.
func PeerNotesAllowed(c gjson.Result) bool { return c.Get("limits.peers").Bool() }

// LoadReports reports whether replies to calls carry load reports, and whether replies to probes do.
func LoadReports(c gjson.Result) (answers, probes bool) {
	how := c.Get("report.how").String()
	return how == "inline", how == "inline" || how == "on_probe"
}

// ConnTimeouts returns the connect timeout and the idle timeout of connections.
func ConnTimeouts(c gjson.Result) (connect, idle time.Duration) {
	return durationOr(c.Get("limits.connect_timeout"), defaultConnectTimeout), durationOr(c.Get("limits.conn_idle"), defaultIdleTimeout)
}

func durationOr(v gjson.Result, fallback time.Duration) time.Duration {
	if v.Float() <= 0 {
		return fallback
	}
	return time.Duration(PositiveMicros(v)) * time.Microsecond
}

// HasReceiverLimits reports whether any kind limits calls per receiver.
func HasReceiverLimits(c gjson.Result) bool {
	return slices.ContainsFunc(kinds(c, 1), func(k choice.Kind) bool { return k.PerReceiver })
}

// ClassNames returns the names of the classes by index, empty for a class without one.
func ClassNames(c gjson.Result) (ns []string) {
	for _, l := range c.Get("classes").Array() {
		ns = append(ns, l.Get("name").String())
	}
	return ns
}

// ClassRetry returns the retry rules of a class: whether the class exists, its messages are retriable or keyed
// across the destination, and for how long receivers remember a key, in µs.
func ClassRetry(c gjson.Result, name string) (known, retriable, keyed bool, window int64) {
	for i, n := range ClassNames(c) {
		if n == name {
			l := classes(c)[i]
			return true, l.RetryMode == choice.Retriable, l.RetryMode == choice.Keyed && l.DstWideKeys, l.KeyWindow
		}
	}
	return false, false, false, 0
}

// KindNames returns the names of the receiver kinds by index.
func KindNames(c gjson.Result) []string { return stringList(c.Get("machine_types")) }

// ZoneNames returns the names of the zones by index.
func ZoneNames(c gjson.Result) []string { return stringList(c.Get("zones")) }

func stringList(v gjson.Result) (ns []string) {
	for _, n := range v.Array() {
		ns = append(ns, n.String())
	}
	return ns
}

// KeyQuietTime returns for how long, in µs, a leg that may still run delays the next message of its key.
func KeyQuietTime(c gjson.Result) int64 { return Micros(c.Get("rules.key_quiet")) }

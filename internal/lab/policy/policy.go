// Package policy holds the policies that may decide for a simulated sender: the decision module, baselines to compare it
// with, a bound that sees the true state of the world, and policies that violate one rule each, to test the rule checks.
package policy

import (
	"fmt"
	"slices"
	"strings"

	"ravenlink/choice"
)

// Policy decides for one sender. Its methods are those of choice.Sender, so the module is a Policy without an adapter.
type Policy interface {
	SetTime(now int64)
	UpdateList(kind choice.ListKind, entries []choice.Entry)
	Accept(id string, class int, key string, dst, expires int64, past ...choice.PastLeg)
	LegEnded(id string, number int, o choice.Outcome, retryAfter int64, final bool, limit choice.RateLimit)
	Withdraw(id string)
	ProbeEnded(id uint32, o choice.Outcome, limit choice.RateLimit)
	ReceiveNote(text string)
	TimerFired(token uint64)
	Decide()
}

var _ Policy = (*choice.Sender)(nil)

// Oracle gives the true state of the simulated world. Only the bound may use it.
type Oracle interface {
	// FreeSlots returns how many calls of the sender would pass every limit and start without waiting if sent now.
	FreeSlots(sender int, receiver uint32) int
	// ServiceTime returns the receiver's current service time of a message of mean work, in µs.
	ServiceTime(receiver uint32) float64
}

// Config is the configuration with which a sender's policy is started.
type Config struct {
	Host         choice.Host
	Sender       int
	Seed         uint64
	Topology     choice.Topology
	Classes      []choice.Class
	Kinds        []choice.Kind
	Limits       choice.Limits
	Capabilities choice.Capabilities
	Rules        choice.Rules
	WeightTrust  choice.WeightTrust
	Oracle       Oracle
}

// Factory creates the policy of a sender.
type Factory func(Config) Policy

// Module creates the decision module.
func Module(c Config) Policy {
	return choice.New(c.Host, c.Seed, c.Topology, c.Classes, c.Kinds, c.Limits, c.Capabilities, c.Rules, c.WeightTrust)
}

// The names of the policies that are not baselines.
const (
	ModuleName = "module"
	BoundName  = "bound"
)

// selectors are the ways to select a receiver: at random, round robin, the one with the fewest open legs, and the better of
// two random ones by open legs. The first is the default.
var selectors = []string{"random", "robin", "least", "two"}

// retryStyles are the retry styles of the baselines, by name.
var retryStyles = map[string]retryStyle{
	"none":     {maxLegs: 1},
	"backoff":  {maxLegs: 3},
	"budget":   {maxLegs: 1000, budget: 0.1},
	"throttle": {maxLegs: 3, throttle: 2},

	// As in the source article: a retry-after applies only to the message whose leg received it.
	"article-exact":    {maxLegs: 1000, perMessage: true, noJitter: true},
	"article-floor":    {maxLegs: 1000, perMessage: true},
	"article-ignore":   {maxLegs: 1000, perMessage: true, backoffOnly: true},
	"article-none":     {maxLegs: 1, perMessage: true},
	"article-backoff":  {maxLegs: 3, perMessage: true},
	"article-forever":  {maxLegs: 1000, perMessage: true},
	"article-budget":   {maxLegs: 3, perMessage: true, budget: 0.1},
	"article-throttle": {maxLegs: 3, perMessage: true, throttle: 2},

	// Each violates the rule in its name.
	"broken-answer": {maxLegs: 3, ignoresExpiry: true},
	"broken-effect": {maxLegs: 3, retriesUnsafe: true},
	"broken-drain":  {maxLegs: 3, keepsUnlisted: true},
	"broken-return": {maxLegs: 1000, perMessage: true, retriesAtOnce: true},
	"broken-order":  {maxLegs: 3, ignoresOrder: true},
	"broken-wait":   {maxLegs: 3, ignoresRetryAfter: true},
	"planted-wait":  {maxLegs: 1000, plantedFault: true},
}

// Find returns a policy by its name: module, bound, or a retry style, optionally followed by a slash and a selector.
func Find(name string) (Factory, error) {
	switch name {
	case ModuleName:
		return Module, nil
	case BoundName:
		return newBound, nil
	}
	styleName, selectorName, named := strings.Cut(name, "/")
	if !named {
		selectorName = selectors[0]
	}
	style, known := retryStyles[styleName]
	selector := slices.Index(selectors, selectorName)
	if !known || selector < 0 {
		return nil, fmt.Errorf("no policy %q; there are: %s", name, strings.Join(Names(), ", "))
	}
	return func(c Config) Policy { return newBaseline(c, style, selector) }, nil
}

// Names lists the policies, with retry styles but without selectors.
func Names() []string {
	ns := []string{ModuleName, BoundName}
	for n := range retryStyles {
		ns = append(ns, n)
	}
	slices.Sort(ns[2:])
	return ns
}

// Baselines lists the policies that the module is compared with: four retry styles, each with every selector.
func Baselines() (ns []string) {
	for _, styleName := range []string{"none", "backoff", "budget", "throttle"} {
		for _, selectorName := range selectors {
			ns = append(ns, styleName+"/"+selectorName)
		}
	}
	return ns
}

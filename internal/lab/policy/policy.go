// Package policy holds what may decide in the laboratory: the module as it is, baselines to compare it with, a bound that
// sees the true state of everything, and policies made to break each rule, by which the judges are tested.
package policy

import (
	"fmt"
	"slices"
	"strings"

	"ravenlink/choice"
)

// Policy decides for one sender. It is what the module offers, so the module is one as it stands.
type Policy interface {
	At(now int64)
	Listed(form choice.ListForm, entries []choice.Entry)
	Take(id string, lane int, key string, to, expires int64, past ...choice.PastLeg)
	Settled(id string, number int, o choice.Outcome, wait int64, final bool, rep choice.Report)
	Withdrawn(id string)
	Probed(id uint32, o choice.Outcome, rep choice.Report)
	Noted(text string)
	Rang(token uint64)
	Decide()
}

var _ Policy = (*choice.Sender)(nil)

// Truth is the state of the world as it is, which only the bound may look at.
type Truth interface {
	// Room is how many calls of this sender would be worked on at once, and pass every limit, if sent now.
	Room(sender int, receiver uint32) int
	// Took is how long a message's work takes at that receiver just now, in µs.
	Took(receiver uint32) float64
}

// Start is what a sender is started with.
type Start struct {
	Host    choice.Host
	Sender  int
	Seed    uint64
	Team    choice.Team
	Lanes   []choice.Lane
	Kinds   []choice.Kind
	Room    choice.Room
	Allowed choice.Allowed
	Guards  choice.Guards
	Trust   choice.WeightTrust
	Truth   Truth
}

// Maker starts a policy.
type Maker func(Start) Policy

// Module starts the decision module.
func Module(s Start) Policy {
	return choice.New(s.Host, s.Seed, s.Team, s.Lanes, s.Kinds, s.Room, s.Allowed, s.Guards, s.Trust)
}

// The names with a meaning of their own.
const (
	ModuleName = "module"
	BoundName  = "bound"
)

var picks = []string{"random", "robin", "least", "two"}

// styles are the ways to repeat, by name.
var styles = map[string]style{
	"none":     {legs: 1},
	"backoff":  {legs: 3},
	"budget":   {legs: 1000, budget: 0.1},
	"throttle": {legs: 3, throttle: 2},

	// As the source article has them: each message for itself, whatever the destination told others.
	"article-exact":    {legs: 1000, alone: true, exact: true},
	"article-floor":    {legs: 1000, alone: true},
	"article-ignore":   {legs: 1000, alone: true, ignore: true},
	"article-none":     {legs: 1, alone: true},
	"article-backoff":  {legs: 3, alone: true},
	"article-forever":  {legs: 1000, alone: true},
	"article-budget":   {legs: 3, alone: true, budget: 0.1},
	"article-throttle": {legs: 3, alone: true, throttle: 2},

	// Made to break a rule.
	"broken-answer": {legs: 3, forgets: true},
	"broken-effect": {legs: 3, careless: true},
	"broken-drain":  {legs: 3, clings: true},
	"broken-return": {legs: 1000, alone: true, rushes: true},
	"broken-order":  {legs: 3, jumbles: true},
	"broken-wait":   {legs: 3, deaf: true},
	"planted-wait":  {legs: 1000, planted: true},
}

// Find gives a policy by its name: module, bound, or a way to repeat, with a pick after a slash where it is not random.
func Find(name string) (Maker, error) {
	switch name {
	case ModuleName:
		return Module, nil
	case BoundName:
		return newBound, nil
	}
	repeat, pick, told := strings.Cut(name, "/")
	if !told {
		pick = picks[0]
	}
	how, known := styles[repeat]
	by := slices.Index(picks, pick)
	if !known || by < 0 {
		return nil, fmt.Errorf("no policy %q; there are: %s", name, strings.Join(Names(), ", "))
	}
	return func(s Start) Policy { return newPlain(s, how, by) }, nil
}

// Names lists the policies, the ways to repeat without their picks.
func Names() []string {
	ns := []string{ModuleName, BoundName}
	for n := range styles {
		ns = append(ns, n)
	}
	slices.Sort(ns[2:])
	return ns
}

// Baselines are those that the module is compared with: each way to repeat with each pick.
func Baselines() (ns []string) {
	for _, repeat := range []string{"none", "backoff", "budget", "throttle"} {
		for _, pick := range picks {
			ns = append(ns, repeat+"/"+pick)
		}
	}
	return ns
}

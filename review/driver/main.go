// Command driver plays one case of the review: it starts senders by the deploy file as separate processes, with stand-ins for
// clients, receivers, discovery and the platform on loopback, and judges what these saw. It is started from the repository's root.
//
//	driver PLAY FOLDER   writes FOLDER/record.txt; ends with 1 if the rule was broken, 0 if it held, 2 if the play could not run
//
// TROUBLE=0 in the environment plays the same without the disruption. The plays whose names begin with search look for faults in drawn trouble
// (SEED, PARTS, CHANGES); they and the further faults are no cases.
package main

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"
)

const (
	held    = 0
	broken  = 1
	cannot  = 2
	longest = 112 * time.Second // of a case; then it could not run
)

var plays = map[string]func(*play) error{
	// The cases.
	"full-log":      fullLog,
	"foreign-id":    foreignID,
	"lost-position": lostPosition,

	// Further faults.
	"kept-again":    keptAgain,
	"without-fleet": withoutFleet,
	"kept-full":     keptFull,
	"newer-peer":    newerPeer,
	"without-log":   withoutLog,

	// Looking for faults.
	"search":          search,
	"search-backlog":  searchBacklog,
	"search-channels": searchChannels,
	"search-drain":    searchDrain,
	"search-lists":    searchLists,
}

// errBroken marks what breaks the rule.
var errBroken = errors.New("the rule is broken")

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || plays[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "driver PLAY FOLDER; plays:", slices.Sorted(maps.Keys(plays)))
		return cannot
	}
	p, err := newPlay(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	done := make(chan error, 1)
	go func() { done <- plays[args[0]](p) }()
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-done:
	case <-told:
		err = errors.New("told to end")
	case <-time.After(longest):
		err = errors.New("the case did not end in its time")
	}
	p.end()
	switch {
	case err == nil:
		p.note("RESULT the rule held")
		return held
	case errors.Is(err, errBroken):
		p.note("RESULT %v", err)
		return broken
	}
	p.note("RESULT could not run: %v", err)
	return cannot
}

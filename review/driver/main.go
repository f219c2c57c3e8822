// Command driver plays one case of the review: it starts senders by the deploy file as separate processes, with stand-ins for
// clients, receivers, discovery and the platform on loopback, and judges what these saw.
//
//	driver CASE FOLDER   writes FOLDER/record.txt; ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run
//
// TROUBLE=0 in the environment plays the same without the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

const (
	held    = 0
	broken  = 1
	cannot  = 2
	longest = 112 * time.Second // of a case; then it could not run
)

var cases = map[string]func(*play) error{
	"kept-again":      keptAgain,
	"lost-position":   lostPosition,
	"foreign-id":      foreignID,
	"without-fleet":   withoutFleet,
	"full-log":        fullLog,
	"search":          search,
	"search-kept":     searchKept,
	"search-backlog":  searchBacklog,
	"search-channels": searchChannels,
}

// errBroken marks what breaks the rule.
var errBroken = errors.New("the rule is broken")

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "driver CASE FOLDER; cases: kept-again, lost-position, foreign-id")
		return cannot
	}
	p, err := newPlay(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	done := make(chan error, 1)
	go func() { done <- cases[args[0]](p) }()
	select {
	case err = <-done:
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

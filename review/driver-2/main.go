package main

import (
	"fmt"
	"os"
)

// cases are played by their numbers.
var cases = map[string]func(r *rig) error{}

func main() { os.Exit(play()) }

// play exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver-2 CASE RECORD")
		return 2
	}
	r, err := newRig(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.end()
	r.guard()
	err = cases[os.Args[1]](r)
	switch {
	case err != nil:
		r.note("COULD NOT RUN  %v", err)
		fmt.Printf("could not run: %v\n", err)
		return 2
	case len(r.broken) > 0:
		fmt.Printf("broken, %d times; first: %s\n", len(r.broken), r.broken[0])
		return 1
	}
	r.note("HELD")
	fmt.Println("held")
	return 0
}

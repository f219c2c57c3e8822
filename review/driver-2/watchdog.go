package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is within the 120 s that a script may take.
const longest = 110 * time.Second

// guard ends all processes and the play where it is told to end, or takes too long.
func (r *rig) guard() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-told:
		case <-time.After(longest + chaosMore()):
		}
		r.note("COULD NOT RUN  cut off")
		r.end()
		os.Exit(2)
	}()
}

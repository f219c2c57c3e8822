package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

const logLevel = "RAVENLINK_LOG" // debug, info (as without it), warn, error

// Serve runs a sender until SIGTERM or SIGINT has drained it. operatorFile names the operator's file, empty for none.
func Serve(env func(string) string, operatorFile string) error {
	reload := make(chan os.Signal, 1) // before all else: a signal nobody waits for would end the process
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	log, ls, err := logger(env(logLevel))
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	f, err := ls.follow(operatorFile)
	if err != nil {
		return err
	}
	p, err := New(env, log, reload, f.Backlog)
	if err != nil {
		return err
	}
	p.operated(operatorFile, ls)
	if f.Kept != nil {
		p.Keep(*f.Kept)
	}
	if f.Fleet != nil {
		p.Fleet(*f.Fleet)
	}
	return p.Run(ctx)
}

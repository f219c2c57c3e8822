package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

const envLogLevel = "RAVENLINK_LOG" // debug, info (default), warn, error

// Serve runs a sender until it has drained after SIGTERM or SIGINT. operatorFile is the path of the operator's file, empty for none.
func Serve(env func(string) string, operatorFile string) error {
	reload := make(chan os.Signal, 1) // registered first: by default SIGHUP ends the process
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	log, ls, err := newLogger(env(envLogLevel))
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	f, err := ls.load(operatorFile)
	if err != nil {
		return err
	}
	p, err := New(env, log, reload, f.Backlog)
	if err != nil {
		return err
	}
	p.followOperatorFile(operatorFile, ls)
	if f.DeadLetters != nil {
		p.EnableDeadLetters(*f.DeadLetters)
	}
	if f.Fleet != nil {
		p.JoinFleet(*f.Fleet)
	}
	return p.Run(ctx)
}

package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const logLevel = "RAVENLINK_LOG" // debug, info (as without it), warn, error

// Serve runs a sender until SIGTERM or SIGINT has drained it.
func Serve(env func(string) string) error {
	reload := make(chan os.Signal, 1) // before all else: a signal nobody waits for would end the process
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	log, err := logger(env(logLevel))
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	p, err := New(env, log, reload)
	if err != nil {
		return err
	}
	return p.Run(ctx)
}

// logger writes sampled JSON lines to standard error.
func logger(level string) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	c.DisableStacktrace, c.DisableCaller = true, true
	c.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	if level != "" {
		l, err := zapcore.ParseLevel(level)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", logLevel, err)
		}
		c.Level.SetLevel(l)
		if l == zapcore.DebugLevel {
			c.Sampling = nil
		}
	}
	log, err := c.Build()
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	return log, nil
}

package daemon

import (
	"cmp"
	"fmt"
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ravenlink/internal/operator"
)

// linesASecond is how many lines of one text and level are written in a second; further ones are dropped, but for a log that starts at debug.
const linesASecond = 100

// levels says from which level on each part logs. It may change while the sender runs.
type levels struct {
	base zapcore.Level // without an operator's word
	now  atomic.Pointer[map[string]zapcore.Level]
}

func newLevels(base zapcore.Level) *levels {
	l := &levels{base: base}
	l.set(operator.Log{})
	return l
}

// set takes in a checked table.
func (l *levels) set(t operator.Log) {
	parse := func(text string, or zapcore.Level) zapcore.Level {
		v, err := zapcore.ParseLevel(cmp.Or(text, or.String()))
		if err != nil {
			return or
		}
		return v
	}
	all := parse(t.Level, l.base)
	m := map[string]zapcore.Level{"": all}
	for _, part := range operator.Parts {
		m[part] = parse(t.Parts[part], all)
	}
	l.now.Store(&m)
}

// follow reads the operator's file, if there is one. A faulty one changes nothing.
func (l *levels) follow(path string) (f operator.File, err error) {
	if path == "" {
		return f, nil
	}
	if f, err = operator.Read(path); err == nil {
		l.set(f.Log)
	}
	return f, err
}

func (l *levels) of(part string) zapcore.Level {
	m := *l.now.Load()
	if v, named := m[part]; named {
		return v
	}
	return m[""]
}

// partCore lets a part's lines through by its own level.
type partCore struct {
	zapcore.Core
	levels *levels
	part   string
}

func (c partCore) Enabled(l zapcore.Level) bool { return l >= c.levels.of(c.part) }

// With keeps the part.
func (c partCore) With(fs []zapcore.Field) zapcore.Core {
	return partCore{c.Core.With(fs), c.levels, c.part}
}

// Check asks the part's level before the core's sampling.
func (c partCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return ce
	}
	return c.Core.Check(e, ce)
}

// part has a logger's lines go by the level of a part.
func part(log *zap.Logger, name string) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		if own, is := c.(partCore); is {
			return partCore{own.Core, own.levels, name}
		}
		return c // a logger of tests, without levels
	}))
}

// logger writes JSON lines to standard error, sampled unless it starts at debug.
func logger(level string) (*zap.Logger, *levels, error) {
	base := zapcore.InfoLevel
	if level != "" {
		l, err := zapcore.ParseLevel(level)
		if err != nil {
			return nil, nil, fmt.Errorf("%s: %w", logLevel, err)
		}
		base = l
	}
	c := zap.NewProductionConfig()
	c.DisableStacktrace, c.DisableCaller = true, true
	c.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.Level.SetLevel(zapcore.DebugLevel)                    // parts decide
	c.Sampling = &zap.SamplingConfig{Initial: linesASecond} // none beyond: a part of what a flood brings about is a flood too
	if base == zapcore.DebugLevel {
		c.Sampling = nil
	}
	log, err := c.Build()
	if err != nil {
		return nil, nil, fmt.Errorf("log: %w", err)
	}
	ls := newLevels(base)
	return log.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core { return partCore{c, ls, "program"} })), ls, nil
}

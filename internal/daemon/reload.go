package daemon

import (
	"context"
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"

	"ravenlink/internal/startup"
)

// reloads reads the start file again at each signal. Of a row of signals the last one counts, and one that
// comes while the file is read has it read once more.
func (p *Program) reloads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.reload:
			p.reloadStart(ctx)
			p.reloadOperators()
		}
	}
}

// reloadStart comes first: what discovery has at its new address counts as told 4 s after the signal.
func (p *Program) reloadStart(ctx context.Context) {
	addr, err := p.moved(ctx)
	if err != nil {
		p.log.Error("start file not taken, the old one stays in force", zap.Error(err))
		return
	}
	p.log.Info("start file read again", zap.String("discovery", addr), zap.Bool("moved", p.agent.Move(addr)))
}

// moved reads where discovery is now. Danger: a crowd of clients may have all descriptors for a moment, and nobody signals a second time; so
// it is read again as long as that alone is the fault.
func (p *Program) moved(ctx context.Context) (addr string, err error) {
	for {
		addr, err = startup.Moved(p.env)
		if !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) {
			return addr, err
		}
		select {
		case <-ctx.Done():
			return addr, err
		case <-time.After(glance):
		}
	}
}

func (p *Program) reloadOperators() {
	if p.opFile == "" {
		return
	}
	f, err := p.levels.follow(p.opFile)
	if err != nil {
		p.log.Error("operator's file not taken, the old one stays in force", zap.Error(err))
		return
	}
	if p.keeper != nil && f.Kept != nil {
		p.keeper.Rule(f.Kept.Rules)
	} else if (p.keeper != nil) != (f.Kept != nil) {
		p.log.Warn("keeping is begun and ended at a start only")
	}
	if (p.rests != nil) != (f.Backlog != nil) || p.rests != nil && *p.rests != *f.Backlog {
		p.log.Warn("the backlog is begun, changed and ended at a start only")
	}
	p.log.Info("operator's file read again", zap.String("file", p.opFile))
}

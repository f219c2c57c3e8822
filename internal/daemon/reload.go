package daemon

import (
	"context"
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"

	"ravenlink/internal/startup"
)

// reloadOnSignal reads the start file and the operator's file again on each signal. Pending signals are coalesced; one that
// arrives during a reload causes another reload.
func (p *Program) reloadOnSignal(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.reload:
			p.reloadStartFile(ctx)
			p.reloadOperatorFile()
		}
	}
}

// reloadStartFile runs before reloadOperatorFile: the list at a new address of discovery must be in use within 4 s of the signal.
func (p *Program) reloadStartFile(ctx context.Context) {
	addr, err := p.readDiscoveryAddr(ctx)
	if err != nil {
		p.log.Error("start file not taken, the old one stays in force", zap.Error(err))
		return
	}
	p.log.Info("start file read again", zap.String("discovery", addr), zap.Bool("moved", p.agent.Move(addr)))
}

// readDiscoveryAddr reads the address of discovery from the start file. It retries while the process is out of file descriptors:
// many clients may use all of them for a moment, and the signal is not sent twice.
func (p *Program) readDiscoveryAddr(ctx context.Context) (addr string, err error) {
	for {
		addr, err = startup.ReloadDiscovery(p.env)
		if !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) {
			return addr, err
		}
		select {
		case <-ctx.Done():
			return addr, err
		case <-time.After(pollInterval):
		}
	}
}

func (p *Program) reloadOperatorFile() {
	if p.operatorFile == "" {
		return
	}
	f, err := p.levels.load(p.operatorFile)
	if err != nil {
		p.log.Error("operator's file not taken, the old one stays in force", zap.Error(err))
		return
	}
	if p.resender != nil && f.DeadLetters != nil {
		p.resender.SetRules(f.DeadLetters.Rules)
	} else if (p.resender != nil) != (f.DeadLetters != nil) {
		p.log.Warn("keeping is begun and ended at a start only")
	}
	if (p.backlogTable != nil) != (f.Backlog != nil) || p.backlogTable != nil && *p.backlogTable != *f.Backlog {
		p.log.Warn("the backlog is begun, changed and ended at a start only")
	}
	p.log.Info("operator's file read again", zap.String("file", p.operatorFile))
}

package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"ravenlink/internal/routing"
)

const (
	coldFileName    = "cold.json" // in the state directory
	coldVersion     = 1
	coldMinPause    = 50 * time.Millisecond // lower bound of the pause between two writes
	coldPauseFactor = 20                    // the pause is this many times the time that building the list took
	coldMaxPause    = 5 * time.Second       // upper bound of the pause, for a starved machine
	coldInterval    = time.Second           // between writes while destinations warm up, and after a failed write
	coldDiskShare   = 0.01                  // of the disk limit, for the file and again for its replacement
	coldWarmSteps   = 1000                  // resolution of the warm share
	coldEntryBytes  = 48                    // upper bound of an entry's size
)

// coldFile lists the destinations that may be cold, for the next process of this sender.
type coldFile struct {
	Version      int               `json:"version"`
	Destinations []coldDestination `json:"destinations"`
}

type coldDestination struct {
	Dst  int64   `json:"dst"`
	Warm float64 `json:"warm"` // progress of slow start, from 0 to 1
}

// restoreCold reads the file of an earlier process. The sender also starts without it.
func (p *Program) restoreCold() {
	log := withPart(p.log, "cold")
	text, err := os.ReadFile(filepath.Join(p.stateDir, coldFileName))
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var f coldFile
	if err == nil {
		err = json.Unmarshal(text, &f)
	}
	if err == nil && f.Version != coldVersion {
		err = fmt.Errorf("%s has version %d, supported is %d", coldFileName, f.Version, coldVersion)
	}
	if err != nil {
		log.Warn("destinations left cold are not known", zap.Error(err))
		return
	}
	log.Info("destinations left cold by an earlier process", zap.Int("count", len(f.Destinations)))
	cold := make([]routing.ColdDst, 0, len(f.Destinations))
	for _, d := range f.Destinations {
		cold = append(cold, routing.ColdDst(d))
	}
	p.router.RestoreCold(cold)
}

// persistCold writes the destinations that may be cold after each change and periodically while they warm up, until ctx ends.
func (p *Program) persistCold(ctx context.Context) {
	log, failed := withPart(p.log, "cold"), false
	timer := time.NewTimer(coldInterval) // the first write replaces outdated content of an earlier process
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.router.ColdChanged():
		case <-timer.C:
		}
		start := time.Now()
		cold := p.router.Cold()
		took := time.Since(start)
		err := p.writeCold(cold)
		switch {
		case err != nil && !failed:
			log.Error("destinations that may be cold are not written, it is tried again", zap.Error(err))
		case err == nil && failed:
			log.Info("destinations that may be cold are written again")
		}
		if failed = err != nil; failed || len(cold) > 0 {
			timer.Reset(coldInterval)
		} else {
			timer.Stop()
		}
		if !sleep(ctx, coldPause(took)) {
			return
		}
	}
}

// coldPause returns the pause after a write whose list took the given time to build. The decisions wait while the list is built, so
// with many destinations a fixed short pause would stall them over and over.
func coldPause(took time.Duration) time.Duration {
	return min(coldMaxPause, max(coldMinPause, coldPauseFactor*took))
}

// sleep pauses for d; it returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// writeCold replaces the file atomically, so that a kill leaves the old or the new one, or removes it if no destination may be cold. The
// file is not synced: it only matters to processes of the same boot.
func (p *Program) writeCold(cold []routing.ColdDst) error {
	path := filepath.Join(p.stateDir, coldFileName)
	if len(cold) == 0 {
		if err := os.Remove(path); !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		return nil
	}
	maxEntries := int(coldDiskShare * float64(p.maxDiskBytes) / coldEntryBytes)
	f := coldFile{Version: coldVersion}
	for _, c := range cold[:min(len(cold), maxEntries)] {
		f.Destinations = append(f.Destinations, coldDestination{c.Dst, math.Round(c.Warm*coldWarmSteps) / coldWarmSteps})
	}
	text, err := json.Marshal(f)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

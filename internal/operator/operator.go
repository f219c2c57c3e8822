// Package operator reads the operator's file: the settings of an installation beside those that its platform gives. Each
// subsystem has a table of its own, which its own package decodes and checks; what is not named is off.
package operator

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"

	"github.com/pelletier/go-toml/v2"
	"go.uber.org/zap/zapcore"

	"ravenlink/internal/backlog"
	"ravenlink/internal/fleet"
	"ravenlink/internal/keep"
	"ravenlink/internal/kept"
	"ravenlink/internal/strict"
)

// Version of the form. A file says which one it is in.
const Version = 1

// File is the operator's file.
type File struct {
	Version int            `toml:"version"`
	Log     Log            `toml:"log"`
	Kept    *keep.Table    `toml:"kept"`    // nil: nothing is kept
	Fleet   *fleet.Table   `toml:"fleet"`   // nil: this sender decides alone
	Backlog *backlog.Table `toml:"backlog"` // nil: all that is owed is with the decisions
}

// Log says how much is logged: in all, and by part.
type Log struct {
	Level string            `toml:"level"`
	Parts map[string]string `toml:"parts"`
}

// Parts are those that may have a level of their own.
var Parts = []string{"clients", "discovery", "fleet", "kept", "messages", "module", "notices", "program"}

// Read decodes a file and checks it; all its faults come joined, in the order of the file.
func Read(path string) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("operator's file: %w", err)
	}
	return Decode(path, text)
}

// Decode is Read for a text.
func Decode(name string, text []byte) (File, error) {
	f := File{}
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return f, strict.Faults(name, reflect.TypeFor[File](), err)
	}
	var faults []error
	fault := faulter(name, text, &faults)
	if f.Version != Version {
		fault("version", fmt.Sprintf("this form is version %d, not %d", Version, f.Version))
	}
	f.Log.check(func(setting, what string) { fault("log."+setting, what) })
	if f.Kept != nil {
		f.Kept.Fill()
		f.Kept.Check(func(number int, setting, what string) {
			if number >= 0 {
				setting = fmt.Sprintf("rule.%d.%s", number, setting)
			}
			fault("kept."+setting, what)
		})
	}
	if f.Fleet != nil {
		f.Fleet.Fill()
		f.Fleet.Check(func(setting, what string) { fault("fleet."+setting, what) })
	}
	if f.Backlog != nil {
		f.Backlog.Check(func(setting, what string) { fault("backlog."+setting, what) })
	}
	return f, errors.Join(faults...)
}

// faulter gives each fault its place in a text.
func faulter(name string, text []byte, faults *[]error) func(path, what string) {
	places, _ := strict.Locate(text)
	return func(path, what string) {
		p := places.Near(path)
		*faults = append(*faults, strict.Fault{File: name, Line: p.Line, Column: p.Column, Path: path, What: what})
	}
}

// Limits of a sender, in bytes, and what its traffic classes allow.
type Limits struct {
	Disk, Spool, Memory int64
	Lane                func(name string) kept.Lane // nil: not known
}

// Fit is Read that holds the file against a sender's limits too.
func Fit(path string, l Limits) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("operator's file: %w", err)
	}
	f, err := Decode(path, text)
	var faults []error
	fault := faulter(path, text, &faults)
	if room := l.Disk - l.Spool; f.Fleet != nil && f.Fleet.Bytes() > room {
		fault("fleet.most_mb", fmt.Sprintf("%g MB do not fit: the spool leaves %.2f MB of limits.disk_mb", f.Fleet.MostMB, float64(room)/1e6))
	}
	if f.Kept != nil && l.Lane != nil {
		for i, r := range f.Kept.Rules {
			r.CheckLane(l.Lane(r.Lane), func(setting, what string) { fault(fmt.Sprintf("kept.rule.%d.%s", i, setting), what) })
		}
	}
	if f.Backlog != nil {
		f.Backlog.Fit(l.Spool, l.Memory, func(setting, what string) { fault("backlog."+setting, what) })
	}
	return errors.Join(append([]error{err}, faults...)...)
}

func (l Log) check(fault func(setting, what string)) {
	if l.Level != "" {
		if _, err := zapcore.ParseLevel(l.Level); err != nil {
			fault("level", fmt.Sprintf("%q is none of debug, info, warn, error", l.Level))
		}
	}
	var named []string
	for part := range l.Parts {
		named = append(named, part)
	}
	slices.Sort(named)
	for _, part := range named {
		if !slices.Contains(Parts, part) {
			fault("parts."+part, fmt.Sprintf("no part %q; there are %v", part, Parts))
		}
		if _, err := zapcore.ParseLevel(l.Parts[part]); err != nil {
			fault("parts."+part, fmt.Sprintf("%q is none of debug, info, warn, error", l.Parts[part]))
		}
	}
}

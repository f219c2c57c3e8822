// Package operator reads the operator's file: the settings of an installation that its platform does not supply. Each
// subsystem has a table, declared and validated by its package; a subsystem without a table is off.
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
	"ravenlink/internal/strict"
)

// Version is the format version that a file must declare.
const Version = 1

// File is the operator's file.
type File struct {
	Version     int            `toml:"version"`
	Log         Log            `toml:"log"`
	DeadLetters *keep.Table    `toml:"kept"`    // nil: dead letters are not stored
	Fleet       *fleet.Table   `toml:"fleet"`   // nil: the sender is not in a fleet
	Backlog     *backlog.Table `toml:"backlog"` // nil: all pending messages are held by the decision module
}

// Log sets the default log level and the levels of parts.
type Log struct {
	Level string            `toml:"level"`
	Parts map[string]string `toml:"parts"`
}

// Parts lists the parts that may have their own log level.
var Parts = []string{"clients", "discovery", "fleet", "kept", "messages", "module", "notices", "program"}

// Read decodes and validates a file; the error joins all faults.
func Read(path string) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("operator's file: %w", err)
	}
	return Decode(path, text)
}

// Decode decodes and validates the text of a file with the given name.
func Decode(name string, text []byte) (File, error) {
	f := File{}
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return f, strict.DecodeErrors(name, reflect.TypeFor[File](), err)
	}
	var faults []error
	report := newReporter(name, text, &faults)
	if f.Version != Version {
		report("version", fmt.Sprintf("this form is version %d, not %d", Version, f.Version))
	}
	f.Log.validate(func(setting, what string) { report("log."+setting, what) })
	if f.DeadLetters != nil {
		f.DeadLetters.SetDefaults()
		f.DeadLetters.Validate(func(number int, setting, what string) {
			if number >= 0 {
				setting = fmt.Sprintf("rule.%d.%s", number, setting)
			}
			report("kept."+setting, what)
		})
	}
	if f.Fleet != nil {
		f.Fleet.SetDefaults()
		f.Fleet.Validate(func(setting, what string) { report("fleet."+setting, what) })
	}
	if f.Backlog != nil {
		f.Backlog.Validate(func(setting, what string) { report("backlog."+setting, what) })
	}
	return f, errors.Join(faults...)
}

// newReporter returns a function that appends faults with their line and column in the text.
func newReporter(name string, text []byte, faults *[]error) func(path, what string) {
	places, _ := strict.Locate(text)
	return func(path, what string) {
		p := places.Nearest(path)
		*faults = append(*faults, strict.SettingError{File: name, Line: p.Line, Column: p.Column, Path: path, What: what})
	}
}

// Limits holds the limits of a sender in bytes.
type Limits struct{ Disk, Spool, Memory int64 }

// CheckFits validates a file, also against the limits of a sender.
func CheckFits(path string, l Limits) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("operator's file: %w", err)
	}
	f, err := Decode(path, text)
	var faults []error
	report := newReporter(path, text, &faults)
	if available := l.Disk - l.Spool; f.Fleet != nil && f.Fleet.MaxLogBytes() > available {
		report("fleet.most_mb", fmt.Sprintf("%g MB do not fit: the spool leaves %.2f MB of limits.disk_mb", f.Fleet.MaxLogMB, float64(available)/1e6))
	}
	if f.Backlog != nil {
		f.Backlog.CheckFits(l.Spool, l.Memory, func(setting, what string) { report("backlog."+setting, what) })
	}
	return errors.Join(append([]error{err}, faults...)...)
}

func (l Log) validate(fault func(setting, what string)) {
	if l.Level != "" {
		if _, err := zapcore.ParseLevel(l.Level); err != nil {
			fault("level", fmt.Sprintf("%q is none of debug, info, warn, error", l.Level))
		}
	}
	var parts []string
	for part := range l.Parts {
		parts = append(parts, part)
	}
	slices.Sort(parts)
	for _, part := range parts {
		if !slices.Contains(Parts, part) {
			fault("parts."+part, fmt.Sprintf("no part %q; there are %v", part, Parts))
		}
		if _, err := zapcore.ParseLevel(l.Parts[part]); err != nil {
			fault("parts."+part, fmt.Sprintf("%q is none of debug, info, warn, error", l.Parts[part]))
		}
	}
}

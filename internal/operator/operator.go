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

	"ravenlink/internal/fleet"
	"ravenlink/internal/keep"
	"ravenlink/internal/strict"
)

// Version of the form. A file says which one it is in.
const Version = 1

// File is the operator's file.
type File struct {
	Version int          `toml:"version"`
	Log     Log          `toml:"log"`
	Kept    *keep.Table  `toml:"kept"`  // nil: nothing is kept
	Fleet   *fleet.Table `toml:"fleet"` // nil: this sender decides alone
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
	places, _ := strict.Locate(text)
	var faults []error
	fault := func(path, what string) {
		p := places.Near(path)
		faults = append(faults, strict.Fault{File: name, Line: p.Line, Column: p.Column, Path: path, What: what})
	}
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
	return f, errors.Join(faults...)
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

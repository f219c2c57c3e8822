package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"ravenlink/internal/strict"
)

// Read decodes a scenario file and checks it. Several errors are returned joined.
func Read(path string) (Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, fmt.Errorf("scenario: %w", err)
	}
	return Decode(path, text)
}

// Decode is like Read for the text of a file; file is its name in errors.
func Decode(file string, text []byte) (Scenario, error) {
	s := Default()
	positions, counts := strict.Locate(text)
	for range counts["lane"] {
		s.Classes = append(s.Classes, defaultClass())
	}
	for range counts["kind"] {
		s.Kinds = append(s.Kinds, defaultKind())
	}
	if err := decodeOver(text, &s); err != nil {
		return s, strict.DecodeErrors(file, reflect.TypeFor[Scenario](), err)
	}
	if s.Version != Version {
		p := positions["version"]
		return s, strict.SettingError{File: file, Line: p.Line, Column: p.Column, Path: "version", What: fmt.Sprintf("the file format is version %d, not %d", Version, s.Version)}
	}
	var errs []error
	s.check(func(path, what string) {
		p := positions.Nearest(path)
		errs = append(errs, strict.SettingError{File: file, Line: p.Line, Column: p.Column, Path: path, What: what})
	})
	return s, errors.Join(errs...)
}

// decodeOver decodes strictly and keeps the values of s whose keys the text omits. The TOML library zeroes the entries of
// arrays of tables, so these are decoded separately, each over its default values.
func decodeOver(text []byte, s *Scenario) error {
	classes, kinds := s.Classes, s.Kinds
	s.Classes, s.Kinds = nil, nil
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return err
	}
	var raw struct {
		Classes []map[string]any `toml:"lane"`
		Kinds   []map[string]any `toml:"kind"`
	}
	if err := toml.Unmarshal(text, &raw); err != nil {
		return err
	}
	for i := range classes {
		if err := decodeEntry(raw.Classes[i], &classes[i]); err != nil {
			return err
		}
	}
	for i := range kinds {
		if err := decodeEntry(raw.Kinds[i], &kinds[i]); err != nil {
			return err
		}
	}
	s.Classes, s.Kinds = classes, kinds
	return nil
}

func decodeEntry(entry map[string]any, over any) error {
	text, err := toml.Marshal(entry)
	if err != nil {
		return err
	}
	return toml.Unmarshal(text, over)
}

// Set changes the setting with the given path, such as team.senders or trouble.0.size, and checks the scenario again.
func (s *Scenario) Set(path, value string) error {
	if err := strict.Set(s, path, value); err != nil {
		return err
	}
	var errs []error
	s.check(func(path, what string) { errs = append(errs, fmt.Errorf("%s: %s", path, what)) })
	return errors.Join(errs...)
}

// Clone returns a copy whose classes, kinds and faults can be replaced without changing those of s.
func (s Scenario) Clone() Scenario {
	s.Classes, s.Kinds, s.Faults = slices.Clone(s.Classes), slices.Clone(s.Kinds), slices.Clone(s.Faults)
	return s
}

// Encode returns the scenario as TOML that Decode accepts.
func (s Scenario) Encode() ([]byte, error) {
	var b bytes.Buffer
	e := toml.NewEncoder(&b)
	e.SetIndentTables(false)
	if err := e.Encode(s); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return b.Bytes(), nil
}

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

// Read decodes a file and checks it. Several faults come joined, in the order of the file.
func Read(path string) (Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, fmt.Errorf("scenario: %w", err)
	}
	return Decode(path, text)
}

// Decode is Read for a text.
func Decode(file string, text []byte) (Scenario, error) {
	s := Usual()
	places, counts := strict.Locate(text)
	for range counts["lane"] {
		s.Lanes = append(s.Lanes, usualLane())
	}
	for range counts["kind"] {
		s.Kinds = append(s.Kinds, usualKind())
	}
	if err := decodeOver(text, &s); err != nil {
		return s, strict.Faults(file, reflect.TypeFor[Scenario](), err)
	}
	if s.Version != Version {
		p := places["version"]
		return s, strict.Fault{File: file, Line: p.Line, Column: p.Column, Path: "version", What: fmt.Sprintf("this form is version %d, not %d", Version, s.Version)}
	}
	var faults []error
	s.check(func(path, what string) {
		p := places.Near(path)
		faults = append(faults, strict.Fault{File: file, Line: p.Line, Column: p.Column, Path: path, What: what})
	})
	return s, errors.Join(faults...)
}

// decodeOver decodes strictly over what is there already. The library empties the entries of arrays of tables, so those
// are decoded apart, each over its own usual figures.
func decodeOver(text []byte, s *Scenario) error {
	usualLanes, usualKinds := s.Lanes, s.Kinds
	s.Lanes, s.Kinds = nil, nil
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return err
	}
	var raw struct {
		Lanes []map[string]any `toml:"lane"`
		Kinds []map[string]any `toml:"kind"`
	}
	if err := toml.Unmarshal(text, &raw); err != nil {
		return err
	}
	for i := range usualLanes {
		if err := lay(raw.Lanes[i], &usualLanes[i]); err != nil {
			return err
		}
	}
	for i := range usualKinds {
		if err := lay(raw.Kinds[i], &usualKinds[i]); err != nil {
			return err
		}
	}
	s.Lanes, s.Kinds = usualLanes, usualKinds
	return nil
}

func lay(entry map[string]any, over any) error {
	text, err := toml.Marshal(entry)
	if err != nil {
		return err
	}
	return toml.Unmarshal(text, over)
}

// Set changes one setting by its path, such as team.senders or trouble.0.size.
func (s *Scenario) Set(path, value string) error {
	if err := strict.Set(s, path, value); err != nil {
		return err
	}
	var faults []error
	s.check(func(path, what string) { faults = append(faults, fmt.Errorf("%s: %s", path, what)) })
	return errors.Join(faults...)
}

// Clone copies a scenario so that either can be changed alone.
func (s Scenario) Clone() Scenario {
	s.Lanes, s.Kinds, s.Troubles = slices.Clone(s.Lanes), slices.Clone(s.Kinds), slices.Clone(s.Troubles)
	return s
}

// Encode writes a scenario as a file that Decode reads.
func (s Scenario) Encode() ([]byte, error) {
	var b bytes.Buffer
	e := toml.NewEncoder(&b)
	e.SetIndentTables(false)
	if err := e.Encode(s); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return b.Bytes(), nil
}

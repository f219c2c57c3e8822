// Package strict decodes hand-written TOML: an unknown or ill-typed setting is an error with its file, line
// and column and the most similar valid name. It also looks up and sets settings by path.
package strict

import (
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Duration is a length of time in µs, written like "250ms".
type Duration int64

// UnmarshalText parses a duration.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no length of time, such as 250ms or 1m30s", text)
	}
	if d < 0 {
		return fmt.Errorf("a length of time must not be negative")
	}
	*s = Duration(d.Microseconds())
	return nil
}

// MarshalText formats the duration.
func (s Duration) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

func (s Duration) String() string { return (time.Duration(s) * time.Microsecond).String() }

// SettingError describes one problem in a file and its position.
type SettingError struct {
	File         string
	Line, Column int
	Path, What   string
}

func (f SettingError) Error() string {
	at := f.File
	if f.Line > 0 {
		at = fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	}
	if f.Path == "" {
		return fmt.Sprintf("%s: %s", at, f.What)
	}
	return fmt.Sprintf("%s: %s: %s", at, f.Path, f.What)
}

// DecodeErrors converts the decoder's error for a type into errors with positions and suggested names.
func DecodeErrors(file string, t reflect.Type, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var faults []error
		for _, e := range strict.Errors {
			line, column := e.Position()
			path := strings.Join(e.Key(), ".")
			what := "no such setting"
			if near := nearestName(t, e.Key()); near != "" {
				what += "; did you mean " + near + "?"
			}
			faults = append(faults, SettingError{file, line, column, path, what})
		}
		return errors.Join(faults...)
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		line, column := bad.Position()
		return SettingError{file, line, column, strings.Join(bad.Key(), "."), strings.TrimPrefix(bad.Error(), "toml: ")}
	}
	return fmt.Errorf("%s: %w", file, err)
}

// nearestName returns the setting that an unknown name most likely means: the most similar one in its own
// table, or in the innermost known table around it; empty if none is similar.
func nearestName(t reflect.Type, key []string) string {
	for _, part := range key[:len(key)-1] {
		f, ok := fieldByTag(t, part)
		if !ok {
			break
		}
		for t = f.Type; t.Kind() == reflect.Slice || t.Kind() == reflect.Pointer; {
			t = t.Elem()
		}
	}
	wrong, best, least := key[len(key)-1], "", 0
	for _, name := range fieldNames(t) {
		if d := levenshtein.ComputeDistance(wrong, name); best == "" || d < least {
			best, least = name, d
		}
	}
	if least > max(2, len(wrong)/2) {
		return ""
	}
	return best
}

func fieldNames(t reflect.Type) (ns []string) {
	if t.Kind() != reflect.Struct {
		return nil
	}
	for i := range t.NumField() {
		if n := tomlTag(t.Field(i)); n != "" {
			ns = append(ns, n)
		}
	}
	return ns
}

func tomlTag(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func fieldByTag(t reflect.Type, name string) (reflect.StructField, bool) {
	if t.Kind() == reflect.Struct {
		for i := range t.NumField() {
			if tomlTag(t.Field(i)) == name {
				return t.Field(i), true
			}
		}
	}
	return reflect.StructField{}, false
}

// Position is a line and a column, counted from 1.
type Position struct{ Line, Column int }

// Positions maps the path of each setting of a file to its position.
type Positions map[string]Position

// Nearest returns the position of a path, or of the innermost table that contains it.
func (p Positions) Nearest(path string) Position {
	for path != "" {
		if at, known := p[path]; known {
			return at
		}
		path = path[:max(0, strings.LastIndexByte(path, '.'))]
	}
	return Position{}
}

// Locate parses a file and returns the positions of its settings and the number of entries of each array of
// tables.
func Locate(text []byte) (Positions, map[string]int) {
	at, counts := Positions{}, map[string]int{}
	var p unstable.Parser
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		var first Position
		for it := e.Key(); it.Next(); {
			if len(parts) == 0 {
				s := p.Shape(it.Node().Raw).Start
				first = Position{s.Line, s.Column}
			}
			parts = append(parts, string(it.Node().Data))
		}
		path := strings.Join(parts, ".")
		switch e.Kind {
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s.%d", path, counts[path])
			counts[path]++
			at[table] = first
		case unstable.Table:
			if n := counts[parts[0]]; n > 0 { // a table within the latest entry
				parts[0] = fmt.Sprintf("%s.%d", parts[0], n-1)
			}
			table = strings.Join(parts, ".")
			at[table] = first
		case unstable.KeyValue:
			if table != "" {
				path = table + "." + path
			}
			at[path] = first
			if v := e.Value(); v.Kind == unstable.InlineTable {
				for it := v.Children(); it.Next(); {
					for k := it.Node().Key(); k.Next(); {
						s := p.Shape(k.Node().Raw).Start
						at[path+"."+string(k.Node().Data)] = Position{s.Line, s.Column}
					}
				}
			}
		}
	}
	return at, counts
}

// Set sets one field of the struct that at points to, by its path, such as team.senders or trouble.0.size.
func Set(at any, path, value string) error {
	v := reflect.ValueOf(at).Elem()
	for _, part := range strings.Split(path, ".") {
		if v.Kind() == reflect.Slice {
			i, err := strconv.Atoi(part)
			if err != nil || i < 0 || i >= v.Len() {
				return fmt.Errorf("%s: no entry %s; there are %d, counted from 0", path, part, v.Len())
			}
			v = v.Index(i)
			continue
		}
		f, ok := fieldByTag(v.Type(), part)
		if !ok {
			what := fmt.Sprintf("%s: no setting %s", path, part)
			if near := nearestName(v.Type(), []string{part}); near != "" {
				what += "; did you mean " + near + "?"
			}
			return errors.New(what)
		}
		v = v.FieldByIndex(f.Index)
	}
	if err := setValue(v, value); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

func setValue(v reflect.Value, text string) error {
	if u, ok := v.Addr().Interface().(interface{ UnmarshalText([]byte) error }); ok {
		return u.UnmarshalText([]byte(text))
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Int:
		n, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("%q is no whole number", text)
		}
		v.SetInt(int64(n))
	case reflect.Float64:
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("%q is no number", text)
		}
		v.SetFloat(n)
	case reflect.Bool:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("%q is neither true nor false", text)
		}
		v.SetBool(b)
	default:
		return errors.New("only scalar values can be set")
	}
	return nil
}

// TOMLName returns the name of a field in TOML, empty for none.
func TOMLName(f reflect.StructField) string { return tomlTag(f) }

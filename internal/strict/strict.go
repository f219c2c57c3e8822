// Package strict reads TOML that people write: an unknown or ill-typed setting is a fault with its file, line and column, and
// the nearest right name. Settings are also found and set by path.
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

// Span is a length of time in µs, written like "250ms".
type Span int64

// UnmarshalText reads a length of time.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no length of time, such as 250ms or 1m30s", text)
	}
	if d < 0 {
		return fmt.Errorf("a length of time is never below 0")
	}
	*s = Span(d.Microseconds())
	return nil
}

// MarshalText writes it.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

func (s Span) String() string { return (time.Duration(s) * time.Microsecond).String() }

// Fault is one thing wrong with a file, and where.
type Fault struct {
	File         string
	Line, Column int
	Path, What   string
}

func (f Fault) Error() string {
	at := f.File
	if f.Line > 0 {
		at = fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	}
	if f.Path == "" {
		return fmt.Sprintf("%s: %s", at, f.What)
	}
	return fmt.Sprintf("%s: %s: %s", at, f.Path, f.What)
}

// Faults turns what the decoder says of a text for a type into faults with places and right names.
func Faults(file string, t reflect.Type, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var faults []error
		for _, e := range strict.Errors {
			line, column := e.Position()
			path := strings.Join(e.Key(), ".")
			what := "no such setting"
			if near := nearest(t, e.Key()); near != "" {
				what += "; did you mean " + near + "?"
			}
			faults = append(faults, Fault{file, line, column, path, what})
		}
		return errors.Join(faults...)
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		line, column := bad.Position()
		return Fault{file, line, column, strings.Join(bad.Key(), "."), strings.TrimPrefix(bad.Error(), "toml: ")}
	}
	return fmt.Errorf("%s: %w", file, err)
}

// nearest finds the setting that a wrong name most likely means: within its own table, else anywhere.
func nearest(t reflect.Type, key []string) string {
	for _, part := range key[:len(key)-1] {
		f, ok := field(t, part)
		if !ok {
			break
		}
		for t = f.Type; t.Kind() == reflect.Slice || t.Kind() == reflect.Pointer; {
			t = t.Elem()
		}
	}
	wrong, best, least := key[len(key)-1], "", 0
	for _, name := range names(t) {
		if d := levenshtein.ComputeDistance(wrong, name); best == "" || d < least {
			best, least = name, d
		}
	}
	if least > max(2, len(wrong)/2) {
		return ""
	}
	return best
}

func names(t reflect.Type) (ns []string) {
	if t.Kind() != reflect.Struct {
		return nil
	}
	for i := range t.NumField() {
		if n := tag(t.Field(i)); n != "" {
			ns = append(ns, n)
		}
	}
	return ns
}

func tag(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func field(t reflect.Type, name string) (reflect.StructField, bool) {
	if t.Kind() == reflect.Struct {
		for i := range t.NumField() {
			if tag(t.Field(i)) == name {
				return t.Field(i), true
			}
		}
	}
	return reflect.StructField{}, false
}

// Place is a line and a column, from 1.
type Place struct{ Line, Column int }

// Places says where each setting of a file stands, by its path.
type Places map[string]Place

// Near finds the place of a path, or of the table it belongs to.
func (p Places) Near(path string) Place {
	for path != "" {
		if at, known := p[path]; known {
			return at
		}
		path = path[:max(0, strings.LastIndexByte(path, '.'))]
	}
	return Place{}
}

// Locate walks a file's expressions: where its settings stand, and how many entries each array of tables has.
func Locate(text []byte) (Places, map[string]int) {
	at, counts := Places{}, map[string]int{}
	var p unstable.Parser
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		var first Place
		for it := e.Key(); it.Next(); {
			if len(parts) == 0 {
				s := p.Shape(it.Node().Raw).Start
				first = Place{s.Line, s.Column}
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
						at[path+"."+string(k.Node().Data)] = Place{s.Line, s.Column}
					}
				}
			}
		}
	}
	return at, counts
}

// Set changes one setting of what at points to, by its path, such as team.senders or trouble.0.size.
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
		f, ok := field(v.Type(), part)
		if !ok {
			what := fmt.Sprintf("%s: no setting %s", path, part)
			if near := nearest(v.Type(), []string{part}); near != "" {
				what += "; did you mean " + near + "?"
			}
			return errors.New(what)
		}
		v = v.FieldByIndex(f.Index)
	}
	if err := assign(v, value); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

func assign(v reflect.Value, text string) error {
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
		return errors.New("only single values can be set")
	}
	return nil
}

// Name is a field's name in TOML, empty for none.
func Name(f reflect.StructField) string { return tag(f) }

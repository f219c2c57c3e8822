package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

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
	places, counts := locate(text)
	for range counts["lane"] {
		s.Lanes = append(s.Lanes, usualLane())
	}
	for range counts["kind"] {
		s.Kinds = append(s.Kinds, usualKind())
	}
	if err := decodeOver(text, &s); err != nil {
		return s, decodeFaults(file, err)
	}
	if s.Version != Version {
		p := places["version"]
		return s, Fault{file, p.line, p.column, "version", fmt.Sprintf("this form is version %d, not %d", Version, s.Version)}
	}
	var faults []error
	s.check(func(path, what string) {
		p := places.near(path)
		faults = append(faults, Fault{file, p.line, p.column, path, what})
	})
	return s, errors.Join(faults...)
}

// decodeOver decodes strictly over what is there already. The library empties the entries of arrays of tables, so those
// are decoded apart, each over its own usual figures.
func decodeOver(text []byte, s *Scenario) error {
	usualLanes, usualKinds := s.Lanes, s.Kinds
	s.Lanes, s.Kinds = nil, nil
	strict := toml.NewDecoder(bytes.NewReader(text))
	strict.DisallowUnknownFields()
	if err := strict.Decode(s); err != nil {
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

func decodeFaults(file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var faults []error
		for _, e := range strict.Errors {
			line, column := e.Position()
			path := strings.Join(e.Key(), ".")
			what := "no such setting"
			if near := nearest(reflect.TypeFor[Scenario](), e.Key()); near != "" {
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
		for t = f.Type; t.Kind() == reflect.Slice; {
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

type place struct{ line, column int }

// places says where each setting of a file stands, by its path.
type places map[string]place

// near finds the place of a path, or of the table it belongs to.
func (p places) near(path string) place {
	for path != "" {
		if at, known := p[path]; known {
			return at
		}
		path = path[:max(0, strings.LastIndexByte(path, '.'))]
	}
	return place{}
}

// locate walks a file's expressions: where its settings stand, and how many entries each array of tables has.
func locate(text []byte) (places, map[string]int) {
	at, counts := places{}, map[string]int{}
	var p unstable.Parser
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		var first place
		for it := e.Key(); it.Next(); {
			if len(parts) == 0 {
				s := p.Shape(it.Node().Raw).Start
				first = place{s.Line, s.Column}
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
						at[path+"."+string(k.Node().Data)] = place{s.Line, s.Column}
					}
				}
			}
		}
	}
	return at, counts
}

// Set changes one setting by its path, such as team.senders or trouble.0.size.
func (s *Scenario) Set(path, value string) error {
	v := reflect.ValueOf(s).Elem()
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
	var faults []error
	s.check(func(path, what string) { faults = append(faults, fmt.Errorf("%s: %s", path, what)) })
	return errors.Join(faults...)
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

package fleettest

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"ravenlink/internal/channels"
	"ravenlink/internal/post"
	"ravenlink/internal/purge"
)

// part is one sender's decision module.
type part[M any] interface {
	tick(now int64) []post.Letter[M]
	hear(now int64, from string, m M) []post.Letter[M]
}

// stage plays the decision modules of some senders in virtual time and writes down what they tell one another: where processes cannot
// give the same bytes twice. A letter that says nothing new within a phase, but for its times, is written once.
type stage[M any] struct {
	t     *testing.T
	now   int64
	names []string
	parts map[string]part[M]
	down  map[string]bool
	apart map[[2]string]bool
	mail  []sent[M]
	lost  []sent[M] // letters that came to a cut or to nobody
	text  strings.Builder
	said  map[string]bool
	quiet func(M) bool // letters that are not written
	kinds []string     // names of M's kinds, from 1
	turn  int64        // µs between ticks
}

type sent[M any] struct {
	due      int64
	from, to string
	m        M
}

const (
	onWay = 1_000 // µs that a letter is on its way
	sec   = 1_000_000
)

func newStage[M any](t *testing.T, kinds ...string) *stage[M] {
	t.Parallel()
	return &stage[M]{t: t, now: sec, names: []string{"a", "b", "c"}, parts: map[string]part[M]{}, down: map[string]bool{}, kinds: kinds, turn: 10_000,
		apart: map[[2]string]bool{}, said: map[string]bool{}, quiet: func(M) bool { return false }}
}

func (s *stage[M]) phase(format string, a ...any) {
	fmt.Fprintf(&s.text, "== "+format+"\n", a...)
	clear(s.said)
}

func (s *stage[M]) say(format string, a ...any) {
	fmt.Fprintf(&s.text, "%8.3f s  %s\n", float64(s.now-sec)/sec, fmt.Sprintf(format, a...))
}

// once says what was not said in this phase.
func (s *stage[M]) once(format string, a ...any) {
	if text := fmt.Sprintf(format, a...); !s.said[text] {
		s.said[text] = true
		s.say("%s", text)
	}
}

func (s *stage[M]) send(from string, letters []post.Letter[M]) {
	for _, l := range letters {
		for _, to := range s.names {
			if to == from || l.To != "" && l.To != to && to != from {
				continue
			}
			lost := ""
			if s.apart[[2]string{from, to}] || s.down[to] {
				lost = ", lost"
				s.lost = append(s.lost, sent[M]{from: from, to: to, m: l.Msg})
			} else {
				s.mail = append(s.mail, sent[M]{s.now + onWay, from, to, l.Msg})
			}
			if !s.quiet(l.Msg) {
				s.once("%s to %s%s: %s", from, to, lost, letterText(reflect.ValueOf(l.Msg), s.kinds))
			}
		}
		if l.To == from { // an elector may be the asker itself
			s.mail = append(s.mail, sent[M]{s.now, from, from, l.Msg})
		}
	}
}

// pass lets time pass: letters arrive, all that are up take their turns.
func (s *stage[M]) pass(d int64) {
	for end := s.now + d; s.now < end; {
		s.settle()
		s.now += s.turn
		for _, name := range s.names {
			if !s.down[name] {
				s.send(name, s.parts[name].tick(s.now))
			}
		}
	}
	s.settle()
}

// settle delivers what is on its way, and what comes of it, within this moment.
func (s *stage[M]) settle() {
	at := s.now
	for len(s.mail) > 0 {
		l := s.mail[0]
		s.mail = s.mail[1:]
		s.now = max(s.now, l.due)
		if !s.down[l.to] {
			s.send(l.to, s.parts[l.to].hear(s.now, l.from, l.m))
		}
	}
	s.now = max(at, (s.now+s.turn-1)/s.turn*s.turn)
}

func (s *stage[M]) cut(one, other string, apart bool) {
	for _, a := range one {
		for _, b := range other {
			s.apart[[2]string{string(a), string(b)}], s.apart[[2]string{string(b), string(a)}] = apart, apart
		}
	}
}

func (s *stage[M]) compare(name string) {
	s.t.Helper()
	goldie.New(s.t, goldie.WithDiffEngine(goldie.ColoredDiff)).Assert(s.t, name, []byte(s.text.String()))
}

// left out of what is written: times, and numbers that stand for times.
var passing = []string{"Stamp", "Age", "At", "Echo", "EchoOf", "Held", "Since", "List", "Digest", "Slack", "Seen"}

// letterText writes a letter as its fields that are not zero.
func letterText(v reflect.Value, kinds []string) string {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return "none"
		}
		return letterText(v.Elem(), kinds)
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return fmt.Sprintf("%q", v.Bytes())
		}
		var all []string
		for i := range v.Len() {
			all = append(all, letterText(v.Index(i), kinds))
		}
		return "[" + strings.Join(all, ", ") + "]"
	case reflect.Struct:
		switch k := v.Interface().(type) {
		case channels.Contract:
			return fmt.Sprint("version ", k.Version)
		case purge.Order:
			return k.Key().String()
		case purge.Epoch:
			return fmt.Sprint(k.N, " by ", k.By)
		}
		var all []string
		for i := range v.NumField() {
			f, name := v.Field(i), v.Type().Field(i).Name
			switch {
			case name == "_" || f.IsZero() || slices.Contains(passing, name) && f.Kind() != reflect.Struct:
			case name == "Kind" && f.Kind() == reflect.Uint8 && int(f.Uint()) <= len(kinds):
				all = append(all, kinds[f.Uint()-1])
			default:
				all = append(all, name+" "+letterText(f, nil))
			}
		}
		return "{" + strings.Join(all, ", ") + "}"
	}
	if v.CanInterface() {
		return fmt.Sprint(v.Interface())
	}
	return fmt.Sprint(v)
}

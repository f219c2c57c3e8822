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

// node is the decision module of one sender.
type node[M any] interface {
	tick(now int64) []post.PeerMessage[M]
	receive(now int64, from string, m M) []post.PeerMessage[M]
}

// simulation runs the decision modules of some senders in virtual time and writes a transcript of their peer messages, for cases where
// real processes would not give the same bytes twice. A peer message that differs from an earlier one of the same phase in its times only
// is not written again.
type simulation[M any] struct {
	t            *testing.T
	now          int64
	names        []string
	nodes        map[string]node[M]
	down         map[string]bool
	cut          map[[2]string]bool
	inFlight     []envelope[M]
	lost         []envelope[M] // peer messages whose link was cut or whose receiver was down
	text         strings.Builder
	written      map[string]bool
	omitted      func(M) bool // selects peer messages that are not written
	kinds        []string     // names of M's kinds, starting with kind 1
	tickInterval int64        // µs between ticks
}

type envelope[M any] struct {
	due      int64
	from, to string
	m        M
}

const (
	networkDelay = 1_000 // µs from the sending of a peer message to its delivery
	second       = 1_000_000
)

func newSimulation[M any](t *testing.T, kinds ...string) *simulation[M] {
	t.Parallel()
	return &simulation[M]{t: t, now: second, names: []string{"a", "b", "c"}, nodes: map[string]node[M]{}, down: map[string]bool{}, kinds: kinds, tickInterval: 10_000,
		cut: map[[2]string]bool{}, written: map[string]bool{}, omitted: func(M) bool { return false }}
}

func (s *simulation[M]) phase(format string, a ...any) {
	fmt.Fprintf(&s.text, "== "+format+"\n", a...)
	clear(s.written)
}

func (s *simulation[M]) logf(format string, a ...any) {
	fmt.Fprintf(&s.text, "%8.3f s  %s\n", float64(s.now-second)/second, fmt.Sprintf(format, a...))
}

// logOnce writes a line unless the phase has it already.
func (s *simulation[M]) logOnce(format string, a ...any) {
	if text := fmt.Sprintf(format, a...); !s.written[text] {
		s.written[text] = true
		s.logf("%s", text)
	}
}

func (s *simulation[M]) send(from string, messages []post.PeerMessage[M]) {
	for _, l := range messages {
		for _, to := range s.names {
			if to == from || l.To != "" && l.To != to && to != from {
				continue
			}
			lost := ""
			if s.cut[[2]string{from, to}] || s.down[to] {
				lost = ", lost"
				s.lost = append(s.lost, envelope[M]{from: from, to: to, m: l.Msg})
			} else {
				s.inFlight = append(s.inFlight, envelope[M]{s.now + networkDelay, from, to, l.Msg})
			}
			if !s.omitted(l.Msg) {
				s.logOnce("%s to %s%s: %s", from, to, lost, messageText(reflect.ValueOf(l.Msg), s.kinds))
			}
		}
		if l.To == from { // a voter may be the requester itself
			s.inFlight = append(s.inFlight, envelope[M]{s.now, from, from, l.Msg})
		}
	}
}

// advance advances the time by d: it delivers peer messages and ticks all nodes that are up.
func (s *simulation[M]) advance(d int64) {
	for end := s.now + d; s.now < end; {
		s.deliver()
		s.now += s.tickInterval
		for _, name := range s.names {
			if !s.down[name] {
				s.send(name, s.nodes[name].tick(s.now))
			}
		}
	}
	s.deliver()
}

// deliver delivers the peer messages in flight and those that follow from them, within the current tick.
func (s *simulation[M]) deliver() {
	at := s.now
	for len(s.inFlight) > 0 {
		l := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		s.now = max(s.now, l.due)
		if !s.down[l.to] {
			s.send(l.to, s.nodes[l.to].receive(s.now, l.from, l.m))
		}
	}
	s.now = max(at, (s.now+s.tickInterval-1)/s.tickInterval*s.tickInterval)
}

func (s *simulation[M]) setCut(group, others string, cut bool) {
	for _, a := range group {
		for _, b := range others {
			s.cut[[2]string{string(a), string(b)}], s.cut[[2]string{string(b), string(a)}] = cut, cut
		}
	}
}

func (s *simulation[M]) compare(name string) {
	s.t.Helper()
	goldie.New(s.t, goldie.WithDiffEngine(goldie.ColoredDiff)).Assert(s.t, name, []byte(s.text.String()))
}

// omittedFields are not written: times, and numbers that depend on times.
var omittedFields = []string{"Age", "Echo", "EchoOf", "Digest", "Slack", "Seen", "SentAt", "OwnedSince", "LimitAge", "EchoDelay", "ListDigest", "KnownFolders"}

// messageText formats the fields of a peer message that are not zero.
func messageText(v reflect.Value, kinds []string) string {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return "none"
		}
		return messageText(v.Elem(), kinds)
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return fmt.Sprintf("%q", v.Bytes())
		}
		var all []string
		for i := range v.Len() {
			all = append(all, messageText(v.Index(i), kinds))
		}
		return "[" + strings.Join(all, ", ") + "]"
	case reflect.Struct:
		switch k := v.Interface().(type) {
		case channels.Contract:
			return fmt.Sprint("version ", k.Version)
		case purge.Order:
			return k.Key().String()
		case purge.Epoch:
			return fmt.Sprint(k.N, " by ", k.Issuer)
		}
		var all []string
		for i := range v.NumField() {
			f, name := v.Field(i), v.Type().Field(i).Name
			switch {
			case name == "_" || f.IsZero() || slices.Contains(omittedFields, name) && f.Kind() != reflect.Struct:
			case name == "Kind" && f.Kind() == reflect.Uint8 && int(f.Uint()) <= len(kinds):
				all = append(all, kinds[f.Uint()-1])
			default:
				all = append(all, name+" "+messageText(f, nil))
			}
		}
		return "{" + strings.Join(all, ", ") + "}"
	}
	if v.CanInterface() {
		return fmt.Sprint(v.Interface())
	}
	return fmt.Sprint(v)
}

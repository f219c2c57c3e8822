package spool

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// That the notice of an end is had is known over restarts, after copies forward and from the open states of an index too.
func TestThatAnEndIsToldOutlastsRestarts(t *testing.T) {
	for name, begin := range map[string]func(dir string) *Spool{
		"plain":   func(dir string) *Spool { return open(t, dir, 16<<10) },
		"backlog": func(dir string) *Spool { return small(t, dir, 64<<10, 2<<10) },
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			s := begin(dir)
			want := map[string]*Message{}
			for i, end := range []func(m *Message){
				func(m *Message) { require.NoError(t, s.End(m, true, 9)) },
				func(m *Message) { require.NoError(t, s.End(m, true, 9)); require.NoError(t, s.Told(m, true, 9)) },
				func(m *Message) { require.NoError(t, s.Told(m, false, 0)) }, // its end could not be recorded
			} {
				m := message(fmt.Sprint("m", i), 10)
				m.Channel, m.Pos = "x", int64(i+1)
				require.NoError(t, s.Take(m))
				require.NoError(t, s.Leg(m, Leg{SentAt: 5}))
				end(m)
				want[m.ID] = m
			}
			require.Equal(t, []bool{false, true, true}, []bool{want["m0"].Told, want["m1"].Told, want["m2"].Told})
			for life := range 6 {
				for i := range 60 { // enough to fill segments, so that what stays is copied forward
					m := message(fmt.Sprint("full", life, "-", i), 100)
					require.NoError(t, s.Take(m))
					require.NoError(t, s.Over(m))
				}
				require.NoError(t, s.Close())
				s = begin(dir)
				owed := s.Owed()
				require.Len(t, owed, len(want))
				for _, m := range owed {
					require.Equal(t, plain(want[m.ID]), plain(m))
				}
			}
			for _, m := range s.Owed() {
				require.NoError(t, s.Over(m))
			}
			require.NoError(t, s.Close())
			require.Empty(t, begin(dir).Owed())
		})
	}
}

package spool

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// identities plays a case on a spool without a backlog and on one with it.
func identities(t *testing.T, play func(t *testing.T, s *Spool, again func() *Spool)) {
	t.Helper()
	for name, opens := range map[string]func(string, int64) (*Spool, []string, error){"plain": Open, "backlog": OpenBacklog} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			begin := func() *Spool {
				s, _, err := opens(dir, plenty)
				require.NoError(t, err)
				t.Cleanup(func() { _ = s.Close() })
				return s
			}
			play(t, begin(), begin)
		})
	}
}

func inChannel(id string, body string) *Message {
	m := message(id, 0)
	m.Channel, m.Pos, m.Body = "x", 4, []byte(body)
	return m
}

// Guards against a hand-in that takes the place of a message which is owed under the same id: that one's body was gone from disk and memory.
func TestAnOwedMessageKeepsItsPlaceFromOthersOfItsID(t *testing.T) {
	identities(t, func(t *testing.T, s *Spool, again func() *Spool) {
		require.NoError(t, s.Take(inChannel("a", "own")))
		require.ErrorIs(t, s.Take(message("a", 3)), ErrTwice)
		require.ErrorIs(t, s.Reserve(message("a", 3)), ErrTwice)
		plain := message("b", 3)
		require.NoError(t, s.Take(plain))
		require.ErrorIs(t, s.Take(inChannel("b", "foreign")), ErrTwice)
		require.NoError(t, s.Close())

		s = again()
		require.ErrorIs(t, s.Take(message("a", 3)), ErrTwice, "after a restart")
		require.ErrorIs(t, s.Take(inChannel("b", "foreign")), ErrTwice, "after a restart")
		require.True(t, s.Owes("b", plain.Taken))
		waiting := s.Owed()[0]
		require.Equal(t, "a", waiting.ID)
		require.Equal(t, []byte("own"), waiting.Body)
		require.NoError(t, s.Over(waiting))
		require.NoError(t, s.Take(message("a", 3)), "nothing is owed under it any more")
	})
}

func TestASpilledMessageKeepsItsPlaceFromOthersOfItsID(t *testing.T) {
	s, _, err := OpenBacklog(t.TempDir(), plenty)
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	require.NoError(t, s.Spill(message("a", 3)))
	require.ErrorIs(t, s.Take(inChannel("a", "foreign")), ErrTwice)
	require.ErrorIs(t, s.Reserve(message("a", 3)), ErrTwice)
	require.NoError(t, s.Take(inChannel("b", "own")))
	require.ErrorIs(t, s.Spill(message("b", 3)), ErrTwice)
}

// A hand-in that is being decided on is not on disk yet: another one of its id comes neither before nor after it.
func TestAReservedIDIsTakenByItsMessageAlone(t *testing.T) {
	identities(t, func(t *testing.T, s *Spool, _ func() *Spool) {
		first, second := message("a", 3), inChannel("a", "foreign")
		require.NoError(t, s.Reserve(first))
		require.ErrorIs(t, s.Take(second), ErrTwice)
		require.ErrorIs(t, s.Reserve(second), ErrTwice)
		s.Release(second)
		require.ErrorIs(t, s.Take(second), ErrTwice, "only who reserved it lets go of it")
		require.NoError(t, s.Take(first))
		require.Empty(t, s.reserved)
		require.NoError(t, s.Over(first))
		require.NoError(t, s.Reserve(first))
		s.Release(first)
		require.NoError(t, s.Take(second))
	})
}

// Until the platform knows an end, a kill brings its notice back from the record: a second record under the id would take that place.
func TestAnIDIsFreeOnceItsEndIsTold(t *testing.T) {
	identities(t, func(t *testing.T, s *Spool, again func() *Spool) {
		m := message("a", 3)
		require.NoError(t, s.Take(m))
		require.NoError(t, s.End(m, true, 0))
		require.ErrorIs(t, s.Take(message("a", 3)), ErrEnding)
		require.NoError(t, s.Close())
		s = again()
		require.ErrorIs(t, s.Take(message("a", 3)), ErrEnding)
		require.Len(t, s.Owed(), 1)
		require.True(t, s.Owed()[0].Ended)
		require.NoError(t, s.Over(s.Owed()[0]))
		require.NoError(t, s.Take(message("a", 3)))
	})
}

// Where the end itself cannot be recorded it is told all the same. Its client may come back: a refusal for good would have it drop the message.
func TestAnIDWhoseEndCannotBeRecordedIsNotRefusedForGood(t *testing.T) {
	identities(t, func(t *testing.T, s *Spool, _ func() *Spool) {
		m := message("a", 3)
		require.NoError(t, s.Take(m))
		require.NoError(t, s.file.Close())
		require.Error(t, s.End(m, true, 0))
		require.ErrorIs(t, s.Take(message("a", 3)), ErrEnding)
		require.NoError(t, s.Over(m), "the next segment takes it")
		require.NoError(t, s.Take(message("a", 3)))
	})
}

// Where an end that was told cannot be recorded, its client may hand the message in again all the same.
func TestAnIDIsFreeWhereItsEndCannotBeRecorded(t *testing.T) {
	identities(t, func(t *testing.T, s *Spool, _ func() *Spool) {
		m := message("a", 3)
		require.NoError(t, s.Take(m))
		require.NoError(t, s.file.Close())
		require.Error(t, s.Over(m))
		next := message("a", 5)
		require.NoError(t, s.Take(next))
		require.Equal(t, []*Message{next}, s.Owed())
	})
}

func TestOwesGoesByTheCount(t *testing.T) {
	identities(t, func(t *testing.T, s *Spool, _ func() *Spool) {
		m := message("a", 3)
		require.NoError(t, s.Take(m))
		require.True(t, s.Owes("a", m.Taken))
		require.True(t, s.Owes("a", 0))
		require.False(t, s.Owes("a", m.Taken+1))
		require.False(t, s.Owes("b", 0))
		other := message("a", 9)
		require.True(t, s.OwesSame(message("a", 3)))
		require.False(t, s.OwesSame(other))
	})
}

package spool

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// lowerBound finds the first position whatever the distribution of hashes.
func TestLowerBoundFindsFirstPosition(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for _, spread := range []uint32{1, 7, 1 << 12, 1 << 31} {
		for _, n := range []int{0, 1, 511, 512, 513, 5000} {
			tops := make([]uint32, n)
			for i := range tops {
				tops[i] = r.Uint32N(spread)
			}
			slices.Sort(tops)
			p := layout{entries: uint32(n)}
			data := make([]byte, p.size())
			for i, top := range tops {
				binary.LittleEndian.PutUint32(data[int(p.byIDAt())+8*i:], top)
			}
			for range 50 {
				top := r.Uint32N(spread)
				want, _ := slices.BinarySearch(tops, top)
				got, err := lowerBound(bytes.NewReader(data), p, top)
				require.NoError(t, err)
				require.Equal(t, uint32(want), got, "%d of %d below %d", top, n, spread)
			}
		}
	}
}

// Within a segment, newest or sealed, the earliest expiry comes first; the bound tells when to look again.
func TestLoadExpiringReturnsEarliestFirst(t *testing.T) {
	for _, sealed := range []bool{false, true} {
		s := openWithBacklog(t, t.TempDir(), testCapacity)
		for i := range 40 {
			m := newMessageTo(fmt.Sprint("m", i), int64(i%3), 5)
			m.Expires = 1000 + int64(i*7%40)
			require.NoError(t, s.Spill(m))
		}
		if sealed {
			require.NoError(t, s.startSegment())
		}
		require.Equal(t, int64(1000), s.NextExpiry())
		at := int64(1000)
		for _, n := range []int{3, 1, 6} {
			ms, err := s.LoadExpiring(1010, n)
			require.NoError(t, err)
			require.Len(t, ms, n)
			for _, m := range ms {
				require.Equal(t, at, m.Expires)
				at++
			}
		}
		ms, err := s.LoadExpiring(1010, 5)
		require.NoError(t, err)
		require.Empty(t, ms)
		require.Equal(t, int64(1010), s.NextExpiry())
		require.Equal(t, 30, s.SpilledTotal())
	}
}

// A filter contains all IDs that were added, and passes fewer than one in a thousand others.
func TestFilterFalsePositiveRate(t *testing.T) {
	const n = 50_000
	f := newFilter(n)
	for i := range n {
		f.add(hashID(fmt.Sprint("in", i)))
	}
	others := 0
	for i := range n {
		require.True(t, f.mayContain(hashID(fmt.Sprint("in", i))))
		if f.mayContain(hashID(fmt.Sprint("out", i))) {
			others++
		}
	}
	require.Less(t, others, n/1000)
	t.Logf("%d of %d pass", others, n)
	require.False(t, filter(nil).mayContain(1))
}

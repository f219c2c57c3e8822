package shares

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// FuzzHeard gives whatever can be decoded to a sender that wants a share itself.
func FuzzHeard(f *testing.F) {
	list := New("a", []string{"a", "b", "c"}, Usual()).list
	for k := Kind(0); k <= Promise+1; k++ {
		b, err := cbor.Marshal(Msg{Kind: k, Dst: dst, Life: 1, Stamp: 5, Term: 1, Seat: 1, Serial: 1, Need: 5, Rate: 9, Count: 3, Owner: "b", Limit: 9000, How: Told, Age: 7,
			List: list})
		require.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Msg
		if cbor.Unmarshal(b, &m) != nil {
			return
		}
		m.List = list
		x := New("a", []string{"a", "b", "c"}, Usual())
		x.Limit(1, dst, 100, Declared)
		x.Need(1, dst, 50, 5)
		for now := int64(1e6); now < 9e6; now += 1e6 {
			x.Heard(now, "b", m)
			x.Tick(now)
			x.Spend(now, dst)
		}
	})
}

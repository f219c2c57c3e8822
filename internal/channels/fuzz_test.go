package channels

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// FuzzHeard gives whatever can be decoded to an owner with messages, and to a sender that asks for the channel.
func FuzzHeard(f *testing.F) {
	k := contract("x", nil)
	r := Record{Owner: "b", Fence: 3, Seq: 2, Last: 1, Ceil: 65, Sums: []uint64{7}}
	for kind := Kind(0); kind <= TailHeard+1; kind++ {
		b, err := cbor.Marshal(Msg{Kind: kind, Channel: "x", Fence: 2, Life: 1, At: 5, Owner: "b", Left: 9, Rec: &r, Contract: &k, Next: &k, Tails: []Record{r}, Seq: 2})
		require.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Msg
		if cbor.Unmarshal(b, &m) != nil {
			return
		}
		w := newWorld(contract("x", nil), contract("y", nil))
		w.until(w.nodes[0], "x", 0)
		w.handIn(w.nodes[1], "y", 0)
		for i := range 3 {
			for _, n := range w.nodes {
				n.t.Heard(w.now, "c", m)
				n.t.Tick(w.now)
				require.Zero(t, n.t.odd)
			}
			w.now += int64(i) * 1_000_000
		}
	})
}

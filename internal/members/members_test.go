package members

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenlink/internal/lab/mesh"
)

func names(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("s%03d", i)
	}
	return all
}

func fleetOf(n int, seed uint64) (*mesh.Mesh[Msg], []*Fleet) {
	all := names(n)
	m := mesh.New[Msg](all, seed)
	fs := make([]*Fleet, n)
	for i, name := range all {
		fs[i] = New(name, all, 1, uint64(1000+i), Usual(n))
		m.Nodes[i] = fs[i]
	}
	return m, fs
}

func states(fs []*Fleet, except int, of string) map[State]int {
	count := map[State]int{}
	for i, f := range fs {
		if i != except {
			count[f.byName[of].State]++
		}
	}
	return count
}

func TestFleetComesUpAndFindsACrash(t *testing.T) {
	for _, n := range []int{2, 3, 30} {
		m, fs := fleetOf(n, 7)
		m.Loss = 0.1
		m.Nodes[0] = nil // it starts late, held gone by then
		m.Run(10e6)
		m.Nodes[0] = fs[0]
		m.Run(25e6)
		for _, f := range fs {
			require.Len(t, f.View().Alive(), n)
			for _, p := range f.peers {
				require.Zero(t, p.flaps, "a first start is no return")
			}
		}
		m.Nodes[0] = nil
		m.Run(m.Now + 8e6)
		require.Equal(t, map[State]int{Gone: n - 1}, states(fs, 0, "s000"), "%d members", n)
		m.Nodes[0] = New("s000", names(n), 2, 1000, Usual(n))
		m.Run(m.Now + 20e6)
		require.Equal(t, map[State]int{Alive: n - 1}, states(fs, 0, "s000"), "%d members", n)
	}
}

package members

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenlink/internal/lab/mesh"
)

func memberNames(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("s%03d", i)
	}
	return all
}

func newMesh(n int, seed uint64) (*mesh.Mesh[Msg], []*Detector) {
	all := memberNames(n)
	m := mesh.New[Msg](all, seed)
	fs := make([]*Detector, n)
	for i, name := range all {
		fs[i] = New(name, all, 1, uint64(1000+i), DefaultTiming(n))
		m.Nodes[i] = fs[i]
	}
	return m, fs
}

func countStates(fs []*Detector, except int, of string) map[State]int {
	count := map[State]int{}
	for i, f := range fs {
		if i != except {
			count[f.byName[of].State]++
		}
	}
	return count
}

func TestStartupAndCrashDetection(t *testing.T) {
	for _, n := range []int{2, 3, 30} {
		m, fs := newMesh(n, 7)
		m.LossRate = 0.1
		m.Nodes[0] = nil // starts late, after the others consider it dead
		m.Run(10e6)
		m.Nodes[0] = fs[0]
		m.Run(25e6)
		for _, f := range fs {
			require.Len(t, f.View().Alive(), n)
			for _, p := range f.peers {
				require.Zero(t, p.flaps, "a first start is not a return")
			}
		}
		m.Nodes[0] = nil
		m.Run(m.Now + 8e6)
		require.Equal(t, map[State]int{Dead: n - 1}, countStates(fs, 0, "s000"), "%d members", n)
		m.Nodes[0] = New("s000", memberNames(n), 2, 1000, DefaultTiming(n))
		m.Run(m.Now + 20e6)
		require.Equal(t, map[State]int{Alive: n - 1}, countStates(fs, 0, "s000"), "%d members", n)
	}
}

package fleettest

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// zoneVar names the file that tells a process of this test program which senders of a fleet are its own.
const zoneVar = "FLEETTEST_SCALE_ZONE"

// zoneTask is what stands in that file.
type zoneTask struct {
	Listed []Place
	First  int // of Listed; it and all after it are the zone's
	Dir    string
	Wants  Wants
	Seed   uint64
}

// zone is a process with some hollow senders, which a SIGKILL ends as it ends senders.
type zone struct {
	cmd  *exec.Cmd
	tell io.WriteCloser
}

// startZone starts one; its loads come by tell.
func startZone(t testing.TB, task zoneTask) *zone {
	t.Helper()
	text, err := json.Marshal(task)
	require.NoError(t, err)
	path := filepath.Join(task.Dir, "zone.json")
	require.NoError(t, os.WriteFile(path, text, 0o600))
	z := &zone{cmd: exec.Command(os.Args[0], "-test.run", "^TestZoneOfHollowSenders$", "-test.count", "1")}
	z.cmd.Env = append(os.Environ(), zoneVar+"="+path, "GOMAXPROCS=1")
	z.cmd.Stderr = os.Stderr
	z.tell, err = z.cmd.StdinPipe()
	require.NoError(t, err)
	require.NoError(t, z.cmd.Start())
	return z
}

func (z *zone) load(t testing.TB, l Load) {
	t.Helper()
	require.NoError(t, json.NewEncoder(z.tell).Encode(l))
}

func (z *zone) kill() {
	_ = z.cmd.Process.Kill()
	_ = z.cmd.Wait()
	_ = z.tell.Close()
}

// TestZoneOfHollowSenders is the other process of a fleet whose zone dies: by itself it has none and checks that its task survives the file.
func TestZoneOfHollowSenders(t *testing.T) {
	path := os.Getenv(zoneVar)
	if path == "" {
		text, err := json.Marshal(zoneTask{Listed: []Place{{"h000", "127.0.0.1:1"}}, Wants: Wants{Destination: 9}})
		require.NoError(t, err)
		require.Contains(t, string(text), "h000")
		return
	}
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	var task zoneTask
	require.NoError(t, json.Unmarshal(text, &task))
	limits := task.Wants.declared()
	var own []*Hollow
	for i, p := range task.Listed[task.First:] {
		h := NewHollow(p, task.Dir, tableOf(task.Listed, p, limits), task.Wants, task.Seed<<16+uint64(task.First+i))
		require.NoError(t, h.Start())
		defer h.Stop()
		own = append(own, h)
	}
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		var l Load
		require.NoError(t, json.Unmarshal(in.Bytes(), &l))
		for _, h := range own {
			h.Driver.load.Store(&l)
		}
	}
}

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

// zoneEnv names the file with the task of a second process of this test program that runs the senders of one zone.
const zoneEnv = "FLEETTEST_SCALE_ZONE"

// zoneTask is the content of that file.
type zoneTask struct {
	Listed      []PeerAddr
	First       int // index into Listed of the first sender of the zone, which reaches to the end
	Dir         string
	StubOptions StubOptions `json:"Wants"`
	Seed        uint64
}

// zone is a process with the stub senders of one zone. A SIGKILL to it ends them as it would end real senders.
type zone struct {
	cmd   *exec.Cmd
	stdin io.WriteCloser
}

// startZone starts the process of a zone. Its load is set through its standard input.
func startZone(t testing.TB, task zoneTask) *zone {
	t.Helper()
	text, err := json.Marshal(task)
	require.NoError(t, err)
	path := filepath.Join(task.Dir, "zone.json")
	require.NoError(t, os.WriteFile(path, text, 0o600))
	z := &zone{cmd: exec.Command(os.Args[0], "-test.run", "^TestZoneProcess$", "-test.count", "1")}
	z.cmd.Env = append(os.Environ(), zoneEnv+"="+path, "GOMAXPROCS=1")
	z.cmd.Stderr = os.Stderr
	z.stdin, err = z.cmd.StdinPipe()
	require.NoError(t, err)
	require.NoError(t, z.cmd.Start())
	return z
}

func (z *zone) load(t testing.TB, l Load) {
	t.Helper()
	require.NoError(t, json.NewEncoder(z.stdin).Encode(l))
}

func (z *zone) kill() {
	_ = z.cmd.Process.Kill()
	_ = z.cmd.Wait()
	_ = z.stdin.Close()
}

// TestZoneProcess is the entry point of a zone's process. Without a task it only checks that a task's senders are encoded.
func TestZoneProcess(t *testing.T) {
	path := os.Getenv(zoneEnv)
	if path == "" {
		text, err := json.Marshal(zoneTask{Listed: []PeerAddr{{"h000", "127.0.0.1:1"}}, StubOptions: StubOptions{Destination: 9}})
		require.NoError(t, err)
		require.Contains(t, string(text), "h000")
		return
	}
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	var task zoneTask
	require.NoError(t, json.Unmarshal(text, &task))
	limits := task.StubOptions.declaredLimits()
	var stubs []*StubSender
	for i, p := range task.Listed[task.First:] {
		h := NewStubSender(p, task.Dir, fleetTable(task.Listed, p, limits), task.StubOptions, task.Seed<<16+uint64(task.First+i))
		require.NoError(t, h.Start())
		defer h.Stop()
		stubs = append(stubs, h)
	}
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		var l Load
		require.NoError(t, json.Unmarshal(in.Bytes(), &l))
		for _, h := range stubs {
			h.Driver.load.Store(&l)
		}
	}
}

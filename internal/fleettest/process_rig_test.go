package fleettest

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Sender is one sender of the fleet, whose process runs or is down.
type Sender struct {
	Name       string
	ClientAddr string // where clients connect
	LinkAddr   string // where other senders post, by way of a Link
	r          *Rig
	dir        string
	platform   *platform
	receivers  map[int64]*httptest.Server // this sender's address of each destination
	cmd        *exec.Cmd
	exited     chan struct{}
	log        logBuffer
}

type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) read() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Log returns what all its processes have written to standard error so far.
func (s *Sender) Log() string { return s.log.read() }

// Folder returns the path of the state folder.
func (s *Sender) Folder() string { return filepath.Join(s.dir, "state") }

func (s *Sender) recordAction(what string) {
	at := s.r.rec.now()
	s.r.rec.update(func(rec *Record) { rec.Actions = append(rec.Actions, Action{at, s.Name, what}) })
}

// Start starts the process and waits until it answers clients.
func (s *Sender) Start() {
	s.r.t.Helper()
	s.Spawn()
	s.r.Until(s.Name+" answers", func(Record) bool { return s.ping() })
}

// Spawn starts the process without waiting for it.
func (s *Sender) Spawn() {
	s.r.t.Helper()
	require.Nil(s.r.t, s.cmd, "%s is already running", s.Name)
	start := fmt.Sprintf(`{"name":"%s","discovery":"%s","seed":"%016x","limits":{"cores":1,"memory_mb":192,"sockets":1024,"disk_mb":3},`+
		`"known":%s,"settings":%s}`, s.Name, s.platform.server.Listener.Addr(), s.r.setup.Seed<<8|uint64(s.Name[0]), s.initialList(), s.r.setup.Settings)
	s.write("config.json", start)
	require.NoError(s.r.t, os.MkdirAll(s.Folder(), 0o700))
	args := []string{}
	if s.r.setup.OperatorFile != nil {
		s.write("operator.toml", s.r.setup.OperatorFile(s))
		args = append(args, "--operator", filepath.Join(s.dir, "operator.toml"))
	}
	s.cmd = exec.Command(Binary(s.r.t), args...)
	s.cmd.Env = append(os.Environ(), "RAVENLINK_LOG="+cmp.Or(os.Getenv("RAVENLINK_LOG"), "info"), "RELAY_CONFIG="+filepath.Join(s.dir, "config.json"), "RELAY_STATE="+s.Folder(),
		"RELAY_LISTEN="+s.ClientAddr, "RELAY_DISCOVERY="+s.platform.server.Listener.Addr().String(), "RELAY_NAME="+s.Name)
	s.cmd.Stderr = &s.log
	s.recordAction("start")
	require.NoError(s.r.t, s.cmd.Start())
	s.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(s.cmd, s.exited)
}

func (s *Sender) write(name, text string) {
	require.NoError(s.r.t, os.WriteFile(filepath.Join(s.dir, name), []byte(text), 0o600))
}

func (s *Sender) signal(what string, sig os.Signal) {
	s.r.t.Helper()
	require.NotNil(s.r.t, s.cmd, "%s is down", s.Name)
	s.recordAction(what)
	require.NoError(s.r.t, s.cmd.Process.Signal(sig))
}

// Running reports whether there is a process, which may be stopped.
func (s *Sender) Running() bool { return s.cmd != nil }

// Kill ends the process with SIGKILL and waits until the receivers have seen its connections close: no answer reaches it from then on.
func (s *Sender) Kill() {
	s.r.t.Helper()
	s.signal("kill", syscall.SIGKILL)
	<-s.exited
	s.awaitDisconnect()
}

// awaitDisconnect waits until the receivers have seen the connections of an ended process close. A receiver that has not would still
// answer its call, and the message would count as delivered.
func (s *Sender) awaitDisconnect() {
	s.r.t.Helper()
	s.cmd = nil
	s.r.Until("receivers see that "+s.Name+" has ended", func(Record) bool { return s.r.rec.openCalls(s.Name) == 0 })
}

// Term lets the process drain, waits until it has ended with exit code 0, and then for the receivers as Kill does.
func (s *Sender) Term() {
	s.r.t.Helper()
	s.signal("term", syscall.SIGTERM)
	<-s.exited
	require.Zero(s.r.t, s.cmd.ProcessState.ExitCode(), s.Log())
	s.awaitDisconnect()
}

// Stop suspends the process with SIGSTOP and waits until it is stopped. Cont resumes it.
func (s *Sender) Stop() {
	s.r.t.Helper()
	s.signal("stop", syscall.SIGSTOP)
	stat := fmt.Sprintf("/proc/%d/stat", s.cmd.Process.Pid)
	s.r.Until(s.Name+" is stopped", func(Record) bool {
		text, err := os.ReadFile(stat)
		return err == nil && bytes.Contains(text, []byte(") T "))
	})
}

// Cont resumes a stopped process.
func (s *Sender) Cont() { s.signal("cont", syscall.SIGCONT) }

// withTimeSlices calls do while the process gets little of a core: it is stopped for a time and runs for timeSlice in turns.
func (s *Sender) withTimeSlices(stopped time.Duration, do func()) {
	done, process := make(chan struct{}), s.cmd.Process
	var turns sync.WaitGroup
	turns.Go(func() {
		for {
			_ = process.Signal(syscall.SIGSTOP)
			time.Sleep(stopped)
			_ = process.Signal(syscall.SIGCONT)
			select {
			case <-done:
				return
			case <-time.After(timeSlice):
			}
		}
	})
	defer turns.Wait() // also if do ends the test: the process must resume, and no signal may go to another process with its ID
	defer close(done)
	do()
}

const timeSlice = 300 * time.Microsecond

// SaveFolder copies the state folder as it is, under a name.
func (s *Sender) SaveFolder(name string) {
	require.NoError(s.r.t, os.RemoveAll(filepath.Join(s.dir, "saved-"+name)))
	copyLive(s.r.t, filepath.Join(s.dir, "saved-"+name), s.Folder())
}

// copyLive copies the folder of a process that may be running. It starts again if a file was renamed or removed since the folder was
// listed.
func copyLive(t testing.TB, to, from string) {
	t.Helper()
	for {
		err := os.CopyFS(to, os.DirFS(from))
		if !errors.Is(err, fs.ErrNotExist) {
			require.NoError(t, err)
			return
		}
		require.NoError(t, os.RemoveAll(to))
	}
}

// RestoreFolder replaces the state folder by a saved copy. The process must be down.
func (s *Sender) RestoreFolder(name string) {
	s.WipeFolder()
	require.NoError(s.r.t, os.CopyFS(s.Folder(), os.DirFS(filepath.Join(s.dir, "saved-"+name))))
	s.recordAction("restore " + name)
}

// Grep lists the files of the state folder that contain a text anywhere, also in unused space.
func (s *Sender) Grep(wanted string) (files []string) {
	err := filepath.WalkDir(s.Folder(), func(path string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		text, err := os.ReadFile(path)
		if errors.Is(err, fs.ErrNotExist) { // a running sender removes files
			return nil
		}
		if bytes.Contains(text, []byte(wanted)) {
			files = append(files, e.Name())
		}
		return err
	})
	require.NoError(s.r.t, err)
	return files
}

// WipeFolder removes the state folder. The process must be down.
func (s *Sender) WipeFolder() {
	require.Nil(s.r.t, s.cmd, "%s is running", s.Name)
	require.NoError(s.r.t, os.RemoveAll(s.Folder()))
	s.recordAction("wipe")
}

// Peers returns name and link address of each other sender, as an operator's file lists them.
func (s *Sender) Peers() (peers [][2]string) {
	for _, o := range s.r.senders {
		if o != s {
			peers = append(peers, [2]string{o.Name, s.r.Link(s.Name, o.Name).Addr()})
		}
	}
	return peers
}

// LinksTOML returns the table of an operator's file that configures the links, such as fleet. It ends with the array of peers, so
// further settings of the same table have to be passed as more.
func (s *Sender) LinksTOML(table string, more ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[%s]\nname = %q\nself = %q\nlisten = %q\n", table, "east", s.Name, s.LinkAddr)
	for _, line := range more {
		fmt.Fprintln(&b, line)
	}
	for _, p := range s.Peers() {
		fmt.Fprintf(&b, "[[%s.peer]]\nname = %q\naddress = %q\n", table, p[0], p[1])
	}
	return b.String()
}

package fleettest

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"

	"go.uber.org/goleak"
)

var built struct {
	once sync.Once
	dir  string
	err  error
}

// Binary builds the program once per test run and returns its path.
func Binary(t testing.TB) string {
	t.Helper()
	built.once.Do(func() {
		if built.dir, built.err = os.MkdirTemp("", "fleettest"); built.err != nil {
			return
		}
		if out, err := exec.Command("go", "build", "-o", filepath.Join(built.dir, "ravenlink"), "ravenlink/cmd/ravenlink").CombinedOutput(); err != nil {
			built.err = fmt.Errorf("%w: %s", err, out)
		}
	})
	if built.err != nil {
		t.Fatalf("build: %v", built.err)
	}
	return filepath.Join(built.dir, "ravenlink")
}

// defaultParallel is how many rigs run at once unless -test.parallel is given. A rig spends most of its time waiting.
const defaultParallel = "12"

// Main runs the tests of a package, removes the built program, and fails if a goroutine is left running.
func Main(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "test.parallel" })
	if !given {
		_ = flag.Set("test.parallel", defaultParallel)
	}
	goleak.VerifyTestMain(m, goleak.Cleanup(func(code int) {
		_ = os.RemoveAll(built.dir)
		os.Exit(code)
	}))
}

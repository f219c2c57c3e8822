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

// Binary builds the program once a test run, and tells where it is.
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

// sideBySide is how many rigs run at once where nobody says otherwise: most of their time they wait.
const sideBySide = "12"

// Main runs a package's tests, removes what was built for them, and fails if a goroutine is left.
func Main(m *testing.M) {
	flag.Parse()
	said := false
	flag.Visit(func(f *flag.Flag) { said = said || f.Name == "test.parallel" })
	if !said {
		_ = flag.Set("test.parallel", sideBySide)
	}
	goleak.VerifyTestMain(m, goleak.Cleanup(func(code int) {
		_ = os.RemoveAll(built.dir)
		os.Exit(code)
	}))
}

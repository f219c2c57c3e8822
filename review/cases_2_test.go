package review

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// The cases of the second review. Their scripts need what the deploy file and review/build-2.sh build.

func TestASecondStartLosesNothingThatIsOwed(t *testing.T) { script(t, "RAVENLINK_REVIEW_6", "6") }

func TestWhatWasReturnedRunsOnce(t *testing.T) { script(t, "RAVENLINK_REVIEW_7", "7") }

func TestARestartWhileDiscoveryIsDownKeepsToWhatWasTold(t *testing.T) {
	script(t, "RAVENLINK_REVIEW_8", "8")
}

func TestAnOlderListTakesNoNewerOnesPlace(t *testing.T) { script(t, "RAVENLINK_REVIEW_9", "9") }

func TestARestartWhereListsAreAskedForKeepsToWhatWasTold(t *testing.T) {
	script(t, "RAVENLINK_REVIEW_10", "10")
}

// A further fault, beside the five cases.

func TestTheFolderStaysWithinItsLimitWhileMessagesAreKept(t *testing.T) {
	const variable = "RAVENLINK_REVIEW_KEPT_DISK"
	if os.Getenv(variable) == "" {
		t.Skip(variable + " is not set")
	}
	file := filepath.Join(t.TempDir(), "record.txt")
	c := exec.Command("bin/review-driver-2", "kept-disk", file)
	c.Dir = ".."
	if out, err := c.CombinedOutput(); err != nil {
		record, _ := os.ReadFile(file)
		t.Fatalf("kept-disk: %v %s\n%s", err, out, record)
	}
}

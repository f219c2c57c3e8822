// Package review runs the cases of the review, one script each, where an environment variable of its own asks for it. The scripts need what
// the deploy file and review/build.sh build.
package review

import (
	"os"
	"os/exec"
	"testing"
)

func script(t *testing.T, variable, folder string) {
	t.Helper()
	if os.Getenv(variable) == "" {
		t.Skip(variable + " is not set")
	}
	out, err := exec.Command(folder + "/run.sh").CombinedOutput()
	if err != nil {
		t.Fatalf("%s/run.sh: %v %s; see %s/record.txt", folder, err, out, folder)
	}
}

func TestMessagesOfChannelsEndWhileTheirReceiverHangs(t *testing.T) {
	script(t, "RAVENLINK_REVIEW_1", "1")
}

func TestWhatWasPushedBackIsNotSentAgainBesideItsClient(t *testing.T) {
	script(t, "RAVENLINK_REVIEW_2", "2")
}

func TestAFailedPositionIsNotPassedAfterARestart(t *testing.T) {
	script(t, "RAVENLINK_REVIEW_3", "3")
}

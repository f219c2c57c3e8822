// Package review runs the cases of the review, one script each, where an environment variable of its own asks for it. The scripts need what
// the deploy file and review/build.sh build.
package review

import (
	"os"
	"os/exec"
	"testing"
)

// play runs a play of the driver that is no case.
func play(t *testing.T, variable, name string) {
	t.Helper()
	if os.Getenv(variable) == "" {
		t.Skip(variable + " is not set")
	}
	folder := t.TempDir()
	c := exec.Command("review/bin/driver", name, folder)
	c.Dir = ".."
	if out, err := c.CombinedOutput(); err != nil {
		record, _ := os.ReadFile(folder + "/record.txt")
		t.Fatalf("driver %s: %v %s\n%s", name, err, out, record)
	}
}

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

func TestABadClientsIDDoesNotTakeAnothersPlace(t *testing.T) {
	script(t, "RAVENLINK_REVIEW_2", "2")
}

func TestAFailedPositionIsNotPassedAfterARestart(t *testing.T) {
	script(t, "RAVENLINK_REVIEW_3", "3")
}

// Further faults, beside the three cases.

func TestWhatWasPushedBackIsNotSentAgainBesideItsClient(t *testing.T) {
	play(t, "RAVENLINK_REVIEW_KEPT_AGAIN", "kept-again")
}

func TestChannelsKeepTheirOrderWhereTheFleetCannotBeHad(t *testing.T) {
	play(t, "RAVENLINK_REVIEW_WITHOUT_FLEET", "without-fleet")
}

func TestEndsAreToldInTimeWhileKeptMessagesGiveWay(t *testing.T) {
	play(t, "RAVENLINK_REVIEW_KEPT_FULL", "kept-full")
}

func TestALetterOfANewerVersionCrashesNobody(t *testing.T) {
	play(t, "RAVENLINK_REVIEW_NEWER_PEER", "newer-peer")
}

func TestWhatWasTakenOnEndsWithoutTheFleetsLog(t *testing.T) {
	play(t, "RAVENLINK_REVIEW_WITHOUT_LOG", "without-log")
}

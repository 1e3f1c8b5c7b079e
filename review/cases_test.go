//go:build review

package review

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// runCase runs the script of a case, after the build of the deploy file and build.sh. The test fails if the rule was broken.
func runCase(t *testing.T, folder string) {
	command := exec.Command(filepath.Join(".", folder, "run.sh"))
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	err := command.Run()
	var exit *exec.ExitError
	switch {
	case err == nil:
	case errors.As(err, &exit) && exit.ExitCode() == 1:
		t.Fatalf("the rule of %s/claim.txt was broken; see %s/record.txt", folder, folder)
	default:
		t.Fatalf("the case could not run: %v", err)
	}
}

func TestHandoverAnswersWhatItTook(t *testing.T) { runCase(t, "1") }

func TestResetUnderLargeValueLosesNoOtherRequest(t *testing.T) { runCase(t, "2") }

func TestSlowReadersStayWithinMemory(t *testing.T) { runCase(t, "3") }

func TestSessionSeesItsLargeWrite(t *testing.T) { runCase(t, "more/session") }

func TestSlowReaderGetsItsWholeValue(t *testing.T) { runCase(t, "more/slow") }

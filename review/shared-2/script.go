//go:build review

package shared2

import (
	"os/exec"
	"testing"
)

// RunScript starts the script run.sh of the test's folder. The test fails unless the rule held.
func RunScript(t *testing.T) {
	t.Helper()
	output, err := exec.Command("./run.sh").CombinedOutput()
	t.Logf("%s", output)
	if err != nil {
		t.Fatal(err)
	}
}

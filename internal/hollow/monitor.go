package hollow

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// ThreadTimes returns the CPU time of all threads of a Go process and that of the runtime's monitor thread (sysmon), in milliseconds.
// The monitor supervises the scheduler, runs at its own pace and executes no code of the program. It is the first thread that the
// runtime starts, so it has the second lowest thread id.
func ThreadTimes(pid int) (all, monitor float64, err error) {
	taskDirs, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid))
	if err != nil {
		return 0, 0, err
	}
	var threadIDs []int
	for _, taskDir := range taskDirs {
		if id, err := strconv.Atoi(filepath.Base(taskDir)); err == nil {
			threadIDs = append(threadIDs, id)
		}
	}
	slices.Sort(threadIDs)
	for i, id := range threadIDs {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%d/schedstat", pid, id))
		if err != nil {
			continue // the thread has ended
		}
		ns, err := strconv.ParseFloat(strings.Fields(string(text) + " 0")[0], 64)
		if err != nil {
			return 0, 0, err
		}
		if all += ns / 1e6; i == 1 {
			monitor = ns / 1e6
		}
	}
	return all, monitor, nil
}

package hollow

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// Threads tells in milliseconds how long the processor has worked for the threads of a Go process, and for which of that the
// runtime's monitor has: a thread that looks after all others, works at its own pace and runs nothing of the program. It is the first that
// the runtime starts.
func Threads(pid int) (all, monitor float64, err error) {
	dirs, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid))
	if err != nil {
		return 0, 0, err
	}
	var ids []int
	for _, d := range dirs {
		if id, err := strconv.Atoi(filepath.Base(d)); err == nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for i, id := range ids {
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

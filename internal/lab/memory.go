package lab

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// MachineMemory returns the memory of this machine in bytes, 0 if the system does not report it.
func MachineMemory() float64 {
	return kibField("/proc/meminfo", "MemTotal:")
}

// AnonymousMemory returns the resident anonymous memory of a process in bytes, 0 if it has ended.
func AnonymousMemory(pid int) float64 {
	return kibField(filepath.Join("/proc", strconv.Itoa(pid), "status"), "RssAnon:")
}

// kibField returns a field of a file that the system writes in KiB, in bytes, 0 if it is not there.
func kibField(path, name string) float64 {
	text, _ := os.ReadFile(path)
	_, rest, _ := strings.Cut(string(text), name)
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kib, _ := strconv.ParseFloat(fields[0], 64)
	return kib * 1024
}

// ResidentMemory returns the resident memory of a process in bytes, 0 if it has ended.
func ResidentMemory(pid int) float64 {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "statm"))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize())
}

package lab

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// MachineMemory returns the memory of this machine in bytes, 0 if the system does not report it.
func MachineMemory() float64 {
	text, _ := os.ReadFile("/proc/meminfo")
	_, rest, _ := strings.Cut(string(text), "MemTotal:")
	f := strings.Fields(rest)
	if len(f) == 0 {
		return 0
	}
	kb, _ := strconv.ParseFloat(f[0], 64)
	return kb * 1024
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

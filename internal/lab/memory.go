package lab

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// MachineMemory is the memory of this machine in bytes; 0: the system does not tell.
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

// ResidentMemory is what a process holds of the machine's memory in bytes; 0: it has ended.
func ResidentMemory(pid int) float64 {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "statm"))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize())
}

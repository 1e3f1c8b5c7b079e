//go:build race

package main

import "time"

const racePart = 1 << 20 // KiB that the race detector may add to the program's memory

const raceExit = time.Second // that the race detector waits before the program ends

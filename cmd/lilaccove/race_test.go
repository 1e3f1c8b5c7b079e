//go:build race

package main

import "time"

const raceMemoryKiB = 1 << 20 // what the race detector may add to the program's memory

const raceExitDelay = time.Second // how long the race detector delays the program's exit

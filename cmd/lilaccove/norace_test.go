//go:build !race

package main

const raceMemoryKiB = 0 // without the race detector, see race_test.go

const raceExitDelay = 0

//go:build !race

package main

const raceMemoryKiB = 0

const raceExitDelay = 0

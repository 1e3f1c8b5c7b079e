//go:build race

package main

const racePart = 1 << 20 // KiB that the race detector may add to the program's memory

//go:build !race

package main

const racePart = 0

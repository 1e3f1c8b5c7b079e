package fleet

import (
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestParse(t *testing.T) {
	f, err := Parse("f", []byte("fleet: a\nlisten: 0.0.0.0:7400\nadvertise: 127.0.0.1:7500\nseeds: [127.0.0.1:1]\ndial: {n2: 127.0.0.1:2}\nperiod: 100 ms\nstill: 2 s\nmost: 50\n"))
	require.NoError(t, err)
	assert.Equal(t, &File{
		Fleet: "a", Listen: netip.MustParseAddrPort("0.0.0.0:7400"), Advertise: netip.MustParseAddrPort("127.0.0.1:7500"),
		Seeds: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, Dial: map[string]netip.AddrPort{"n2": netip.MustParseAddrPort("127.0.0.1:2")},
		ProbePeriod: 100 * time.Millisecond, StableAfter: 2 * time.Second, MaxMembers: 50,
	}, f)
}

// Common is equal for files that differ only in addresses, and differs for others.
func TestCommon(t *testing.T) {
	parse := func(text string) string {
		f, err := Parse("f", []byte(text))
		require.NoError(t, err)
		return string(f.Common())
	}
	common := parse("fleet: a\nlisten: 127.0.0.1:1\nbudgets: {holders: [x, y], connections: 4}\n")
	assert.Equal(t, common, parse("fleet: a\nlisten: 127.0.0.1:2\nseeds: [127.0.0.1:1]\nbudgets: {holders: [x, y], connections: 4}\n"))
	assert.NotEqual(t, common, parse("fleet: a\nlisten: 127.0.0.1:1\nbudgets: {holders: [y, x], connections: 4}\n"))
}

// The shipped example file is valid.
func TestParseExampleFile(t *testing.T) {
	text, err := os.ReadFile("../../deploy/fleet.yaml")
	require.NoError(t, err)
	_, err = Parse("fleet.yaml", text)
	assert.NoError(t, err)
}

func TestParseErrorsHavePositions(t *testing.T) {
	_, err := Parse("f", []byte("fleet: a b\nlisten: 0.0.0.0:7400\nseeds: 127.0.0.1:1\ndial: {n 2: 127.0.0.1}\nperiod: 1 ms\nmost: 1\nport: 3\nstill: 1\n"))
	require.Error(t, err)
	for _, want := range []string{
		`f:1:8: fleet: "a b" is not a valid name`, "f:2:9: listen: 0.0.0.0:7400 is the unspecified address; set advertise", "f:3:8: seeds: must be a list", `dial: "n 2" is not a valid gateway name`,
		`n 2: "127.0.0.1" is no address; write it like 127.0.0.1:7400`, "f:5:9: period: must be from 50ms to 10s", "most: a whole number from 2 to 4096",
		"f:7:1: port: unknown; one of fleet", `f:8:8: still: "1" has no unit; write it like 500 ms`,
	} {
		assert.ErrorContains(t, err, want)
	}
	_, err = Parse("f", nil)
	assert.ErrorContains(t, err, "the fleet file is empty")
}

// A byte rate may replace "true". Errors in it are reported with their position, and Common differs with the rate.
func TestParseByteRate(t *testing.T) {
	const head = "fleet: a\nlisten: 127.0.0.1:1\n"
	parse := func(text string) (*File, error) { return Parse("f", []byte(head+text)) }
	f, err := parse("positions: {bytes: 1500/s}\nprimaries: {bytes: 400/s}\n")
	require.NoError(t, err)
	assert.Equal(t, []any{true, 1500, true, 400}, []any{f.Positions, f.PositionBytes, f.Primaries, f.PrimaryBytes})
	unlimited, err := parse("positions: true\nprimaries: true\n")
	require.NoError(t, err)
	assert.Equal(t, []any{true, 0, true, 0}, []any{unlimited.Positions, unlimited.PositionBytes, unlimited.Primaries, unlimited.PrimaryBytes})
	assert.Equal(t, "a 0s 0s 0 - true false 0s true 0s 0", string(unlimited.Common()), "files without a byte rate keep the digest they had")
	other, err := parse("positions: {bytes: 1600/s}\nprimaries: {bytes: 400/s}\n")
	require.NoError(t, err)
	assert.NotEqual(t, string(f.Common()), string(unlimited.Common()))
	assert.NotEqual(t, string(f.Common()), string(other.Common()))
	swapped, err := parse("positions: {bytes: 400/s}\nprimaries: {bytes: 1500/s}\n")
	require.NoError(t, err)
	assert.NotEqual(t, string(f.Common()), string(swapped.Common()))
	for text, want := range map[string]string{
		"positions: {bytes: 1500}":            `f:3:20: bytes: "1500" has no unit; write it like 1500/s`,
		"positions: {bytes: 1500 B}":          `f:3:20: bytes: "1500 B": unknown unit "B"; write it like 1500/s`,
		"positions: {bytes: 90000/min}":       `f:3:20: bytes: "90000/min": unknown unit "/min"; write it like 1500/s`,
		"positions: {bytes: 100/s}":           "f:3:20: bytes: must be a whole number from 400/s to 1000000/s: less does not carry one request and one answer per second",
		"primaries: {bytes: 2000000/s}":       "f:3:20: bytes: must be a whole number from 400/s",
		"positions: {bytes: 1500.5/s}":        "f:3:20: bytes: must be a whole number",
		"positions: {}":                       "f:3:12: bytes: missing: the rate at which positions may send, like {bytes: 1500/s}; the same in every file",
		"positions: {byte: 1500/s}":           "f:3:13: byte: unknown; one of bytes is meant, perhaps",
		"positions: {bytes: 1/s, bytes: 2/s}": "bytes: stands twice",
		"positions: {bytes: [1]}":             "f:3:20: bytes: a single value is wanted",
		"positions: 1500/s":                   `f:3:12: positions: "1500/s" is neither true nor false nor a budget like {bytes: 1500/s}`,
		"primaries: [true]":                   "f:3:12: primaries: a single value is wanted",
	} {
		_, err := parse(text + "\n")
		assert.ErrorContains(t, err, want, text)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("fleet: a\nlisten: 127.0.0.1:1\n"))
	f.Add([]byte("fleet: [a]\nlisten: {}\nseeds: [[]]\ndial: []\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := Parse("f", text)
		if (file == nil) == (err == nil) {
			t.Fatal(file, err)
		}
	})
}

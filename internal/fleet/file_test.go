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
		Period: 100 * time.Millisecond, Still: 2 * time.Second, Most: 50,
	}, f)
}

// What has to be equal is equal in files that differ in the addresses alone, and in no others.
func TestCommon(t *testing.T) {
	parse := func(text string) string {
		f, err := Parse("f", []byte(text))
		require.NoError(t, err)
		return string(f.Common())
	}
	a := parse("fleet: a\nlisten: 127.0.0.1:1\nbudgets: {holders: [x, y], connections: 4}\n")
	assert.Equal(t, a, parse("fleet: a\nlisten: 127.0.0.1:2\nseeds: [127.0.0.1:1]\nbudgets: {holders: [x, y], connections: 4}\n"))
	assert.NotEqual(t, a, parse("fleet: a\nlisten: 127.0.0.1:1\nbudgets: {holders: [y, x], connections: 4}\n"))
}

// The file that is shipped is one that works.
func TestTheExample(t *testing.T) {
	text, err := os.ReadFile("../../deploy/fleet.yaml")
	require.NoError(t, err)
	_, err = Parse("fleet.yaml", text)
	assert.NoError(t, err)
}

func TestFaultsAreToldWithTheirPlace(t *testing.T) {
	_, err := Parse("f", []byte("fleet: a b\nlisten: 0.0.0.0:7400\nseeds: 127.0.0.1:1\ndial: {n 2: 127.0.0.1}\nperiod: 1 ms\nmost: 1\nport: 3\nstill: 1\n"))
	require.Error(t, err)
	for _, want := range []string{
		`f:1:8: fleet: "a b" is no name`, "f:2:9: listen: 0.0.0.0:7400 is every address; say with advertise", "f:3:8: seeds: a list", `dial: "n 2" is no name`,
		`n 2: "127.0.0.1" is no address; write it like 127.0.0.1:7400`, "f:5:9: period: from 50ms to 10s would do", "most: a whole number from 2 to 4096",
		"f:7:1: port: unknown; one of fleet", `f:8:8: still: "1" has no unit; write it like 500 ms`,
	} {
		assert.ErrorContains(t, err, want)
	}
	_, err = Parse("f", nil)
	assert.ErrorContains(t, err, "the fleet file is empty")
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

package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The command detects a page that differs from its runs, and changes it with --write only.
func TestCapacityCommand(t *testing.T) {
	text, err := os.ReadFile("../../docs/CAPACITY.md")
	require.NoError(t, err)
	page := filepath.Join(t.TempDir(), "page.md")
	require.NoError(t, os.WriteFile(page, text, 0o644))
	run := func(args ...string) (string, error) {
		command := rootCommand()
		var out bytes.Buffer
		command.SetOut(&out)
		command.SetArgs(append([]string{"capacity", "--page", page}, args...))
		err := command.Execute()
		return out.String(), err
	}
	runs := "../../docs/capacity"
	out, err := run(runs)
	require.NoError(t, err)
	assert.Contains(t, out, "matches its runs")

	_, err = run("../../internal/capacity/testdata")
	assert.ErrorContains(t, err, "the page has\n")
	current, err := os.ReadFile(page)
	require.NoError(t, err)
	assert.Equal(t, string(text), string(current), "checking changes nothing")

	_, err = run("../../internal/capacity/testdata", "--write")
	require.NoError(t, err)
	_, err = run("../../internal/capacity/testdata")
	assert.NoError(t, err)
	_, err = run(runs, "--write")
	require.NoError(t, err)
	current, err = os.ReadFile(page)
	require.NoError(t, err)
	assert.Equal(t, string(text), string(current))

	require.NoError(t, os.WriteFile(page, []byte(strings.Replace(string(text), "<!-- capacity:sizes -->", "", 1)), 0o644))
	_, err = run(runs, "--write")
	assert.ErrorContains(t, err, "no table ends here")
	_, err = run("nowhere")
	assert.ErrorContains(t, err, "name the directory with the runs")
}

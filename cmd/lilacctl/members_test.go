package main

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startGateway starts a server that answers every request with the same status and body.
func startGateway(t *testing.T, code int, body string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(code)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

const membersBody = `{"name":"NAME","addr":"127.0.0.1:7400","member":true,"view":{"version":4,"digest":"DIGEST","members":[{"name":"n1"},{"name":"n2"}]},
"known":[{"name":"n2","addr":"127.0.0.1:7401","state":"suspect"},{"name":"n9","addr":"127.0.0.1:7409","state":"dead"}]}`

// members is the report of a gateway with this name and view digest.
func members(name, digest string) string {
	return strings.NewReplacer("NAME", name, "DIGEST", digest).Replace(membersBody)
}

// runCommand runs the command line and returns its output, error text included, and its exit status.
func runCommand(args ...string) (string, int) {
	c := command()
	var out bytes.Buffer
	c.SetOut(&out)
	c.SetErr(&out)
	c.SetArgs(args)
	err := c.Execute()
	var s exitStatus
	switch {
	case err == nil:
		return out.String(), 0
	case errors.As(err, &s):
		return out.String() + s.message, s.code
	}
	return out.String() + err.Error(), exitUsage
}

func TestMembers(t *testing.T) {
	a, b := startGateway(t, 200, members("n1", "aa")), startGateway(t, 200, members("n3", "aa"))
	out, code := runCommand("members", "--at", a, "--at", b)
	require.Zero(t, code, out)
	assert.Contains(t, out, "n2       127.0.0.1:7401")
	assert.Contains(t, out, "n1=suspect n3=suspect")
	assert.NotContains(t, out, "n9", "dead members are listed only with --all")
	out, _ = runCommand("members", "--at", a, "--all")
	assert.Contains(t, out, "n9")
	out, code = runCommand("members", "--at", a, "--json")
	require.Zero(t, code)
	assert.Contains(t, out, `"digest": "aa"`)
}

// Each kind of problem leads to its exit status and a message.
func TestExitStatuses(t *testing.T) {
	a := startGateway(t, 200, members("n1", "aa"))
	for want, c := range map[string]struct {
		at   string
		code int
	}{
		"2 different views":          {startGateway(t, 200, members("n2", "bb")), exitFinding},
		"two processes are named n2": {startGateway(t, 200, strings.Replace(members("n2", "aa"), `{"name":"n2"}`, `{"name":"n2","twice":true}`, 1)), exitFinding},
		"has lost its name":          {startGateway(t, 200, strings.Replace(members("n2", "aa"), `"member":true`, `"superseded":true`, 1)), exitFinding},
		"no answer from 127.0.0.1:1": {"127.0.0.1:1", exitUnreachable},
		"no fleet file":              {startGateway(t, 404, "this gateway has no fleet file\n"), exitUnreachable},
		"cannot be read":             {startGateway(t, 200, "what"), exitUnreachable},
		"is no address":              {"here", exitUnreachable},
	} {
		out, code := runCommand("members", "--at", a, "--at", c.at)
		assert.Equal(t, c.code, code, want)
		assert.Contains(t, out, want)
	}
	_, code := runCommand("members")
	assert.Equal(t, exitUsage, code)
}

// Different copies of the overrides and conflicts are findings.
func TestState(t *testing.T) {
	body := `{"name":"n1","digest":"aa","caught_up":true,"words":[{"host":"s-1","out":true,"vector":{"n1@1":1},"at_ms":1,"by":"n1"}]}`
	a, b := startGateway(t, 200, body), startGateway(t, 200, strings.Replace(body, `"aa"`, `"bb"`, 1))
	out, code := runCommand("state", "--at", a)
	require.Zero(t, code, out)
	assert.Contains(t, out, "s-1       suspend")
	out, code = runCommand("state", "--at", a, "--at", b)
	assert.Equal(t, exitFinding, code)
	assert.Contains(t, out, "2 different copies")
	out, code = runCommand("state", "--at", startGateway(t, 200, strings.Replace(body, `"words"`, `"conflicts":["s-1"],"words"`, 1)))
	assert.Equal(t, exitFinding, code)
	assert.Contains(t, out, "words about s-1 differ")
	_, code = runCommand("state", "--at", "127.0.0.1:1", "--json")
	assert.Equal(t, exitUnreachable, code)
}

func TestOverrides(t *testing.T) {
	a := startGateway(t, 200, "ok\n")
	out, code := runCommand("suspend", "s-1", "--at", a, "--fleet")
	require.Zero(t, code, out)
	out, code = runCommand("resume", "s-9", "--at", startGateway(t, 404, "no such database\n"))
	assert.Equal(t, exitFinding, code)
	assert.Contains(t, out, "does not know it")
	_, code = runCommand("resume", "s-9", "--at", "127.0.0.1:1")
	assert.Equal(t, exitUnreachable, code)
}

// A gateway on an older list is a finding, unless another address has a more recent report on it.
func TestVersions(t *testing.T) {
	a := startGateway(t, 200, `{"name":"n1","versions":[{"name":"n1","list":7,"words":1},{"name":"n2","list":6,"behind_ms":2500,"heard_ms_ago":300}]}`)
	out, code := runCommand("versions", "--at", a)
	assert.Equal(t, exitFinding, code, out)
	assert.Contains(t, out, "n2 acts on list 6, the newest is 7")
	assert.Contains(t, out, "2.5s")
	b := startGateway(t, 200, `{"name":"n2","versions":[{"name":"n2","list":7}]}`)
	out, code = runCommand("versions", "--at", a, "--at", b)
	assert.Zero(t, code, out, "a gateway's report on itself is the most recent")
	_, code = runCommand("versions", "--at", "127.0.0.1:1")
	assert.Equal(t, exitUnreachable, code)
}

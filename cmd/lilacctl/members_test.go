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

// gateway answers as one does.
func gateway(t *testing.T, code int, body string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(code)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

const said = `{"name":"NAME","addr":"127.0.0.1:7400","member":true,"view":{"version":4,"digest":"DIGEST","members":[{"name":"n1"},{"name":"n2"}]},
"known":[{"name":"n2","addr":"127.0.0.1:7401","state":"suspect"},{"name":"n9","addr":"127.0.0.1:7409","state":"dead"}]}`

func says(name, digest string) string {
	return strings.NewReplacer("NAME", name, "DIGEST", digest).Replace(said)
}

// runs runs the command line; it returns what it prints and its exit status.
func runs(args ...string) (string, int) {
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
	a, b := gateway(t, 200, says("n1", "aa")), gateway(t, 200, says("n3", "aa"))
	out, code := runs("members", "--at", a, "--at", b)
	require.Zero(t, code, out)
	assert.Contains(t, out, "n2       127.0.0.1:7401")
	assert.Contains(t, out, "n1=suspect n3=suspect")
	assert.NotContains(t, out, "n9", "who has ended is listed with --all")
	out, _ = runs("members", "--at", a, "--all")
	assert.Contains(t, out, "n9")
	out, code = runs("members", "--at", a, "--json")
	require.Zero(t, code)
	assert.Contains(t, out, `"digest": "aa"`)
}

func TestExitStatuses(t *testing.T) {
	a := gateway(t, 200, says("n1", "aa"))
	for want, c := range map[string]struct {
		at   string
		code int
	}{
		"2 different views":          {gateway(t, 200, says("n2", "bb")), exitFinding},
		"two processes are named n2": {gateway(t, 200, strings.Replace(says("n2", "aa"), `{"name":"n2"}`, `{"name":"n2","twice":true}`, 1)), exitFinding},
		"has lost its name":          {gateway(t, 200, strings.Replace(says("n2", "aa"), `"member":true`, `"superseded":true`, 1)), exitFinding},
		"no answer from 127.0.0.1:1": {"127.0.0.1:1", exitUnreachable},
		"no fleet file":              {gateway(t, 404, "this gateway has no fleet file\n"), exitUnreachable},
		"cannot be read":             {gateway(t, 200, "what"), exitUnreachable},
		"is no address":              {"here", exitUnreachable},
	} {
		out, code := runs("members", "--at", a, "--at", c.at)
		assert.Equal(t, c.code, code, want)
		assert.Contains(t, out, want)
	}
	_, code := runs("members")
	assert.Equal(t, exitUsage, code)
}

func TestState(t *testing.T) {
	words := `{"name":"n1","digest":"aa","caught_up":true,"words":[{"host":"s-1","out":true,"vector":{"n1@1":1},"at_ms":1,"by":"n1"}]}`
	a, b := gateway(t, 200, words), gateway(t, 200, strings.Replace(words, `"aa"`, `"bb"`, 1))
	out, code := runs("state", "--at", a)
	require.Zero(t, code, out)
	assert.Contains(t, out, "s-1       suspend")
	out, code = runs("state", "--at", a, "--at", b)
	assert.Equal(t, exitFinding, code)
	assert.Contains(t, out, "2 different copies")
	out, code = runs("state", "--at", gateway(t, 200, strings.Replace(words, `"words"`, `"conflicts":["s-1"],"words"`, 1)))
	assert.Equal(t, exitFinding, code)
	assert.Contains(t, out, "words about s-1 differ")
	_, code = runs("state", "--at", "127.0.0.1:1", "--json")
	assert.Equal(t, exitUnreachable, code)
}

func TestWords(t *testing.T) {
	a := gateway(t, 200, "ok\n")
	out, code := runs("suspend", "s-1", "--at", a, "--fleet")
	require.Zero(t, code, out)
	out, code = runs("resume", "s-9", "--at", gateway(t, 404, "no such database\n"))
	assert.Equal(t, exitFinding, code)
	assert.Contains(t, out, "does not know it")
	_, code = runs("resume", "s-9", "--at", "127.0.0.1:1")
	assert.Equal(t, exitUnreachable, code)
}

func TestVersions(t *testing.T) {
	a := gateway(t, 200, `{"name":"n1","versions":[{"name":"n1","list":7,"words":1},{"name":"n2","list":6,"behind_ms":2500,"heard_ms_ago":300}]}`)
	out, code := runs("versions", "--at", a)
	assert.Equal(t, exitFinding, code, out)
	assert.Contains(t, out, "n2 acts on list 6, the newest is 7")
	assert.Contains(t, out, "2.5s")
	b := gateway(t, 200, `{"name":"n2","versions":[{"name":"n2","list":7}]}`)
	out, code = runs("versions", "--at", a, "--at", b)
	assert.Zero(t, code, out, "what a gateway says of itself is newest")
	_, code = runs("versions", "--at", "127.0.0.1:1")
	assert.Equal(t, exitUnreachable, code)
}

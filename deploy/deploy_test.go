// Package deploy_test checks what the deploy file promises to the platform.
package deploy_test

import (
	"debug/elf"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// list is what go list says with these arguments, run at the root. The test's cached result depends on what the test itself
// opens and not on what go list does; so all sources are opened here.
func list(t *testing.T, args ...string) []string {
	t.Helper()
	for _, dir := range []string{"../cmd", "../internal", "../policy"} {
		require.NoError(t, filepath.WalkDir(dir, func(path string, _ os.DirEntry, err error) error {
			if err != nil || filepath.Ext(path) != ".go" {
				return err
			}
			f, err := os.Open(path)
			if err != nil {
				return err
			}
			return f.Close()
		}))
	}
	cmd := exec.Command("go", append([]string{"list"}, args...)...)
	cmd.Dir, cmd.Stderr = "..", os.Stderr
	out, err := cmd.Output()
	require.NoError(t, err)
	return strings.Fields(string(out))
}

// value is that of a key in the deploy file.
func value(t *testing.T, key string) string {
	t.Helper()
	text, err := os.ReadFile("balancer.toml")
	require.NoError(t, err)
	m := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(text)
	require.NotNil(t, m, "no %s in balancer.toml", key)
	return string(m[1])
}

// What is loaded into a process from outside (LD_PRELOAD) reaches only a program that starts with the
// dynamic loader and takes the C library from it: a static one would run on real clocks and sockets.
func TestTheBuiltGatewayIsLinkedDynamically(t *testing.T) {
	run := strings.Fields(value(t, "run"))
	require.Len(t, run, 2, "run is one exec of one program")
	require.Equal(t, "exec", run[0])
	dir := filepath.Join(t.TempDir(), "bin")
	build := strings.ReplaceAll(value(t, "build"), " bin", " "+dir)
	require.Contains(t, build, dir)
	cmd := exec.Command("sh", "-c", build)
	cmd.Dir = ".."
	out, err := cmd.CombinedOutput()
	require.NoError(t, err, "%s", out)

	f, err := elf.Open(filepath.Join(dir, filepath.Base(run[1])))
	require.NoError(t, err)
	defer f.Close()
	interp := f.Section(".interp")
	require.NotNil(t, interp, "no interpreter: linked statically")
	libs, err := f.ImportedLibraries()
	require.NoError(t, err)
	found := false
	for _, l := range libs {
		found = found || strings.HasPrefix(l, "libc.")
	}
	require.True(t, found, "no C library among %v", libs)

	symbols, err := f.Symbols()
	require.NoError(t, err)
	for _, s := range symbols {
		require.False(t, strings.HasPrefix(s.Name, "lilaccove/internal/sys.drawn"), "the program is built without the tag faults")
		require.NotEqual(t, "lilaccove/internal/sys.plan", s.Name, "its system calls go by no plan")
	}
}

// The tools beside the gateway use libraries; the gateway and the adapter gain no weight from them. What the
// gateway has besides is for the fleet: its file, its messages, their digests.
func TestTheProgramsDependOnFewModules(t *testing.T) {
	for program, modules := range map[string][]string{
		"adapter": {"golang.org/x/sys", "lilaccove"},
		"lilaccove": {
			"github.com/cespare/xxhash/v2", "github.com/fxamacker/cbor/v2", "github.com/x448/float16", "go.yaml.in/yaml/v3",
			"golang.org/x/sys", "lilaccove",
		},
	} {
		found := list(t, "-deps", "-f", "{{with .Module}}{{.Path}}{{end}}", "./cmd/"+program)
		slices.Sort(found)
		require.Subset(t, modules, slices.Compact(found), program)
	}
}

// nodeProblems holds the folders of the deploy file's node against the packages that the gateway links. A folder names
// all that lies in it; present are the packages that there are. Every text says what to do.
func nodeProblems(node, linked, present []string) []string {
	within := func(pkg, folder string) bool { return pkg == folder || strings.HasPrefix(pkg, folder+"/") }
	var problems []string
	for _, pkg := range linked {
		if !slices.ContainsFunc(node, func(folder string) bool { return within(pkg, folder) }) {
			problems = append(problems, fmt.Sprintf("add %q to node: the gateway links it", pkg))
		}
	}
	for i, folder := range node {
		for j, other := range node {
			if i != j && within(folder, other) && (folder != other || i > j) {
				problems = append(problems, fmt.Sprintf("take %q out of node: %q names it already", folder, other))
			}
		}
		inFolder := func(pkg string) bool { return within(pkg, folder) }
		if !slices.ContainsFunc(linked, inFolder) {
			problems = append(problems, fmt.Sprintf("take %q out of node: the gateway links nothing in it", folder))
			continue
		}
		for _, pkg := range present {
			if inFolder(pkg) && !slices.Contains(linked, pkg) {
				problems = append(problems, fmt.Sprintf(
					"name the linked packages of %q one by one in node, or move %q: the gateway does not link it", folder, pkg))
			}
		}
	}
	return problems
}

func TestNodeProblems(t *testing.T) {
	linked := []string{"cmd/lilaccove", "internal/fleet", "internal/fleet/state", "internal/front"}
	present := append([]string{"cmd/adapter", "internal/frontal"}, linked...)
	for name, c := range map[string]struct{ node, present, want []string }{
		"as it should be": {[]string{"cmd/lilaccove", "internal/fleet", "internal/front"}, present, nil},
		"missing": {[]string{"cmd/lilaccove", "internal/fleet"}, present,
			[]string{`add "internal/front" to node: the gateway links it`}},
		"missing beside its child": {[]string{"cmd/lilaccove", "internal/fleet/state", "internal/front"}, present,
			[]string{`add "internal/fleet" to node: the gateway links it`}},
		"not linked": {[]string{"cmd/lilaccove", "internal/fleet", "internal/front", "internal/frontal"}, present,
			[]string{`take "internal/frontal" out of node: the gateway links nothing in it`}},
		"twice": {[]string{"cmd/lilaccove", "internal/fleet", "internal/front", "internal/front"}, present,
			[]string{`take "internal/front" out of node: "internal/front" names it already`}},
		"below another": {[]string{"cmd/lilaccove", "internal/fleet", "internal/fleet/state", "internal/front"}, present,
			[]string{`take "internal/fleet/state" out of node: "internal/fleet" names it already`}},
		"not linked within a folder": {[]string{"cmd/lilaccove", "internal/fleet", "internal/front"},
			append([]string{"internal/fleet/model"}, present...),
			[]string{`name the linked packages of "internal/fleet" one by one in node, or move "internal/fleet/model": the gateway does not link it`}},
	} {
		assert.Equal(t, c.want, nodeProblems(c.node, linked, c.present), name)
	}
}

// node names what the platform takes for the gateway: all of our packages that it links, and no others. The decision
// module stands in policy.
func TestNodeNamesWhatTheGatewayLinks(t *testing.T) {
	text, err := os.ReadFile("balancer.toml")
	require.NoError(t, err)
	var file struct{ Policy, Node []string }
	require.NoError(t, toml.Unmarshal(text, &file))
	packages := func(args ...string) []string {
		const ours = `{{with .Module}}{{if .Main}}{{if or $.GoFiles $.CgoFiles}}{{$.ImportPath}}{{end}}{{end}}{{end}}`
		var names []string
		for _, path := range list(t, append([]string{"-f", ours}, args...)...) {
			name := strings.TrimPrefix(path, "lilaccove/")
			if !slices.ContainsFunc(file.Policy, func(f string) bool { return filepath.Dir(f) == name }) {
				names = append(names, name)
			}
		}
		return names
	}
	linked := packages("-deps", "./cmd/lilaccove")
	require.Contains(t, linked, "cmd/lilaccove")
	problems := nodeProblems(file.Node, linked, packages("./..."))
	require.Empty(t, problems, "deploy/balancer.toml:\n%s", strings.Join(problems, "\n"))
}

// Every file of the decisions is named, so that none is left out where they are read or counted.
func TestAllDecisionsAreNamed(t *testing.T) {
	text, err := os.ReadFile("balancer.toml")
	require.NoError(t, err)
	var file struct{ Policy []string }
	require.NoError(t, toml.Unmarshal(text, &file))
	paths, err := filepath.Glob("../policy/*.go")
	require.NoError(t, err)
	var want []string
	for _, path := range paths {
		if !strings.HasSuffix(path, "_test.go") {
			want = append(want, strings.TrimPrefix(path, "../"))
		}
	}
	assert.ElementsMatch(t, want, file.Policy)
}

// Package deploy_test checks that the deploy file and the site files match the program.
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

// goList runs go list with the arguments at the root of the module and returns the words of its output. It opens all source
// files first: a cached test result depends on the files that the test opens, but not on those that go list reads.
func goList(t *testing.T, args ...string) []string {
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

// deployValue returns the value of a key in the deploy file.
func deployValue(t *testing.T, key string) string {
	t.Helper()
	text, err := os.ReadFile("balancer.toml")
	require.NoError(t, err)
	m := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(text)
	require.NotNil(t, m, "no %s in balancer.toml", key)
	return string(m[1])
}

// A library that the platform loads with LD_PRELOAD affects only a program that is started by the dynamic loader and uses
// the shared C library. A statically linked gateway would run on real clocks and sockets.
func TestGatewayIsLinkedDynamically(t *testing.T) {
	run := strings.Fields(deployValue(t, "run"))
	require.Len(t, run, 2, "run must be exec with one program and no arguments")
	require.Equal(t, "exec", run[0])
	dir := filepath.Join(t.TempDir(), "bin")
	build := strings.ReplaceAll(deployValue(t, "build"), " bin", " "+dir)
	require.Contains(t, build, dir)
	cmd := exec.Command("sh", "-c", build)
	cmd.Dir = ".."
	out, err := cmd.CombinedOutput()
	require.NoError(t, err, "%s", out)

	f, err := elf.Open(filepath.Join(dir, filepath.Base(run[1])))
	require.NoError(t, err)
	defer f.Close()
	interp := f.Section(".interp")
	require.NotNil(t, interp, "no .interp section: the program is linked statically")
	libs, err := f.ImportedLibraries()
	require.NoError(t, err)
	found := false
	for _, l := range libs {
		found = found || strings.HasPrefix(l, "libc.")
	}
	require.True(t, found, "no C library among the imported libraries %v", libs)

	symbols, err := f.Symbols()
	require.NoError(t, err)
	for _, s := range symbols {
		require.False(t, strings.HasPrefix(s.Name, "lilaccove/internal/sys.pickFault"), "the program must be built without the tag faults")
		require.NotEqual(t, "lilaccove/internal/sys.plan", s.Name, "the program must not contain a fault plan")
	}
}

// The gateway and the adapter must not depend on the libraries of the other tools. The gateway's own libraries are for the
// fleet: YAML for its file, CBOR for its messages, xxhash for their digests.
func TestProgramsDependOnFewModules(t *testing.T) {
	for program, modules := range map[string][]string{
		"adapter": {"golang.org/x/sys", "lilaccove"},
		"lilaccove": {
			"github.com/cespare/xxhash/v2", "github.com/fxamacker/cbor/v2", "github.com/x448/float16", "go.yaml.in/yaml/v3",
			"golang.org/x/sys", "lilaccove",
		},
	} {
		found := goList(t, "-deps", "-f", "{{with .Module}}{{.Path}}{{end}}", "./cmd/"+program)
		slices.Sort(found)
		require.Subset(t, modules, slices.Compact(found), program)
	}
}

// nodeProblems compares the folders that the deploy file lists under node with the packages that the gateway links. A folder
// includes all packages below it; present lists all packages of the module. Each returned text says what to change.
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
				problems = append(problems, fmt.Sprintf("remove %q from node: %q already includes it", folder, other))
			}
		}
		inFolder := func(pkg string) bool { return within(pkg, folder) }
		if !slices.ContainsFunc(linked, inFolder) {
			problems = append(problems, fmt.Sprintf("remove %q from node: the gateway links nothing in it", folder))
			continue
		}
		for _, pkg := range present {
			if inFolder(pkg) && !slices.Contains(linked, pkg) {
				problems = append(problems, fmt.Sprintf(
					"list the linked packages of %q one by one in node, or move %q: the gateway does not link it", folder, pkg))
			}
		}
	}
	return problems
}

func TestNodeProblems(t *testing.T) {
	linked := []string{"cmd/lilaccove", "internal/fleet", "internal/fleet/state", "internal/front"}
	present := append([]string{"cmd/adapter", "internal/frontal"}, linked...)
	for name, c := range map[string]struct{ node, present, want []string }{
		"correct": {[]string{"cmd/lilaccove", "internal/fleet", "internal/front"}, present, nil},
		"missing": {[]string{"cmd/lilaccove", "internal/fleet"}, present,
			[]string{`add "internal/front" to node: the gateway links it`}},
		"missing, only a package below it is listed": {[]string{"cmd/lilaccove", "internal/fleet/state", "internal/front"}, present,
			[]string{`add "internal/fleet" to node: the gateway links it`}},
		"not linked": {[]string{"cmd/lilaccove", "internal/fleet", "internal/front", "internal/frontal"}, present,
			[]string{`remove "internal/frontal" from node: the gateway links nothing in it`}},
		"twice": {[]string{"cmd/lilaccove", "internal/fleet", "internal/front", "internal/front"}, present,
			[]string{`remove "internal/front" from node: "internal/front" already includes it`}},
		"included by another": {[]string{"cmd/lilaccove", "internal/fleet", "internal/fleet/state", "internal/front"}, present,
			[]string{`remove "internal/fleet/state" from node: "internal/fleet" already includes it`}},
		"unlinked package within a folder": {[]string{"cmd/lilaccove", "internal/fleet", "internal/front"},
			append([]string{"internal/fleet/model"}, present...),
			[]string{`list the linked packages of "internal/fleet" one by one in node, or move "internal/fleet/model": the gateway does not link it`}},
	} {
		assert.Equal(t, c.want, nodeProblems(c.node, linked, c.present), name)
	}
}

// node must list what the platform counts as the gateway: all packages of this module that the gateway links, and no others.
// The decision module is listed under policy instead.
func TestNodeListsLinkedPackages(t *testing.T) {
	text, err := os.ReadFile("balancer.toml")
	require.NoError(t, err)
	var file struct{ Policy, Node []string }
	require.NoError(t, toml.Unmarshal(text, &file))
	packages := func(args ...string) []string {
		const ours = `{{with .Module}}{{if .Main}}{{if or $.GoFiles $.CgoFiles}}{{$.ImportPath}}{{end}}{{end}}{{end}}`
		var names []string
		for _, path := range goList(t, append([]string{"-f", ours}, args...)...) {
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

// policy must list every source file of the decision module, so that none is missed where the platform reads or counts them.
func TestPolicyListsAllSourceFiles(t *testing.T) {
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

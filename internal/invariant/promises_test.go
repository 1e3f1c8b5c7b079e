package invariant

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const root = "../.."

// declaredNames returns the functions of the program, as package.function or package.Type.method, and the names of tests.
func declaredNames(t *testing.T) (functions, tests map[string]bool) {
	t.Helper()
	functions, tests = map[string]bool{}, map[string]bool{}
	for _, dir := range []string{"policy", "internal", "cmd", "deploy"} {
		require.NoError(t, filepath.WalkDir(filepath.Join(root, dir), func(path string, e fs.DirEntry, err error) error {
			if err != nil || e.IsDir() || filepath.Ext(path) != ".go" {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			for _, d := range file.Decls {
				f, ok := d.(*ast.FuncDecl)
				switch {
				case !ok:
				case strings.HasSuffix(path, "_test.go"):
					tests[f.Name.Name] = true
				default:
					functions[filepath.Base(filepath.Dir(path))+"."+receiverPrefix(f)+f.Name.Name] = true
				}
			}
			return nil
		}))
	}
	return functions, tests
}

// receiverPrefix returns the name of a method's receiver type and a dot, and nothing for a function.
func receiverPrefix(f *ast.FuncDecl) string {
	if f.Recv == nil {
		return ""
	}
	of := f.Recv.List[0].Type
	if p, ok := of.(*ast.StarExpr); ok {
		of = p.X
	}
	if name, ok := of.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

// Everything that the page of promises names exists, and each promise has a test or says that it has none.
func TestPromisesNameWhatExists(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(root, "docs", "promises.md"))
	require.NoError(t, err)
	functions, tests := declaredNames(t)
	quoted := regexp.MustCompile("`([^`]+)`")
	rows := 0
	for line := range strings.Lines(string(text)) {
		cells := strings.Split(line, "|")
		if len(cells) != 7 || strings.Contains(line, "---") || strings.Contains(line, "| paths |") {
			continue
		}
		rows++
		promise := strings.TrimSpace(cells[1])
		for _, m := range quoted.FindAllStringSubmatch(cells[3], -1) {
			assert.True(t, functions[m[1]], "%s: there is no function %s", promise, m[1])
		}
		for _, m := range quoted.FindAllStringSubmatch(cells[4], -1) {
			assert.True(t, slices.Contains(AllNames(), m[1]), "%s: there is no invariant %s", promise, m[1])
		}
		namedTests := quoted.FindAllStringSubmatch(cells[5], -1)
		for _, m := range namedTests {
			assert.True(t, tests[m[1]], "%s: there is no test %s", promise, m[1])
		}
		assert.True(t, len(namedTests) > 0 || strings.Contains(cells[5], "not covered"), "%s: has no test and does not say so", promise)
	}
	assert.Greater(t, rows, 25)
	for _, name := range AllNames() {
		assert.Contains(t, string(text), "`"+name+"`", "no promise names this invariant")
	}
}

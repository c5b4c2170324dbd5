package admission

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// allowedImports maps each package that the admission package may import to the identifiers that it
// may use from that package; nil allows all identifiers. None of them does I/O, and none is a
// package of this module.
var allowedImports = map[string][]string{
	"cmp":     nil,
	"errors":  nil,
	"fmt":     {"Errorf", "Sprintf", "Sprint", "Stringer"},
	"math":    nil,
	"slices":  nil,
	"sort":    nil,
	"strconv": nil,
	"strings": nil,
	"time":    {"Duration", "Nanosecond", "Microsecond", "Millisecond", "Second", "Minute", "Hour"},
}

// TestPackageIsPure: the decisions depend only on the events. The files of the package use no clock
// or timer, do no I/O, start no goroutine, use no channel and import no other package of this
// module.
func TestPackageIsPure(t *testing.T) {
	fileSet := token.NewFileSet()
	paths, err := filepath.Glob("*.go")
	require.NoError(t, err)
	checked := 0
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(fileSet, path, nil, parser.SkipObjectResolution)
		require.NoError(t, err)
		for _, problem := range findImpurities(fileSet, file) {
			t.Error(problem)
		}
		checked++
	}
	require.NotZero(t, checked)
}

// findImpurities lists the imports and uses in a file that are not allowed.
func findImpurities(fileSet *token.FileSet, file *ast.File) (problems []string) {
	report := func(node ast.Node, problem string) {
		problems = append(problems, fileSet.Position(node.Pos()).String()+": "+problem)
	}
	imported := map[string]string{} // local name -> path
	for _, spec := range file.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			report(spec, err.Error())
			continue
		}
		if _, ok := allowedImports[path]; !ok {
			report(spec, "imports "+path)
		}
		if spec.Name != nil {
			report(spec, "renames an import")
		}
		imported[path] = path
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.SelectorExpr:
			name, ok := node.X.(*ast.Ident)
			if !ok {
				return true
			}
			allowed := allowedImports[imported[name.Name]]
			if len(allowed) > 0 && !slices.Contains(allowed, node.Sel.Name) {
				report(node, "uses "+name.Name+"."+node.Sel.Name)
			}
		case *ast.GoStmt:
			report(node, "starts a goroutine")
		case *ast.ChanType:
			report(node, "uses a channel")
		case *ast.CallExpr:
			if name, ok := node.Fun.(*ast.Ident); ok && (name.Name == "print" || name.Name == "println") {
				report(node, "prints")
			}
		}
		return true
	})
	return problems
}

// TestDeployFileListsAllFiles: the policy key of the deploy file lists all files of the package.
func TestDeployFileListsAllFiles(t *testing.T) {
	paths, err := filepath.Glob("*.go")
	require.NoError(t, err)
	var quotedPaths []string
	for _, path := range paths {
		if !strings.HasSuffix(path, "_test.go") {
			quotedPaths = append(quotedPaths, strconv.Quote("admission/"+path))
		}
	}
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	require.NoError(t, err)
	require.Contains(t, string(deploy), "\npolicy = ["+strings.Join(quotedPaths, ", ")+"]\n")
}

// TestImpuritiesAreFound checks that findImpurities reports each kind of impurity.
func TestImpuritiesAreFound(t *testing.T) {
	for name, test := range map[string]struct {
		source string
		want   string
	}{
		"pure":            {`import "time"; const tick = 2 * time.Second; var d time.Duration`, ""},
		"clock":           {`import "time"; var now = time.Now()`, "uses time.Now"},
		"elapsed":         {`import "time"; func f(t0 time.Duration) { _ = time.Since }`, "uses time.Since"},
		"timer":           {`import "time"; var c = time.After(1)`, "uses time.After"},
		"timer type":      {`import "time"; var t *time.Timer`, "uses time.Timer"},
		"files":           {`import "os"`, "imports os"},
		"network":         {`import "net/http"`, "imports net/http"},
		"log":             {`import "log"`, "imports log"},
		"print":           {`import "fmt"; func f() { fmt.Println() }`, "uses fmt.Println"},
		"builtin print":   {`func f() { println() }`, "prints"},
		"random":          {`import "math/rand"`, "imports math/rand"},
		"another package": {`import "oxbowbridge/internal/simproto"`, "imports oxbowbridge/internal/simproto"},
		"dot import":      {`import . "time"; var now = Now()`, "renames an import"},
		"alias":           {`import clock "time"; var now = clock.Now()`, "renames an import"},
		"goroutine":       {`func f() { go f() }`, "starts a goroutine"},
		"channel":         {`var c chan int`, "uses a channel"},
	} {
		t.Run(name, func(t *testing.T) {
			fileSet := token.NewFileSet()
			file, err := parser.ParseFile(fileSet, "x.go", "package x; "+test.source, 0)
			require.NoError(t, err)
			found := findImpurities(fileSet, file)
			if test.want == "" {
				require.Empty(t, found)
				return
			}
			require.Len(t, found, 1)
			require.Contains(t, found[0], test.want)
		})
	}
}

package dispatch_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOutcomesAreMadeInPackageOutcome fails if a package that determines outcomes
// of requests sets the fields of an outcome.Outcome in a literal or assigns its
// Kind. Only outcome.FromPhase and the functions based on it may decide whether a
// request is reported as not run or done.
func TestOutcomesAreMadeInPackageOutcome(t *testing.T) {
	isSource := func(file fs.FileInfo) bool { return !strings.HasSuffix(file.Name(), "_test.go") }
	for _, directory := range []string{".", "../key", "../quarantine"} {
		files := token.NewFileSet()
		packages, err := parser.ParseDir(files, directory, isSource, 0)
		assert.NilError(t, err)
		for _, parsed := range packages {
			ast.Inspect(parsed, func(node ast.Node) bool {
				switch node := node.(type) {
				case *ast.CompositeLit:
					if selector, ok := node.Type.(*ast.SelectorExpr); ok && selector.Sel.Name == "Outcome" && len(node.Elts) > 0 {
						t.Errorf("%s: outcome.Outcome literal with fields; use outcome.FromPhase", files.Position(node.Pos()))
					}
				case *ast.AssignStmt:
					if selector, ok := node.Lhs[0].(*ast.SelectorExpr); ok && selector.Sel.Name == "Kind" {
						t.Errorf("%s: assignment to the Kind of an outcome; use outcome.FromPhase", files.Position(node.Pos()))
					}
				}
				return true
			})
		}
	}
}

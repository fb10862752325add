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

// TestOutcomesAreMadeInPackageOutcome finds outcomes that are made without the rule in package outcome.
func TestOutcomesAreMadeInPackageOutcome(t *testing.T) {
	product := func(file fs.FileInfo) bool { return !strings.HasSuffix(file.Name(), "_test.go") }
	for _, directory := range []string{".", "../key", "../quarantine"} {
		files := token.NewFileSet()
		packages, err := parser.ParseDir(files, directory, product, 0)
		assert.NilError(t, err)
		for _, each := range packages {
			ast.Inspect(each, func(node ast.Node) bool {
				switch node := node.(type) {
				case *ast.CompositeLit:
					if selector, is := node.Type.(*ast.SelectorExpr); is && selector.Sel.Name == "Outcome" && len(node.Elts) > 0 {
						t.Errorf("%s: an outcome made by hand", files.Position(node.Pos()))
					}
				case *ast.AssignStmt:
					if selector, is := node.Lhs[0].(*ast.SelectorExpr); is && selector.Sel.Name == "Kind" {
						t.Errorf("%s: an outcome's kind changed by hand", files.Position(node.Pos()))
					}
				}
				return true
			})
		}
	}
}

// Package proof reads the page that says which test proves which promise under
// which fault, finds the tests in the tree, and joins them with their results.
package proof

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// Table is the page's table: promises down, faults across.
type Table struct {
	Faults []string
	Rows   []Row
}

// Row holds a promise and a cell for each fault.
type Row struct {
	Promise string
	Cells   []Cell
}

// Cell holds the tests of a promise under a fault, or the reason why there is none.
type Cell struct {
	Tests          []Test
	UnprovedReason string
}

// Test is a test function of a package, whose path is that of its directory.
type Test struct {
	Package string
	Name    string
}

// String gives a test as the page writes it.
func (t Test) String() string {
	return t.Package + "." + t.Name
}

const (
	// unprovedPrefix begins a cell without a test.
	unprovedPrefix = "not proved: "
	// promiseHeading stands above the promises.
	promiseHeading = "promise"
)

// ParsePage reads the first table of a page whose first column is promise.
func ParsePage(page string) (Table, error) {
	var table Table
	for line := range strings.Lines(page) {
		fields, is := splitRow(line)
		switch {
		case !is && len(table.Rows) > 0:
			return table, nil
		case !is:
		case table.Faults == nil && fields[0] == promiseHeading:
			table.Faults = fields[1:]
		case table.Faults == nil || strings.HasPrefix(fields[0], "---"):
		default:
			row, err := parseRow(fields, len(table.Faults))
			if err != nil {
				return Table{}, err
			}
			table.Rows = append(table.Rows, row)
		}
	}
	if len(table.Rows) == 0 {
		return Table{}, errors.Errorf("read proofs: no table with a first column %q", promiseHeading)
	}
	return table, nil
}

// splitRow splits a line of a Markdown table, and reports whether it is one.
func splitRow(line string) ([]string, bool) {
	line = strings.TrimSpace(line)
	if len(line) < 2 || !strings.HasPrefix(line, "|") || !strings.HasSuffix(line, "|") {
		return nil, false
	}
	fields := strings.Split(line[1:len(line)-1], "|")
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
	}
	return fields, true
}

func parseRow(fields []string, faults int) (Row, error) {
	row := Row{
		Promise: fields[0],
	}
	if len(fields)-1 != faults {
		return Row{}, errors.Errorf("read proofs: %q has %d cells, want %d", row.Promise, len(fields)-1, faults)
	}
	for _, text := range fields[1:] {
		cell, err := parseCell(text)
		if err != nil {
			return Row{}, errors.Wrapf(err, "read proofs: %q", row.Promise)
		}
		row.Cells = append(row.Cells, cell)
	}
	return row, nil
}

func parseCell(text string) (Cell, error) {
	if reason, is := strings.CutPrefix(text, unprovedPrefix); is && reason != "" {
		return Cell{
			UnprovedReason: reason,
		}, nil
	}
	var cell Cell
	for name := range strings.SplitSeq(text, ",") {
		name = strings.Trim(strings.TrimSpace(name), "`")
		dot := strings.LastIndex(name, ".")
		if dot < 1 || !strings.HasPrefix(name[dot+1:], "Test") {
			return Cell{}, errors.Errorf("cell %q is neither tests nor %q with a reason", text, unprovedPrefix)
		}
		cell.Tests = append(cell.Tests, Test{
			Package: name[:dot],
			Name:    name[dot+1:],
		})
	}
	return cell, nil
}

// Tests returns all tests that the table names, each once, in order.
func (t Table) Tests() []Test {
	var tests []Test
	for _, row := range t.Rows {
		for _, cell := range row.Cells {
			tests = append(tests, cell.Tests...)
		}
	}
	slices.SortFunc(tests, func(a, b Test) int { return strings.Compare(a.String(), b.String()) })
	return slices.Compact(tests)
}

// MissingTests returns the tests that the table names and the tree lacks.
func (t Table) MissingTests(tree fs.FS) ([]Test, error) {
	found := make(map[string]map[string]bool)
	var missing []Test
	for _, test := range t.Tests() {
		if found[test.Package] == nil {
			names, err := testNames(tree, test.Package)
			if err != nil {
				return nil, err
			}
			found[test.Package] = names
		}
		if !found[test.Package][test.Name] {
			missing = append(missing, test)
		}
	}
	return missing, nil
}

// testNames returns the test functions of a directory.
func testNames(tree fs.FS, directory string) (map[string]bool, error) {
	files, err := fs.Glob(tree, path.Join(directory, "*_test.go"))
	if err != nil {
		return nil, errors.Wrapf(err, "list tests of %s", directory)
	}
	names := make(map[string]bool)
	for _, file := range files {
		content, err := fs.ReadFile(tree, file)
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", file)
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, content, parser.SkipObjectResolution)
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", file)
		}
		for _, declaration := range parsed.Decls {
			if function, is := declaration.(*ast.FuncDecl); is && function.Recv == nil {
				names[function.Name.Name] = true
			}
		}
	}
	return names, nil
}

// GoTestArgs returns, for each package, its directory and the pattern that selects
// its tests, as arguments of the go command.
func (t Table) GoTestArgs() []string {
	patterns := make(map[string][]string)
	var packages []string
	for _, test := range t.Tests() {
		if patterns[test.Package] == nil {
			packages = append(packages, test.Package)
		}
		patterns[test.Package] = append(patterns[test.Package], test.Name)
	}
	lines := make([]string, 0, len(packages))
	for _, name := range packages {
		lines = append(lines, fmt.Sprintf("./%s ^(%s)$", name, strings.Join(patterns[name], "|")))
	}
	return lines
}

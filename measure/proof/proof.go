// Package proof parses the table of proofs in docs/PROOFS.md, which names for each
// promise and each fault the tests that prove that the promise holds under the
// fault. It checks that these tests exist in the source tree, and prints the table
// with their results.
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

// Table is the table of proofs of a page, with a row for each promise and a column
// for each fault.
type Table struct {
	Faults []string
	Rows   []Row
}

// Row holds a promise and one cell for each fault, in the order of Table.Faults.
type Row struct {
	Promise string
	Cells   []Cell
}

// Cell holds the tests that prove a promise under a fault, or the reason why there
// are none. Either Tests or UnprovedReason is set.
type Cell struct {
	Tests          []Test
	UnprovedReason string
}

// Test identifies a test function.
type Test struct {
	// Package is the directory of the package, relative to the root of the tree.
	Package string
	Name    string
}

// String returns the form in which the page names a test, Package.Name.
func (t Test) String() string {
	return t.Package + "." + t.Name
}

const (
	// unprovedPrefix precedes the reason in a cell without tests.
	unprovedPrefix = "not proved: "
	// promiseHeading is the heading of the first column.
	promiseHeading = "promise"
)

// ParsePage returns the table of proofs of a page: the first Markdown table in which
// promiseHeading is the heading of the first column.
func ParsePage(page string) (Table, error) {
	var table Table
	for line := range strings.Lines(page) {
		fields, isRow := splitRow(line)
		switch {
		case !isRow && len(table.Rows) > 0:
			return table, nil
		case !isRow:
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

// splitRow splits a row of a Markdown table into its cells. It reports false if
// the line is not such a row.
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

// parseRow parses a row from the texts of its cells. The first is the promise, and
// faultCount others must follow.
func parseRow(fields []string, faultCount int) (Row, error) {
	row := Row{
		Promise: fields[0],
	}
	if len(fields)-1 != faultCount {
		return Row{}, errors.Errorf("read proofs: %q has %d cells, want %d", row.Promise, len(fields)-1, faultCount)
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

// parseCell parses a comma-separated list of tests, or unprovedPrefix and the reason
// why there are none.
func parseCell(text string) (Cell, error) {
	if reason, unproved := strings.CutPrefix(text, unprovedPrefix); unproved && reason != "" {
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

// Tests returns the tests that the table names, sorted and without duplicates.
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

// MissingTests returns the tests that the table names and that the source tree
// does not contain.
func (t Table) MissingTests(tree fs.FS) ([]Test, error) {
	functions := make(map[string]map[string]bool)
	var missing []Test
	for _, test := range t.Tests() {
		if functions[test.Package] == nil {
			names, err := functionNames(tree, test.Package)
			if err != nil {
				return nil, err
			}
			functions[test.Package] = names
		}
		if !functions[test.Package][test.Name] {
			missing = append(missing, test)
		}
	}
	return missing, nil
}

// functionNames returns the set of names of the functions, without methods, in the
// test files of a directory.
func functionNames(tree fs.FS, directory string) (map[string]bool, error) {
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
			if function, isFunction := declaration.(*ast.FuncDecl); isFunction && function.Recv == nil {
				names[function.Name.Name] = true
			}
		}
	}
	return names, nil
}

// GoTestArgs returns one line for each package, with arguments of go test: the
// directory of the package and the -run pattern that selects its tests.
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

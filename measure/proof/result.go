package proof

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/go-faster/errors"
)

// Result is the result of the last run of a test.
type Result string

// The possible results of a test.
const (
	Passed  Result = "passed"
	Failed  Result = "failed"
	Skipped Result = "skipped"
	NotRun  Result = "not run"
)

// Results holds the result of each test that passed, failed or was skipped.
type Results struct {
	byTest map[Test]Result
}

// testEvent holds the fields used of one line of the output of go test -json. Test
// is empty if the event concerns the whole package.
type testEvent struct {
	Action  string
	Package string
	Test    string
}

// modulePrefix is the prefix of the import paths of all packages in the tree.
const modulePrefix = "github.com/teaselstack/teaselstack/"

// ReadResults reads the results of tests from the output of go test -json.
func ReadResults(r io.Reader) (Results, error) {
	results := Results{
		byTest: make(map[Test]Result),
	}
	decoder := json.NewDecoder(r)
	for {
		var event testEvent
		err := decoder.Decode(&event)
		if errors.Is(err, io.EOF) {
			return results, nil
		}
		if err != nil {
			return Results{}, errors.Wrap(err, "read results of tests")
		}
		results.record(event)
	}
}

// record stores the result of a test if the event is the end of a test. It also stores
// the results of subtests and of whole packages, the latter under an empty test name;
// no table contains either.
func (r Results) record(event testEvent) {
	test := Test{
		Package: strings.TrimPrefix(event.Package, modulePrefix),
		Name:    event.Test,
	}
	switch event.Action {
	case "pass":
		r.byTest[test] = Passed
	case "fail":
		r.byTest[test] = Failed
	case "skip":
		r.byTest[test] = Skipped
	}
}

// Result returns the result of a test, or NotRun if r holds none.
func (r Results) Result(test Test) Result {
	if result, found := r.byTest[test]; found {
		return result
	}
	return NotRun
}

// Write prints the table with the result of each test, followed by the numbers of
// cells whose tests all passed, of cells with a test that did not pass, and of cells
// without tests.
func (t Table) Write(w io.Writer, results Results) error {
	var text strings.Builder
	passed, failed, unproved := 0, 0, 0
	for _, row := range t.Rows {
		fmt.Fprintf(&text, "%s\n", row.Promise)
		for i, cell := range row.Cells {
			fmt.Fprintf(&text, "  %-26s %s\n", t.Faults[i], formatCell(cell, results))
			switch {
			case cell.UnprovedReason != "":
				unproved++
			case cell.allPassed(results):
				passed++
			default:
				failed++
			}
		}
	}
	fmt.Fprintf(&text, "cells: %d passed, %d failed or not run, %d not proved\n", passed, failed, unproved)
	_, err := io.WriteString(w, text.String())
	return err
}

// allPassed reports whether all tests of the cell passed.
func (c Cell) allPassed(results Results) bool {
	for _, test := range c.Tests {
		if results.Result(test) != Passed {
			return false
		}
	}
	return true
}

// formatCell lists the tests of a cell with their results, or the reason why it
// has none.
func formatCell(cell Cell, results Results) string {
	if cell.UnprovedReason != "" {
		return unprovedPrefix + cell.UnprovedReason
	}
	parts := make([]string, 0, len(cell.Tests))
	for _, test := range cell.Tests {
		parts = append(parts, fmt.Sprintf("%s %s", test, results.Result(test)))
	}
	return strings.Join(parts, ", ")
}

// Err returns an error that names the tests that did not pass, or nil.
func (t Table) Err(results Results) error {
	var names []string
	for _, test := range t.Tests() {
		if result := results.Result(test); result != Passed {
			names = append(names, fmt.Sprintf("%s %s", test, result))
		}
	}
	if len(names) == 0 {
		return nil
	}
	return errors.Errorf("proofs: %s", strings.Join(names, ", "))
}

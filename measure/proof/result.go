package proof

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/go-faster/errors"
)

// Result is how a test ended in its last run.
type Result string

// Results of a test.
const (
	Passed  Result = "passed"
	Failed  Result = "failed"
	Skipped Result = "skipped"
	NotRun  Result = "not run"
)

// Results holds the result of each test that ran.
type Results struct {
	byTest map[Test]Result
}

// testEvent is a line of go test -json.
type testEvent struct {
	Action  string
	Package string
	Test    string
}

// modulePrefix begins the import path of every package of the tree.
const modulePrefix = "github.com/teaselstack/teaselstack/"

// ReadResults reads the output of go test -json.
func ReadResults(r io.Reader) (Results, error) {
	results := Results{
		byTest: make(map[Test]Result),
	}
	decoder := json.NewDecoder(r)
	for {
		var next testEvent
		err := decoder.Decode(&next)
		if errors.Is(err, io.EOF) {
			return results, nil
		}
		if err != nil {
			return Results{}, errors.Wrap(err, "read results of tests")
		}
		results.record(next)
	}
}

func (r Results) record(next testEvent) {
	test := Test{
		Package: strings.TrimPrefix(next.Package, modulePrefix),
		Name:    next.Test,
	}
	switch next.Action {
	case "pass":
		r.byTest[test] = Passed
	case "fail":
		r.byTest[test] = Failed
	case "skip":
		r.byTest[test] = Skipped
	}
}

// Result returns the result of a test.
func (r Results) Result(test Test) Result {
	if result, ran := r.byTest[test]; ran {
		return result
	}
	return NotRun
}

// Write prints the table with each test's result, and how many cells stand
// proved, proved by a failing or absent run, and open.
func (t Table) Write(w io.Writer, results Results) error {
	var text strings.Builder
	proved, broken, open := 0, 0, 0
	for _, row := range t.Rows {
		fmt.Fprintf(&text, "%s\n", row.Promise)
		for i, cell := range row.Cells {
			fmt.Fprintf(&text, "  %-26s %s\n", t.Faults[i], formatCell(cell, results))
			switch {
			case cell.UnprovedReason != "":
				open++
			case cell.passed(results):
				proved++
			default:
				broken++
			}
		}
	}
	fmt.Fprintf(&text, "cells: %d passed, %d failed or not run, %d not proved\n", proved, broken, open)
	_, err := io.WriteString(w, text.String())
	return err
}

// passed reports whether all tests of a cell passed.
func (c Cell) passed(results Results) bool {
	for _, test := range c.Tests {
		if results.Result(test) != Passed {
			return false
		}
	}
	return true
}

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

// Err returns an error naming the tests that did not pass, or nil.
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

package main

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/measure/capacity"
	"github.com/teaselstack/teaselstack/measure/proof"
)

// capacityCommand is the subcommand that measures the mechanisms of capacitySections,
// prints a table for each, and optionally writes the tables to a page.
type capacityCommand struct {
	Page string `long:"page" description:"page whose last part, from its heading Figures on, is replaced by the table"`
}

// capacitySections lists the sections of the report in their order.
var capacitySections = []struct {
	title   string
	measure func() []capacity.Row
}{
	{
		title:   "Client blocks",
		measure: capacity.MeasureBlocks,
	},
	{
		title:   "Configuration",
		measure: capacity.MeasureConfigurations,
	},
	{
		title:   "Seats of backend servers",
		measure: capacity.MeasureSeats,
	},
	{
		title:   "Heartbeats",
		measure: capacity.MeasureHeartbeats,
	},
	{
		title:   "Look-ups",
		measure: capacity.MeasureLookups,
	},
	{
		title:   "Decisions",
		measure: capacity.MeasureDecisions,
	},
	{
		title:   "Time line",
		measure: capacity.MeasureTimeline,
	},
	{
		title:   "Platform's store",
		measure: capacity.EstimateStoreLoad,
	},
}

// figuresHeading is the heading of the last section of the page, whose content
// capacityCommand replaces.
const figuresHeading = "## Figures\n"

// Execute measures each mechanism, prints the tables, and writes them to the page
// if one is given.
func (c *capacityCommand) Execute([]string) error {
	var figures strings.Builder
	out := io.MultiWriter(os.Stdout, &figures)
	start := time.Now()
	fmt.Fprintf(out, "\nMeasured on %s with %d cores and %s by `make capacity`; processor time is of this\nprogram's threads, so other load on the machine disturbs it little.\n",
		start.Format(time.DateOnly), runtime.NumCPU(), runtime.Version())
	for _, section := range capacitySections {
		fmt.Fprintf(out, "\n### %s\n\n", section.title)
		if err := capacity.WriteTable(out, section.measure()); err != nil {
			return err
		}
	}
	fmt.Printf("\nwhole run: %s\n", time.Since(start).Round(time.Second))
	if c.Page == "" {
		return nil
	}
	return replaceFigures(c.Page, figures.String())
}

// replaceFigures replaces everything below figuresHeading in the file page.
func replaceFigures(page, figures string) error {
	content, err := os.ReadFile(page)
	if err != nil {
		return errors.Wrap(err, "read page")
	}
	before, _, found := strings.Cut(string(content), figuresHeading)
	if !found {
		return errors.Errorf("write figures: %s has no heading Figures", page)
	}
	if err := os.WriteFile(page, []byte(before+figuresHeading+figures), 0o644); err != nil {
		return errors.Wrap(err, "write page")
	}
	return nil
}

// proofsCommand is the subcommand that prints the table of proofs of a page with the
// results of its tests; see package proof.
type proofsCommand struct {
	Page string `long:"page" default:"docs/PROOFS.md" description:"page with the table of proofs"`
	Plan bool   `long:"plan" description:"print a package and a pattern of tests a line, and read no results"`
}

// Execute prints the table of proofs with the results that it reads from standard
// input, as go test -json prints them. It returns an error if a test did not pass.
// With --plan it only prints the arguments with which go test runs the tests.
func (c *proofsCommand) Execute([]string) error {
	content, err := os.ReadFile(c.Page)
	if err != nil {
		return errors.Wrap(err, "read page")
	}
	table, err := proof.ParsePage(string(content))
	if err != nil {
		return err
	}
	if c.Plan {
		for _, line := range table.GoTestArgs() {
			fmt.Println(line)
		}
		return nil
	}
	results, err := proof.ReadResults(os.Stdin)
	if err != nil {
		return err
	}
	if err := table.Write(os.Stdout, results); err != nil {
		return err
	}
	return table.Err(results)
}

package main

import (
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/teaselstack/teaselstack/measure/capacity"
)

type capacityCommand struct{}

// Execute measures each mechanism and prints the table.
func (c *capacityCommand) Execute([]string) error {
	begun := time.Now()
	fmt.Printf("%s, %d cores, %s\n\n", begun.Format(time.DateOnly), runtime.NumCPU(), runtime.Version())
	for _, part := range []struct {
		title   string
		measure func() []capacity.Row
	}{
		{
			title:   "Client blocks",
			measure: capacity.Blocks,
		},
		{
			title:   "Configuration",
			measure: capacity.Configurations,
		},
		{
			title:   "Seats of backend servers",
			measure: capacity.Seats,
		},
		{
			title:   "Heartbeats",
			measure: capacity.Heartbeats,
		},
		{
			title:   "Look-ups",
			measure: capacity.Lookups,
		},
		{
			title:   "Decisions",
			measure: capacity.Decisions,
		},
		{
			title:   "Time line",
			measure: capacity.Timeline,
		},
		{
			title:   "Platform's store",
			measure: capacity.Store,
		},
	} {
		fmt.Printf("### %s\n\n", part.title)
		partBegun := time.Now()
		if err := capacity.Write(os.Stdout, part.measure()); err != nil {
			return err
		}
		fmt.Printf("\nmeasured in %s\n\n", time.Since(partBegun).Round(100*time.Millisecond))
	}
	fmt.Printf("whole run: %s\n", time.Since(begun).Round(time.Second))
	return nil
}

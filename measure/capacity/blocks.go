package capacity

import (
	"net/netip"

	"github.com/teaselstack/teaselstack/block"
	"github.com/teaselstack/teaselstack/measure/fleet"
	"github.com/teaselstack/teaselstack/measure/slope"
)

// blockCounts are the sizes of the block table; the last is the target.
var blockCounts = []int{5_200, 52_000, 520_000}

// regions is how many regions the measured blocks map to.
const regions = 32

// Blocks measures the table of client blocks.
func Blocks() []Row {
	memory := blockRow("table of client blocks, memory", "bytes", 0)
	build := blockRow("building the whole table", "ms of a core", 0)
	garbage := blockRow("heap allocated by building the whole table", "bytes", 0)
	lookup := blockRow("region of an address", "ns of a core", 0)
	for _, count := range blockCounts {
		size := float64(count)
		prefixes := Prefixes(count)
		table, bytes := heapOf(func() block.Table { return BuildTable(prefixes) })
		memory.Points = append(memory.Points, slope.Point{
			Size:  size,
			Value: bytes,
		})
		whole := cost(func() { BuildTable(prefixes) })
		build.Points = append(build.Points, slope.Point{
			Size:  size,
			Value: whole.Processor.Seconds() * 1e3,
		})
		garbage.Points = append(garbage.Points, slope.Point{
			Size:  size,
			Value: whole.AllocatedBytes,
		})
		lookup.Points = append(lookup.Points, slope.Point{
			Size:  size,
			Value: float64(LookupCost(table, prefixes).Processor.Nanoseconds()),
		})
	}
	return []Row{memory, build, garbage, lookup}
}

func blockRow(quantity, unit string, bound float64) Row {
	return Row{
		Quantity: quantity,
		Unit:     unit,
		Grows:    "client blocks",
		Target:   float64(fleet.Target().Blocks),
		Bound:    bound,
	}
}

// Prefixes returns the first client blocks of a fleet.
func Prefixes(count int) []netip.Prefix {
	prefixes := make([]netip.Prefix, 0, count)
	for i := range count {
		prefixes = append(prefixes, fleet.Block(i))
	}
	return prefixes
}

// BuildTable maps prefixes to regions in turn.
func BuildTable(prefixes []netip.Prefix) block.Table {
	var builder block.Builder
	for i, prefix := range prefixes {
		builder.Add(prefix, fleet.RegionName(i/16%regions))
	}
	return builder.Table()
}

// addressesPerRun is how many addresses one measured operation asks for, spread
// over the table so that its memory is touched as callers would.
const addressesPerRun = 4096

// LookupCost returns the cost of one look-up in a table of prefixes.
func LookupCost(table block.Table, prefixes []netip.Prefix) Cost {
	const step = 7919
	addresses := make([]netip.Addr, 0, addressesPerRun)
	for i := range addressesPerRun {
		addresses = append(addresses, prefixes[i*step%len(prefixes)].Addr())
	}
	run := cost(func() {
		for _, address := range addresses {
			if _, covered := table.Region(address); !covered {
				panic("no region for " + address.String())
			}
		}
	})
	run.Processor /= addressesPerRun
	run.Allocations /= addressesPerRun
	run.AllocatedBytes /= addressesPerRun
	return run
}

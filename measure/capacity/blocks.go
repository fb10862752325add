package capacity

import (
	"fmt"
	"net/netip"

	"github.com/teaselstack/teaselstack/block"
	"github.com/teaselstack/teaselstack/measure/fleet"
	"github.com/teaselstack/teaselstack/measure/slope"
)

// blockCounts lists the numbers of client blocks for which the block table is
// measured. The last one is the target size.
var blockCounts = []int{5_200, 52_000, 520_000}

// regionCount is the number of regions over which measured client blocks and
// candidate homes are spread. It is that of fleet.Target.
const regionCount = 32

// MeasureBlocks measures the memory of the block table and the cost of building
// it, of look-ups in it, and of replacing one of its documents.
func MeasureBlocks() []Row {
	memory := blockRow("table of client blocks, memory", "bytes", 0)
	build := blockRow("building the whole table", "ms of a core", 0)
	allocatedBytes := blockRow("heap allocated by building the whole table", "bytes", 0)
	lookup := blockRow("region of an address", "ns of a core", 0)
	replace := blockRow("a change of one document of 500 blocks", "ms of a core", 0)
	share := blockRow("81,000 such changes a day", "of a core", ControlCPUShare)
	for _, count := range blockCounts {
		size := float64(count)
		prefixes := blockPrefixes(count)
		table, bytes := retainedHeap(func() block.Table { return buildBlockTable(prefixes) })
		memory.Points = append(memory.Points, slope.Point{
			Size:  size,
			Value: bytes,
		})
		fullBuild := measureRepeated(func() { buildBlockTable(prefixes) })
		build.Points = append(build.Points, slope.Point{
			Size:  size,
			Value: fullBuild.CPUTime.Seconds() * 1e3,
		})
		allocatedBytes.Points = append(allocatedBytes.Points, slope.Point{
			Size:  size,
			Value: fullBuild.AllocatedBytes,
		})
		lookup.Points = append(lookup.Points, slope.Point{
			Size:  size,
			Value: float64(regionLookupCost(table, prefixes).CPUTime.Nanoseconds()),
		})
		replaceSeconds := documentReplaceCost(table, prefixes).CPUTime.Seconds()
		replace.Points = append(replace.Points, slope.Point{
			Size:  size,
			Value: replaceSeconds * 1e3,
		})
		share.Points = append(share.Points, slope.Point{
			Size:  size,
			Value: replaceSeconds * ChangesPerSecond,
		})
	}
	return []Row{memory, build, allocatedBytes, lookup, replace, share}
}

// blockRow returns a row without points, whose sizes are numbers of client blocks.
func blockRow(quantity, unit string, bound float64) Row {
	return Row{
		Quantity:   quantity,
		Unit:       unit,
		SizeUnit:   "client blocks",
		TargetSize: float64(fleet.Target().Blocks),
		Bound:      bound,
	}
}

// blockPrefixes returns the prefixes of the first count client blocks; see
// fleet.BlockPrefix.
func blockPrefixes(count int) []netip.Prefix {
	prefixes := make([]netip.Prefix, 0, count)
	for i := range count {
		prefixes = append(prefixes, fleet.BlockPrefix(i))
	}
	return prefixes
}

// blocksPerDocument is the number of client blocks in a document. The text of such
// a document is about 13 KB, so ControlBytesPerSecond allows one change of it each
// second.
const blocksPerDocument = 500

// buildBlockTable returns a table that maps prefixes to regions: the regions take
// turns, each with 16 consecutive prefixes. Each document of the table has
// blocksPerDocument prefixes; the last one may have fewer.
func buildBlockTable(prefixes []netip.Prefix) block.Table {
	var builder block.Builder
	for i, prefix := range prefixes {
		if i%blocksPerDocument == 0 {
			builder.BeginDocument(blockDocumentName(i / blocksPerDocument))
		}
		builder.Add(prefix, fleet.RegionName(i/16%regionCount))
	}
	return builder.Table()
}

// addressesPerRun is the number of addresses that one measured operation looks up.
// They are spread over the table, so that the look-ups miss the processor caches as
// often as those of real callers.
const addressesPerRun = 4096

// regionLookupCost returns the mean cost of looking up the region of one address in
// a table that buildBlockTable has built from prefixes.
func regionLookupCost(table block.Table, prefixes []netip.Prefix) operationCost {
	// The step is coprime to all blockCounts, so that the addresses are spread over the
	// whole table.
	const step = 7919
	addresses := make([]netip.Addr, 0, addressesPerRun)
	for i := range addressesPerRun {
		addresses = append(addresses, prefixes[i*step%len(prefixes)].Addr())
	}
	cost := measureRepeated(func() {
		for _, address := range addresses {
			if _, covered := table.Region(address); !covered {
				panic("no region for " + address.String())
			}
		}
	})
	cost.CPUTime /= addressesPerRun
	cost.Allocations /= addressesPerRun
	cost.AllocatedBytes /= addressesPerRun
	return cost
}

// blockDocumentName returns the name of the i-th document of client blocks, counted
// from 0.
func blockDocumentName(i int) string {
	return fmt.Sprintf("client-blocks/%06d.blocks", i)
}

// documentReplaceCost returns the cost of replacing the middle document of a table
// that buildBlockTable has built from prefixes, which must be at least
// blocksPerDocument. The new document has the same prefixes, all in one region.
func documentReplaceCost(table block.Table, prefixes []netip.Prefix) operationCost {
	documentIndex := len(prefixes) / blocksPerDocument / 2
	blocks := make([]block.Block, 0, blocksPerDocument)
	for _, prefix := range prefixes[documentIndex*blocksPerDocument : (documentIndex+1)*blocksPerDocument] {
		blocks = append(blocks, block.Block{
			Prefix: prefix,
			Region: fleet.RegionName(0),
		})
	}
	return measureRepeated(func() {
		if table.Replace(blockDocumentName(documentIndex), blocks).Len() != table.Len() {
			panic("a replaced document changed the number of blocks")
		}
	})
}

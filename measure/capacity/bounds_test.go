package capacity

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/block"
	"github.com/teaselstack/teaselstack/measure/fleet"
	"github.com/teaselstack/teaselstack/timeline"
)

// TestBoundBlockTableMemory checks that a block table of the target size takes
// less than half of a node's control memory, so that the old and the new table fit
// while one replaces the other.
func TestBoundBlockTableMemory(t *testing.T) {
	prefixes := blockPrefixes(fleet.Target().Blocks)
	_, bytes := retainedHeap(func() block.Table { return buildBlockTable(prefixes) })
	assert.Assert(t, bytes < ControlMemoryBytes/2, "%.0f bytes", bytes)
}

// TestBoundBlockLookup checks that a look-up in a block table of the target size
// takes less than ten times as long as in one of a hundredth of the size, and that
// it does not allocate. The factor of ten is two for logarithmic growth times five
// for cache misses in the larger table.
func TestBoundBlockLookup(t *testing.T) {
	fewPrefixes, manyPrefixes := blockPrefixes(blockCounts[0]), blockPrefixes(fleet.Target().Blocks)
	small, large := regionLookupCost(buildBlockTable(fewPrefixes), fewPrefixes), regionLookupCost(buildBlockTable(manyPrefixes), manyPrefixes)
	assert.Assert(t, large.CPUTime < 10*small.CPUTime, "%s, but %s in the small table", large.CPUTime, small.CPUTime)
	assert.Assert(t, large.Allocations < 1, "%g allocations", large.Allocations)
}

// TestBoundBlockDocumentReplace checks that replacing one document takes less than a
// tenth of the processor time of building the whole table. Building the table for
// each change, about once a second, would use most of a core, more than ten times
// ControlCPUShare.
func TestBoundBlockDocumentReplace(t *testing.T) {
	prefixes := blockPrefixes(fleet.Target().Blocks)
	build := measureOnce(func() { buildBlockTable(prefixes) })
	change := documentReplaceCost(buildBlockTable(prefixes), prefixes)
	assert.Assert(t, change.CPUTime < build.CPUTime/10, "%s of %s", change.CPUTime, build.CPUTime)
}

// TestBoundChangeBandwidth checks that configuration changes at the target rate take
// less than half of a node's control bandwidth.
func TestBoundChangeBandwidth(t *testing.T) {
	bytes := float64(proto.Size(newSiteDelta(fleet.Target(), 2))) * ChangesPerSecond
	assert.Assert(t, bytes < ControlBytesPerSecond/2, "%.0f bytes a second", bytes)
}

// TestBoundTimelineMemory checks that the ring buffer of time-line events, at the
// default of the entries' setting timeline-events, takes less than a quarter of a
// node's control memory.
func TestBoundTimelineMemory(t *testing.T) {
	const events = 20_000
	_, bytes := retainedHeap(func() *timeline.Ring { return newFullRing(events) })
	assert.Assert(t, bytes < ControlMemoryBytes/4, "%.0f bytes", bytes)
}

// TestBoundLookupAllocation checks that look-ups at a node's target rate, in a deployment
// of the size fleet.FirstDeployment, allocate less than the node's control memory
// each second.
func TestBoundLookupAllocation(t *testing.T) {
	cost := lookupResponseCost(fleet.FirstDeployment())
	bytesPerSecond := cost.AllocatedBytes * LookupsPerSecondPerNode
	assert.Assert(t, bytesPerSecond < ControlMemoryBytes, "%.0f bytes a second", bytesPerSecond)
}

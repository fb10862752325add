package capacity

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/block"
	"github.com/teaselstack/teaselstack/measure/fleet"
	"github.com/teaselstack/teaselstack/timeline"
)

// TestBoundBlockTableMemory holds the table of the target's client blocks to
// half of a node's memory for control, so that two fit while one replaces the
// other.
func TestBoundBlockTableMemory(t *testing.T) {
	prefixes := BlockPrefixes(fleet.Target().Blocks)
	_, bytes := retainedHeap(func() block.Table { return BuildBlockTable(prefixes) })
	assert.Assert(t, bytes < ControlMemoryBytes/2, "%.0f bytes", bytes)
}

// TestBoundBlockLookup holds a look-up among the target's blocks to ten times
// that among a hundredth: twice the logarithm's growth, times five for memory
// that the caches no longer hold. It allocates nothing.
func TestBoundBlockLookup(t *testing.T) {
	few, many := BlockPrefixes(blockCounts[0]), BlockPrefixes(fleet.Target().Blocks)
	least, most := RegionLookupCost(BuildBlockTable(few), few), RegionLookupCost(BuildBlockTable(many), many)
	assert.Assert(t, most.CPUTime < 10*least.CPUTime, "%s after %s", most.CPUTime, least.CPUTime)
	assert.Assert(t, most.Allocations < 1, "%g allocations", most.Allocations)
}

// TestBoundBlockChange holds a change of one document to a tenth of building
// the whole table: a build a second would take most of a core, ten times the
// share for control and more.
func TestBoundBlockChange(t *testing.T) {
	prefixes := BlockPrefixes(fleet.Target().Blocks)
	build := measureOnce(func() { BuildBlockTable(prefixes) })
	change := DocumentReplaceCost(BuildBlockTable(prefixes), prefixes)
	assert.Assert(t, change.CPUTime < build.CPUTime/10, "%s of %s", change.CPUTime, build.CPUTime)
}

// TestBoundChangeOnWire holds the changes of a day to half of a node's bytes a
// second for control.
func TestBoundChangeOnWire(t *testing.T) {
	bytes := float64(proto.Size(SiteDelta(fleet.Target(), 2))) * ChangesPerSecond
	assert.Assert(t, bytes < ControlBytesPerSecond/2, "%.0f bytes a second", bytes)
}

// TestBoundTimeline holds the ring of events, at its default size, to a quarter
// of a node's memory for control.
func TestBoundTimeline(t *testing.T) {
	const events = 20_000
	_, bytes := retainedHeap(func() *timeline.Ring { return FullRing(events) })
	assert.Assert(t, bytes < ControlMemoryBytes/4, "%.0f bytes", bytes)
}

// TestBoundLookupGarbage holds what a node's look-ups allocate in a second to
// its memory for control, at today's size.
func TestBoundLookupGarbage(t *testing.T) {
	each := LookupResponseCost(fleet.FirstDeployment())
	garbage := each.AllocatedBytes * LookupsPerSecondPerNode
	assert.Assert(t, garbage < ControlMemoryBytes, "%.0f bytes a second", garbage)
}

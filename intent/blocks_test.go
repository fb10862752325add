package intent

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRecompileAppliesChangedClientBlocks checks that Recompile keeps the table of
// client blocks if only a drain is added, and updates it if its document changes.
func TestRecompileAppliesChangedClientBlocks(t *testing.T) {
	address := netip.MustParseAddr("10.0.0.1")
	previousDocuments := append(testDocuments(testService), Document{
		Name:    "client-blocks/callers.blocks",
		Content: []byte("10.0.0.0/24 north\n"),
	})
	previous, err := Compile(1, previousDocuments)
	assert.NilError(t, err)
	drained, err := Recompile(previous, previousDocuments, 2, append(testDocuments(testService, "entry entry-2"), previousDocuments[2]))
	assert.NilError(t, err)
	region, covered := drained.Blocks.Region(address)
	assert.Assert(t, covered)
	assert.Equal(t, region, "north")
	assert.Assert(t, drained.EntryDraining("entry-2"))
	moved, err := Recompile(previous, previousDocuments, 3, append(testDocuments(testService), Document{
		Name:    "client-blocks/callers.blocks",
		Content: []byte("10.0.0.0/24 south\n"),
	}))
	assert.NilError(t, err)
	region, _ = moved.Blocks.Region(address)
	assert.Equal(t, region, "south")
}

package block_test

import (
	"net/netip"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/teaselstack/teaselstack/block"
)

func TestLongestPrefixWins(t *testing.T) {
	var builder block.Builder
	builder.Add(netip.MustParsePrefix("10.0.0.0/8"), "a")
	builder.Add(netip.MustParsePrefix("10.1.0.0/16"), "b")
	builder.Add(netip.MustParsePrefix("10.1.2.0/24"), "c")
	builder.Add(netip.MustParsePrefix("2001:db8::/32"), "d")
	table := builder.Table()
	for address, want := range map[string]string{
		"10.0.0.1":    "a",
		"10.1.0.1":    "b",
		"10.1.2.255":  "c",
		"10.1.3.0":    "b",
		"10.2.0.0":    "a",
		"11.0.0.0":    "",
		"9.9.9.9":     "",
		"2001:db8::1": "d",
		"2001:db9::1": "",
	} {
		got, _ := table.Region(netip.MustParseAddr(address))
		assert.Equal(t, got, want, address)
	}
	assert.Equal(t, table.Len(), 4)
}

// TestLastOfEqualBlocksWins gives a block that stands twice to the last document's name,
// and within a document to the last line.
func TestLastOfEqualBlocksWins(t *testing.T) {
	var builder block.Builder
	prefix := netip.MustParsePrefix("10.0.0.0/8")
	builder.BeginDocument("b")
	builder.Add(prefix, "first")
	builder.Add(prefix, "second")
	table := builder.Table()
	assert.Equal(t, regionOf(table, "10.1.1.1"), "second")
	table = table.Replace("a", []block.Block{{
		Prefix: prefix,
		Region: "third",
	}})
	assert.Equal(t, regionOf(table, "10.1.1.1"), "second")
	table = table.Replace("b", nil)
	assert.Equal(t, regionOf(table, "10.1.1.1"), "third")
	table = table.Replace("a", nil)
	assert.Equal(t, table.Len(), 0)
	assert.Equal(t, regionOf(table, "10.1.1.1"), "")
}

func regionOf(table block.Table, address string) string {
	region, _ := table.Region(netip.MustParseAddr(address))
	return region
}

// drawBlocks draws blocks of both families that nest and repeat often.
func drawBlocks(t *rapid.T) []block.Block {
	var blocks []block.Block
	for range rapid.IntRange(0, 12).Draw(t, "blocks") {
		address := netip.AddrFrom4([4]byte{10, byte(rapid.IntRange(0, 3).Draw(t, "b")), 0, 0})
		bits := rapid.IntRange(6, 18).Draw(t, "bits")
		if rapid.Bool().Draw(t, "six") {
			address = netip.AddrFrom16([16]byte{0x20, 7: byte(rapid.IntRange(0, 1).Draw(t, "h")), 8: byte(rapid.IntRange(0, 3).Draw(t, "l"))})
			bits = rapid.IntRange(58, 72).Draw(t, "bits")
		}
		blocks = append(blocks, block.Block{
			Prefix: netip.PrefixFrom(address, bits).Masked(),
			Region: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "region"),
		})
	}
	return blocks
}

func drawAddress(t *rapid.T) netip.Addr {
	if rapid.Bool().Draw(t, "six") {
		return netip.AddrFrom16([16]byte{0x20, 7: byte(rapid.IntRange(0, 2).Draw(t, "h")), 8: byte(rapid.IntRange(0, 255).Draw(t, "l"))})
	}
	return netip.AddrFrom4([4]byte{
		byte(rapid.IntRange(7, 13).Draw(t, "a0")),
		byte(rapid.IntRange(0, 4).Draw(t, "a1")),
		byte(rapid.IntRange(0, 255).Draw(t, "a2")),
		0,
	})
}

// scan finds the region of an address by looking at all blocks in order.
func scan(blocks []block.Block, address netip.Addr) string {
	region, bits := "", -1
	for _, each := range blocks {
		if each.Prefix.Contains(address) && each.Prefix.Bits() >= bits {
			region, bits = each.Region, each.Prefix.Bits()
		}
	}
	return region
}

// TestRegionMatchesLinearScan compares the table with a scan of all blocks.
func TestRegionMatchesLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		blocks := drawBlocks(t)
		var builder block.Builder
		for _, each := range blocks {
			builder.Add(each.Prefix, each.Region)
		}
		table := builder.Table()
		address := drawAddress(t)
		want := scan(blocks, address)
		got, covered := table.Region(address)
		if got != want || covered != (want != "") {
			t.Fatalf("region of %s is %q, want %q", address, got, want)
		}
	})
}

// TestReplaceMatchesLinearScan replaces documents in any order and compares the
// table with a scan of what stands in them, in the order of their names.
func TestReplaceMatchesLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table block.Table
		documents := make(map[string][]block.Block)
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			name := rapid.SampledFrom([]string{"k", "l", "m", "n"}).Draw(t, "document")
			documents[name] = drawBlocks(t)
			before := table.Len()
			changed := table.Replace(name, documents[name])
			if table.Len() != before {
				t.Fatalf("the table before the change went from %d blocks to %d", before, table.Len())
			}
			table = changed
		}
		all := slices.Concat(documents["k"], documents["l"], documents["m"], documents["n"])
		for range 8 {
			address := drawAddress(t)
			if got, _ := table.Region(address); got != scan(all, address) {
				t.Fatalf("region of %s is %q, want %q", address, got, scan(all, address))
			}
		}
	})
}

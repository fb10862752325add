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

// TestLastOfEqualBlocksWins checks which region an address gets if equal blocks have
// different regions: that of the document whose name sorts last, and within a
// document that of the last block.
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

// drawBlocks generates blocks of both address families that often nest and repeat.
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

// drawAddress generates an address in or near the generated blocks.
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

// linearScan returns the region of an address by comparing it with all blocks.
func linearScan(blocks []block.Block, address netip.Addr) string {
	region, bits := "", -1
	for _, each := range blocks {
		if each.Prefix.Contains(address) && each.Prefix.Bits() >= bits {
			region, bits = each.Region, each.Prefix.Bits()
		}
	}
	return region
}

// TestRegionMatchesLinearScan compares look-ups in a table with a scan of all
// blocks.
func TestRegionMatchesLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		blocks := drawBlocks(t)
		var builder block.Builder
		for _, each := range blocks {
			builder.Add(each.Prefix, each.Region)
		}
		table := builder.Table()
		address := drawAddress(t)
		want := linearScan(blocks, address)
		got, covered := table.Region(address)
		if got != want || covered != (want != "") {
			t.Fatalf("region of %s is %q, want %q", address, got, want)
		}
	})
}

// TestReplaceMatchesLinearScan replaces documents in random order and compares the
// table with a scan of all blocks in the order of their documents' names. It also
// checks that Replace leaves the original table unchanged.
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
				t.Fatalf("Replace changed the original table from %d blocks to %d", before, table.Len())
			}
			table = changed
		}
		all := slices.Concat(documents["k"], documents["l"], documents["m"], documents["n"])
		for range 8 {
			address := drawAddress(t)
			if got, _ := table.Region(address); got != linearScan(all, address) {
				t.Fatalf("region of %s is %q, want %q", address, got, linearScan(all, address))
			}
		}
	})
}

package block_test

import (
	"net/netip"
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

// TestAgainstScan compares the table with a scan of all blocks.
func TestAgainstScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var builder block.Builder
		var blocks []netip.Prefix
		regions := make(map[netip.Prefix]string)
		for range rapid.IntRange(0, 12).Draw(t, "blocks") {
			address := netip.AddrFrom4([4]byte{10, byte(rapid.IntRange(0, 3).Draw(t, "b")), 0, 0})
			prefix := netip.PrefixFrom(address, rapid.IntRange(6, 18).Draw(t, "bits")).Masked()
			region := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "region")
			builder.Add(prefix, region)
			blocks = append(blocks, prefix)
			regions[prefix] = region
		}
		table := builder.Table()
		address := netip.AddrFrom4([4]byte{
			byte(rapid.IntRange(7, 13).Draw(t, "a0")),
			byte(rapid.IntRange(0, 4).Draw(t, "a1")),
			byte(rapid.IntRange(0, 255).Draw(t, "a2")),
			0,
		})
		want, bits := "", -1
		for _, prefix := range blocks {
			if prefix.Contains(address) && prefix.Bits() > bits {
				want, bits = regions[prefix], prefix.Bits()
			}
		}
		got, _ := table.Region(address)
		if got != want {
			t.Fatalf("region of %s is %q, want %q", address, got, want)
		}
	})
}

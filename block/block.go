// Package block maps client blocks, which are IP prefixes, to regions. The
// table is a sorted list of address ranges: it takes 20 bytes a range, a
// fraction of a trie's pointers, and answers in the logarithm of its size.
package block

import (
	"bytes"
	"cmp"
	"net/netip"
	"slices"
)

// Table maps addresses to regions by their longest matching client block. The
// zero value matches nothing.
type Table struct {
	regions []string
	ranges  []addressRange
	size    int
}

// addressRange begins at an address and ends before the next range's first.
type addressRange struct {
	first  [16]byte
	region int32
}

// unmapped is the region of a range that no block covers.
const unmapped = -1

// Region returns the region of an address, and whether a block covers it.
func (t Table) Region(address netip.Addr) (string, bool) {
	key := address.Unmap().As16()
	position, exact := slices.BinarySearchFunc(t.ranges, key, func(r addressRange, key [16]byte) int {
		return bytes.Compare(r.first[:], key[:])
	})
	if !exact {
		position--
	}
	if position < 0 || t.ranges[position].region == unmapped {
		return "", false
	}
	return t.regions[t.ranges[position].region], true
}

// Len returns the number of client blocks.
func (t Table) Len() int {
	return t.size
}

// Builder collects client blocks. The zero value is ready for use.
type Builder struct {
	blocks  []clientBlock
	indices map[string]int32
	regions []string
}

type clientBlock struct {
	prefix netip.Prefix
	region int32
}

// Add maps a client block to a region; a later block replaces an equal one.
func (b *Builder) Add(prefix netip.Prefix, region string) {
	if b.indices == nil {
		b.indices = make(map[string]int32)
	}
	index, known := b.indices[region]
	if !known {
		index = int32(len(b.regions))
		b.indices[region] = index
		b.regions = append(b.regions, region)
	}
	b.blocks = append(b.blocks, clientBlock{
		prefix: prefix.Masked(),
		region: index,
	})
}

// Table returns the ranges of all blocks added, and empties the builder.
func (b *Builder) Table() Table {
	slices.SortStableFunc(b.blocks, func(x, y clientBlock) int {
		if order := compareAddresses(x.prefix, y.prefix); order != 0 {
			return order
		}
		return cmp.Compare(length(x.prefix), length(y.prefix))
	})
	sweep := sweeper{}
	for _, each := range b.blocks {
		sweep.open(each)
	}
	sweep.closeAll()
	table := Table{
		regions: b.regions,
		ranges:  slices.Clip(sweep.ranges),
		size:    len(b.blocks),
	}
	*b = Builder{}
	return table
}

// sweeper walks blocks in address order, outer before inner, and keeps the
// blocks that are open at the current address.
type sweeper struct {
	ranges []addressRange
	nested []clientBlock
}

func (s *sweeper) open(next clientBlock) {
	for len(s.nested) > 0 && !s.nested[len(s.nested)-1].prefix.Contains(next.prefix.Addr()) {
		s.closeInnermost()
	}
	s.nested = append(s.nested, next)
	s.begin(next.prefix.Addr().As16(), next.region)
}

func (s *sweeper) closeAll() {
	for len(s.nested) > 0 {
		s.closeInnermost()
	}
}

func (s *sweeper) closeInnermost() {
	innermost := s.nested[len(s.nested)-1]
	s.nested = s.nested[:len(s.nested)-1]
	after, more := addressAfter(innermost.prefix)
	if !more {
		return
	}
	region := int32(unmapped)
	if len(s.nested) > 0 {
		region = s.nested[len(s.nested)-1].region
	}
	s.begin(after, region)
}

func (s *sweeper) begin(first [16]byte, region int32) {
	last := len(s.ranges) - 1
	if last >= 0 && s.ranges[last].first == first {
		s.ranges[last].region = region
		return
	}
	if last >= 0 && s.ranges[last].region == region {
		return
	}
	s.ranges = append(s.ranges, addressRange{
		first:  first,
		region: region,
	})
}

func compareAddresses(a, b netip.Prefix) int {
	x, y := a.Addr().As16(), b.Addr().As16()
	return bytes.Compare(x[:], y[:])
}

// length returns a prefix's length within the 128 bits of As16.
func length(prefix netip.Prefix) int {
	if prefix.Addr().Is4() {
		return prefix.Bits() + 96
	}
	return prefix.Bits()
}

// addressAfter returns the first address behind a prefix, and whether one exists.
func addressAfter(prefix netip.Prefix) ([16]byte, bool) {
	next := prefix.Addr().As16()
	for bit := length(prefix) - 1; bit >= 0; bit-- {
		mask := byte(1) << (7 - bit%8)
		next[bit/8] ^= mask
		if next[bit/8]&mask != 0 {
			return next, true
		}
	}
	return next, false
}

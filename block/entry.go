package block

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"net/netip"
	"slices"
)

// key is an address, left-aligned: one of IPv4 fills the first 32 bits.
type key struct {
	high uint64
	low  uint64
}

func keyOf(address netip.Addr) key {
	if address.Is4() {
		four := address.As4()
		return key{
			high: uint64(binary.BigEndian.Uint32(four[:])) << 32,
		}
	}
	six := address.As16()
	return key{
		high: binary.BigEndian.Uint64(six[:8]),
		low:  binary.BigEndian.Uint64(six[8:]),
	}
}

func (k key) compare(other key) int {
	if order := cmp.Compare(k.high, other.high); order != 0 {
		return order
	}
	return cmp.Compare(k.low, other.low)
}

// masked returns the key with the bits behind length cleared.
func (k key) masked(length int) key {
	if length <= 64 {
		return key{
			high: k.high &^ (^uint64(0) >> length),
		}
	}
	return key{
		high: k.high,
		low:  k.low &^ (^uint64(0) >> (length - 64)),
	}
}

// common returns how many leading bits two keys share.
func (k key) common(other key) int {
	if different := k.high ^ other.high; different != 0 {
		return bits.LeadingZeros64(different)
	}
	return 64 + bits.LeadingZeros64(k.low^other.low)
}

// entry is one client block of a document.
type entry struct {
	first    key
	region   uint32
	document uint32
	// order is the place in which it was added.
	order  uint32
	length uint8
}

// compare orders entries by address, outer before inner, then by document.
func (e entry) compare(other entry) int {
	if order := e.first.compare(other.first); order != 0 {
		return order
	}
	if order := cmp.Compare(e.length, other.length); order != 0 {
		return order
	}
	return cmp.Compare(e.document, other.document)
}

// entries holds client blocks of both families.
type entries struct {
	four []entry
	six  []entry
}

func (es *entries) add(prefix netip.Prefix, region, document uint32) {
	list := &es.six
	if prefix.Addr().Is4() {
		list = &es.four
	}
	*list = append(*list, entry{
		first:    keyOf(prefix.Masked().Addr()),
		region:   region,
		document: document,
		order:    uint32(len(*list)),
		length:   uint8(prefix.Bits()),
	})
}

// sort orders the entries and keeps the last of equal ones.
func (es *entries) sort() {
	es.four = sorted(es.four)
	es.six = sorted(es.six)
}

func sorted(list []entry) []entry {
	slices.SortFunc(list, func(a, b entry) int {
		if order := a.compare(b); order != 0 {
			return order
		}
		return cmp.Compare(b.order, a.order)
	})
	return slices.CompactFunc(list, func(a, b entry) bool { return a.compare(b) == 0 })
}

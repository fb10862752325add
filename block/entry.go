package block

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"net/netip"
	"slices"
)

// addressKey is an address, left-aligned: one of IPv4 fills the first 32 bits.
type addressKey struct {
	high uint64
	low  uint64
}

func addressKeyOf(address netip.Addr) addressKey {
	if address.Is4() {
		four := address.As4()
		return addressKey{
			high: uint64(binary.BigEndian.Uint32(four[:])) << 32,
		}
	}
	six := address.As16()
	return addressKey{
		high: binary.BigEndian.Uint64(six[:8]),
		low:  binary.BigEndian.Uint64(six[8:]),
	}
}

func (k addressKey) compare(other addressKey) int {
	if order := cmp.Compare(k.high, other.high); order != 0 {
		return order
	}
	return cmp.Compare(k.low, other.low)
}

// masked returns the key with the bits behind length cleared.
func (k addressKey) masked(length int) addressKey {
	if length <= 64 {
		return addressKey{
			high: k.high &^ (^uint64(0) >> length),
		}
	}
	return addressKey{
		high: k.high,
		low:  k.low &^ (^uint64(0) >> (length - 64)),
	}
}

// commonPrefixLen returns how many leading bits two keys share.
func (k addressKey) commonPrefixLen(other addressKey) int {
	if different := k.high ^ other.high; different != 0 {
		return bits.LeadingZeros64(different)
	}
	return 64 + bits.LeadingZeros64(k.low^other.low)
}

// blockRecord is one client block of a document.
type blockRecord struct {
	first    addressKey
	region   uint32
	document uint32
	// sequence is the place in which it was added.
	sequence  uint32
	prefixLen uint8
}

// compare orders entries by address, outer before inner, then by document.
func (e blockRecord) compare(other blockRecord) int {
	if order := e.first.compare(other.first); order != 0 {
		return order
	}
	if order := cmp.Compare(e.prefixLen, other.prefixLen); order != 0 {
		return order
	}
	return cmp.Compare(e.document, other.document)
}

// blockRecords holds client blocks of both families.
type blockRecords struct {
	ipv4 []blockRecord
	ipv6 []blockRecord
}

func (es *blockRecords) add(prefix netip.Prefix, region, document uint32) {
	list := &es.ipv6
	if prefix.Addr().Is4() {
		list = &es.ipv4
	}
	*list = append(*list, blockRecord{
		first:     addressKeyOf(prefix.Masked().Addr()),
		region:    region,
		document:  document,
		sequence:  uint32(len(*list)),
		prefixLen: uint8(prefix.Bits()),
	})
}

// sortUnique orders the entries and keeps the last of equal ones.
func (es *blockRecords) sortUnique() {
	es.ipv4 = sortedUnique(es.ipv4)
	es.ipv6 = sortedUnique(es.ipv6)
}

func sortedUnique(list []blockRecord) []blockRecord {
	slices.SortFunc(list, func(a, b blockRecord) int {
		if order := a.compare(b); order != 0 {
			return order
		}
		return cmp.Compare(b.sequence, a.sequence)
	})
	return slices.CompactFunc(list, func(a, b blockRecord) bool { return a.compare(b) == 0 })
}

package block

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"net/netip"
	"slices"
)

// addressKey is an IP address as a 128-bit number. An IPv4 address occupies the
// 32 most significant bits.
type addressKey struct {
	high uint64
	low  uint64
}

// addressKeyOf returns the key of an address.
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

// masked returns the key with all but the first length bits cleared.
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

// commonPrefixLen returns the number of leading bits that two keys have in common.
func (k addressKey) commonPrefixLen(other addressKey) int {
	if different := k.high ^ other.high; different != 0 {
		return bits.LeadingZeros64(different)
	}
	return 64 + bits.LeadingZeros64(k.low^other.low)
}

// blockRecord is one client block of a document. The region and the document are
// indices into the lists of their names.
type blockRecord struct {
	firstAddress addressKey
	region       uint32
	document     uint32
	// sequence numbers the blocks of an address family in the order in which they
	// were added.
	sequence  uint32
	prefixLen uint8
}

// compare orders records by first address, then by prefix length, shortest first,
// then by document.
func (r blockRecord) compare(other blockRecord) int {
	if order := r.firstAddress.compare(other.firstAddress); order != 0 {
		return order
	}
	if order := cmp.Compare(r.prefixLen, other.prefixLen); order != 0 {
		return order
	}
	return cmp.Compare(r.document, other.document)
}

// blockRecords holds the client blocks of each address family.
type blockRecords struct {
	ipv4 []blockRecord
	ipv6 []blockRecord
}

func (rs *blockRecords) add(prefix netip.Prefix, region, document uint32) {
	list := &rs.ipv6
	if prefix.Addr().Is4() {
		list = &rs.ipv4
	}
	*list = append(*list, blockRecord{
		firstAddress: addressKeyOf(prefix.Masked().Addr()),
		region:       region,
		document:     document,
		sequence:     uint32(len(*list)),
		prefixLen:    uint8(prefix.Bits()),
	})
}

// sortUnique sorts the records. Of several that compare equal, it keeps the one that
// was added last.
func (rs *blockRecords) sortUnique() {
	rs.ipv4 = sortUniqueFamily(rs.ipv4)
	rs.ipv6 = sortUniqueFamily(rs.ipv6)
}

// sortUniqueFamily is sortUnique for the records of one address family. It reuses
// the memory of list.
func sortUniqueFamily(list []blockRecord) []blockRecord {
	slices.SortFunc(list, func(a, b blockRecord) int {
		if order := a.compare(b); order != 0 {
			return order
		}
		return cmp.Compare(b.sequence, a.sequence)
	})
	return slices.CompactFunc(list, func(a, b blockRecord) bool { return a.compare(b) == 0 })
}

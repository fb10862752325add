package block

import (
	"encoding/binary"
	"sort"
)

// familyTable holds the client blocks of one address family, IPv4 or IPv6, in the
// order of blockRecord.compare, with an array for each field. The first addresses are
// in big-endian byte order, 4 bytes each for IPv4 and 16 for IPv6.
type familyTable struct {
	firstAddresses []byte
	prefixLens     []uint8
	regions        []uint32
	documents      []uint32
	// width is the number of bytes of an address.
	width int
	// prefixLenUsed is set for each prefix length that occurs.
	prefixLenUsed [maxPrefixLen + 1]bool
}

const (
	// maxPrefixLen is the length of the longest prefix, in bits.
	maxPrefixLen = 128
	// ipv4Bytes and ipv6Bytes are the lengths of an IPv4 and an IPv6 address.
	ipv4Bytes = 4
	ipv6Bytes = 16
)

// noDocument is a document number that no block has.
const noDocument = -1

// documentEdit describes how replacing one document affects the blocks already in
// the table. Documents are referred to by number, the index of their name in
// Table.documents.
type documentEdit struct {
	// removedDocument is the number of the document whose blocks are removed, or
	// noDocument.
	removedDocument int
	// shiftFrom is the number at which a document is inserted or removed, and shiftBy
	// is added to that number and all higher ones: 1, -1 or, if neither happens, 0.
	shiftFrom int
	shiftBy   int
}

// renumber returns the number of a document after the edit.
func (e documentEdit) renumber(document uint32) uint32 {
	if int(document) >= e.shiftFrom {
		return uint32(int(document) + e.shiftBy)
	}
	return document
}

func (f *familyTable) len() int {
	return len(f.prefixLens)
}

// firstAddress returns the first address of the block at a position.
func (f *familyTable) firstAddress(i int) addressKey {
	if f.width == ipv4Bytes {
		return addressKey{
			high: uint64(binary.BigEndian.Uint32(f.firstAddresses[i*ipv4Bytes:])) << 32,
		}
	}
	return addressKey{
		high: binary.BigEndian.Uint64(f.firstAddresses[i*ipv6Bytes:]),
		low:  binary.BigEndian.Uint64(f.firstAddresses[i*ipv6Bytes+8:]),
	}
}

// longestMatch returns the position of the block with the longest prefix that
// contains an address, and whether there is one.
func (f *familyTable) longestMatch(address addressKey) (int, bool) {
	last := f.lastAtOrBefore(address, maxPrefixLen)
	if last < 0 {
		return 0, false
	}
	// A block that contains the address begins at or before the last block found, and
	// so contains the first address of that block as well. Its prefix is therefore no
	// longer than the prefix that the two addresses have in common.
	longest := min(address.commonPrefixLen(f.firstAddress(last)), maxPrefixLen)
	if int(f.prefixLens[last]) <= longest {
		return last, true
	}
	for length := longest; length >= 0; length-- {
		if !f.prefixLenUsed[length] {
			continue
		}
		prefix := address.masked(length)
		position := f.lastAtOrBefore(prefix, length)
		if position >= 0 && int(f.prefixLens[position]) == length && f.firstAddress(position) == prefix {
			return position, true
		}
	}
	return 0, false
}

// lastAtOrBefore returns the position of the last block that doesn't sort after the
// prefix with the given first address and length, or -1 if there is none.
func (f *familyTable) lastAtOrBefore(first addressKey, length int) int {
	return sort.Search(f.len(), func(i int) bool {
		if order := f.firstAddress(i).compare(first); order != 0 {
			return order > 0
		}
		return int(f.prefixLens[i]) > length
	}) - 1
}

// replace returns a copy with an edit applied and sorted records added. The width is
// a parameter because the zero familyTable has none.
func (f *familyTable) replace(width int, edit documentEdit, added []blockRecord) familyTable {
	size := f.len() + len(added) - f.countBlocksOf(edit.removedDocument)
	next := familyTable{
		firstAddresses: make([]byte, 0, size*width),
		prefixLens:     make([]uint8, 0, size),
		regions:        make([]uint32, 0, size),
		documents:      make([]uint32, 0, size),
		width:          width,
	}
	copied := 0
	for _, record := range added {
		position := copied + f.insertionOffset(record, edit, copied)
		next.appendKept(f, copied, position, edit)
		next.appendRecord(record)
		copied = position
	}
	next.appendKept(f, copied, f.len(), edit)
	for _, length := range next.prefixLens {
		next.prefixLenUsed[length] = true
	}
	return next
}

// countBlocksOf returns the number of blocks of the document with the given number.
func (f *familyTable) countBlocksOf(document int) int {
	count := 0
	for _, number := range f.documents {
		if int(number) == document {
			count++
		}
	}
	return count
}

// insertionOffset returns the number of blocks between the position start and the
// position at which a record must be inserted to keep the sort order. The caller
// makes sure that no block before start sorts after the record.
func (f *familyTable) insertionOffset(record blockRecord, edit documentEdit, start int) int {
	return sort.Search(f.len()-start, func(i int) bool {
		i += start
		if order := f.firstAddress(i).compare(record.firstAddress); order != 0 {
			return order > 0
		}
		if f.prefixLens[i] != record.prefixLen {
			return f.prefixLens[i] > record.prefixLen
		}
		return edit.renumber(f.documents[i]) > record.document
	})
}

// appendKept appends the blocks of source from position begin up to, but not
// including, end. It leaves out those of the removed document.
func (f *familyTable) appendKept(source *familyTable, begin, end int, edit documentEdit) {
	for begin < end {
		for begin < end && int(source.documents[begin]) == edit.removedDocument {
			begin++
		}
		runEnd := begin
		for runEnd < end && int(source.documents[runEnd]) != edit.removedDocument {
			runEnd++
		}
		f.appendRun(source, begin, runEnd, edit)
		begin = runEnd
	}
}

// appendRun appends all blocks of source from position begin up to, but not
// including, end, and renumbers their documents.
func (f *familyTable) appendRun(source *familyTable, begin, end int, edit documentEdit) {
	f.firstAddresses = append(f.firstAddresses, source.firstAddresses[begin*source.width:end*source.width]...)
	f.prefixLens = append(f.prefixLens, source.prefixLens[begin:end]...)
	f.regions = append(f.regions, source.regions[begin:end]...)
	copied := len(f.documents)
	f.documents = append(f.documents, source.documents[begin:end]...)
	if edit.shiftBy == 0 {
		return
	}
	for i := copied; i < len(f.documents); i++ {
		f.documents[i] = edit.renumber(f.documents[i])
	}
}

func (f *familyTable) appendRecord(record blockRecord) {
	var first [ipv6Bytes]byte
	binary.BigEndian.PutUint64(first[:], record.firstAddress.high)
	binary.BigEndian.PutUint64(first[8:], record.firstAddress.low)
	f.firstAddresses = append(f.firstAddresses, first[:f.width]...)
	f.prefixLens = append(f.prefixLens, record.prefixLen)
	f.regions = append(f.regions, record.region)
	f.documents = append(f.documents, record.document)
}

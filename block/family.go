package block

import (
	"encoding/binary"
	"sort"
)

// addressFamily holds the client blocks of one family of addresses, sorted, each
// field in an array of its own. IPv4 addresses take 4 bytes, others 16.
type addressFamily struct {
	firsts     []byte
	prefixLens []uint8
	regions    []uint32
	documents  []uint32
	// width is the bytes of an address.
	width int
	// prefixLenUsed marks the lengths that occur.
	prefixLenUsed [maxPrefixLen + 1]bool
}

const (
	// maxPrefixLen is the longest prefix, in bits.
	maxPrefixLen = 128
	// ipv4Bytes and widthSix are the bytes of an address.
	ipv4Bytes = 4
	ipv6Bytes = 16
)

// noDocument stands for no document.
const noDocument = -1

// documentEdit is what the replacement of one document does to the others.
type documentEdit struct {
	// removedDocument is the number of the document whose blocks go, or absent.
	removedDocument int
	// shift is added to the numbers of documents at and after from.
	shiftFrom int
	shift     int
}

func (e documentEdit) renumber(document uint32) uint32 {
	if int(document) >= e.shiftFrom {
		return uint32(int(document) + e.shift)
	}
	return document
}

func (f *addressFamily) len() int {
	return len(f.prefixLens)
}

func (f *addressFamily) firstAddress(i int) addressKey {
	if f.width == ipv4Bytes {
		return addressKey{
			high: uint64(binary.BigEndian.Uint32(f.firsts[i*ipv4Bytes:])) << 32,
		}
	}
	return addressKey{
		high: binary.BigEndian.Uint64(f.firsts[i*ipv6Bytes:]),
		low:  binary.BigEndian.Uint64(f.firsts[i*ipv6Bytes+8:]),
	}
}

// longestMatch returns the position of the longest block that covers an address.
func (f *addressFamily) longestMatch(address addressKey) (int, bool) {
	last := f.lastAtOrBefore(address, maxPrefixLen)
	if last < 0 {
		return 0, false
	}
	// Every block that covers the address covers the last one's first address
	// too, so that its length is at most what both have in common.
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

// lastAtOrBefore returns the position of the last block that is not after a prefix, or -1.
func (f *addressFamily) lastAtOrBefore(first addressKey, length int) int {
	return sort.Search(f.len(), func(i int) bool {
		if order := f.firstAddress(i).compare(first); order != 0 {
			return order > 0
		}
		return int(f.prefixLens[i]) > length
	}) - 1
}

// replace returns the family, of a width, after an edit and with sorted
// entries added.
func (f *addressFamily) replace(width int, edit documentEdit, added []blockRecord) addressFamily {
	size := f.len() + len(added) - f.countDocument(edit.removedDocument)
	next := addressFamily{
		firsts:     make([]byte, 0, size*width),
		prefixLens: make([]uint8, 0, size),
		regions:    make([]uint32, 0, size),
		documents:  make([]uint32, 0, size),
		width:      width,
	}
	copied := 0
	for _, each := range added {
		place := copied + f.insertionOffset(each, edit, copied)
		next.appendKept(f, copied, place, edit)
		next.appendRecord(each)
		copied = place
	}
	next.appendKept(f, copied, f.len(), edit)
	for _, length := range next.prefixLens {
		next.prefixLenUsed[length] = true
	}
	return next
}

// countDocument returns how many blocks a document has.
func (f *addressFamily) countDocument(document int) int {
	count := 0
	for _, each := range f.documents {
		if int(each) == document {
			count++
		}
	}
	return count
}

// insertionOffset returns how many blocks from a position on go before an entry.
func (f *addressFamily) insertionOffset(each blockRecord, edit documentEdit, from int) int {
	return sort.Search(f.len()-from, func(i int) bool {
		i += from
		if order := f.firstAddress(i).compare(each.first); order != 0 {
			return order > 0
		}
		if f.prefixLens[i] != each.prefixLen {
			return f.prefixLens[i] > each.prefixLen
		}
		return edit.renumber(f.documents[i]) > each.document
	})
}

// appendKept appends a part of another family without the removed document.
func (f *addressFamily) appendKept(from *addressFamily, begin, end int, edit documentEdit) {
	for begin < end {
		for begin < end && int(from.documents[begin]) == edit.removedDocument {
			begin++
		}
		run := begin
		for run < end && int(from.documents[run]) != edit.removedDocument {
			run++
		}
		f.appendRun(from, begin, run, edit)
		begin = run
	}
}

func (f *addressFamily) appendRun(from *addressFamily, begin, end int, edit documentEdit) {
	f.firsts = append(f.firsts, from.firsts[begin*from.width:end*from.width]...)
	f.prefixLens = append(f.prefixLens, from.prefixLens[begin:end]...)
	f.regions = append(f.regions, from.regions[begin:end]...)
	documents := len(f.documents)
	f.documents = append(f.documents, from.documents[begin:end]...)
	if edit.shift == 0 {
		return
	}
	for i := documents; i < len(f.documents); i++ {
		f.documents[i] = edit.renumber(f.documents[i])
	}
}

func (f *addressFamily) appendRecord(each blockRecord) {
	var first [ipv6Bytes]byte
	binary.BigEndian.PutUint64(first[:], each.first.high)
	binary.BigEndian.PutUint64(first[8:], each.first.low)
	f.firsts = append(f.firsts, first[:f.width]...)
	f.prefixLens = append(f.prefixLens, each.prefixLen)
	f.regions = append(f.regions, each.region)
	f.documents = append(f.documents, each.document)
}

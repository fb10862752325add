package block

import (
	"encoding/binary"
	"sort"
)

// family holds the client blocks of one family of addresses, sorted, each
// field in an array of its own. IPv4 addresses take 4 bytes, others 16.
type family struct {
	firsts    []byte
	lengths   []uint8
	regions   []uint32
	documents []uint32
	// width is the bytes of an address.
	width int
	// present marks the lengths that occur.
	present [maxLength + 1]bool
}

const (
	// maxLength is the longest prefix, in bits.
	maxLength = 128
	// widthFour and widthSix are the bytes of an address.
	widthFour = 4
	widthSix  = 16
)

// absent stands for no document.
const absent = -1

// edit is what the replacement of one document does to the others.
type edit struct {
	// removed is the number of the document whose blocks go, or absent.
	removed int
	// shift is added to the numbers of documents at and after from.
	from  int
	shift int
}

func (e edit) number(document uint32) uint32 {
	if int(document) >= e.from {
		return uint32(int(document) + e.shift)
	}
	return document
}

func (f *family) len() int {
	return len(f.lengths)
}

func (f *family) first(i int) key {
	if f.width == widthFour {
		return key{
			high: uint64(binary.BigEndian.Uint32(f.firsts[i*widthFour:])) << 32,
		}
	}
	return key{
		high: binary.BigEndian.Uint64(f.firsts[i*widthSix:]),
		low:  binary.BigEndian.Uint64(f.firsts[i*widthSix+8:]),
	}
}

// find returns the position of the longest block that covers an address.
func (f *family) find(address key) (int, bool) {
	last := f.before(address, maxLength)
	if last < 0 {
		return 0, false
	}
	// Every block that covers the address covers the last one's first address
	// too, so that its length is at most what both have in common.
	longest := min(address.common(f.first(last)), maxLength)
	if int(f.lengths[last]) <= longest {
		return last, true
	}
	for length := longest; length >= 0; length-- {
		if !f.present[length] {
			continue
		}
		prefix := address.masked(length)
		position := f.before(prefix, length)
		if position >= 0 && int(f.lengths[position]) == length && f.first(position) == prefix {
			return position, true
		}
	}
	return 0, false
}

// before returns the position of the last block that is not after a prefix, or -1.
func (f *family) before(first key, length int) int {
	return sort.Search(f.len(), func(i int) bool {
		if order := f.first(i).compare(first); order != 0 {
			return order > 0
		}
		return int(f.lengths[i]) > length
	}) - 1
}

// replace returns the family, of a width, after an edit and with sorted
// entries added.
func (f *family) replace(width int, edit edit, added []entry) family {
	size := f.len() + len(added) - f.countOf(edit.removed)
	next := family{
		firsts:    make([]byte, 0, size*width),
		lengths:   make([]uint8, 0, size),
		regions:   make([]uint32, 0, size),
		documents: make([]uint32, 0, size),
		width:     width,
	}
	copied := 0
	for _, each := range added {
		place := copied + f.placeOf(each, edit, copied)
		next.copyKept(f, copied, place, edit)
		next.append(each)
		copied = place
	}
	next.copyKept(f, copied, f.len(), edit)
	for _, length := range next.lengths {
		next.present[length] = true
	}
	return next
}

// countOf returns how many blocks a document has.
func (f *family) countOf(document int) int {
	count := 0
	for _, each := range f.documents {
		if int(each) == document {
			count++
		}
	}
	return count
}

// placeOf returns how many blocks from a position on go before an entry.
func (f *family) placeOf(each entry, edit edit, from int) int {
	return sort.Search(f.len()-from, func(i int) bool {
		i += from
		if order := f.first(i).compare(each.first); order != 0 {
			return order > 0
		}
		if f.lengths[i] != each.length {
			return f.lengths[i] > each.length
		}
		return edit.number(f.documents[i]) > each.document
	})
}

// copyKept appends a part of another family without the removed document.
func (f *family) copyKept(from *family, begin, end int, edit edit) {
	for begin < end {
		for begin < end && int(from.documents[begin]) == edit.removed {
			begin++
		}
		run := begin
		for run < end && int(from.documents[run]) != edit.removed {
			run++
		}
		f.copyRun(from, begin, run, edit)
		begin = run
	}
}

func (f *family) copyRun(from *family, begin, end int, edit edit) {
	f.firsts = append(f.firsts, from.firsts[begin*from.width:end*from.width]...)
	f.lengths = append(f.lengths, from.lengths[begin:end]...)
	f.regions = append(f.regions, from.regions[begin:end]...)
	documents := len(f.documents)
	f.documents = append(f.documents, from.documents[begin:end]...)
	if edit.shift == 0 {
		return
	}
	for i := documents; i < len(f.documents); i++ {
		f.documents[i] = edit.number(f.documents[i])
	}
}

func (f *family) append(each entry) {
	var first [widthSix]byte
	binary.BigEndian.PutUint64(first[:], each.first.high)
	binary.BigEndian.PutUint64(first[8:], each.first.low)
	f.firsts = append(f.firsts, first[:f.width]...)
	f.lengths = append(f.lengths, each.length)
	f.regions = append(f.regions, each.region)
	f.documents = append(f.documents, each.document)
}

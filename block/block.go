// Package block maps client blocks, which are IP prefixes, to regions. The
// table is a list of prefixes sorted by address, held in arrays of bytes and
// numbers: 13 bytes a block of IPv4 and 25 of IPv6, without a pointer for the
// garbage collector to follow. It answers in the logarithm of its size, and a
// change of one document copies the rest in long runs.
package block

import (
	"net/netip"
	"slices"
)

// Table maps addresses to regions by their longest matching client block. It
// is never changed; the zero value matches nothing.
type Table struct {
	four family
	six  family
	// regions and documents are named by their place in these lists; documents
	// are in the order of their names.
	regions   []string
	documents []string
}

// Block maps one client block to a region.
type Block struct {
	Prefix netip.Prefix
	Region string
}

// Region returns the region of an address, and whether a block covers it.
func (t Table) Region(address netip.Addr) (string, bool) {
	address = address.Unmap()
	from := &t.six
	if address.Is4() {
		from = &t.four
	}
	position, covered := from.find(keyOf(address))
	if !covered {
		return "", false
	}
	return t.regions[from.regions[position]], true
}

// Len returns the number of client blocks.
func (t Table) Len() int {
	return t.four.len() + t.six.len()
}

// Replace returns the table after a document's client blocks have become those
// given; none removes the document. Of equal blocks in several documents that
// of the last name counts, within a document the last.
func (t Table) Replace(document string, blocks []Block) Table {
	next := Table{
		regions: slices.Clone(t.regions),
	}
	place, known := slices.BinarySearch(t.documents, document)
	next.documents = t.documents
	edit := edit{
		removed: absent,
		from:    place,
	}
	if known {
		edit.removed = place
	}
	switch {
	case known && len(blocks) == 0:
		next.documents = slices.Delete(slices.Clone(t.documents), place, place+1)
		edit.shift = -1
	case !known && len(blocks) > 0:
		next.documents = slices.Insert(slices.Clone(t.documents), place, document)
		edit.shift = 1
	}
	added := entriesOf(&next.regions, uint32(place), blocks)
	next.four = t.four.replace(widthFour, edit, added.four)
	next.six = t.six.replace(widthSix, edit, added.six)
	return next
}

// Builder collects the client blocks of many documents. The zero value is
// ready for use; its blocks belong to a document without a name until Begin.
type Builder struct {
	entries   entries
	regions   []string
	indices   map[string]uint32
	documents []string
}

// BeginDocument names the document of the blocks added next. Documents are begun in
// the order of their names.
func (b *Builder) BeginDocument(document string) {
	if last := len(b.documents) - 1; last >= 0 && document <= b.documents[last] {
		panic("block: document " + document + " begun after " + b.documents[last])
	}
	b.documents = append(b.documents, document)
}

// Add maps a client block to a region; a later block replaces an equal one.
func (b *Builder) Add(prefix netip.Prefix, region string) {
	if len(b.documents) == 0 {
		b.documents = []string{""}
	}
	if b.indices == nil {
		b.indices = make(map[string]uint32)
	}
	index, known := b.indices[region]
	if !known {
		index = uint32(len(b.regions))
		b.indices[region] = index
		b.regions = append(b.regions, region)
	}
	b.entries.add(prefix, index, uint32(len(b.documents)-1))
}

// Table returns the table of all blocks added, and empties the builder.
func (b *Builder) Table() Table {
	b.entries.sort()
	table := Table{
		four:      (&family{}).replace(widthFour, edit{}, b.entries.four),
		six:       (&family{}).replace(widthSix, edit{}, b.entries.six),
		regions:   b.regions,
		documents: b.documents,
	}
	*b = Builder{}
	return table
}

// entriesOf returns the sorted blocks of one document, and adds regions that
// are new.
func entriesOf(regions *[]string, document uint32, blocks []Block) entries {
	indices := make(map[string]uint32)
	for i, region := range *regions {
		indices[region] = uint32(i)
	}
	var list entries
	for _, each := range blocks {
		index, known := indices[each.Region]
		if !known {
			index = uint32(len(*regions))
			indices[each.Region] = index
			*regions = append(*regions, each.Region)
		}
		list.add(each.Prefix, index, document)
	}
	list.sort()
	return list
}

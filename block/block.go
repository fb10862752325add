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
	ipv4 addressFamily
	ipv6 addressFamily
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
	from := &t.ipv6
	if address.Is4() {
		from = &t.ipv4
	}
	position, covered := from.longestMatch(addressKeyOf(address))
	if !covered {
		return "", false
	}
	return t.regions[from.regions[position]], true
}

// Len returns the number of client blocks.
func (t Table) Len() int {
	return t.ipv4.len() + t.ipv6.len()
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
	edit := documentEdit{
		removedDocument: noDocument,
		shiftFrom:       place,
	}
	if known {
		edit.removedDocument = place
	}
	switch {
	case known && len(blocks) == 0:
		next.documents = slices.Delete(slices.Clone(t.documents), place, place+1)
		edit.shift = -1
	case !known && len(blocks) > 0:
		next.documents = slices.Insert(slices.Clone(t.documents), place, document)
		edit.shift = 1
	}
	added := recordsOf(&next.regions, uint32(place), blocks)
	next.ipv4 = t.ipv4.replace(ipv4Bytes, edit, added.ipv4)
	next.ipv6 = t.ipv6.replace(ipv6Bytes, edit, added.ipv6)
	return next
}

// Builder collects the client blocks of many documents. The zero value is
// ready for use; its blocks belong to a document without a name until Begin.
type Builder struct {
	records   blockRecords
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
	b.records.add(prefix, index, uint32(len(b.documents)-1))
}

// Table returns the table of all blocks added, and empties the builder.
func (b *Builder) Table() Table {
	b.records.sortUnique()
	table := Table{
		ipv4:      (&addressFamily{}).replace(ipv4Bytes, documentEdit{}, b.records.ipv4),
		ipv6:      (&addressFamily{}).replace(ipv6Bytes, documentEdit{}, b.records.ipv6),
		regions:   b.regions,
		documents: b.documents,
	}
	*b = Builder{}
	return table
}

// recordsOf returns the sorted blocks of one document, and adds regions that
// are new.
func recordsOf(regions *[]string, document uint32, blocks []Block) blockRecords {
	indices := make(map[string]uint32)
	for i, region := range *regions {
		indices[region] = uint32(i)
	}
	var list blockRecords
	for _, each := range blocks {
		index, known := indices[each.Region]
		if !known {
			index = uint32(len(*regions))
			indices[each.Region] = index
			*regions = append(*regions, each.Region)
		}
		list.add(each.Prefix, index, document)
	}
	list.sortUnique()
	return list
}

// Package block maps client blocks, which are IP prefixes, to regions. A table
// holds the prefixes sorted by address, in arrays that contain no pointers, so that
// the garbage collector does not scan them. A block takes 13 bytes for IPv4 and 25
// for IPv6. A look-up is a binary search; if that finds no match, a further search
// follows for each shorter prefix length in use, until one matches. Replacing the
// blocks of one document copies the arrays. Each run of blocks in which none is added
// or removed is copied at once.
package block

import (
	"net/netip"
	"slices"
)

// Table maps addresses to regions by longest prefix match over client blocks. It
// is immutable. The zero value matches nothing.
type Table struct {
	ipv4 familyTable
	ipv6 familyTable
	// regions and documents hold names, to which ipv4 and ipv6 refer by index.
	// documents is sorted.
	regions   []string
	documents []string
}

// Block is one client block and its region.
type Block struct {
	Prefix netip.Prefix
	Region string
}

// Region returns the region of an address, and whether any client block contains
// the address.
func (t Table) Region(address netip.Addr) (string, bool) {
	address = address.Unmap()
	family := &t.ipv6
	if address.Is4() {
		family = &t.ipv4
	}
	position, covered := family.longestMatch(addressKeyOf(address))
	if !covered {
		return "", false
	}
	return t.regions[family.regions[position]], true
}

// Len returns the number of client blocks. A block that several documents list
// counts once for each.
func (t Table) Len() int {
	return t.ipv4.len() + t.ipv6.len()
}

// Replace returns a table in which a document's client blocks are replaced by
// those given; without any, the document is removed. If several documents have an
// equal block, the document whose name sorts last determines the region. If a
// document repeats a block, the last one counts.
func (t Table) Replace(document string, blocks []Block) Table {
	next := Table{
		regions: slices.Clone(t.regions),
	}
	number, known := slices.BinarySearch(t.documents, document)
	next.documents = t.documents
	edit := documentEdit{
		removedDocument: noDocument,
		shiftFrom:       number,
	}
	if known {
		edit.removedDocument = number
	}
	switch {
	case known && len(blocks) == 0:
		next.documents = slices.Delete(slices.Clone(t.documents), number, number+1)
		edit.shiftBy = -1
	case !known && len(blocks) > 0:
		next.documents = slices.Insert(slices.Clone(t.documents), number, document)
		edit.shiftBy = 1
	}
	added := newDocumentRecords(&next.regions, uint32(number), blocks)
	next.ipv4 = t.ipv4.replace(ipv4Bytes, edit, added.ipv4)
	next.ipv6 = t.ipv6.replace(ipv6Bytes, edit, added.ipv6)
	return next
}

// Builder builds a Table from the client blocks of many documents. The zero value
// is ready for use. Blocks added before BeginDocument belong to a document with an
// empty name.
type Builder struct {
	records blockRecords
	regions []string
	// regionIndices maps each name in regions to its index.
	regionIndices map[string]uint32
	documents     []string
}

// BeginDocument starts a document, to which the blocks added next belong. It
// panics unless documents are started in the order of their names.
func (b *Builder) BeginDocument(document string) {
	if last := len(b.documents) - 1; last >= 0 && document <= b.documents[last] {
		panic("block: document " + document + " begun after " + b.documents[last])
	}
	b.documents = append(b.documents, document)
}

// Add adds a client block to the current document. It replaces an equal block that
// was added to the same document before.
func (b *Builder) Add(prefix netip.Prefix, region string) {
	if len(b.documents) == 0 {
		b.documents = []string{""}
	}
	if b.regionIndices == nil {
		b.regionIndices = make(map[string]uint32)
	}
	index, known := b.regionIndices[region]
	if !known {
		index = uint32(len(b.regions))
		b.regionIndices[region] = index
		b.regions = append(b.regions, region)
	}
	b.records.add(prefix, index, uint32(len(b.documents)-1))
}

// Table returns the table of all blocks added and resets the builder.
func (b *Builder) Table() Table {
	b.records.sortUnique()
	table := Table{
		ipv4:      (&familyTable{}).replace(ipv4Bytes, documentEdit{}, b.records.ipv4),
		ipv6:      (&familyTable{}).replace(ipv6Bytes, documentEdit{}, b.records.ipv6),
		regions:   b.regions,
		documents: b.documents,
	}
	*b = Builder{}
	return table
}

// newDocumentRecords returns the sorted records of a document's blocks. document is
// the index of the document's name. Names of new regions are appended to regions.
func newDocumentRecords(regions *[]string, document uint32, blocks []Block) blockRecords {
	indices := make(map[string]uint32)
	for i, region := range *regions {
		indices[region] = uint32(i)
	}
	var records blockRecords
	for _, each := range blocks {
		index, known := indices[each.Region]
		if !known {
			index = uint32(len(*regions))
			indices[each.Region] = index
			*regions = append(*regions, each.Region)
		}
		records.add(each.Prefix, index, document)
	}
	records.sortUnique()
	return records
}

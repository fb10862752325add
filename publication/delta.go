package publication

import (
	"bytes"
	"slices"
	"strings"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/intent"
)

// Diff returns a delta with the documents that were changed, added or removed
// between two sets. The caller fills in the version and the other fields.
func Diff(from, to []intent.Document) *teaselv1.Delta {
	delta := &teaselv1.Delta{}
	old := contentsByName(from)
	for _, doc := range to {
		content, known := old[doc.Name]
		if !known || !bytes.Equal(content, doc.Content) {
			delta.Changed = append(delta.Changed, &teaselv1.Document{
				Name:    doc.Name,
				Content: doc.Content,
			})
		}
	}
	kept := contentsByName(to)
	for _, doc := range from {
		if _, known := kept[doc.Name]; !known {
			delta.Removed = append(delta.Removed, doc.Name)
		}
	}
	return delta
}

// Apply returns the documents that result from applying a delta, in name order. A
// delta without parent is a snapshot and replaces all documents. Apply doesn't
// modify its arguments.
func Apply(documents []intent.Document, delta *teaselv1.Delta) []intent.Document {
	replaced := make(map[string]bool)
	for _, name := range delta.GetRemoved() {
		replaced[name] = true
	}
	for _, changed := range delta.GetChanged() {
		replaced[changed.GetName()] = true
	}
	var next []intent.Document
	if delta.GetParent() != 0 {
		next = slices.DeleteFunc(slices.Clone(documents), func(doc intent.Document) bool {
			return replaced[doc.Name]
		})
	}
	for _, changed := range delta.GetChanged() {
		next = append(next, intent.Document{
			Name:    changed.GetName(),
			Content: changed.GetContent(),
		})
	}
	slices.SortFunc(next, func(a, b intent.Document) int {
		return strings.Compare(a.Name, b.Name)
	})
	return next
}

// contentsByName returns the contents of documents by their names.
func contentsByName(documents []intent.Document) map[string][]byte {
	contents := make(map[string][]byte, len(documents))
	for _, doc := range documents {
		contents[doc.Name] = doc.Content
	}
	return contents
}

package publication

import (
	"bytes"
	"slices"
	"strings"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/intent"
)

// Diff returns the delta that turns one set of documents into another.
func Diff(from, to []intent.Document) *teaselv1.Delta {
	delta := &teaselv1.Delta{}
	old := byName(from)
	for _, doc := range to {
		content, known := old[doc.Name]
		if !known || !bytes.Equal(content, doc.Content) {
			delta.Changed = append(delta.Changed, &teaselv1.Document{
				Name:    doc.Name,
				Content: doc.Content,
			})
		}
	}
	kept := byName(to)
	for _, doc := range from {
		if _, known := kept[doc.Name]; !known {
			delta.Removed = append(delta.Removed, doc.Name)
		}
	}
	return delta
}

// Apply returns the documents after a delta, in name order. The argument is
// left as it is; a delta without parent begins from nothing.
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

func byName(documents []intent.Document) map[string][]byte {
	contents := make(map[string][]byte, len(documents))
	for _, doc := range documents {
		contents[doc.Name] = doc.Content
	}
	return contents
}

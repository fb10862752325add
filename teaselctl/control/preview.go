package control

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/teaselstack/teaselstack/publication"
)

// WritePreview prints the documents that a publication would add, change and
// remove, its expected effects, and its warnings.
func WritePreview(w io.Writer, preview *publication.Preview) {
	if preview.Empty() {
		fmt.Fprintf(w, "no difference from version %d\n", preview.BaseVersion)
	}
	for _, group := range []struct {
		marker string
		names  []string
	}{
		{
			marker: "+",
			names:  preview.Added,
		},
		{
			marker: "~",
			names:  preview.Changed,
		},
		{
			marker: "-",
			names:  preview.Removed,
		},
	} {
		for _, name := range group.names {
			fmt.Fprintln(w, group.marker, name)
		}
	}
	if len(preview.Effects) > 0 {
		table := newTable(w)
		fmt.Fprintln(table, "SERVICE\tREGION\tFIGURE\tBEFORE\tAFTER")
		for _, effect := range preview.Effects {
			fmt.Fprintf(table, "%s\t%s\t%s\t%g\t%g\n",
				orDash(effect.Service), effect.Region, effect.Figure, effect.Before, effect.After)
		}
		_ = table.Flush()
	}
	for _, warning := range preview.Warnings {
		fmt.Fprintln(w, "warning:", warning)
	}
}

// orDash returns text, or "-" if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// WriteHistory prints a table with one line for each version. A hyphen precedes the
// names of removed documents.
func WriteHistory(w io.Writer, versions []PublishedVersion) {
	table := newTable(w)
	fmt.Fprintln(table, "VERSION\tPUBLISHED\tAUTHOR\tPUBLISH ID\tDOCUMENTS")
	for _, version := range versions {
		documents := strings.Join(version.Changed, ", ")
		for _, name := range version.Removed {
			documents += " -" + name
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n",
			version.Version, version.Published.Format(time.RFC3339), version.Author, version.PublishID, documents)
	}
	_ = table.Flush()
}

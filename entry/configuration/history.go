package configuration

import (
	"google.golang.org/protobuf/proto"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
)

// maxHistoryDeltas and maxHistoryBytes limit the number and the total encoded size of the
// deltas that an entry keeps for its peers.
const (
	maxHistoryDeltas = 256
	maxHistoryBytes  = 1 << 20
)

// deltaHistory holds the newest deltas, oldest first, each the successor of the one
// before it. The zero value is empty.
type deltaHistory struct {
	deltas []*teaselv1.Delta
	// bytes is the total encoded size of deltas.
	bytes int
}

// add appends deltas and drops the oldest ones beyond the limits. A delta without
// a parent holds a whole configuration and clears the history.
func (h *deltaHistory) add(deltas []*teaselv1.Delta) {
	for _, delta := range deltas {
		if delta.GetParent() == 0 {
			*h = deltaHistory{}
			continue
		}
		h.deltas = append(h.deltas, delta)
		h.bytes += proto.Size(delta)
	}
	for len(h.deltas) > maxHistoryDeltas || h.bytes > maxHistoryBytes {
		h.bytes -= proto.Size(h.deltas[0])
		h.deltas = h.deltas[1:]
	}
}

// since returns the deltas that follow a version, or nil if the history has no delta
// whose parent is that version.
func (h *deltaHistory) since(after uint64) []*teaselv1.Delta {
	for i, delta := range h.deltas {
		if delta.GetParent() == after {
			return append([]*teaselv1.Delta(nil), h.deltas[i:]...)
		}
	}
	return nil
}

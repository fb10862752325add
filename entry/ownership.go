package main

import (
	"context"
	"fmt"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/fencing"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/timeline"
)

// acquireOwnership tries to acquire the ownership of this entry, the exclusive right to
// act for it, with an incarnation above all those that the platform and the peers know.
// An older process of the entry stops when it learns of the higher incarnation. If the
// platform is unreachable, the incarnation is provisional; see Acquire in package fencing.
// Peers, the time line and the log call the ownership the entry's seat.
func (n *node) acquireOwnership(table platform.Table) *fencing.Ownership {
	ownership := &fencing.Ownership{
		Entry:       n.settings.Name,
		PeerAddress: n.settings.PeersAddress,
		Peers:       n.settings.Peers,
		Table:       table,
		Events:      n.events,
		OnLost:      n.handleOwnershipLost,
		QueryPeer: func(ctx context.Context, address string) (uint64, error) {
			response, err := teaselv1.NewPeerServiceProtobufClient("http://"+address, n.peerClient).
				Seat(ctx, &teaselv1.SeatRequest{
					Entry: n.settings.Name,
				})
			return response.GetIncarnation(), err
		},
	}
	ownership.Acquire(context.Background())
	return ownership
}

// handleOwnershipLost makes this process shut down, since another process has acquired the
// ownership of the entry with the given incarnation. Both package fencing and the roster
// call it; calls after the first do nothing.
func (n *node) handleOwnershipLost(incarnation uint64) {
	n.ownershipLostOnce.Do(func() {
		n.events.Record(timeline.Event{
			Kind:   "seat-lost",
			Detail: fmt.Sprintf("to incarnation=%d", incarnation),
		})
		n.logger.Error().Str("event", "seat-lost").Uint64("to", incarnation).Msg("")
		close(n.ownershipLost)
	})
}

package main

import (
	"context"
	"fmt"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/fencing"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/timeline"
)

// acquireSeat acquires this entry's seat, the exclusive right to act for the entry, with
// an incarnation above all earlier ones. The higher incarnation fences off an older
// process of the entry.
func (n *node) acquireSeat(table platform.Table) *fencing.Ownership {
	seat := &fencing.Ownership{
		Entry:       n.settings.Name,
		PeerAddress: n.settings.PeersAddress,
		Peers:       n.settings.Peers,
		Table:       table,
		Events:      n.events,
		OnLost:      n.handleSeatLost,
		QueryPeer: func(ctx context.Context, address string) (uint64, error) {
			response, err := teaselv1.NewPeerServiceProtobufClient("http://"+address, n.peerClient).
				Seat(ctx, &teaselv1.SeatRequest{
					Entry: n.settings.Name,
				})
			return response.GetIncarnation(), err
		},
	}
	seat.Acquire(context.Background())
	return seat
}

// handleSeatLost makes this process shut down, since another process has taken the seat
// with the given, higher incarnation.
func (n *node) handleSeatLost(incarnation uint64) {
	n.supersededOnce.Do(func() {
		n.events.Record(timeline.Event{
			Kind:   "seat-lost",
			Detail: fmt.Sprintf("to incarnation=%d", incarnation),
		})
		n.logger.Error().Str("event", "seat-lost").Uint64("to", incarnation).Msg("")
		close(n.superseded)
	})
}

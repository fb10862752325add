package main

import (
	"context"
	"fmt"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/fencing"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/timeline"
)

// acquireSeat tries to acquire this entry's seat, the exclusive right to act for the
// entry, with an incarnation above all those that the platform and the peers know. An
// older process of the entry stops when it learns of the higher incarnation. If the
// platform is unreachable, the incarnation is provisional; see [fencing.Seat.Acquire].
func (n *node) acquireSeat(table platform.Table) *fencing.Seat {
	seat := &fencing.Seat{
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
// with the given incarnation. Both the seat and the roster call it; calls after the first
// do nothing.
func (n *node) handleSeatLost(incarnation uint64) {
	n.seatLostOnce.Do(func() {
		n.events.Record(timeline.Event{
			Kind:   "seat-lost",
			Detail: fmt.Sprintf("to incarnation=%d", incarnation),
		})
		n.logger.Error().Str("event", "seat-lost").Uint64("to", incarnation).Msg("")
		close(n.seatLost)
	})
}

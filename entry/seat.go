package main

import (
	"context"
	"fmt"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/lease"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/timeline"
)

// takeSeat takes this entry's seat under a higher incarnation than any before.
func (m *machine) takeSeat(table platform.Table) *lease.Seat {
	seat := &lease.Seat{
		Entry:       m.settings.Name,
		PeerAddress: m.settings.PeersAddress,
		Peers:       m.settings.Peers,
		Table:       table,
		Events:      m.events,
		OnLost:      m.giveUpSeat,
		QueryPeer: func(ctx context.Context, address string) (uint64, error) {
			response, err := teaselv1.NewPeerServiceProtobufClient("http://"+address, m.peers).
				Seat(ctx, &teaselv1.SeatRequest{
					Entry: m.settings.Name,
				})
			return response.GetIncarnation(), err
		},
	}
	seat.Acquire(context.Background())
	return seat
}

// giveUpSeat stops this process: another one has its seat, and a higher
// incarnation.
func (m *machine) giveUpSeat(incarnation uint64) {
	m.supersededOnce.Do(func() {
		m.events.Record(timeline.Event{
			Kind:   "seat-lost",
			Detail: fmt.Sprintf("to incarnation=%d", incarnation),
		})
		m.logger.Error().Str("event", "seat-lost").Uint64("to", incarnation).Msg("")
		close(m.superseded)
	})
}

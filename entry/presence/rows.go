package presence

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
)

// syncRows writes this entry's row once, retrying until that succeeds, and then reads the
// rows of all entries at intervals until ctx is done. It logs when the store becomes
// unreachable and reachable again.
func (t *Tracker) syncRows(ctx context.Context) {
	written, failing := false, false
	interval := minReadInterval
	for ctx.Err() == nil {
		err := error(nil)
		if !written {
			err = t.writeRow(ctx)
			written = err == nil
		}
		if err == nil {
			var added int
			if added, err = t.readRows(ctx); added > 0 {
				t.Announce()
			}
		}
		switch {
		case ctx.Err() != nil:
			return
		case err != nil && !failing:
			t.Logger.Warn().Str("event", "store-lost").Str("table", entriesTable).Err(err).Msg("")
		case err == nil && failing:
			t.Logger.Info().Str("event", "store-regained").Str("table", entriesTable).Msg("")
		}
		failing = err != nil
		if failing {
			interval = minReadInterval
		} else {
			interval = min(maxReadInterval, readIntervalGrowth*interval)
		}
		sleep(ctx, interval)
	}
}

// writeRow writes this entry's row, which contains everything that Entry holds but
// Serving.
func (t *Tracker) writeRow(ctx context.Context) error {
	self := t.Self()
	content, err := proto.Marshal(&teaselv1.Presence{
		Name:          self.Name,
		Region:        self.Region,
		FailureDomain: self.FailureDomain,
		Callers:       self.CallerAddress,
		Peers:         self.PeerAddress,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return t.Store.PutRow(ctx, entriesTable, self.Name, content)
}

// readRows adds the other entries that have a row to the peers. It replaces a known peer
// only if the peer has timed out and its row is newer than the last one read. A peer that
// is added or replaced counts as timed out until a datagram arrives from it, since a row
// does not show that its entry is alive. readRows returns the number of these peers.
func (t *Tracker) readRows(ctx context.Context) (added int, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	table, err := t.Store.ReadTable(ctx, entriesTable)
	if err != nil {
		return 0, err
	}
	self := t.Self().Name
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, row := range table.Rows {
		var message teaselv1.Presence
		if err := proto.Unmarshal(row.Value, &message); err != nil || message.GetName() != row.Key {
			t.Logger.Warn().Str("event", "member-unreadable").Str("row", row.Key).Uint64("row-version", row.Version).Msg("")
			continue
		}
		existing := t.peers[row.Key]
		if row.Key == self || existing != nil && (existing.rowVersion >= row.Version || !existing.timedOut(now)) {
			continue
		}
		t.peers[row.Key] = &peer{
			Entry:      entryOf(&message),
			rowVersion: row.Version,
		}
		added++
	}
	return added, nil
}

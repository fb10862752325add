package presence

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/platform"
)

// syncRows writes this entry's row, retrying until that succeeds, and again after each
// signal on changed, after a pause of minWriteInterval, and after each return of the store from
// a copy, which may have lost it. Once it is written, syncRows reads the rows of all entries at
// intervals, until ctx is done. It logs when the store becomes unreachable and reachable
// again.
func (t *Tracker) syncRows(ctx context.Context, changed <-chan struct{}) {
	created, stale, failing := false, false, false
	var nextRead, lastWrite time.Time
	readInterval := minReadInterval
	for ctx.Err() == nil {
		_, eraEnded := t.Store.Eras.Current()
		err := error(nil)
		switch {
		case !created:
			err = t.createRow(ctx)
			created = err == nil
		case stale:
			err = t.writeRow(ctx)
		}
		if stale && err == nil {
			stale, lastWrite = false, time.Now()
		}
		if err == nil && !time.Now().Before(nextRead) {
			if err = t.readRows(ctx); err == nil {
				readInterval = min(maxReadInterval, readIntervalGrowth*readInterval)
				nextRead = time.Now().Add(readInterval)
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
			readInterval = minReadInterval
			sleep(ctx, minReadInterval)
			continue
		}
		timer := time.NewTimer(time.Until(nextRead))
		select {
		case <-ctx.Done():
		case <-changed:
			stale = true
			sleep(ctx, time.Until(lastWrite.Add(minWriteInterval)))
		case <-eraEnded.Done():
			stale = true
			sleep(ctx, rand.N(maxRewriteDelay))
			t.Logger.Info().Str("event", "row-rewritten").Msg("")
		case <-timer.C:
		}
		timer.Stop()
	}
}

// createRow writes this entry's row. If there is one already, of an earlier process, it
// applies that one first, because what it holds would otherwise be lost.
func (t *Tracker) createRow(ctx context.Context) error {
	content, err := t.encodeRow()
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	existing, err := t.Store.CreateRow(callCtx, entriesTable, t.Self().Name, content)
	if err != nil || existing == nil {
		return err
	}
	if _, err := t.decodeRow(existing); err != nil {
		t.logUnreadable(existing, err)
	}
	return t.writeRow(ctx)
}

// writeRow writes this entry's row.
func (t *Tracker) writeRow(ctx context.Context) error {
	content, err := t.encodeRow()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return t.Store.PutRow(ctx, entriesTable, t.Self().Name, content)
}

// encodeRow returns the content of this entry's row: everything that Entry holds but
// Serving, and what FillRow adds.
func (t *Tracker) encodeRow() ([]byte, error) {
	self := t.Self()
	message := &teaselv1.Presence{
		Name:          self.Name,
		Region:        self.Region,
		FailureDomain: self.FailureDomain,
		Callers:       self.CallerAddress,
		Peers:         self.PeerAddress,
	}
	if t.FillRow != nil {
		t.FillRow(message)
	}
	return proto.Marshal(message)
}

// decodeRow decodes the row of any entry and passes it to ApplyRow.
func (t *Tracker) decodeRow(row *platform.StoreRow) (*teaselv1.Presence, error) {
	var message teaselv1.Presence
	if err := proto.Unmarshal(row.Value, &message); err != nil {
		return nil, errors.Wrapf(err, "decode row %s", row.Key)
	}
	if message.GetName() != row.Key {
		return nil, errors.Errorf("decode row %s: its name is %q", row.Key, message.GetName())
	}
	if t.ApplyRow != nil {
		t.ApplyRow(&message)
	}
	return &message, nil
}

// logUnreadable logs that a row of an entry can't be decoded.
func (t *Tracker) logUnreadable(row *platform.StoreRow, err error) {
	t.Logger.Warn().Str("event", "member-unreadable").Str("row", row.Key).Uint64("row-version", row.Version).Err(err).Msg("")
}

// readRows adds the other entries that have a row to the peers. It replaces a known peer
// only if the peer has timed out and its row is newer than the last one read. A peer that
// is added or replaced counts as timed out until a datagram arrives from it, since a row
// does not show that its entry is alive. If there are such peers, readRows announces this
// entry.
func (t *Tracker) readRows(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	table, err := t.Store.ReadTable(ctx, entriesTable)
	if err != nil {
		return err
	}
	added := 0
	for i := range table.Rows {
		message, err := t.decodeRow(&table.Rows[i])
		if err != nil {
			t.logUnreadable(&table.Rows[i], err)
			continue
		}
		position := platform.Position{
			Era:     table.Era,
			Version: table.Rows[i].Version,
		}
		if t.addPeer(message, position) {
			added++
		}
	}
	if added > 0 {
		t.Announce()
	}
	return nil
}

// addPeer adds or replaces the peer that a row at a position describes, see readRows, and reports
// whether it did.
func (t *Tracker) addPeer(message *teaselv1.Presence, position platform.Position) bool {
	name := message.GetName()
	if name == t.Self().Name {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	existing := t.peers[name]
	if existing != nil && (!existing.olderRow(position) || !existing.timedOut(time.Now())) {
		return false
	}
	t.peers[name] = &peer{
		Entry:       entryOf(message),
		rowPosition: position,
	}
	return true
}

// olderRow reports whether the row from which the peer was last read, if any, is older than one at
// a position. Those of different eras can't be compared, and the store's is the one that counts.
func (p *peer) olderRow(position platform.Position) bool {
	return p.rowPosition.Era != position.Era || p.rowPosition.Version < position.Version
}

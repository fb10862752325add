package presence

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
)

// list writes this entry's row and reads those of others.
func (r *Tracker) list(ctx context.Context) {
	written, lost := false, false
	pause := listFirst
	for ctx.Err() == nil {
		err := error(nil)
		if !written {
			err = r.write(ctx)
			written = err == nil
		}
		if err == nil {
			err = r.read(ctx)
		}
		switch {
		case ctx.Err() != nil:
			return
		case err != nil && !lost:
			r.Logger.Warn().Str("event", "store-lost").Str("table", table).Err(err).Msg("")
		case err == nil && lost:
			r.Logger.Info().Str("event", "store-regained").Str("table", table).Msg("")
		}
		lost = err != nil
		if lost {
			pause = listFirst
		} else {
			pause = min(listMost, 2*pause)
		}
		sleep(ctx, pause)
	}
}

func (r *Tracker) write(ctx context.Context) error {
	self := r.Self()
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
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Store.PutRow(ctx, table, self.Name, content)
}

// read takes the rows over. A row tells where an entry is, not that it lives.
func (r *Tracker) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	all, err := r.Store.ReadTable(ctx, table)
	if err != nil {
		return err
	}
	self := r.Self().Name
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range all.Rows {
		var told teaselv1.Presence
		if err := proto.Unmarshal(row.Value, &told); err != nil || told.GetName() != row.Key {
			r.Logger.Warn().Str("event", "member-unreadable").Str("row", row.Key).Uint64("row-version", row.Version).Msg("")
			continue
		}
		known := r.members[row.Key]
		if row.Key == self || known != nil && (known.version >= row.Version || !known.silent(now)) {
			continue
		}
		r.members[row.Key] = &member{
			Entry:   memberOf(&told),
			version: row.Version,
		}
	}
	return nil
}

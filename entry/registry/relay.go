package registry

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/platform"
)

// Changes is an entry's answer to another entry that asks it for the changes of a table
// instead of asking the store.
type Changes struct {
	Rows []platform.StoreRow `json:"rows,omitempty"`
	// Version is the version from which the next call continues, in the era of the call.
	Version uint64 `json:"version"`
	// Held is how long the answering entry held the call, and Age how long ago the store
	// confirmed to it that it knows all changes.
	Held time.Duration `json:"held"`
	Age  time.Duration `json:"age"`
	// FailureAge is how long ago the answering entry's last failed call for the table was,
	// and 0 if there was none.
	FailureAge time.Duration `json:"failure-age,omitempty"`
}

// Reader asks another entry for the changes of a table after a position. The other entry holds
// the call for up to the given time until there are any.
type Reader func(ctx context.Context, table string, after platform.Position, wait time.Duration) (Changes, error)

// errNotCurrent is the answer of an entry whose last call for a table failed, or that hasn't
// read it.
var errNotCurrent = errors.New("the entry does not follow the table at present")

// An entry with a reader must learn of a change no later than one that asks the store after
// each pause of ServerPollPause. So the state that it knows of a table must have been
// confirmed by the store, to it or to its reader, within that time; else it asks the store.
// The constants are fractions of it.
const (
	// readerPollShare and readerPauseShare are the fractions for which the store may hold a
	// reader's call, and for which a reader pauses after a call for the server table, so that
	// one call brings the changes of many servers. Without the pause, the store may hold the
	// call for as much longer. The sum is the time between two confirmations; it leaves time
	// for the round trips to the store and from entry to entry.
	readerPollShare  = 0.5
	readerPauseShare = 0.2
	// maxConfirmationAge is the age of the last confirmation at which an entry stops waiting
	// for its reader, and minReaderWait the remaining time below which it does not ask.
	maxConfirmationAge = 0.95
	minReaderWait      = 0.1
	// readerRetryTime is how long an entry asks the store after its reader failed it.
	readerRetryTime = 3 * time.Second
	// maxLoggedChanges is the number of changes of a table that an entry keeps for others.
	maxLoggedChanges = 4096
)

// tableLog holds the recent changes of a table, for other entries.
type tableLog struct {
	// rows holds the changes after version base, oldest first, and version is that of the
	// newest state known. All are of the same era.
	era     platform.Era
	rows    []platform.StoreRow
	base    uint64
	version uint64
	// confirmedAt is when the store last confirmed that there are no further changes.
	confirmedAt time.Time
	// current reports whether the last call for the table succeeded.
	current bool
	// updated is closed, and replaced, when a call for the table has ended.
	updated chan struct{}
}

// logFor returns the log of a table. r.mu must be held.
func (r *Registry) logFor(table string) *tableLog {
	if r.logs == nil {
		r.logs = make(map[string]*tableLog)
	}
	log := r.logs[table]
	if log == nil {
		log = &tableLog{
			updated: make(chan struct{}),
		}
		r.logs[table] = log
	}
	return log
}

// logReplaced records a full read of a table in its log.
func (r *Registry) logReplaced(table string, position platform.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	log := r.logFor(table)
	if log.era != position.Era {
		log.era, log.version = position.Era, 0
	}
	log.rows, log.base, log.version = nil, position.Version, max(log.version, position.Version)
	log.confirm(time.Now())
}

// logChanged records changes of a table in its log. Another entry may have confirmed them
// earlier.
func (r *Registry) logChanged(table string, rows []platform.StoreRow, version uint64, confirmedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	log := r.logFor(table)
	log.rows = append(log.rows, rows...)
	if excess := len(log.rows) - maxLoggedChanges; excess > 0 {
		log.base = log.rows[excess-1].Version
		log.rows = slices.Clone(log.rows[excess:])
	}
	log.version = max(log.version, version)
	if confirmedAt.Before(log.confirmedAt) {
		confirmedAt = log.confirmedAt
	}
	log.confirm(confirmedAt)
}

// logFailed records a failed call for a table in its log.
func (r *Registry) logFailed(table string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	log := r.logFor(table)
	log.current = false
	log.wake()
}

// confirm records that the store has confirmed the state. The registry's lock must be held.
func (l *tableLog) confirm(at time.Time) {
	l.confirmedAt, l.current = at, true
	l.wake()
}

// wake ends the waits for a change of the log. The registry's lock must be held.
func (l *tableLog) wake() {
	close(l.updated)
	l.updated = make(chan struct{})
}

// Changes answers another entry that asks for the changes of a table after a position. It
// waits until there are any, until the store confirms that there are none, or until wait has
// passed. If this entry no longer has the changes, or follows another era of the store, the
// error is platform.ErrHistoryGone.
func (r *Registry) Changes(ctx context.Context, table string, after platform.Position, wait time.Duration) (Changes, error) {
	started := time.Now()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	expired := false
	for {
		changes, confirmedAt, updated, err := r.changesNow(table, after)
		changes.Held = time.Since(started)
		if err != nil || expired || len(changes.Rows) > 0 || confirmedAt.After(started) {
			return changes, err
		}
		select {
		case <-updated:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return changes, ctx.Err()
		}
	}
}

// changesNow returns the known changes of a table after a position, when the store confirmed
// them, and a channel that is closed when a call for the table has ended.
func (r *Registry) changesNow(table string, after platform.Position) (Changes, time.Time, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	log := r.logs[table]
	switch {
	case log == nil || !log.current:
		return Changes{}, time.Time{}, nil, errNotCurrent
	case after.Era != log.era || after.Version < log.base:
		return Changes{}, time.Time{}, nil, platform.ErrHistoryGone
	}
	changes := Changes{
		Version: max(after.Version, log.version),
		Age:     time.Since(log.confirmedAt),
	}
	for _, row := range log.rows {
		if row.Version > after.Version {
			changes.Rows = append(changes.Rows, row)
		}
	}
	if table == platform.ServerTable && !r.lastServerTableFailure.IsZero() {
		changes.FailureAge = time.Since(r.lastServerTableFailure)
	}
	return changes, log.confirmedAt, log.updated, nil
}

// pollReader asks the entry's reader for the changes of a table after a position, and returns
// the new position. read is false if there is no reader, if the last confirmation of the store
// is too old to wait for the reader, if the reader no longer has the changes, or if it did not
// answer in time with a newer state. The caller then asks the store.
func (r *Registry) pollReader(ctx context.Context, watched tableWatch, position platform.Position) (newPosition platform.Position, read bool) {
	reader := r.currentReader()
	pause := float64(r.ServerPollPause())
	wait := time.Until(r.confirmedAt(watched.table).Add(time.Duration(maxConfirmationAge * pause)))
	if reader == nil || wait < time.Duration(minReaderWait*pause) {
		return position, false
	}
	era, eraEnded := watched.store.Eras.Current()
	if position.Era != era {
		return position, false
	}
	readerCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	defer context.AfterFunc(eraEnded, cancel)()
	wait = min(wait, r.maxLongPoll(watched.table))
	sentAt := time.Now()
	changes, err := reader(readerCtx, watched.table, position, wait)
	switch confirmedAt := sentAt.Add(changes.Held - changes.Age); {
	case ctx.Err() != nil:
		return position, true
	case errors.Is(err, platform.ErrHistoryGone) || eraEnded.Err() != nil:
		// The store itself may still have the changes, or says that its era has changed.
		return position, false
	case err == nil && float64(time.Since(confirmedAt)) > maxConfirmationAge*pause:
		err = errors.Errorf("the reader's state was confirmed %s ago", time.Since(confirmedAt))
	case err == nil:
		if changes.FailureAge > 0 {
			r.recordReaderFailure(time.Now().Add(-changes.FailureAge))
		}
		watched.apply(changes.Rows)
		position.Version = max(position.Version, changes.Version)
		r.logChanged(watched.table, changes.Rows, position.Version, confirmedAt)
		return position, true
	}
	r.mu.Lock()
	r.readerRetryAt = time.Now().Add(readerRetryTime)
	r.mu.Unlock()
	r.Logger.Warn().Str("event", "reader-failed").Str("table", watched.table).Uint64("version", position.Version).Err(err).Msg("")
	return position, false
}

// confirmedAt returns when the store last confirmed that this entry knows all changes of a
// table.
func (r *Registry) confirmedAt(table string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.logFor(table).confirmedAt
}

// currentReader returns the entry's reader, or nil if the entry asks the store itself.
func (r *Registry) currentReader() Reader {
	if r.FindReader == nil {
		return nil
	}
	r.mu.Lock()
	retryAt := r.readerRetryAt
	r.mu.Unlock()
	if time.Now().Before(retryAt) {
		return nil
	}
	reader, _ := r.FindReader()
	return reader
}

// readsForOthers reports whether other entries ask this one for changes.
func (r *Registry) readsForOthers() bool {
	if r.FindReader == nil {
		return false
	}
	_, forOthers := r.FindReader()
	return forOthers
}

// recordReaderFailure records the time of a reader's failed call for the server table, so that
// the grace period for missing registrations is the same as at the reader.
func (r *Registry) recordReaderFailure(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.lastServerTableFailure) {
		r.lastServerTableFailure = at
	}
}

// Package registry keeps a local copy of two tables of the platform's store: the
// operator table, with the configuration and the evacuations of failure domains, and the
// server table, with the registrations of the backend servers. While the store is
// unreachable, the last valid state stays in use.
package registry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"

	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/routing"
)

// Registry watches the operator and server tables of the store and passes their
// changes to its callbacks. The exported fields must be set before Run is called and not
// changed afterwards.
type Registry struct {
	// OperatorStore and ServerStore are the clients that read the operator table
	// and the server table.
	OperatorStore *platform.Client
	ServerStore   *platform.Client
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// ServerPollPause returns how long to wait after a successful call for the server
	// table before the next one.
	ServerPollPause func() time.Duration
	// MaxLag is the target for how soon after the end of a store outage changes are
	// noticed again. A call that the store dropped during the outage ends only by its
	// timeout, so a long poll times out retryMargin before MaxLag, but no sooner than
	// minLongPoll plus callTimeout.
	MaxLag func() time.Duration
	// OnConfiguration is called with each newer configuration. The registry's lock is
	// held during the call, so it must not call Snapshot or TableAge.
	OnConfiguration func(*routing.Configuration)
	// OnEvacuations is called with the set of all evacuated failure domains after operator
	// rows have been read, whether or not the set has changed. The set may be nil and must
	// not be changed.
	OnEvacuations func(failureDomains map[string]bool)
	// OnServersUpdated is called with servers that were registered or whose registrations
	// changed.
	OnServersUpdated func([]routing.Server)
	// OnServersRemoved is called with the IDs of servers that are no longer registered, or
	// whose registrations can't be decoded.
	OnServersRemoved func(ids []string)
	// OnDoubtfulServers is called after each read of the server table, also one that brings
	// no rows, with the IDs of all doubtful servers: those that may be gone, because their
	// registrations are missing after an outage.
	OnDoubtfulServers func(ids []string)
	// OnServersConfirmed is called after each successful call for the server table, behind the
	// callbacks for its rows, with the time at which the store confirmed that there are no
	// further ones. It is not called within registrationGrace of the store's return from a copy,
	// while servers write again what the store has lost.
	OnServersConfirmed func(at time.Time)
	// SnapshotSources returns functions that each fetch a snapshot from another
	// entry. A starting entry uses them while the store does not answer.
	SnapshotSources func() []func(context.Context) (Snapshot, error)
	// RegistrationInterval returns the interval at which servers renew their registrations.
	RegistrationInterval func() time.Duration
	// FindReader returns the reader of this entry: the entry that reads the store for it. It
	// returns nil if this entry reads the store itself, and then whether it also does so for
	// others. If FindReader is nil, each entry reads for itself.
	FindReader func() (reader Reader, forOthers bool)
	Logger     *log.Logger

	configuration atomic.Pointer[routing.Configuration]
	serversLoaded atomic.Bool
	// applying is held while rows are applied, so that a snapshot replaces nothing that was read
	// from the store meanwhile.
	applying sync.Mutex

	// mu guards the fields below.
	mu sync.Mutex
	// lostEvacuations holds the keys of those operator rows that request evacuations and that the
	// store lacks since it came back from a copy, see keepEvacuations. They end at
	// lostEvacuationsEnd.
	lostEvacuations    map[string]bool
	lostEvacuationsEnd time.Time
	// rowVersions holds, by server ID, the newest known version of each row in the server
	// table, so that an older version doesn't replace it. The versions of removed rows are
	// not kept. They are those of serverEra.
	rowVersions map[string]uint64
	// serverEra is the era of the store of which the server rows were read.
	serverEra platform.Era
	// operatorRows and serverRows hold the undecoded rows by key, for Snapshot.
	operatorRows map[string]platform.StoreRow
	serverRows   map[string]platform.StoreRow
	// operatorEra is the era of the store of which the operator rows were read.
	operatorEra platform.Era
	// lastSuccess holds the time of the last successful call for each table.
	lastSuccess map[string]time.Time
	// held holds, by server ID, the rows of the store that are older than what is known of
	// their servers, see holdOlderRows. They are applied at heldUntil, unless newer rows come.
	held      map[string]platform.StoreRow
	heldUntil time.Time
	// removed holds, by server ID, the last rows of servers that were removed lately.
	removed map[string]removedRow
	// missing holds the IDs of the servers whose registrations went missing within
	// registrationGrace of lastServerTableFailure. The values are the times at which that
	// was noticed, and are not used.
	missing map[string]time.Time
	// lastServerTableFailure is the time of the last failed call for the server table, of
	// this entry or its reader, or of the store's last return from a copy.
	lastServerTableFailure time.Time
	// logs holds the recent changes by table.
	logs map[string]*tableLog
	// readerRetryAt is when the reader may be asked again.
	readerRetryAt time.Time
	// callFailed reports whether a call of the store has ever failed.
	callFailed bool
}

const (
	// callTimeout is the timeout of the read of one page of a table. The timeout of a long
	// poll is longPoll plus callTimeout.
	callTimeout = 1500 * time.Millisecond
	// firstReadTimeout is the timeout of the first full read of a table, of unknown size.
	firstReadTimeout = 4 * time.Second
	// pageRows is the number of rows in a page of the store.
	pageRows = 500
	// retryMargin is the part of MaxLag that is left for what follows a call that the store dropped:
	// the back-off, a new connection and the next call.
	retryMargin = 500 * time.Millisecond
	// minLongPoll is the lower limit of longPoll.
	minLongPoll = time.Second
	// minRetryDelay and maxRetryDelay bound the back-off after a failed call, before
	// jitter shortens it by up to half.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 300 * time.Millisecond
	// registrationGrace is how long after the last failed call for the server table a
	// missing registration doesn't yet count as removed, nor after the store's return from a
	// copy. According to the platform's documentation, the registration of a running backend
	// server may be missing for two seconds.
	registrationGrace = 2 * time.Second
)

// Configuration returns the newest configuration, or nil before the first.
func (r *Registry) Configuration() *routing.Configuration {
	return r.configuration.Load()
}

// Loaded reports whether both a configuration and the server table were read from the
// store or from a snapshot.
func (r *Registry) Loaded() bool {
	return r.configuration.Load() != nil && r.serversLoaded.Load()
}

// Run watches both tables until ctx is done. Until they are loaded, it also asks other
// entries for a snapshot.
func (r *Registry) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { r.watch(ctx, r.operatorWatch()) })
	group.Go(func() { r.watch(ctx, r.serverWatch()) })
	group.Go(func() { r.loadSnapshot(ctx) })
	group.Wait()
}

// tableWatch holds what watch needs to know about one table.
type tableWatch struct {
	store *platform.Client
	table string
	// pauses reports whether there is a pause after a successful call.
	pauses bool
	// replace is called with all rows of the table after a full read, and apply with
	// the changed and removed rows after a long poll.
	replace func(platform.StoreRows)
	apply   func([]platform.StoreRow)
}

func (r *Registry) operatorWatch() tableWatch {
	return tableWatch{
		store:   r.OperatorStore,
		table:   platform.OperatorTable,
		replace: r.replaceOperatorRows,
		apply:   r.applyOperatorRows,
	}
}

func (r *Registry) serverWatch() tableWatch {
	return tableWatch{
		store:   r.ServerStore,
		table:   platform.ServerTable,
		pauses:  true,
		replace: r.replaceServerRows,
		apply:   r.applyServerRows,
	}
}

// longPoll returns how long the store may hold a call while no row has changed: MaxLag
// less callTimeout and retryMargin, so that the next call ends within MaxLag, but at least
// minLongPoll. If MaxLag is less than these together, it may end later.
func (r *Registry) longPoll() time.Duration {
	return max(minLongPoll, r.MaxLag()-callTimeout-retryMargin)
}

// watch reads a table in full and then its changes, until ctx is done. It retries
// failed calls with a jittered back-off.
func (r *Registry) watch(ctx context.Context, watched tableWatch) {
	var position platform.Position
	loaded, failing := false, false
	delay := time.Duration(0)
	for ctx.Err() == nil {
		var err error
		relayed := false
		if loaded {
			position, relayed = r.pollReader(ctx, watched, position)
		}
		if !relayed {
			position, loaded, err = r.poll(ctx, watched, position, loaded, failing)
		}
		if err != nil && ctx.Err() == nil {
			if !failing {
				r.Logger.Warn().Str("event", "store-lost").Str("table", watched.table).Err(err).Msg("")
			}
			failing = true
			delay = min(maxRetryDelay, max(minRetryDelay, 2*delay))
			sleep(ctx, delay/2+rand.N(delay/2))
			continue
		}
		if err == nil && !loaded {
			// The history is gone, or that of another era: nothing is known until the full
			// read that follows.
			continue
		}
		if failing {
			failing = false
			r.Logger.Info().Str("event", "store-regained").Str("table", watched.table).Uint64("version", position.Version).Msg("")
		}
		r.recordSuccess(watched.table)
		if watched.table == platform.ServerTable {
			r.confirmServers()
		}
		delay = 0
		if !relayed {
			sleep(ctx, r.pollPause(watched))
		}
	}
}

// confirmServers calls OnServersConfirmed, unless the store has just come back from a copy.
func (r *Registry) confirmServers() {
	confirmedAt := r.confirmedAt(platform.ServerTable)
	if confirmedAt.Sub(r.ServerStore.Eras.ChangedAt()) >= registrationGrace {
		r.OnServersConfirmed(confirmedAt)
	}
}

// pollPause returns the pause after a successful call of the store for a table. A reader
// pauses for less, because the entries that it reads for learn of changes later. An entry
// that has a reader asks that next, without a pause.
func (r *Registry) pollPause(watched tableWatch) time.Duration {
	switch {
	case !watched.pauses || r.currentReader() != nil:
		return 0
	case r.readsForOthers():
		return time.Duration(readerPauseShare * float64(r.ServerPollPause()))
	}
	return r.ServerPollPause()
}

// poll does one full read of a table if it is not loaded, else one long poll for the
// changes after position. It returns the new position and whether the table is loaded. After a
// failed call, the store is not asked to hold the next one, which may be lost in the same
// outage, so that its timeout is shorter. If the store no longer has the changes since position,
// or has come back from a copy, the table counts as not loaded, so that the next call is a full
// read. The end of the era ends the call, which may have been lost with the store.
func (r *Registry) poll(ctx context.Context, watched tableWatch, position platform.Position, loaded, failing bool) (platform.Position, bool, error) {
	longPoll := r.longPoll()
	if failing {
		longPoll = 0
	}
	timeout := longPoll + callTimeout
	if !loaded {
		timeout = r.fullReadTimeout(watched.table)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	era, eraEnded := watched.store.Eras.Current()
	defer context.AfterFunc(eraEnded, cancel)()
	if loaded && position.Era != 0 && position.Era != era {
		r.logEraChanged(watched.table, position, platform.ErrEraChanged)
		return position, false, nil
	}
	if !loaded {
		contents, err := watched.store.ReadTable(ctx, watched.table)
		switch {
		case err == nil:
		case eraEnded.Err() != nil:
			r.logEraChanged(watched.table, position, err)
			return position, false, nil
		default:
			r.recordFailure(watched.table)
			return position, false, err
		}
		r.applying.Lock()
		watched.replace(contents)
		r.applying.Unlock()
		r.logReplaced(watched.table, contents.Position())
		r.Logger.Info().Str("event", "table-read").Str("table", watched.table).Stringer("era", contents.Era).Uint64("version", contents.Version).Int("rows", len(contents.Rows)).Msg("")
		return contents.Position(), true, nil
	}
	wait := min(longPoll, r.maxLongPoll(watched.table))
	if r.readsForOthers() {
		share := readerPollShare
		if !watched.pauses {
			share += readerPauseShare
		}
		wait = min(wait, time.Duration(share*float64(r.ServerPollPause())))
	}
	changes, err := watched.store.ReadChanges(ctx, watched.table, position, wait)
	switch {
	case err == nil:
	case errors.Is(err, platform.ErrHistoryGone):
		r.Logger.Info().Str("event", "history-gone").Str("table", watched.table).Uint64("version", position.Version).Msg("")
		return position, false, nil
	case eraEnded.Err() != nil || errors.Is(err, platform.ErrEraChanged):
		r.logEraChanged(watched.table, position, err)
		return position, false, nil
	default:
		r.recordFailure(watched.table)
		return position, loaded, err
	}
	watched.apply(changes.Rows)
	position.Version = max(position.Version, changes.Version)
	r.logChanged(watched.table, changes.Rows, position.Version, time.Now())
	return position, true, nil
}

// logEraChanged logs that the known position in a table's history is of another era than the
// store.
func (r *Registry) logEraChanged(table string, position platform.Position, err error) {
	r.Logger.Info().Str("event", "table-era-ended").Str("table", table).Stringer("era", position.Era).Uint64("version", position.Version).Err(err).Msg("")
}

// fullReadTimeout returns the timeout of a full read of a table, which may have several pages.
func (r *Registry) fullReadTimeout(table string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := len(r.operatorRows)
	if table == platform.ServerTable {
		rows = len(r.serverRows)
	}
	if rows == 0 {
		return firstReadTimeout
	}
	return time.Duration(1+rows/pageRows) * callTimeout
}

// maxLongPoll returns the longest time for which the store may hold a call for a table: longPoll,
// or the rest of the grace period if registrations are missing or evacuations lost. They are
// removed by applyServerRows and applyOperatorRows after the call, even if no row has changed.
func (r *Registry) maxLongPoll(table string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case table == platform.ServerTable && len(r.missing) > 0:
		return max(0, registrationGrace-time.Since(r.lastServerTableFailure))
	case table == platform.OperatorTable && len(r.lostEvacuations) > 0:
		return max(0, time.Until(r.lostEvacuationsEnd))
	}
	return r.longPoll()
}

// recordFailure records a failed call for a table, and its time if it is the server table. The
// operator table has no grace period.
func (r *Registry) recordFailure(table string) {
	r.logFailed(table)
	r.mu.Lock()
	r.callFailed = true
	r.mu.Unlock()
	if table != platform.ServerTable {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastServerTableFailure = time.Now()
}

// recordSuccess records the time of a successful call for a table, see TableAge.
func (r *Registry) recordSuccess(table string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastSuccess == nil {
		r.lastSuccess = make(map[string]time.Time)
	}
	r.lastSuccess[table] = time.Now()
}

// Tables returns the names of the tables that Run watches.
func (r *Registry) Tables() []string {
	return []string{platform.OperatorTable, platform.ServerTable}
}

// TableAge returns the age of the local copy of a table: the time since the last
// successful call for the table. known is false if there was none.
func (r *Registry) TableAge(table string) (age time.Duration, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, known := r.lastSuccess[table]
	if !known {
		return 0, false
	}
	return time.Since(at), true
}

// sleep waits for a duration or until ctx is done.
func sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

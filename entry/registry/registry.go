// Package registry keeps a local copy of two tables of the platform's store: the
// operator table, with the operators' rows, and the server table, with the backend
// servers' registrations. While the store is unreachable, the last valid state stays
// in use.
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

// Registry follows the operator and server tables of the store and passes their
// changes to its callbacks. Its exported fields are set before Run.
type Registry struct {
	// OperatorStore and ServerStore are the clients that read the operator table
	// and the server table.
	OperatorStore *platform.Client
	ServerStore   *platform.Client
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// ServerPollInterval returns the pause after a successful call for the server table
	// until the next call.
	ServerPollInterval func() time.Duration
	// MaxLag is the time after the end of a store outage within which changes are to be
	// noticed again. It limits the timeout of a call, because a call that the store
	// dropped during the outage only ends by its timeout.
	MaxLag time.Duration
	// OnConfiguration is called with each newer configuration. The registry's lock is
	// held during the call, so it must not call Snapshot or TableAge.
	OnConfiguration func(*routing.Configuration)
	// SetEvacuated is called with the set of evacuated failure domains after operator
	// rows have changed.
	SetEvacuated func(failureDomains map[string]bool)
	// UpdateServers is called with servers that were registered or whose registrations
	// changed.
	UpdateServers func([]routing.Server)
	// RemoveServers is called with the IDs of servers that are no longer registered, or
	// whose registrations can't be decoded.
	RemoveServers func(ids []string)
	// SetDoubtful is called each time rows of the server table have been read. It gets
	// the IDs of all servers that may be gone, because their registrations are missing
	// after an outage.
	SetDoubtful func(ids []string)
	// SnapshotSources returns functions that each fetch a snapshot from another
	// entry. A starting entry uses them while the store does not answer.
	SnapshotSources func() []func(context.Context) (Snapshot, error)
	Logger          *log.Logger

	configuration atomic.Pointer[routing.Configuration]
	serversLoaded atomic.Bool

	// mu guards the fields below.
	mu sync.Mutex
	// evacuated holds the evacuated failure domains.
	evacuated map[string]bool
	// rowVersions holds, by server ID, the newest version of each row in the server
	// table, so that an older version never replaces a newer one. A removed row is
	// deleted from it.
	rowVersions map[string]uint64
	// operatorRows and serverRows hold the undecoded rows by key, for Snapshot.
	operatorRows map[string]platform.StoreRow
	serverRows   map[string]platform.StoreRow
	// lastSuccess holds the time of the last successful call for each table.
	lastSuccess map[string]time.Time
	// missingSince holds, by server ID, when a registration was found missing after
	// an outage. Only the keys are used: the grace period starts at
	// lastServerTableFailure.
	missingSince map[string]time.Time
	// lastServerTableFailure is the time of the last failed call for the server table.
	lastServerTableFailure time.Time
}

const (
	// callTimeout bounds a call to the store, in addition to its long-poll time.
	callTimeout = 1500 * time.Millisecond
	// minLongPoll is the minimum of longPoll, the time for which the store is asked to
	// hold a call until a row changes. If one has changed already, the store answers
	// immediately.
	minLongPoll = time.Second
	// minRetryDelay and maxRetryDelay bound the back-off after a failed call, before
	// jitter shortens it by up to half.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 300 * time.Millisecond
	// registrationGrace is how long after the last failed call for the server table
	// the registration of a running backend server may be missing. The platform's
	// documentation gives two seconds.
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

// Run follows the store until ctx is done.
func (r *Registry) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { r.follow(ctx, r.operatorFeed()) })
	group.Go(func() { r.follow(ctx, r.serverFeed()) })
	group.Go(func() { r.loadSnapshot(ctx) })
	group.Wait()
}

// tableFeed describes how one table is followed.
type tableFeed struct {
	store *platform.Client
	table string
	// longPoll is how long the store may hold a call until a row changes.
	longPoll time.Duration
	// pollInterval returns the pause after a successful call; nil stands for no pause.
	pollInterval func() time.Duration
	// replace is called with all rows of the table after a full read, and apply with
	// the changed and removed rows after a long poll.
	replace func([]platform.StoreRow)
	apply   func([]platform.StoreRow)
}

func (r *Registry) operatorFeed() tableFeed {
	return tableFeed{
		store:    r.OperatorStore,
		table:    platform.OperatorTable,
		longPoll: r.longPoll(),
		replace:  r.replaceOperatorRows,
		apply:    r.applyOperatorRows,
	}
}

func (r *Registry) serverFeed() tableFeed {
	return tableFeed{
		store:        r.ServerStore,
		table:        platform.ServerTable,
		longPoll:     r.longPoll(),
		pollInterval: r.ServerPollInterval,
		replace:      r.replaceServerRows,
		apply:        r.applyServerRows,
	}
}

// longPoll returns how long the store may hold a call: MaxLag less callTimeout, so that
// the whole call ends within MaxLag, but at least minLongPoll. If MaxLag is less than
// minLongPoll and callTimeout together, the call may take longer than MaxLag.
func (r *Registry) longPoll() time.Duration { return max(minLongPoll, r.MaxLag-callTimeout) }

// follow reads a table in full and then its changes, until ctx is done. It retries
// failed calls with a jittered back-off.
func (r *Registry) follow(ctx context.Context, feed tableFeed) {
	version := uint64(0)
	loaded, failing := false, false
	delay := time.Duration(0)
	for ctx.Err() == nil {
		var err error
		version, loaded, err = r.poll(ctx, feed, version, loaded)
		if err != nil && ctx.Err() == nil {
			if !failing {
				r.Logger.Warn().Str("event", "store-lost").Str("table", feed.table).Err(err).Msg("")
			}
			failing = true
			delay = min(maxRetryDelay, max(minRetryDelay, 2*delay))
			sleep(ctx, delay/2+rand.N(delay/2))
			continue
		}
		if failing {
			failing = false
			r.Logger.Info().Str("event", "store-regained").Str("table", feed.table).Uint64("version", version).Msg("")
		}
		r.recordSuccess(feed.table)
		delay = 0
		if feed.pollInterval != nil {
			sleep(ctx, feed.pollInterval())
		}
	}
}

// poll makes one call for a table: a full read if the table is not loaded, else a
// long poll for changes after version. It returns the new version and whether the
// table is loaded. If the store no longer has the changes since version, the table
// counts as not loaded, so that the next call is a full read.
func (r *Registry) poll(ctx context.Context, feed tableFeed, version uint64, loaded bool) (uint64, bool, error) {
	timeout := callTimeout
	if loaded {
		timeout += feed.longPoll
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !loaded {
		contents, err := feed.store.ReadTable(ctx, feed.table)
		if err != nil {
			r.recordFailure(feed.table)
			return version, false, err
		}
		feed.replace(contents.Rows)
		return contents.Version, true, nil
	}
	wait := feed.longPoll
	if feed.table == platform.ServerTable {
		wait = min(wait, r.graceLeft())
	}
	changes, err := feed.store.ReadChanges(ctx, feed.table, version, wait)
	if errors.Is(err, platform.ErrHistoryGone) {
		r.Logger.Info().Str("event", "history-gone").Str("table", feed.table).Uint64("version", version).Msg("")
		return version, false, nil
	}
	if err != nil {
		r.recordFailure(feed.table)
		return version, loaded, err
	}
	feed.apply(changes.Rows)
	return max(version, changes.Version), true, nil
}

// graceLeft returns the time until the servers whose registrations are missing must be
// removed, or longPoll if none is missing. A long poll for the server table lasts no
// longer, because applyServerRows removes them after it even if no row has changed.
func (r *Registry) graceLeft() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.missingSince) == 0 {
		return r.longPoll()
	}
	return max(0, registrationGrace-time.Since(r.lastServerTableFailure))
}

// recordFailure records the time of a failed call for the server table. It ignores the
// operator table, which has no grace period.
func (r *Registry) recordFailure(table string) {
	if table != platform.ServerTable {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastServerTableFailure = time.Now()
}

// recordSuccess records the time of a successful call for a table.
func (r *Registry) recordSuccess(table string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastSuccess == nil {
		r.lastSuccess = make(map[string]time.Time)
	}
	r.lastSuccess[table] = time.Now()
}

// Tables returns the names of the tables that Run follows.
func (r *Registry) Tables() []string {
	return []string{platform.OperatorTable, platform.ServerTable}
}

// TableAge returns the time since the last successful call for a table. known is
// false if there was none.
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

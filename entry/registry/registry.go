// Package registry follows what operators and backend servers write to the
// platform's store, and keeps the last good state while the store is away.
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

// Registry follows the store.
type Registry struct {
	// OperatorStore and Servers are clients of the store, one for each task.
	OperatorStore *platform.Client
	ServerStore   *platform.Client
	// Regions holds the region of each failure domain.
	Regions map[string]string
	// ServerPollInterval is the time between two readings of the servers' changes.
	ServerPollInterval func() time.Duration
	// MaxLag is how long after an outage of the store its news may be missed: a call
	// that the store lost is given up by then.
	MaxLag time.Duration
	// OnConfiguration, Evacuate, Update and Remove take news over.
	OnConfiguration func(*routing.Configuration)
	SetEvacuated    func(domains map[string]bool)
	UpdateServers   func([]routing.Server)
	RemoveServers   func(ids []string)
	// SetDoubtful says that servers may be gone.
	SetDoubtful func(ids []string)
	// SnapshotSources returns calls to other entries, for the time when the store does
	// not answer one that starts.
	SnapshotSources func() []func(context.Context) (Snapshot, error)
	Logger          *log.Logger

	configuration atomic.Pointer[routing.Configuration]
	serversKnown  atomic.Bool

	mu        sync.Mutex
	evacuated map[string]bool
	// versions holds the newest row version by server, so that an older reading
	// never replaces a newer one.
	versions map[string]uint64
	// operatorRows and serverRows hold the rows as they were read.
	operatorRows map[string]platform.StoreRow
	serverRows   map[string]platform.StoreRow
	// answered is when the store last answered, by table.
	answered map[string]time.Time
	// lapsed holds when servers were found missing after an outage.
	lapsed map[string]time.Time
	// regained is when the store answered again after an outage.
	regained time.Time
}

const (
	// callTimeout bounds a call to the store beside what it is asked to wait.
	callTimeout = 1500 * time.Millisecond
	// minWait is the least time for which the store is asked to hold a call for
	// changes; it answers at once when there is one.
	minWait = time.Second
	// retryFirst and retryMost bound the pause after a failed call.
	retryFirst = 100 * time.Millisecond
	retryMost  = 300 * time.Millisecond
	// lapseGrace is how long after an outage of the store a registration may be
	// missing although its server lives: two seconds by the platform's pages.
	lapseGrace = 2 * time.Second
)

// Configuration returns the newest configuration, or nil.
func (r *Registry) Configuration() *routing.Configuration {
	return r.configuration.Load()
}

// Loaded reports whether both the configuration and the servers were read.
func (r *Registry) Loaded() bool {
	return r.configuration.Load() != nil && r.serversKnown.Load()
}

// Run follows the store until ctx is done.
func (r *Registry) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { r.follow(ctx, r.operatorFeed()) })
	group.Go(func() { r.follow(ctx, r.serverFeed()) })
	group.Go(func() { r.introduce(ctx) })
	group.Wait()
}

// feed is one table that is followed.
type feed struct {
	store *platform.Client
	table string
	// wait is how long the store holds a call, pause the time between calls.
	wait  time.Duration
	pause func() time.Duration
	// replace takes a whole table over, change what changed in it.
	replace func([]platform.StoreRow)
	change  func([]platform.StoreRow)
}

func (r *Registry) operatorFeed() feed {
	return feed{
		store:   r.OperatorStore,
		table:   platform.OperatorTable,
		wait:    r.wait(),
		replace: r.replaceOperators,
		change:  r.changeOperators,
	}
}

func (r *Registry) serverFeed() feed {
	return feed{
		store:   r.ServerStore,
		table:   platform.ServerTable,
		wait:    r.wait(),
		pause:   r.ServerPollInterval,
		replace: r.replaceServers,
		change:  r.changeServers,
	}
}

// wait is how long the store holds a call: together with the time for its answer
// it is no longer than the lag allowed.
func (r *Registry) wait() time.Duration { return max(minWait, r.MaxLag-callTimeout) }

// follow reads a table in full and then its changes, until ctx is done.
func (r *Registry) follow(ctx context.Context, each feed) {
	version := uint64(0)
	known, lost := false, false
	pause := time.Duration(0)
	for ctx.Err() == nil {
		var err error
		version, known, err = r.step(ctx, each, version, known)
		if err != nil && ctx.Err() == nil {
			if !lost {
				r.Logger.Warn().Str("event", "store-lost").Str("table", each.table).Err(err).Msg("")
			}
			lost = true
			pause = min(retryMost, max(retryFirst, 2*pause))
			sleep(ctx, pause/2+rand.N(pause/2))
			continue
		}
		if lost {
			lost = false
			r.Logger.Info().Str("event", "store-regained").Str("table", each.table).Uint64("version", version).Msg("")
		}
		r.note(each.table)
		pause = 0
		if each.pause != nil {
			sleep(ctx, each.pause())
		}
	}
}

// step makes one call for a table.
func (r *Registry) step(ctx context.Context, each feed, version uint64, known bool) (uint64, bool, error) {
	limit := callTimeout
	if known {
		limit += each.wait
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if !known {
		all, err := each.store.ReadTable(ctx, each.table)
		if err != nil {
			r.outage(each.table)
			return version, false, err
		}
		each.replace(all.Rows)
		return all.Version, true, nil
	}
	wait := each.wait
	if each.table == platform.ServerTable {
		wait = min(wait, r.lapseWait())
	}
	changes, err := each.store.ReadChanges(ctx, each.table, version, wait)
	if errors.Is(err, platform.ErrHistoryGone) {
		r.Logger.Info().Str("event", "history-gone").Str("table", each.table).Uint64("version", version).Msg("")
		return version, false, nil
	}
	if err != nil {
		r.outage(each.table)
		return version, known, err
	}
	each.change(changes.Rows)
	return max(version, changes.Version), true, nil
}

// lapseWait is how long until missing registrations count as gone; it is long
// when none is missing.
func (r *Registry) lapseWait() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.lapsed) == 0 {
		return r.wait()
	}
	return max(0, lapseGrace-time.Since(r.regained))
}

// outage notes that the store did not answer.
func (r *Registry) outage(table string) {
	if table != platform.ServerTable {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.regained = time.Now()
}

// note records that the store answered.
func (r *Registry) note(table string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answered == nil {
		r.answered = make(map[string]time.Time)
	}
	r.answered[table] = time.Now()
}

// Tables returns the names of the tables that are followed.
func (r *Registry) Tables() []string {
	return []string{platform.OperatorTable, platform.ServerTable}
}

// TableAge returns how long ago the store last answered a call for a table, and
// whether it ever did.
func (r *Registry) TableAge(table string) (age time.Duration, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, known := r.answered[table]
	if !known {
		return 0, false
	}
	return time.Since(at), true
}

// sleep waits for a time or until ctx is done.
func sleep(ctx context.Context, length time.Duration) {
	if length <= 0 {
		return
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

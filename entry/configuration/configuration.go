// Package configuration keeps the newest configuration that an entry knows and serves
// deltas of it to peers. The version of an entry's configuration only ever increases.
//
// Only a few entries poll the platform's table. The others learn of a newer version
// from heartbeats and fetch its deltas from a peer that has it, so the load on the
// platform grows with the number of failure domains, not with the number of entries.
package configuration

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/publication"
	"github.com/teaselstack/teaselstack/timeline"
)

// Keeper holds the newest configuration and keeps it up to date while Run runs. The
// zero value holds no configuration.
type Keeper struct {
	// Platform is the platform that is polled for new versions.
	Platform platform.Platform
	// FetchDeltas asks a peer for the deltas after a version.
	FetchDeltas FetchFunc
	// PollsPlatform reports whether this entry is one of those that poll the
	// platform; nil stands for always. It is ignored while Serving returns nil: then
	// the entry always polls.
	PollsPlatform func() bool
	// SeedsContacted reports whether a heartbeat to each seed peer has been answered or has
	// failed; nil stands for always. An answer reports the peer's version.
	SeedsContacted func() bool
	// Events is the time line on which versions that come into force, failed polls and
	// fetches, and a platform that falls behind are recorded; it may be nil.
	Events *timeline.Ring
	// OnChange is called with each configuration that comes into force, in version
	// order. The Keeper's lock is held during the call, so it must not call Apply or
	// DeltasSince. It may be nil.
	OnChange func(*intent.Configuration)
	// OnServing is called once, when Serving first returns a configuration; it may be
	// nil.
	OnServing func()

	current atomic.Pointer[intent.Configuration]
	peers   peerVersions
	// mayServe is set once Serving may return the current configuration. It stays set.
	mayServe atomic.Bool
	// platformReachable is whether the platform answered the last read of the head row.
	platformReachable atomic.Bool
	// platformBehind is whether the platform's version was below the entry's own when the
	// head row was last read.
	platformBehind atomic.Bool

	// mu guards the fields below and serializes the changes of current.
	mu sync.Mutex
	// documents holds the documents that the current configuration was compiled from.
	documents []intent.Document
	// newestDelta is the last delta that was applied.
	newestDelta *teaselv1.Delta
	history     deltaHistory
}

// Current returns the newest configuration, or nil before the first.
func (k *Keeper) Current() *intent.Configuration {
	return k.current.Load()
}

// Serving returns the configuration by which the entry serves requests. It is nil while
// the entry starts, until one of these holds:
//   - A poll of the platform has succeeded, and the entry has the newest version that the
//     platform and its peers report.
//   - SeedsContacted reports true, and the entry has the newest version that its peers
//     report.
func (k *Keeper) Serving() *intent.Configuration {
	if !k.mayServe.Load() {
		return nil
	}
	return k.Current()
}

// updateMayServe lets the entry serve if its configuration is at least as new as
// platformVersion and as the versions that peers recently reported. fromPlatform is set
// if platformVersion was read from the platform. Otherwise platformVersion is 0, and the
// entry may serve only once SeedsContacted reports true.
func (k *Keeper) updateMayServe(platformVersion uint64, fromPlatform bool) {
	highest := max(platformVersion, k.peers.recentHighest())
	if k.mayServe.Load() || k.Current() == nil || k.Version() < highest {
		return
	}
	complete := fromPlatform || k.SeedsContacted == nil || k.SeedsContacted()
	if complete && k.mayServe.CompareAndSwap(false, true) {
		if k.OnServing != nil {
			k.OnServing()
		}
		k.Events.Record(timeline.Event{
			Kind:    "configuration-settled",
			Version: k.Version(),
			Detail:  fmt.Sprintf("platform=%t", fromPlatform),
		})
	}
}

// Version returns the version of the newest configuration, or 0 before the first.
func (k *Keeper) Version() uint64 {
	if current := k.Current(); current != nil {
		return current.Version
	}
	return 0
}

// PlatformReachable reports whether the platform answered the last read of the head row.
// It is false before the first.
func (k *Keeper) PlatformReachable() bool {
	return k.platformReachable.Load()
}

// Apply applies consecutive deltas, oldest first, and puts the resulting
// configuration in force. source names the origin of the deltas in the time line. Deltas
// to versions that are not above the current one are skipped. A delta without a parent
// replaces the whole configuration. If the parent of any other delta is not the version
// reached before that delta, or the result does not compile, Apply returns an error and
// changes nothing.
func (k *Keeper) Apply(deltas []*teaselv1.Delta, source string) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	version, documents := k.Version(), k.documents
	applied := make([]*teaselv1.Delta, 0, len(deltas))
	for _, delta := range deltas {
		if delta.GetVersion() <= version {
			continue
		}
		if delta.GetParent() != 0 && delta.GetParent() != version {
			return errors.Errorf("apply version %d: its parent is %d, the current version is %d",
				delta.GetVersion(), delta.GetParent(), version)
		}
		documents = publication.Apply(documents, delta)
		version = delta.GetVersion()
		applied = append(applied, delta)
	}
	if len(applied) == 0 {
		return nil
	}
	next, err := intent.Recompile(k.Current(), k.documents, version, documents)
	if err != nil {
		return errors.Wrapf(err, "apply version %d", version)
	}
	k.advance(next)
	k.documents = documents
	k.newestDelta = applied[len(applied)-1]
	k.history.add(applied)
	k.recordInForce(next.Version, source)
	if k.OnChange != nil {
		k.OnChange(next)
	}
	return nil
}

// advance puts a configuration in force. It panics unless the version increases, because
// an entry that returns to an older version could undo a drain.
func (k *Keeper) advance(next *intent.Configuration) {
	if next.Version <= k.Version() {
		panic(fmt.Sprintf("configuration: current version is %d, can't go to version %d", k.Version(), next.Version))
	}
	k.current.Store(next)
}

// recordInForce records that a version came into force, with the time since its delta
// was published.
func (k *Keeper) recordInForce(version uint64, source string) {
	age := time.Since(time.Unix(0, k.newestDelta.GetPublishedNs()))
	k.Events.Record(timeline.Event{
		Kind:    "configuration-in-force",
		Version: version,
		Detail:  fmt.Sprintf("from=%s age=%s", source, age.Round(time.Millisecond)),
	})
}

// DeltasSince returns the deltas that lead from a version to the current one,
// oldest first, or nil if the version is not below the current one. If the history
// doesn't hold all of them, the result is a single delta without a parent that holds
// the whole configuration.
func (k *Keeper) DeltasSince(after uint64) []*teaselv1.Delta {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.Version() <= after {
		return nil
	}
	if deltas := k.history.since(after); deltas != nil {
		return deltas
	}
	snapshot := publication.Diff(nil, k.documents)
	snapshot.Version = k.Version()
	snapshot.PublishId = k.newestDelta.GetPublishId()
	snapshot.PublishedNs = k.newestDelta.GetPublishedNs()
	snapshot.Author = k.newestDelta.GetAuthor()
	return []*teaselv1.Delta{snapshot}
}

// Package configuration holds the newest configuration an entry knows, which
// only ever goes to a higher version, and hands its steps to peers.
//
// A few entries ask the platform's table. The others hear of a newer version
// with the heartbeats and fetch the steps from the peer that has it, so that
// the store's load grows with the failure domains and not with the entries.
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

// Keeper holds the newest configuration. The zero value holds none.
type Keeper struct {
	// Platform is where new versions are looked for.
	Platform platform.Platform
	// FetchDeltas asks a peer for the steps after a version; nil where there are none.
	FetchDeltas FetchFunc
	// PollsPlatform reports whether this entry is one of those that ask the
	// platform; nil stands for always. An entry without a configuration asks.
	PollsPlatform func() bool
	// SeedsContacted reports whether all known peers were asked once for the version
	// they have; nil stands for yes.
	SeedsContacted func() bool
	// Events takes the steps of the configuration; it may be nil.
	Events *timeline.Ring
	// OnChange is called after each step, in version order; it may be nil.
	OnChange func(*intent.Configuration)

	// OnServing is called once the entry may serve; it may be nil.
	OnServing func()

	current   atomic.Pointer[intent.Configuration]
	announced announcements
	// settled is set once the entry may serve.
	settled atomic.Bool
	// reachable says whether the platform answered last time.
	reachable atomic.Bool
	// behind is set while the platform's version is below the entry's.
	behind atomic.Bool

	mu        sync.Mutex
	documents []intent.Document
	newest    *teaselv1.Delta
	recent    chain
}

// Current returns the newest configuration, or nil before the first.
func (k *Keeper) Current() *intent.Configuration {
	return k.current.Load()
}

// Serving returns the configuration that requests are decided by. It is nil
// while the entry starts: until it has the newest version that the platform,
// or else its peers, can tell of.
func (k *Keeper) Serving() *intent.Configuration {
	if !k.settled.Load() {
		return nil
	}
	return k.Current()
}

// settle lets the entry serve once nothing newer can be learned. The platform
// knows the newest version; without it, each peer has to be asked.
func (k *Keeper) settle(head uint64, fromPlatform bool) {
	known := max(head, k.announced.highest())
	if k.settled.Load() || k.Current() == nil || k.Version() < known {
		return
	}
	ready := fromPlatform || k.SeedsContacted == nil || k.SeedsContacted()
	if ready && k.settled.CompareAndSwap(false, true) {
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

// Version returns the newest version, 0 before the first.
func (k *Keeper) Version() uint64 {
	if current := k.Current(); current != nil {
		return current.Version
	}
	return 0
}

// PlatformReachable reports whether the platform answered last time.
func (k *Keeper) PlatformReachable() bool {
	return k.reachable.Load()
}

// Apply takes consecutive steps over, oldest first, and puts the last of them
// in force. Steps to versions that are not above the current one are passed
// over; one whose parent is missing is an error, and nothing changes.
func (k *Keeper) Apply(steps []*teaselv1.Delta, source string) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	version, documents := k.Version(), k.documents
	taken := make([]*teaselv1.Delta, 0, len(steps))
	for _, step := range steps {
		if step.GetVersion() <= version {
			continue
		}
		if step.GetParent() != 0 && step.GetParent() != version {
			return errors.Errorf("apply version %d: its parent is %d, the current version is %d",
				step.GetVersion(), step.GetParent(), version)
		}
		documents = publication.Apply(documents, step)
		version = step.GetVersion()
		taken = append(taken, step)
	}
	if len(taken) == 0 {
		return nil
	}
	next, err := intent.Recompile(k.Current(), k.documents, version, documents)
	if err != nil {
		return errors.Wrapf(err, "apply version %d", version)
	}
	k.advance(next)
	k.documents = documents
	k.newest = taken[len(taken)-1]
	k.recent.add(taken)
	k.record(next.Version, source)
	if k.OnChange != nil {
		k.OnChange(next)
	}
	return nil
}

// advance puts a configuration in force. That versions only grow is an
// invariant of the system: an entry that broke it could undo a drain.
func (k *Keeper) advance(next *intent.Configuration) {
	if next.Version <= k.Version() {
		panic(fmt.Sprintf("configuration: step from version %d back to %d", k.Version(), next.Version))
	}
	k.current.Store(next)
}

func (k *Keeper) record(version uint64, source string) {
	age := time.Since(time.Unix(0, k.newest.GetPublishedNs()))
	k.Events.Record(timeline.Event{
		Kind:    "configuration-in-force",
		Version: version,
		Detail:  fmt.Sprintf("from=%s age=%s", source, age.Round(time.Millisecond)),
	})
}

// DeltasSince returns the steps after a version, oldest first: deltas where the
// entry still has them, else the whole configuration without parent.
func (k *Keeper) DeltasSince(after uint64) []*teaselv1.Delta {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.Version() <= after {
		return nil
	}
	if steps := k.recent.since(after); steps != nil {
		return steps
	}
	snapshot := publication.Diff(nil, k.documents)
	snapshot.Version = k.Version()
	snapshot.PublishId = k.newest.GetPublishId()
	snapshot.PublishedNs = k.newest.GetPublishedNs()
	snapshot.Author = k.newest.GetAuthor()
	return []*teaselv1.Delta{snapshot}
}

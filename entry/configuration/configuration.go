// Package configuration holds the newest configuration an entry knows, which
// only ever goes to a higher version, and hands its steps to peers.
package configuration

import (
	"context"
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
	// Events takes the steps of the configuration; it may be nil.
	Events *timeline.Ring
	// Changed is called after each step, in version order; it may be nil.
	Changed func(*intent.Configuration)

	current atomic.Pointer[intent.Configuration]

	mu        sync.Mutex
	documents []intent.Document
	// reachable says whether the platform answered last time.
	reachable atomic.Bool
}

// pollInterval is how often an entry asks the table for a newer version.
const pollInterval = time.Second

// Current returns the newest configuration, or nil before the first.
func (k *Keeper) Current() *intent.Configuration {
	return k.current.Load()
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

// Run looks for new versions until ctx is done.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		_ = k.Poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Poll asks the platform once and takes a newer version over.
func (k *Keeper) Poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 5*pollInterval)
	defer cancel()
	head, _, err := publication.ReadHead(ctx, k.Platform.Table)
	k.reachable.Store(err == nil || errors.Is(err, platform.ErrNotFound))
	if err != nil {
		return err
	}
	if head.GetVersion() <= k.Version() {
		return nil
	}
	delta, err := publication.ReadDelta(ctx, k.Platform.Objects, head.GetSnapshotObject())
	if err != nil {
		return err
	}
	return k.Apply(delta, "platform")
}

// Apply takes a step over. A step to a version that is not above the current
// one is passed over; one whose parent is not the current version is an error.
func (k *Keeper) Apply(delta *teaselv1.Delta, source string) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if delta.GetVersion() <= k.Version() {
		return nil
	}
	if delta.GetParent() != 0 && delta.GetParent() != k.Version() {
		return errors.Errorf("apply version %d: its parent is %d, the current version is %d",
			delta.GetVersion(), delta.GetParent(), k.Version())
	}
	documents := publication.Apply(k.documents, delta)
	next, err := intent.Compile(delta.GetVersion(), documents)
	if err != nil {
		return errors.Wrapf(err, "apply version %d", delta.GetVersion())
	}
	k.documents = documents
	k.current.Store(next)
	k.Events.Record(timeline.Event{
		Kind:    "configuration-in-force",
		Version: next.Version,
		Detail:  fmt.Sprintf("from=%s age=%s", source, time.Since(time.Unix(0, delta.GetPublishedNs())).Round(time.Millisecond)),
	})
	if k.Changed != nil {
		k.Changed(next)
	}
	return nil
}

// Steps returns the deltas after a version, oldest first.
func (k *Keeper) Steps(after uint64) []*teaselv1.Delta {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.Version() <= after {
		return nil
	}
	snapshot := publication.Difference(nil, k.documents)
	snapshot.Version = k.Version()
	return []*teaselv1.Delta{snapshot}
}

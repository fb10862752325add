package configuration

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/publication"
	"github.com/teaselstack/teaselstack/timeline"
)

// FetchFunc asks the peer at an address for the steps after a version.
type FetchFunc func(ctx context.Context, address string, after uint64) ([]*teaselv1.Delta, error)

const (
	// pollInterval is how often an entry asks the table, give or take a quarter.
	pollInterval = time.Second
	// headTimeout bounds the reading of the head row, and stepsTimeout that of
	// all deltas behind it.
	headTimeout  = 3 * time.Second
	stepsTimeout = time.Minute
	// fetchTimeout bounds one question to a peer.
	fetchTimeout = 5 * time.Second
	// settleInterval is how often a starting entry looks whether it may serve.
	settleInterval = 100 * time.Millisecond
	// announcementLifetime is how long a starting entry waits for a version that
	// was announced and can't be fetched.
	announcementLifetime = 30 * time.Second
)

// announcements remembers which peers have told of which version.
type announcements struct {
	mu       sync.Mutex
	versions map[string]uint64
	wake     chan struct{}
	// newest is the highest version of all, and told when it was last heard of;
	// it outlives a peer that can't be asked.
	newest uint64
	told   time.Time
}

// add notes a peer's version.
func (a *announcements) add(address string, version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.versions == nil {
		a.versions = make(map[string]uint64)
	}
	a.versions[address] = max(version, a.versions[address])
	if version >= a.newest {
		a.newest = version
		a.told = time.Now()
	}
	select {
	case a.wakeLocked() <- struct{}{}:
	default:
	}
}

func (a *announcements) wakeLocked() chan struct{} {
	if a.wake == nil {
		a.wake = make(chan struct{}, 1)
	}
	return a.wake
}

// woken returns the channel that receives after a new announcement.
func (a *announcements) woken() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.wakeLocked()
}

// highest returns the newest version that a peer has told of lately.
func (a *announcements) highest() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Since(a.told) > announcementLifetime {
		return 0
	}
	return a.newest
}

// forget drops a peer that did not keep its word, until it tells again.
func (a *announcements) forget(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.versions, address)
}

// above returns the address of some peer with a version above the given one,
// or "". The order of the map spreads the questions over the peers.
func (a *announcements) above(version uint64) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	for address, known := range a.versions {
		if known > version {
			return address
		}
	}
	return ""
}

// RecordPeerVersion notes that the peer at an address has a version in force.
func (k *Keeper) RecordPeerVersion(address string, version uint64) {
	if version > k.Version() {
		k.announced.add(address, version)
	}
}

// Run looks for new versions until ctx is done.
func (k *Keeper) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { k.polls(ctx) })
	group.Go(func() { k.follow(ctx) })
	group.Go(func() { k.start(ctx) })
	group.Wait()
}

// start looks whether the entry may serve until it does. It doesn't wait for a
// platform that hangs.
func (k *Keeper) start(ctx context.Context) {
	for !k.settled.Load() {
		k.settle(0, false)
		select {
		case <-ctx.Done():
			return
		case <-time.After(settleInterval):
		}
	}
}

func (k *Keeper) polls(ctx context.Context) {
	failing := false
	for {
		if k.PollsPlatform == nil || k.PollsPlatform() || !k.settled.Load() {
			err := k.Poll(ctx)
			if err != nil && !failing && ctx.Err() == nil {
				k.Events.Record(timeline.Event{
					Kind:   "configuration-poll-failed",
					Detail: err.Error(),
				})
			}
			failing = err != nil
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(jittered(pollInterval)):
		}
	}
}

// jittered returns a span up to a quarter shorter or longer.
func jittered(span time.Duration) time.Duration {
	return span*3/4 + rand.N(span/2)
}

// follow fetches the versions that peers announce.
func (k *Keeper) follow(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.announced.woken():
		}
		for address := k.announced.above(k.Version()); address != "" && ctx.Err() == nil; {
			k.fetch(ctx, address)
			address = k.announced.above(k.Version())
		}
	}
}

// fetch takes the steps of one peer over. A peer that can't help is forgotten.
func (k *Keeper) fetch(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	before := k.Version()
	steps, err := k.FetchDeltas(ctx, address, before)
	if err == nil {
		err = k.Apply(steps, "peer="+address)
	}
	if err == nil && k.Version() > before {
		return
	}
	k.announced.forget(address)
	if err != nil {
		k.Events.Record(timeline.Event{
			Kind:   "configuration-fetch-failed",
			Detail: "peer=" + address + " error=" + err.Error(),
		})
	}
}

// Poll asks the platform once and takes a newer version over.
func (k *Keeper) Poll(ctx context.Context) error {
	head, err := k.readHead(ctx)
	k.reachable.Store(err == nil || errors.Is(err, platform.ErrNotFound))
	if err != nil {
		return err
	}
	k.compare(head.GetVersion())
	ctx, cancel := context.WithTimeout(ctx, stepsTimeout)
	defer cancel()
	steps, err := publication.ReadDeltasSince(ctx, k.Platform.Objects, head, k.Version())
	if err != nil {
		return err
	}
	if err := k.Apply(steps, "platform"); err != nil {
		return err
	}
	k.settle(head.GetVersion(), true)
	return nil
}

func (k *Keeper) readHead(ctx context.Context) (*teaselv1.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	head, _, err := publication.ReadHead(ctx, k.Platform.Table)
	return head, err
}

// compare records a platform that has lost versions: the entry keeps its own.
func (k *Keeper) compare(head uint64) {
	if behind := head < k.Version(); behind != k.behind.Swap(behind) && behind {
		k.Events.Record(timeline.Event{
			Kind:    "configuration-platform-behind",
			Version: head,
		})
	}
}

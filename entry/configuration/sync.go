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

// FetchFunc asks the peer at an address for the deltas after a version. The result
// is nil if there are none.
type FetchFunc func(ctx context.Context, address string, after uint64) ([]*teaselv1.Delta, error)

const (
	// pollInterval is the mean pause between two polls of the platform. Each pause is
	// jittered by up to a quarter of it.
	pollInterval = time.Second
	// headTimeout bounds the read of the head row, and deltasTimeout the read of all
	// deltas that lead to the head.
	headTimeout   = 3 * time.Second
	deltasTimeout = time.Minute
	// fetchTimeout bounds one call to a peer.
	fetchTimeout = 5 * time.Second
	// serveCheckInterval is the time between two checks whether a starting entry may
	// serve.
	serveCheckInterval = 100 * time.Millisecond
	// peerVersionLifetime bounds the wait of a starting entry for a version that can't be
	// fetched: the entry no longer waits for the highest version that peers reported if
	// none of them has reported it for this long.
	peerVersionLifetime = 30 * time.Second
)

// peerVersions holds the newest configuration version that each peer reported.
type peerVersions struct {
	mu sync.Mutex
	// byAddress holds the versions by peer address.
	byAddress map[string]uint64
	// wakeup is the channel to which recordReport sends a value to wake followPeers.
	// wakeupChannelLocked makes it at first use.
	wakeup chan struct{}
	// highest is the highest version that any peer reported, and highestAt is when it
	// was last reported. They stay when the peer is removed.
	highest   uint64
	highestAt time.Time
}

// recordReport stores a version that a peer reported, unless the peer reported a higher
// one before, and wakes followPeers.
func (p *peerVersions) recordReport(address string, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byAddress == nil {
		p.byAddress = make(map[string]uint64)
	}
	p.byAddress[address] = max(version, p.byAddress[address])
	if version >= p.highest {
		p.highest = version
		p.highestAt = time.Now()
	}
	select {
	case p.wakeupChannelLocked() <- struct{}{}:
	default:
	}
}

// wakeupChannelLocked returns p.wakeup and makes it at first use. The caller must hold
// p.mu.
func (p *peerVersions) wakeupChannelLocked() chan struct{} {
	if p.wakeup == nil {
		p.wakeup = make(chan struct{}, 1)
	}
	return p.wakeup
}

// wakeupChannel returns the channel to which recordReport sends a value.
func (p *peerVersions) wakeupChannel() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wakeupChannelLocked()
}

// recentHighest returns the highest version that any peer reported, or 0 if that
// version was last reported longer than peerVersionLifetime ago.
func (p *peerVersions) recentHighest() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.highestAt) > peerVersionLifetime {
		return 0
	}
	return p.highest
}

// remove drops a peer that failed to deliver the version it reported. Its next
// report adds it again.
func (p *peerVersions) remove(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byAddress, address)
}

// peerWithVersionAbove returns the address of a peer with a version above the given one,
// or an empty string. The random iteration order of the map spreads the calls over the
// peers.
func (p *peerVersions) peerWithVersionAbove(version uint64) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, peerVersion := range p.byAddress {
		if peerVersion > version {
			return address
		}
	}
	return ""
}

// RecordPeerVersion records that the peer at an address has a version in force, so that
// Run fetches it. It ignores versions that are not above the current one.
func (k *Keeper) RecordPeerVersion(address string, version uint64) {
	if version > k.Version() {
		k.peers.recordReport(address, version)
	}
}

// Run polls the platform and fetches newer versions from peers until ctx is done.
func (k *Keeper) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { k.pollPlatform(ctx) })
	group.Go(func() { k.followPeers(ctx) })
	group.Go(func() { k.awaitServing(ctx) })
	group.Wait()
}

// awaitServing checks every serveCheckInterval whether the entry may serve, until it may
// or ctx is done. It runs concurrently with pollPlatform, so that a platform that hangs
// does not delay the entry.
func (k *Keeper) awaitServing(ctx context.Context) {
	for !k.mayServe.Load() {
		k.updateMayServe(0, false)
		select {
		case <-ctx.Done():
			return
		case <-time.After(serveCheckInterval):
		}
	}
}

// pollPlatform polls the platform until ctx is done, except while PollsPlatform reports
// false and the entry may serve. Of consecutive failures, only the first is recorded.
func (k *Keeper) pollPlatform(ctx context.Context) {
	failing := false
	for {
		if k.PollsPlatform == nil || k.PollsPlatform() || !k.mayServe.Load() {
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

// jittered returns a random duration that is up to a quarter shorter or longer than
// interval.
func jittered(interval time.Duration) time.Duration {
	return interval*3/4 + rand.N(interval/2)
}

// followPeers fetches newer versions that peers report, until ctx is done.
func (k *Keeper) followPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.peers.wakeupChannel():
		}
		for address := k.peers.peerWithVersionAbove(k.Version()); address != "" && ctx.Err() == nil; {
			k.fetchFromPeer(ctx, address)
			address = k.peers.peerWithVersionAbove(k.Version())
		}
	}
}

// fetchFromPeer fetches deltas from one peer and applies them. If that yields no newer
// version, the peer is not asked again until its next report.
func (k *Keeper) fetchFromPeer(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	before := k.Version()
	deltas, err := k.FetchDeltas(ctx, address, before)
	if err == nil {
		err = k.Apply(deltas, "peer="+address)
	}
	if err == nil && k.Version() > before {
		return
	}
	k.peers.remove(address)
	if err != nil {
		k.Events.Record(timeline.Event{
			Kind:   "configuration-fetch-failed",
			Detail: "peer=" + address + " error=" + err.Error(),
		})
	}
}

// Poll reads the head row from the platform and applies the deltas up to it.
func (k *Keeper) Poll(ctx context.Context) error {
	head, err := k.readHead(ctx)
	k.platformReachable.Store(err == nil || errors.Is(err, platform.ErrNotFound))
	if err != nil {
		return err
	}
	k.updatePlatformBehind(head.GetVersion())
	ctx, cancel := context.WithTimeout(ctx, deltasTimeout)
	defer cancel()
	deltas, err := publication.ReadDeltasSince(ctx, k.Platform.Objects, head, k.Version())
	if err != nil {
		return err
	}
	if err := k.Apply(deltas, "platform"); err != nil {
		return err
	}
	k.updateMayServe(head.GetVersion(), true)
	return nil
}

// readHead reads the head row, within headTimeout.
func (k *Keeper) readHead(ctx context.Context) (*teaselv1.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	head, _, err := publication.ReadHead(ctx, k.Platform.Table)
	return head, err
}

// updatePlatformBehind records an event when the platform's version falls below the
// entry's, which happens if the platform has lost data. The entry keeps its own version.
func (k *Keeper) updatePlatformBehind(platformVersion uint64) {
	if behind := platformVersion < k.Version(); behind != k.platformBehind.Swap(behind) && behind {
		k.Events.Record(timeline.Event{
			Kind:    "configuration-platform-behind",
			Version: platformVersion,
		})
	}
}

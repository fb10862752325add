package configuration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/membership"
	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/platform/memory"
	"github.com/teaselstack/teaselstack/publication"
)

// errUnreachable is the error of a call that a simulated partition or outage blocks.
var errUnreachable = errors.New("peer or store unreachable")

// cluster is seven entries in six failure domains of three regions. They reach each
// other and the store by function calls that sleep for the network delay.
type cluster struct {
	mu    sync.Mutex
	store *memory.Store
	// entries holds the running entries by peer address.
	entries map[string]*clusterEntry
	// partitioned holds the failure domains that are partitioned from the others and from
	// the store. They reach each other.
	partitioned map[string]bool
	// storeDown blocks all calls to the store, and storeDelay is the processing time of
	// each call.
	storeDown  bool
	storeDelay time.Duration
	// regionDelay is the one-way network delay between two regions.
	regionDelay time.Duration
	group       sync.WaitGroup
}

// clusterEntry is one entry of a cluster.
type clusterEntry struct {
	cluster *cluster
	member  *teaselv1.Member
	keeper  *Keeper
	roster  *membership.Roster
	stop    context.CancelFunc
	// inForce holds when each version came into force on this entry, and applied
	// lists the versions in that order.
	inForce map[uint64]time.Time
	applied []uint64
}

// entryCount is the number of entries in a cluster.
const entryCount = 7

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{
		store:       &memory.Store{},
		entries:     make(map[string]*clusterEntry),
		partitioned: make(map[string]bool),
		regionDelay: 55 * time.Millisecond,
	}
	for i := range entryCount {
		c.start(t, i)
	}
	return c
}

// locationOf returns the failure domain and region of entry i.
func locationOf(i int) (domain, region string) {
	domain = []string{"a", "a", "b", "c", "d", "e", "f"}[i]
	return domain, map[string]string{"a": "1", "b": "1", "c": "2", "d": "2", "e": "3", "f": "3"}[domain]
}

// addressOf returns the peer address of entry i.
func addressOf(i int) string {
	return fmt.Sprintf("10.0.0.%d:1", i+1)
}

// start starts entry i without a configuration. It replaces an earlier entry i.
func (c *cluster) start(t *testing.T, i int) *clusterEntry {
	t.Helper()
	domain, region := locationOf(i)
	ctx, stop := context.WithCancel(t.Context())
	e := &clusterEntry{
		cluster: c,
		member: &teaselv1.Member{
			Name:          fmt.Sprintf("entry-%d", i+1),
			Incarnation:   uint64(time.Now().UnixNano()),
			Region:        region,
			FailureDomain: domain,
			PeerAddress:   addressOf(i),
		},
		stop:    stop,
		inForce: make(map[uint64]time.Time),
	}
	e.keeper = &Keeper{
		Platform:       c.platform(e.member),
		FetchDeltas:    e.fetchDeltas,
		PollsPlatform:  func() bool { return e.roster.FirstInDomain() },
		SeedsContacted: func() bool { return e.roster.SeedsContacted() },
		OnChange:       e.onChange,
	}
	var seeds []string
	for other := range entryCount {
		seeds = append(seeds, addressOf(other))
	}
	e.roster = membership.New(e.member, e.sendHeartbeat, membership.WithSeeds(seeds), membership.WithExtension(e.keeper.HeartbeatExtension()))
	c.mu.Lock()
	c.entries[addressOf(i)] = e
	c.mu.Unlock()
	c.group.Go(func() { e.keeper.Run(ctx) })
	c.group.Go(func() { e.roster.Run(ctx) })
	return e
}

// onChange records a configuration that came into force, and reports its version to
// peers.
func (e *clusterEntry) onChange(next *intent.Configuration) {
	e.cluster.mu.Lock()
	e.inForce[next.Version] = time.Now()
	e.applied = append(e.applied, next.Version)
	e.cluster.mu.Unlock()
	e.roster.UpdateSelf(func(self *teaselv1.Member) { self.ConfigurationVersion = next.Version })
}

func (e *clusterEntry) sendHeartbeat(ctx context.Context, address string, request *teaselv1.HeartbeatRequest) (*teaselv1.HeartbeatResponse, error) {
	target, err := e.cluster.connect(ctx, e.member, address)
	if err != nil {
		return nil, err
	}
	return target.roster.HandleHeartbeat(request), nil
}

func (e *clusterEntry) fetchDeltas(ctx context.Context, address string, after uint64) ([]*teaselv1.Delta, error) {
	target, err := e.cluster.connect(ctx, e.member, address)
	if err != nil {
		return nil, err
	}
	return target.keeper.DeltasSince(after), nil
}

// connect returns the entry at an address after the delay of a round trip. If no entry
// has the address or a partition separates the two entries, connect blocks until ctx is
// done.
func (c *cluster) connect(ctx context.Context, from *teaselv1.Member, address string) (*clusterEntry, error) {
	c.mu.Lock()
	target := c.entries[address]
	unreachable := target == nil || c.partitioned[from.GetFailureDomain()] != c.partitioned[target.member.GetFailureDomain()]
	c.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, errUnreachable
	}
	return target, c.delayCall(ctx, from.GetRegion(), target.member.GetRegion(), 0)
}

// delayCall sleeps for the processing time and the round trip between two regions, which
// is 2 ms if both are the same.
func (c *cluster) delayCall(ctx context.Context, from, to string, processing time.Duration) error {
	delay := processing + 2*time.Millisecond
	if from != to {
		delay = processing + 2*c.regionDelay
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// platform returns the store as an entry reaches it. The store is in region 1.
func (c *cluster) platform(from *teaselv1.Member) platform.Platform {
	store := c.store.Platform()
	call := func(ctx context.Context) error {
		c.mu.Lock()
		unreachable := c.storeDown || c.partitioned[from.GetFailureDomain()]
		delay := c.storeDelay
		c.mu.Unlock()
		if unreachable {
			<-ctx.Done()
			return errUnreachable
		}
		return c.delayCall(ctx, from.GetRegion(), "1", delay)
	}
	return platform.Platform{
		Table: platform.Table{
			Read: func(ctx context.Context, row string) (platform.Row, error) {
				if err := call(ctx); err != nil {
					return platform.Row{}, err
				}
				return store.Table.Read(ctx, row)
			},
		},
		Objects: platform.Objects{
			Get: func(ctx context.Context, name string) ([]byte, error) {
				if err := call(ctx); err != nil {
					return nil, err
				}
				return store.Objects.Get(ctx, name)
			},
		},
	}
}

// withLock calls change while the cluster's lock is held.
func (c *cluster) withLock(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

func (c *cluster) stop() {
	c.mu.Lock()
	for _, e := range c.entries {
		e.stop()
	}
	c.mu.Unlock()
	c.group.Wait()
}

// publish publishes the configuration with a number and returns its version. Different
// numbers give different configurations.
func (c *cluster) publish(t *testing.T, number int) uint64 {
	t.Helper()
	version, err := tryPublish(t.Context(), c.store.Platform(), number)
	assert.NilError(t, err)
	return version
}

// tryPublish is like publish, but returns an error instead of failing the test.
func tryPublish(ctx context.Context, store platform.Platform, number int) (uint64, error) {
	publisher := &publication.Publisher{
		Platform: store,
	}
	current, err := publisher.ReadState(ctx)
	if err != nil {
		return 0, err
	}
	return publisher.Publish(ctx, current, publication.Change{
		Documents: []intent.Document{
			{
				Name: intent.DeploymentDocument,
				Content: []byte("name = \"test\"\n[objective]\nlatency = 1\n[[region]]\nname = \"1\"\n" +
					"[[failure-domain]]\nname = \"a\"\nregion = \"1\"\n[[entry]]\nname = \"entry-1\"\nfailure-domain = \"a\"\n"),
			},
			{
				Name:    "client-blocks/callers.blocks",
				Content: fmt.Appendf(nil, "10.%d.%d.0/24 1\n", number/256%256, number%256),
			},
		},
	})
}

// versions returns the version that each entry has in force, in the order of the
// entries.
func (c *cluster) versions() []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var versions []uint64
	for i := range entryCount {
		versions = append(versions, c.entries[addressOf(i)].keeper.Version())
	}
	return versions
}

// delaysInForce returns the time from publication until a version was in force, for
// each entry.
func (c *cluster) delaysInForce(version uint64, published time.Time) []time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var delays []time.Duration
	for _, e := range c.entries {
		delays = append(delays, e.inForce[version].Sub(published))
	}
	return delays
}

// assertVersionsIncrease fails the test if an entry applied a version that is not above
// the one before.
func (c *cluster) assertVersionsIncrease(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.entries {
		for i := 1; i < len(e.applied); i++ {
			assert.Assert(t, e.applied[i] > e.applied[i-1], "%s: %v", e.member.GetName(), e.applied)
		}
	}
}

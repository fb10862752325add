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

// fleet is seven entries in six failure domains of three regions. They reach each
// other and the store by function calls that sleep for the network delay.
type fleet struct {
	mu    sync.Mutex
	store *memory.Store
	// entries holds the running entries by peer address.
	entries map[string]*fleetEntry
	// partitioned holds the failure domains that are cut off from the others and from
	// the store.
	partitioned map[string]bool
	// storeDown blocks all calls to the store, and storeDelay is the processing time of
	// each call.
	storeDown  bool
	storeDelay time.Duration
	// regionDelay is the one-way network delay between two regions.
	regionDelay time.Duration
	group       sync.WaitGroup
}

// fleetEntry is one entry of a fleet.
type fleetEntry struct {
	fleet  *fleet
	member *teaselv1.Member
	keeper *Keeper
	roster *membership.Roster
	stop   context.CancelFunc
	// inForce holds when each version came into force on this entry, and applied
	// lists the versions in that order.
	inForce map[uint64]time.Time
	applied []uint64
}

// entryCount is the number of entries in the fleet.
const entryCount = 7

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{
		store:       &memory.Store{},
		entries:     make(map[string]*fleetEntry),
		partitioned: make(map[string]bool),
		regionDelay: 55 * time.Millisecond,
	}
	for i := range entryCount {
		f.start(t, i)
	}
	return f
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
func (f *fleet) start(t *testing.T, i int) *fleetEntry {
	t.Helper()
	domain, region := locationOf(i)
	ctx, stop := context.WithCancel(t.Context())
	e := &fleetEntry{
		fleet: f,
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
		Platform:       f.platform(e.member),
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
	f.mu.Lock()
	f.entries[addressOf(i)] = e
	f.mu.Unlock()
	f.group.Go(func() { e.keeper.Run(ctx) })
	f.group.Go(func() { e.roster.Run(ctx) })
	return e
}

// onChange records a configuration that came into force, and reports its version to
// peers.
func (e *fleetEntry) onChange(next *intent.Configuration) {
	e.fleet.mu.Lock()
	e.inForce[next.Version] = time.Now()
	e.applied = append(e.applied, next.Version)
	e.fleet.mu.Unlock()
	e.roster.UpdateSelf(func(self *teaselv1.Member) { self.ConfigurationVersion = next.Version })
}

func (e *fleetEntry) sendHeartbeat(ctx context.Context, address string, request *teaselv1.HeartbeatRequest) (*teaselv1.HeartbeatResponse, error) {
	target, err := e.fleet.connect(ctx, e.member, address)
	if err != nil {
		return nil, err
	}
	return target.roster.HandleHeartbeat(request), nil
}

func (e *fleetEntry) fetchDeltas(ctx context.Context, address string, after uint64) ([]*teaselv1.Delta, error) {
	target, err := e.fleet.connect(ctx, e.member, address)
	if err != nil {
		return nil, err
	}
	return target.keeper.DeltasSince(after), nil
}

// connect returns the entry at an address after the delay of a round trip. If no entry
// has the address or a partition separates the two entries, connect blocks until ctx is
// done.
func (f *fleet) connect(ctx context.Context, from *teaselv1.Member, address string) (*fleetEntry, error) {
	f.mu.Lock()
	target := f.entries[address]
	unreachable := target == nil || f.partitioned[from.GetFailureDomain()] != f.partitioned[target.member.GetFailureDomain()]
	f.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, errUnreachable
	}
	return target, f.delayCall(ctx, from.GetRegion(), target.member.GetRegion(), 0)
}

// delayCall sleeps for the processing time and the round trip between two regions.
func (f *fleet) delayCall(ctx context.Context, from, to string, processing time.Duration) error {
	delay := processing + 2*time.Millisecond
	if from != to {
		delay = processing + 2*f.regionDelay
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// platform returns the store as an entry reaches it. The store is in region 1.
func (f *fleet) platform(from *teaselv1.Member) platform.Platform {
	store := f.store.Platform()
	call := func(ctx context.Context) error {
		f.mu.Lock()
		unreachable := f.storeDown || f.partitioned[from.GetFailureDomain()]
		delay := f.storeDelay
		f.mu.Unlock()
		if unreachable {
			<-ctx.Done()
			return errUnreachable
		}
		return f.delayCall(ctx, from.GetRegion(), "1", delay)
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

// withLock calls change while the fleet's lock is held.
func (f *fleet) withLock(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fleet) stop() {
	f.mu.Lock()
	for _, e := range f.entries {
		e.stop()
	}
	f.mu.Unlock()
	f.group.Wait()
}

// publish publishes a configuration and returns its version. Different numbers give
// different configurations.
func (f *fleet) publish(t *testing.T, number int) uint64 {
	t.Helper()
	version, err := tryPublish(t.Context(), f.store.Platform(), number)
	assert.NilError(t, err)
	return version
}

// tryPublish does the work of publish and returns the error instead of failing a test.
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
func (f *fleet) versions() []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var versions []uint64
	for i := range entryCount {
		versions = append(versions, f.entries[addressOf(i)].keeper.Version())
	}
	return versions
}

// delaysInForce returns the time from publication until a version was in force, for
// each entry.
func (f *fleet) delaysInForce(version uint64, published time.Time) []time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var delays []time.Duration
	for _, e := range f.entries {
		delays = append(delays, e.inForce[version].Sub(published))
	}
	return delays
}

// assertVersionsIncrease fails the test if an entry applied a version that is not above
// the one before.
func (f *fleet) assertVersionsIncrease(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.entries {
		for i := 1; i < len(e.applied); i++ {
			assert.Assert(t, e.applied[i] > e.applied[i-1], "%s: %v", e.member.GetName(), e.applied)
		}
	}
}

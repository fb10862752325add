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

var errCut = errors.New("cut off")

// fleet is seven entries in six failure domains of three regions, joined by
// function calls with the delays of the brief.
type fleet struct {
	mu      sync.Mutex
	store   *memory.Store
	nodes   map[string]*node
	apart   map[string]bool
	down    bool
	service time.Duration
	between time.Duration
	group   sync.WaitGroup
}

type node struct {
	fleet  *fleet
	member *teaselv1.Member
	keeper *Keeper
	roster *membership.Roster
	stop   context.CancelFunc
	// inForce holds when each version came into force here.
	inForce map[uint64]time.Time
	steps   []uint64
}

// entryCount is the size of the fleet.
const entryCount = 7

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{
		store:   &memory.Store{},
		nodes:   make(map[string]*node),
		apart:   make(map[string]bool),
		between: 55 * time.Millisecond,
	}
	for i := range entryCount {
		f.start(t, i)
	}
	return f
}

func seatOf(i int) (domain, region string) {
	domain = []string{"a", "a", "b", "c", "d", "e", "f"}[i]
	return domain, map[string]string{"a": "1", "b": "1", "c": "2", "d": "2", "e": "3", "f": "3"}[domain]
}

func addressOf(i int) string {
	return fmt.Sprintf("10.0.0.%d:1", i+1)
}

// start starts an entry, or replaces it by one that knows nothing.
func (f *fleet) start(t *testing.T, i int) *node {
	t.Helper()
	domain, region := seatOf(i)
	ctx, stop := context.WithCancel(t.Context())
	n := &node{
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
	n.keeper = &Keeper{
		Platform:       f.platform(n.member),
		FetchDeltas:    n.fetch,
		PollsPlatform:  func() bool { return n.roster.FirstInDomain() },
		SeedsContacted: func() bool { return n.roster.SeedsContacted() },
		OnChange:       n.changed,
	}
	var seeds []string
	for other := range entryCount {
		seeds = append(seeds, addressOf(other))
	}
	n.roster = membership.New(n.member, n.call, membership.WithSeeds(seeds), membership.WithExtension(n.keeper.HeartbeatExtension()))
	f.mu.Lock()
	f.nodes[addressOf(i)] = n
	f.mu.Unlock()
	f.group.Go(func() { n.keeper.Run(ctx) })
	f.group.Go(func() { n.roster.Run(ctx) })
	return n
}

func (n *node) changed(next *intent.Configuration) {
	n.fleet.mu.Lock()
	n.inForce[next.Version] = time.Now()
	n.steps = append(n.steps, next.Version)
	n.fleet.mu.Unlock()
	n.roster.UpdateSelf(func(self *teaselv1.Member) { self.ConfigurationVersion = next.Version })
}

func (n *node) call(ctx context.Context, address string, request *teaselv1.HeartbeatRequest) (*teaselv1.HeartbeatResponse, error) {
	target, err := n.fleet.reach(ctx, n.member, address)
	if err != nil {
		return nil, err
	}
	return target.roster.HandleHeartbeat(request), nil
}

func (n *node) fetch(ctx context.Context, address string, after uint64) ([]*teaselv1.Delta, error) {
	target, err := n.fleet.reach(ctx, n.member, address)
	if err != nil {
		return nil, err
	}
	return target.keeper.DeltasSince(after), nil
}

// reach waits for the way there and back.
func (f *fleet) reach(ctx context.Context, from *teaselv1.Member, address string) (*node, error) {
	f.mu.Lock()
	target := f.nodes[address]
	cut := target == nil || f.apart[from.GetFailureDomain()] != f.apart[target.member.GetFailureDomain()]
	f.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, errCut
	}
	return target, f.wait(ctx, from.GetRegion(), target.member.GetRegion(), 0)
}

// wait passes the time of a call between two regions and of its service.
func (f *fleet) wait(ctx context.Context, from, to string, service time.Duration) error {
	delay := service + 2*time.Millisecond
	if from != to {
		delay = service + 2*f.between
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// platform is the store as an entry sees it; it stands in region 1.
func (f *fleet) platform(from *teaselv1.Member) platform.Platform {
	service := f.store.Platform()
	ready := func(ctx context.Context) error {
		f.mu.Lock()
		cut := f.down || f.apart[from.GetFailureDomain()]
		slow := f.service
		f.mu.Unlock()
		if cut {
			<-ctx.Done()
			return errCut
		}
		return f.wait(ctx, from.GetRegion(), "1", slow)
	}
	return platform.Platform{
		Table: platform.Table{
			Read: func(ctx context.Context, row string) (platform.Row, error) {
				if err := ready(ctx); err != nil {
					return platform.Row{}, err
				}
				return service.Table.Read(ctx, row)
			},
		},
		Objects: platform.Objects{
			Get: func(ctx context.Context, name string) ([]byte, error) {
				if err := ready(ctx); err != nil {
					return nil, err
				}
				return service.Objects.Get(ctx, name)
			},
		},
	}
}

func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fleet) end() {
	f.mu.Lock()
	for _, n := range f.nodes {
		n.stop()
	}
	f.mu.Unlock()
	f.group.Wait()
}

func (f *fleet) publish(t *testing.T, number int) uint64 {
	t.Helper()
	version, err := tryPublish(t.Context(), f.store.Platform(), number)
	assert.NilError(t, err)
	return version
}

func tryPublish(ctx context.Context, service platform.Platform, number int) (uint64, error) {
	publisher := &publication.Publisher{
		Platform: service,
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

// versions returns the version each entry has in force, by address.
func (f *fleet) versions() []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var versions []uint64
	for i := range entryCount {
		versions = append(versions, f.nodes[addressOf(i)].keeper.Version())
	}
	return versions
}

// took returns how long a version took to be in force on each entry.
func (f *fleet) took(version uint64, accepted time.Time) []time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var spans []time.Duration
	for _, n := range f.nodes {
		spans = append(spans, n.inForce[version].Sub(accepted))
	}
	return spans
}

// neverBack fails where an entry took a version that is not above the one before.
func (f *fleet) neverBack(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		for i := 1; i < len(n.steps); i++ {
			assert.Assert(t, n.steps[i] > n.steps[i-1], "%s: %v", n.member.GetName(), n.steps)
		}
	}
}

package capacity

import (
	"context"
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/teaselstack/teaselstack/entry/key"
	"github.com/teaselstack/teaselstack/measure/fleet"
	"github.com/teaselstack/teaselstack/measure/slope"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/platform/memory"
)

// platformCalls counts calls to the platform. Its fields may be read once no call is
// in flight.
type platformCalls struct {
	// mu guards the counters.
	mu sync.Mutex

	// Reads counts reads and scans of the table, Commits its transactions.
	Reads   int
	Commits int
	// Gets and Puts count calls to the object store.
	Gets int
	Puts int
	// ObjectBytes counts the bytes of object content read and written.
	ObjectBytes int
}

// reset clears all counters.
func (c *platformCalls) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Reads, c.Commits, c.Gets, c.Puts, c.ObjectBytes = 0, 0, 0, 0, 0
}

// add increases one of the counters.
func (c *platformCalls) add(counter *int, amount int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*counter += amount
}

// Wrap returns a platform that counts its calls and forwards them to next.
func (c *platformCalls) Wrap(next platform.Platform) platform.Platform {
	counted := next
	counted.Table.Read = func(ctx context.Context, row string) (platform.Row, error) {
		c.add(&c.Reads, 1)
		return next.Table.Read(ctx, row)
	}
	counted.Table.Scan = func(ctx context.Context, prefix string) ([]platform.Row, error) {
		c.add(&c.Reads, 1)
		return next.Table.Scan(ctx, prefix)
	}
	counted.Table.Commit = func(ctx context.Context, writes []platform.Write) ([]platform.Revision, error) {
		c.add(&c.Commits, 1)
		return next.Table.Commit(ctx, writes)
	}
	counted.Objects.Get = func(ctx context.Context, name string) ([]byte, error) {
		c.add(&c.Gets, 1)
		content, err := next.Objects.Get(ctx, name)
		c.add(&c.ObjectBytes, len(content))
		return content, err
	}
	counted.Objects.Put = func(ctx context.Context, name string, content []byte) error {
		c.add(&c.Puts, 1)
		c.add(&c.ObjectBytes, len(content))
		return next.Objects.Put(ctx, name, content)
	}
	return counted
}

const (
	// keyCommitsPerSecond is the limit of transactions for idempotency keys of all
	// entries together: totalCommitRate of package key.
	keyCommitsPerSecond = 300
	// ownershipReadsPerSecond is the mean rate at which an entry reads the row that
	// names its owner; see watchInterval of package fencing. That package's events and
	// rows call the ownership a seat, which is not a seat of slot.Seats.
	ownershipReadsPerSecond = 1.0 / 60
)

// EstimateStoreLoad calculates the load on the platform at increasing numbers of
// nodes, from the numbers of calls that one poll and one publication make and from
// the rates of package key and package fencing. The last row, of measureClaims, is
// measured.
func EstimateStoreLoad() []Row {
	publishing := countPublishCalls()
	polling := countPollCalls()
	deltaBytes := float64(proto.Size(newSiteDelta(fleet.Target(), 2)))
	return []Row{
		storeRow("table reads for a new version", StoreReadsPerSecond, "one entry of each failure domain, a poll a second, counted", func(nodes float64) float64 {
			return failureDomainCount(nodes) * float64(polling.Reads)
		}),
		storeRow("table reads of seats' rows", StoreReadsPerSecond, "one a minute and node", func(nodes float64) float64 {
			return nodes * ownershipReadsPerSecond
		}),
		storeRow("object bytes read for new versions", 0, "a measured delta for each failure domain and change", func(nodes float64) float64 {
			return failureDomainCount(nodes) * deltaBytes * scaledChangeRate(nodes)
		}),
		storeRow("table writes by publishing", StoreWritesPerSecond, "counted for one publication", func(nodes float64) float64 {
			return scaledChangeRate(nodes) * float64(publishing.Commits)
		}),
		storeRow("most transactions by callers' own keys", StoreWritesPerSecond, "the journals' shares together", func(float64) float64 {
			return keyCommitsPerSecond
		}),
		storeRow("longest wait of an own key for its entry's share, in s", 0, "nodes over the rate", func(nodes float64) float64 {
			return nodes / keyCommitsPerSecond
		}),
		measureClaims(),
	}
}

// scaledChangeRate returns the number of configuration changes per second in a
// deployment with the given number of nodes: ChangesPerSecond scaled down from the
// target size.
func scaledChangeRate(nodes float64) float64 {
	return ChangesPerSecond * nodes / float64(fleet.Target().Nodes)
}

// failureDomainCount returns the number of failure domains of a deployment with the
// given number of nodes: as many per node as at the target size, but not fewer than
// in fleet.FirstDeployment.
func failureDomainCount(nodes float64) float64 {
	target := fleet.Target()
	return max(float64(fleet.FirstDeployment().FailureDomains), nodes*float64(target.FailureDomains)/float64(target.Nodes))
}

// storeRow returns a row with a point for each of several numbers of nodes. The
// function value calculates the point's value.
func storeRow(quantity string, bound float64, note string, value func(nodes float64) float64) Row {
	row := Row{
		Quantity:   quantity,
		Unit:       "/s",
		SizeUnit:   "nodes",
		TargetSize: float64(fleet.Target().Nodes),
		Bound:      bound,
		Derived:    true,
		Note:       note,
	}
	for _, nodes := range []float64{7, 60, 246, 984, 3_600} {
		row.Points = append(row.Points, slope.Point{
			Size:  nodes,
			Value: value(nodes),
		})
	}
	return row
}

// countPollCalls counts the platform calls of one poll that finds no new version of
// the configuration. The poll ends after it has read the head row, which doesn't exist
// in the empty store.
func countPollCalls() *platformCalls {
	calls := &platformCalls{}
	keeper := newKeeper(fleet.HundredthOfTarget().Documents())
	keeper.Platform = calls.Wrap((&memory.Store{}).Platform())
	// The error says that there is no head row.
	_ = keeper.Poll(context.Background())
	return calls
}

// countClaimCalls counts the platform calls that one entry makes to claim and finish
// the given number of idempotency keys, all concurrently.
func countClaimCalls(keys int) *platformCalls {
	calls := &platformCalls{}
	ctx, cancel := context.WithCancel(context.Background())
	register := key.New(fleet.EntryName(0), 1, calls.Wrap((&memory.Store{}).Platform()).Table)
	var claims, registerRun sync.WaitGroup
	for i := range keys {
		claims.Go(func() {
			claim, refused := register.Claim(ctx, key.Request{
				Service:   fleet.SiteName(0),
				Key:       fmt.Sprintf("offer-%d", i),
				FirstSend: true,
			})
			if refused != nil {
				panic("claim a measured key: " + refused.Outcome.Detail)
			}
			claim.Finish(key.Result{})
		})
	}
	registerRun.Go(func() { register.Run(ctx) })
	claims.Wait()
	cancel()
	registerRun.Wait()
	return calls
}

// measureClaims measures the number of transactions for idempotency keys that are
// claimed concurrently at one entry.
func measureClaims() Row {
	row := Row{
		Quantity:   "transactions for callers' own keys claimed at once at one entry",
		Unit:       "",
		SizeUnit:   "keys",
		TargetSize: 256,
	}
	for _, keys := range []int{1, 16, 256} {
		row.Points = append(row.Points, slope.Point{
			Size:  float64(keys),
			Value: float64(countClaimCalls(keys).Commits),
		})
	}
	return row
}

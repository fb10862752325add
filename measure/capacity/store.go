package capacity

import (
	"context"
	"sync"

	"github.com/teaselstack/teaselstack/entry/key"
	"github.com/teaselstack/teaselstack/measure/fleet"
	"github.com/teaselstack/teaselstack/measure/slope"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/platform/memory"
)

// Calls counts calls to the platform.
type Calls struct {
	Reads   int
	Commits int
	Gets    int
	Puts    int
	// Bytes counts the content of objects, both ways.
	Bytes int
}

func (c *Calls) reset() {
	*c = Calls{}
}

// Count returns a platform that counts its calls and hands them on.
func (c *Calls) Count(next platform.Platform) platform.Platform {
	counted := next
	counted.Table.Read = func(ctx context.Context, row string) (platform.Row, error) {
		c.Reads++
		return next.Table.Read(ctx, row)
	}
	counted.Table.Scan = func(ctx context.Context, prefix string) ([]platform.Row, error) {
		c.Reads++
		return next.Table.Scan(ctx, prefix)
	}
	counted.Table.Commit = func(ctx context.Context, writes []platform.Write) ([]platform.Revision, error) {
		c.Commits++
		return next.Table.Commit(ctx, writes)
	}
	counted.Objects.Get = func(ctx context.Context, name string) ([]byte, error) {
		c.Gets++
		content, err := next.Objects.Get(ctx, name)
		c.Bytes += len(content)
		return content, err
	}
	counted.Objects.Put = func(ctx context.Context, name string, content []byte) error {
		c.Puts++
		c.Bytes += len(content)
		return next.Objects.Put(ctx, name, content)
	}
	return counted
}

// Store works out the load on the platform from counted calls.
func Store() []Row {
	publishing := Publishing()
	polling := polls()
	claiming := claims()
	changes := func(nodes float64) float64 { return ChangesPerSecond * nodes / float64(fleet.Target().Nodes) }
	return []Row{
		storeRow("table reads by entries that look for a new version", StoreReads, "1 poll a second a node, counted", func(nodes float64) float64 {
			return nodes * float64(polling.Reads)
		}),
		storeRow("object bytes by entries that take a new version", 0, "a whole snapshot for each node and change", func(nodes float64) float64 {
			return nodes * changes(nodes) * snapshotBytes(nodes)
		}),
		storeRow("table writes by publishing", StoreWrites, "counted for one publication", func(nodes float64) float64 {
			return changes(nodes) * float64(publishing.Commits)
		}),
		storeRow("table writes by callers' own keys", StoreWrites, "counted for one key; one request with a key a second a node", func(nodes float64) float64 {
			return nodes * float64(claiming.Commits)
		}),
	}
}

// snapshotBytes is the length of a whole configuration: a node's part of the
// target's documents, from Configurations.
func snapshotBytes(nodes float64) float64 {
	size := fleet.Hundredth()
	part := length(size.Documents()) + length(size.BlockDocuments())
	return part * nodes / float64(size.Nodes)
}

func storeRow(quantity string, bound float64, note string, value func(nodes float64) float64) Row {
	row := Row{
		Quantity:  quantity,
		Unit:      "/s",
		Grows:     "nodes",
		Target:    float64(fleet.Target().Nodes),
		Bound:     bound,
		WorkedOut: true,
		Note:      note,
	}
	for _, nodes := range []float64{7, 60, 246, 984, 3_600} {
		row.Points = append(row.Points, slope.Point{
			Size:  nodes,
			Value: value(nodes),
		})
	}
	return row
}

// polls counts what one look for a new version asks of the platform.
func polls() Calls {
	var calls Calls
	keeper := NewKeeper(fleet.Hundredth().Documents())
	keeper.Platform = calls.Count((&memory.Store{}).Platform())
	_ = keeper.Poll(context.Background())
	return calls
}

// claims counts what one claim of a caller's own key asks of the platform.
func claims() Calls {
	var calls Calls
	register := key.New(fleet.EntryName(0), 1, calls.Count((&memory.Store{}).Platform()).Table)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { register.Run(ctx) })
	defer group.Wait()
	defer cancel()
	claim, refused := register.Begin(ctx, key.Use{
		Service: fleet.SiteName(0),
		Key:     "offer-1",
		Digest:  key.NewDigest([]byte("offer")),
	})
	if refused != nil {
		panic("claim a measured key: " + refused.Outcome.Detail)
	}
	claim.Finish(key.Result{})
	return calls
}

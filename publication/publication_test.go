package publication

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/platform/memory"
)

const deployment = `
name = "test"
[objective]
latency = 1
[[region]]
name = "north"
[[failure-domain]]
name = "north-a"
region = "north"
[[entry]]
name = "entry-1"
failure-domain = "north-a"
`

// testDocuments returns a valid set of documents, different for each number below
// 65536.
func testDocuments(number int) []intent.Document {
	return []intent.Document{
		{
			Name:    "client-blocks/callers.blocks",
			Content: fmt.Appendf(nil, "10.%d.%d.0/24 north\n", number/256%256, number%256),
		},
		{
			Name:    intent.DeploymentDocument,
			Content: []byte(deployment),
		},
	}
}

// mustPublish publishes testDocuments(number) as the next version.
func mustPublish(t *testing.T, publisher *Publisher, number int) uint64 {
	t.Helper()
	current, err := publisher.ReadState(t.Context())
	assert.NilError(t, err)
	version, err := publisher.Publish(t.Context(), current, Change{
		Documents: testDocuments(number),
	})
	assert.NilError(t, err)
	return version
}

// TestConcurrentPublishHasOneWinner lets two operators publish different changes of
// the same version at once. One must succeed, and the other must get a conflict that
// names the winner.
func TestConcurrentPublishHasOneWinner(t *testing.T) {
	const rounds = 200
	var store memory.Store
	operators := []*Publisher{
		{
			Platform: store.Platform(),
			Author:   "anna",
		},
		{
			Platform: store.Platform(),
			Author:   "bela",
		},
	}
	for round := range rounds {
		versions := make([]uint64, len(operators))
		errs := make([]error, len(operators))
		currents := make([]*PublishedState, len(operators))
		for i, operator := range operators {
			current, err := operator.ReadState(t.Context())
			assert.NilError(t, err)
			currents[i] = current
		}
		var group sync.WaitGroup
		for i, operator := range operators {
			group.Go(func() {
				versions[i], errs[i] = operator.Publish(t.Context(), currents[i], Change{
					Documents: testDocuments(2*round + i),
				})
			})
		}
		group.Wait()
		winner := 0
		if errs[0] != nil {
			winner = 1
		}
		assert.NilError(t, errs[winner])
		var conflict *ConflictError
		assert.Assert(t, errors.As(errs[1-winner], &conflict), "round %d: %v", round, errs[1-winner])
		assert.Equal(t, conflict.Author, operators[winner].Author)
		assert.Equal(t, conflict.Actual, versions[winner])
		assert.Equal(t, versions[winner], uint64(round+1))
		after, err := operators[0].ReadState(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, after.Documents, testDocuments(2*round+winner))
	}
}

var errResponseLost = errors.New("the response was lost")

// withLostResponse wraps a platform so that one of its writes takes effect but
// returns an error. lostWrite is the number of that write, counted from 1. interfere,
// if not nil, is called before the write returns.
func withLostResponse(target platform.Platform, lostWrite int, interfere func()) platform.Platform {
	writeCount := 0
	loseResponse := func() error {
		writeCount++
		if writeCount != lostWrite {
			return nil
		}
		if interfere != nil {
			interfere()
		}
		return errResponseLost
	}
	put, commit := target.Objects.Put, target.Table.Commit
	target.Objects.Put = func(ctx context.Context, name string, content []byte) error {
		if err := put(ctx, name, content); err != nil {
			return err
		}
		return loseResponse()
	}
	target.Table.Commit = func(ctx context.Context, writes []platform.Write) ([]platform.Revision, error) {
		revisions, err := commit(ctx, writes)
		if err != nil {
			return nil, err
		}
		return revisions, loseResponse()
	}
	return target
}

// TestPublishSurvivesLostResponseOfEachWrite publishes a version that needs three
// writes: snapshot, delta and head row. All take effect, but the response to one of
// them is lost. After the write of the head row, another publisher may publish the next
// version before Publish reads the row to find out whether its write took effect.
func TestPublishSurvivesLostResponseOfEachWrite(t *testing.T) {
	for _, concurrent := range []bool{false, true} {
		for lostWrite := 1; lostWrite <= 3; lostWrite++ {
			synctest.Test(t, func(t *testing.T) {
				var store memory.Store
				otherPublisher := &Publisher{
					Platform: store.Platform(),
					Author:   "bela",
				}
				// A snapshot is due with the next version.
				for version := range SnapshotInterval {
					mustPublish(t, otherPublisher, version)
				}
				interfere := func() {
					if concurrent && lostWrite == 3 {
						mustPublish(t, otherPublisher, 1001)
					}
				}
				publisher := &Publisher{
					Platform: withLostResponse(store.Platform(), lostWrite, interfere),
					Author:   "anna",
				}
				assert.Equal(t, mustPublish(t, publisher, 1000), uint64(SnapshotInterval+1))
				versions, err := History(t.Context(), store.Platform(), 1000)
				assert.NilError(t, err)
				want := SnapshotInterval + 1
				if concurrent && lostWrite == 3 {
					want++
				}
				assert.Equal(t, len(versions), want)
				documents, err := DocumentsAt(t.Context(), store.Platform(), SnapshotInterval+1)
				assert.NilError(t, err)
				assert.DeepEqual(t, documents, testDocuments(1000))
			})
		}
	}
}

func TestPublishDuringStoreOutageChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memory.Store
		publisher := &Publisher{
			Platform: store.Platform(),
		}
		mustPublish(t, publisher, 1)
		current, err := publisher.ReadState(t.Context())
		assert.NilError(t, err)
		publisher.Platform.Objects.Put = func(context.Context, string, []byte) error { return errResponseLost }
		_, err = publisher.Publish(t.Context(), current, Change{
			Documents: testDocuments(2),
		})
		assert.ErrorContains(t, err, "nothing changed")
		publisher.Platform = store.Platform()
		after, err := publisher.ReadState(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, after.Documents, testDocuments(1))
	})
}

// TestPublishWithLostCommitResponseIsUnknownAndRepeatable loses the response to the
// write of the head row while the row can't be read either. Publishing the change
// again under the same ID must return its version, even if a newer version has been
// published since.
func TestPublishWithLostCommitResponseIsUnknownAndRepeatable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memory.Store
		publisher := &Publisher{
			Platform: store.Platform(),
		}
		mustPublish(t, publisher, 1)
		current, err := publisher.ReadState(t.Context())
		assert.NilError(t, err)
		publisher.Platform.Table.Commit = func(ctx context.Context, writes []platform.Write) ([]platform.Revision, error) {
			_, _ = store.Commit(ctx, writes)
			return nil, errResponseLost
		}
		publisher.Platform.Table.Read = func(context.Context, string) (platform.Row, error) {
			return platform.Row{}, errResponseLost
		}
		_, err = publisher.Publish(t.Context(), current, Change{
			ID:        "pipeline-7",
			Documents: testDocuments(2),
		})
		var unknown *UnknownOutcomeError
		assert.Assert(t, errors.As(err, &unknown), "%v", err)
		assert.Equal(t, unknown.ID, "pipeline-7")
		publisher.Platform = store.Platform()
		mustPublish(t, publisher, 3)
		current, err = publisher.ReadState(t.Context())
		assert.NilError(t, err)
		version, err := publisher.Publish(t.Context(), current, Change{
			ID:        unknown.ID,
			Documents: testDocuments(2),
		})
		assert.NilError(t, err)
		assert.Equal(t, version, uint64(2))
		assert.DeepEqual(t, current.Documents, testDocuments(3))
	})
}

func TestPublishWithoutChangesKeepsVersion(t *testing.T) {
	var store memory.Store
	publisher := &Publisher{
		Platform: store.Platform(),
	}
	assert.Equal(t, mustPublish(t, publisher, 1), uint64(1))
	assert.Equal(t, mustPublish(t, publisher, 1), uint64(1))
}

// TestReadDeltasSinceCrossesSnapshots checks that applying the deltas since a version to
// its documents yields those of the newest version, whether or not a snapshot replaces
// some of the deltas.
func TestReadDeltasSinceCrossesSnapshots(t *testing.T) {
	var store memory.Store
	publisher := &Publisher{
		Platform: store.Platform(),
	}
	const versions = 3*SnapshotInterval + 5
	for version := 1; version <= versions; version++ {
		mustPublish(t, publisher, version)
	}
	head, _, err := ReadHead(t.Context(), store.Platform().Table)
	assert.NilError(t, err)
	for _, since := range []uint64{0, 1, versions - SnapshotInterval - 1, versions - SnapshotInterval, versions - 1, versions} {
		deltas, err := ReadDeltasSince(t.Context(), store.Platform().Objects, head, since)
		assert.NilError(t, err)
		assert.Assert(t, len(deltas) <= SnapshotInterval+1)
		documents := testDocuments(int(since))
		for _, delta := range deltas {
			documents = Apply(documents, delta)
		}
		assert.DeepEqual(t, documents, testDocuments(versions))
	}
}

func TestPreviewListsDocumentsAndEffects(t *testing.T) {
	current := &PublishedState{}
	preview, err := PreviewChange(current, testDocuments(1))
	assert.NilError(t, err)
	assert.Equal(t, strings.Join(preview.Added, " "), "client-blocks/callers.blocks deployment.toml")
	assert.DeepEqual(t, preview.Effects, []Effect{
		{
			Region: "north",
			Figure: FigureEntries,
			After:  1,
		},
	})
}

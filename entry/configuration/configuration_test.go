package configuration

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/publication"
)

// inForceBound is how long a change may take to be in force on all entries.
const inForceBound = 5 * time.Second

// inForceRounds is how many versions are published at different moments of the
// entries' polls and heartbeats.
const inForceRounds = 20

func all(version uint64) []uint64 {
	return slices.Repeat([]uint64{version}, entryCount)
}

// paused runs a test with a fleet that has version 1 in force.
func paused(t *testing.T, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.end()
		f.publish(t, 1)
		time.Sleep(inForceBound)
		assert.DeepEqual(t, f.versions(), all(1))
		test(t, f)
		f.neverBack(t)
	})
}

func TestVersionInForceEverywhereInTime(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(f *fleet)
		after   func(f *fleet)
	}{
		{
			name: "store-up",
		},
		{
			name:    "store-slow",
			prepare: func(f *fleet) { f.service = time.Second },
		},
		{
			name: "store-down-once-one-entry-has-it",
			after: func(f *fleet) {
				for before := slices.Min(f.versions()); slices.Max(f.versions()) == before; {
					time.Sleep(time.Millisecond)
				}
				f.set(func() { f.down = true })
			},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			paused(t, func(t *testing.T, f *fleet) {
				if test.prepare != nil {
					f.set(func() { test.prepare(f) })
				}
				var took []time.Duration
				for round := range inForceRounds {
					version := uint64(round + 2)
					time.Sleep(time.Duration(round) * 137 * time.Millisecond)
					accepted := time.Now()
					f.publish(t, int(version))
					if test.after != nil {
						test.after(f)
					}
					time.Sleep(inForceBound - time.Since(accepted))
					assert.DeepEqual(t, f.versions(), all(version))
					took = append(took, f.took(version, accepted)...)
					f.set(func() { f.down = false })
					time.Sleep(inForceBound)
				}
				slices.Sort(took)
				t.Logf("in force after: p50 %s, max %s (%d entries, %d versions)",
					took[len(took)/2].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond), entryCount, inForceRounds)
			})
		})
	}
}

func TestPartitionedDomainKeepsItsVersionAndCatchesUp(t *testing.T) {
	paused(t, func(t *testing.T, f *fleet) {
		f.set(func() { f.apart["f"] = true })
		last := uint64(0)
		for number := 2; number < 200; number++ {
			last = f.publish(t, number)
			time.Sleep(time.Second)
			assert.Equal(t, f.versions()[6], uint64(1))
		}
		f.set(func() { f.apart["f"] = false })
		time.Sleep(inForceBound)
		assert.DeepEqual(t, f.versions(), all(last))
	})
}

func TestReplacedEntryFetchesFromPeersDuringStoreOutage(t *testing.T) {
	paused(t, func(t *testing.T, f *fleet) {
		f.publish(t, 2)
		time.Sleep(inForceBound)
		f.set(func() { f.down = true })
		for i := range entryCount {
			f.nodes[addressOf(i)].stop()
			next := f.start(t, i)
			time.Sleep(inForceBound)
			assert.Assert(t, next.keeper.Serving() != nil)
			assert.Equal(t, next.keeper.Serving().Version, uint64(2))
		}
		assert.DeepEqual(t, f.versions(), all(2))
	})
}

func TestStartingEntryAwaitsNewestPeerVersion(t *testing.T) {
	steps := func(versions ...uint64) []*teaselv1.Delta {
		var deltas []*teaselv1.Delta
		for _, version := range versions {
			deltas = append(deltas, &teaselv1.Delta{
				Version: version,
				Changed: []*teaselv1.Document{
					{
						Name:    intent.DeploymentDocument,
						Content: []byte("name = \"t\"\n[objective]\nlatency = 1\n[[region]]\nname = \"1\"\n[[failure-domain]]\nname = \"a\"\nregion = \"1\"\n[[entry]]\nname = \"e\"\nfailure-domain = \"a\"\n"),
					},
				},
			})
		}
		return deltas
	}
	introduced := false
	keeper := &Keeper{
		SeedsContacted: func() bool { return introduced },
	}
	assert.NilError(t, keeper.Apply(steps(4), "test"))
	keeper.settle(0, false)
	assert.Assert(t, keeper.Serving() == nil, "peers were not asked yet")
	keeper.RecordPeerVersion("10.0.0.1:1", 5)
	introduced = true
	keeper.settle(0, false)
	assert.Assert(t, keeper.Serving() == nil, "a peer has version 5")
	keeper.settle(4, true)
	assert.Assert(t, keeper.Serving() == nil, "a peer has version 5, the platform lags")
	assert.NilError(t, keeper.Apply(steps(5), "test"))
	keeper.settle(0, false)
	assert.Equal(t, keeper.Serving().Version, uint64(5))
}

func TestAdvancePanicsUnlessVersionIncreases(t *testing.T) {
	keeper := &Keeper{}
	keeper.advance(&intent.Configuration{
		Version: 3,
	})
	defer func() {
		assert.Equal(t, recover(), "configuration: step from version 3 back to 3")
	}()
	keeper.advance(&intent.Configuration{
		Version: 3,
	})
}

func TestInterruptedPublicationChangesNothing(t *testing.T) {
	paused(t, func(t *testing.T, f *fleet) {
		service := f.store.Platform()
		commit := service.Table.Commit
		service.Objects.Put = func(ctx context.Context, name string, content []byte) error {
			_ = f.store.Put(ctx, name, content)
			service.Table.Commit = nil
			return errCut
		}
		_, err := tryPublish(t.Context(), service, 2)
		assert.ErrorContains(t, err, "nothing changed")
		time.Sleep(inForceBound)
		assert.DeepEqual(t, f.versions(), all(1))
		service = f.store.Platform()
		service.Table.Commit = commit
		_, err = tryPublish(t.Context(), service, 2)
		assert.NilError(t, err)
		time.Sleep(inForceBound)
		assert.DeepEqual(t, f.versions(), all(2))
	})
}

func TestOlderPlatformVersionIsNotApplied(t *testing.T) {
	paused(t, func(t *testing.T, f *fleet) {
		old, err := f.store.Read(t.Context(), publication.HeadRow)
		assert.NilError(t, err)
		f.publish(t, 2)
		f.publish(t, 3)
		time.Sleep(inForceBound)
		// The row comes back from an older copy.
		now, err := f.store.Read(t.Context(), publication.HeadRow)
		assert.NilError(t, err)
		_, err = f.store.Commit(t.Context(), []platform.Write{{
			Row:              publication.HeadRow,
			ExpectedRevision: now.Revision,
			Value:            old.Value,
		}})
		assert.NilError(t, err)
		time.Sleep(inForceBound)
		assert.DeepEqual(t, f.versions(), all(3))
	})
}

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

// inForceLimit is the longest time from publication until a version is in force on
// all entries.
const inForceLimit = 5 * time.Second

// publicationRounds is the number of versions that TestVersionInForceEverywhereInTime
// publishes, each at a different offset from the entries' polls and heartbeats.
const publicationRounds = 20

// onAllEntries returns what cluster.versions returns when every entry has the given
// version in force.
func onAllEntries(version uint64) []uint64 {
	return slices.Repeat([]uint64{version}, entryCount)
}

// testCluster runs a test under a fake clock with a cluster that has version 1 in force.
// It checks at the end that no entry ever applied an older version.
func testCluster(t *testing.T, test func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stop()
		c.publish(t, 1)
		time.Sleep(inForceLimit)
		assert.DeepEqual(t, c.versions(), onAllEntries(1))
		test(t, c)
		c.assertVersionsIncrease(t)
	})
}

// TestVersionInForceEverywhereInTime checks that each published version is in force on
// all entries within inForceLimit.
func TestVersionInForceEverywhereInTime(t *testing.T) {
	cases := []struct {
		name string
		// prepare changes the cluster once, before the first round, with its lock held.
		prepare func(c *cluster)
		// afterPublish is called after the publication of each round.
		afterPublish func(c *cluster)
	}{
		{
			name: "store-up",
		},
		{
			name:    "store-slow",
			prepare: func(c *cluster) { c.storeDelay = time.Second },
		},
		{
			name: "store-down-once-one-entry-has-it",
			afterPublish: func(c *cluster) {
				for before := slices.Min(c.versions()); slices.Max(c.versions()) == before; {
					time.Sleep(time.Millisecond)
				}
				c.withLock(func() { c.storeDown = true })
			},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			testCluster(t, func(t *testing.T, c *cluster) {
				if test.prepare != nil {
					c.withLock(func() { test.prepare(c) })
				}
				var delays []time.Duration
				for round := range publicationRounds {
					version := uint64(round + 2)
					time.Sleep(time.Duration(round) * 137 * time.Millisecond)
					published := time.Now()
					c.publish(t, int(version))
					if test.afterPublish != nil {
						test.afterPublish(c)
					}
					time.Sleep(inForceLimit - time.Since(published))
					assert.DeepEqual(t, c.versions(), onAllEntries(version))
					delays = append(delays, c.delaysInForce(version, published)...)
					c.withLock(func() { c.storeDown = false })
					time.Sleep(inForceLimit)
				}
				slices.Sort(delays)
				t.Logf("in force after: p50 %s, max %s (%d entries, %d versions)",
					delays[len(delays)/2].Round(time.Millisecond), delays[len(delays)-1].Round(time.Millisecond), entryCount, publicationRounds)
			})
		})
	}
}

// TestPartitionedDomainKeepsItsVersionAndCatchesUp checks that the only entry of a
// partitioned failure domain keeps its version and has the newest one within inForceLimit
// after the partition. It then lacks more versions than publication.SnapshotInterval, but
// fewer than the history of a peer holds.
func TestPartitionedDomainKeepsItsVersionAndCatchesUp(t *testing.T) {
	testCluster(t, func(t *testing.T, c *cluster) {
		c.withLock(func() { c.partitioned["f"] = true })
		newest := uint64(0)
		for number := 2; number < 200; number++ {
			newest = c.publish(t, number)
			time.Sleep(time.Second)
			assert.Equal(t, c.versions()[6], uint64(1)) // the entry of domain f
		}
		c.withLock(func() { c.partitioned["f"] = false })
		time.Sleep(inForceLimit)
		assert.DeepEqual(t, c.versions(), onAllEntries(newest))
	})
}

// TestReplacedEntryFetchesFromPeersDuringStoreOutage replaces all entries, one after the
// other, while the store is down. Each must get the configuration from its peers.
func TestReplacedEntryFetchesFromPeersDuringStoreOutage(t *testing.T) {
	testCluster(t, func(t *testing.T, c *cluster) {
		c.publish(t, 2)
		time.Sleep(inForceLimit)
		c.withLock(func() { c.storeDown = true })
		for i := range entryCount {
			c.entries[addressOf(i)].stop()
			next := c.start(t, i)
			time.Sleep(inForceLimit)
			assert.Assert(t, next.keeper.Serving() != nil)
			assert.Equal(t, next.keeper.Serving().Version, uint64(2))
		}
		assert.DeepEqual(t, c.versions(), onAllEntries(2))
	})
}

// TestStartingEntryAwaitsNewestPeerVersion checks that a starting entry serves only once
// it has the highest version that a peer reported, also if the platform has an older one.
func TestStartingEntryAwaitsNewestPeerVersion(t *testing.T) {
	// Each delta has no parent, so it replaces the whole configuration.
	snapshots := func(versions ...uint64) []*teaselv1.Delta {
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
	seedsContacted := false
	keeper := &Keeper{
		SeedsContacted: func() bool { return seedsContacted },
	}
	assert.NilError(t, keeper.Apply(snapshots(4), "test"))
	keeper.updateMayServe(0, false)
	assert.Assert(t, keeper.Serving() == nil, "no peer was asked yet")
	keeper.RecordPeerVersion("10.0.0.1:1", 5)
	seedsContacted = true
	keeper.updateMayServe(0, false)
	assert.Assert(t, keeper.Serving() == nil, "a peer has version 5")
	keeper.updateMayServe(4, true)
	assert.Assert(t, keeper.Serving() == nil, "a peer has version 5, the platform lags")
	assert.NilError(t, keeper.Apply(snapshots(5), "test"))
	keeper.updateMayServe(0, false)
	assert.Equal(t, keeper.Serving().Version, uint64(5))
}

func TestAdvancePanicsUnlessVersionIncreases(t *testing.T) {
	keeper := &Keeper{}
	keeper.advance(&intent.Configuration{
		Version: 3,
	})
	defer func() {
		assert.Equal(t, recover(), "configuration: current version is 3, can't go to version 3")
	}()
	keeper.advance(&intent.Configuration{
		Version: 3,
	})
}

// TestInterruptedPublicationChangesNothing lets a publication fail after it stored its
// object and before it committed the head row. No entry may apply it, and the next
// publication must succeed.
func TestInterruptedPublicationChangesNothing(t *testing.T) {
	testCluster(t, func(t *testing.T, c *cluster) {
		storePlatform := c.store.Platform()
		commit := storePlatform.Table.Commit
		storePlatform.Objects.Put = func(ctx context.Context, name string, content []byte) error {
			_ = c.store.Put(ctx, name, content)
			storePlatform.Table.Commit = nil
			return errUnreachable
		}
		_, err := tryPublish(t.Context(), storePlatform, 2)
		assert.ErrorContains(t, err, "nothing changed")
		time.Sleep(inForceLimit)
		assert.DeepEqual(t, c.versions(), onAllEntries(1))
		storePlatform = c.store.Platform()
		storePlatform.Table.Commit = commit
		_, err = tryPublish(t.Context(), storePlatform, 2)
		assert.NilError(t, err)
		time.Sleep(inForceLimit)
		assert.DeepEqual(t, c.versions(), onAllEntries(2))
	})
}

// TestOlderPlatformVersionIsNotApplied restores an older head row in the store. The
// entries must keep their newer version.
func TestOlderPlatformVersionIsNotApplied(t *testing.T) {
	testCluster(t, func(t *testing.T, c *cluster) {
		oldHead, err := c.store.Read(t.Context(), publication.HeadRow)
		assert.NilError(t, err)
		c.publish(t, 2)
		c.publish(t, 3)
		time.Sleep(inForceLimit)
		// Restores the head row from an older copy, like a platform that has lost data.
		currentHead, err := c.store.Read(t.Context(), publication.HeadRow)
		assert.NilError(t, err)
		_, err = c.store.Commit(t.Context(), []platform.Write{{
			Row:              publication.HeadRow,
			ExpectedRevision: currentHead.Revision,
			Value:            oldHead.Value,
		}})
		assert.NilError(t, err)
		time.Sleep(inForceLimit)
		assert.DeepEqual(t, c.versions(), onAllEntries(3))
	})
}

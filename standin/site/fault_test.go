package site_test

import (
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/standin/backend"
	"github.com/teaselstack/teaselstack/standin/relay"
)

// partition blocks all traffic between a region or failure domain and all other
// locations, including those of callers.
func (d *deployment) partition(location string) {
	d.relay.SetPartition(relay.Partition{
		From: location,
		To:   relay.AllLocations,
	}, true)
	d.relay.SetPartition(relay.Partition{
		From: relay.AllLocations,
		To:   location,
	}, true)
}

// entriesIn returns the names of the entries of a region.
func (d *deployment) entriesIn(region string) []string {
	var names []string
	for _, entry := range d.Entries {
		if d.Configuration.RegionOf(entry.FailureDomain) == region {
			names = append(names, entry.Name)
		}
	}
	return names
}

// awaitAllReady waits until every entry is ready and its peers see it alive.
func (d *deployment) awaitAllReady() {
	d.t.Helper()
	for _, entry := range d.Entries {
		d.eventually(entry.Name+" is ready", func() bool { return d.ready(entry.Name) })
	}
}

// TestRegionOutage partitions a region under load, kills its entries, and then
// restarts them and heals the network.
func TestRegionOutage(t *testing.T) {
	const region = "se-east"
	d := startDeployment(t, "kasikirjoitus")
	report := d.underLoad(1, func() {
		d.partition(region)
		for _, name := range d.entriesIn(region) {
			d.eventually(name+" counts as dead", func() bool {
				for _, entry := range d.Entries {
					if d.Configuration.RegionOf(entry.FailureDomain) != region && !d.seesPeerState(entry.Name, name, "dead") {
						return false
					}
				}
				return true
			})
			d.killEntry(name)
		}
		d.awaitRequests(100)
		for _, name := range d.entriesIn(region) {
			d.startEntry(name)
		}
		d.relay.HealPartitions()
		d.awaitAllReady()
	})
	checkPromises(t, report)
}

// TestStuckLoadReports makes every backend server report a constant load: half of the
// servers report 0, and the others 1000, far above their slots.
func TestStuckLoadReports(t *testing.T) {
	d := startDeployment(t, "sarki")
	minLoad, maxLoad := int64(0), int64(1000)
	report := d.underLoad(1, func() {
		for i, server := range d.fleet.Servers() {
			fault := backend.Fault{
				ReportedLoad: &minLoad,
			}
			if i%2 == 0 {
				fault.ReportedLoad = &maxLoad
			}
			assert.NilError(t, d.fleet.SetFault(server.Name, fault))
		}
		d.awaitRequests(300)
	})
	checkPromises(t, report, report.CheckAllGivenOutcome(), report.CheckAllDone())
}

// TestConcurrentDrainCommands runs several drain commands at the same time. Each
// either takes effect or fails because another one was published first, and all
// entries end with the last published version.
func TestConcurrentDrainCommands(t *testing.T) {
	const commandsPerRound = 4
	d := startDeployment(t, "kasikirjoitus")
	var drained []string
	report := d.underLoad(1, func() {
		for round := range 3 {
			var mu sync.Mutex
			var group sync.WaitGroup
			published := 0
			for i := range commandsPerRound {
				server := fmt.Sprintf("agent-desk-%d", 1+round*commandsPerRound+i)
				group.Go(func() {
					if d.teaselctl("drain", "backend-server", server) != nil {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					published++
					drained = append(drained, server)
				})
			}
			group.Wait()
			assert.Assert(t, published > 0, "no command of round %d was published", round)
		}
		version := uint64(1 + len(drained))
		for _, entry := range d.Entries {
			d.eventually(entry.Name+" has the last version", func() bool { return d.haveVersion(version, entry.Name) })
			assert.Equal(t, d.status(entry.Name).GetConfigurationVersion(), version)
		}
	})
	checkPromises(t, report, report.CheckAllGivenOutcome(), report.CheckAllDone())
	before := d.fleet.Report().LastStart
	report = d.underLoad(2, func() { d.awaitRequests(200) })
	checkPromises(t, report, report.CheckAllGivenOutcome(), report.CheckAllDone())
	for _, server := range drained {
		assert.Equal(t, report.Backends.LastStart[server], before[server], "%s got new work after its drain", server)
	}
}

// TestCrashingRequestIsQuarantined sends a request that crashes the backend
// server that runs it to each entry in turn, twice, each time under a new key.
// The request must not crash one server after another.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	// maxCrashes is how many backend servers may crash before all entries
	// quarantine the request.
	const maxCrashes = 2
	d := startDeployment(t, "kasikirjoitus")
	report := d.underLoad(1, func() {
		for i := range 2 * len(d.Entries) {
			entry := d.Entries[i%len(d.Entries)]
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+entry.CallersAddress+"/work?"+backend.QueryPoison+"=1", http.NoBody)
			assert.NilError(t, err)
			request.Header.Set(header.Service, "agent-desk")
			request.Header.Set(header.IdempotencyKey, fmt.Sprintf("poison-%d", i))
			response, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			d.awaitRequests(60)
		}
	})
	checkPromises(t, report)
	assert.Assert(t, report.Backends.Crashes <= maxCrashes, "%d backend servers crashed", report.Backends.Crashes)
}

// TestEntryPausedWhilePeerIsKilled makes the two entries of a failure domain fail
// together, one paused past its lease and the other killed, while an operator
// drains a backend server of that failure domain.
func TestEntryPausedWhilePeerIsKilled(t *testing.T) {
	d := startDeployment(t, "kasikirjoitus")
	pair := d.entriesIn("fi-central")[:2]
	report := d.underLoad(1, func() {
		d.pause(pair[0])
		d.killEntry(pair[1])
		// When both entries are silent, their peers can't distinguish that from a
		// partition of the failure domain.
		d.eventually("the pair counts as cut off", func() bool {
			return d.seesPeerState("entry-5", pair[0], "cut") && d.seesPeerState("entry-5", pair[1], "cut")
		})
		assert.NilError(t, d.teaselctl("drain", "backend-server", "agent-desk-1"))
		d.awaitRequests(100)
		d.resume(pair[0])
		d.startEntry(pair[1])
		d.awaitAllReady()
	})
	checkPromises(t, report)
	assert.NilError(t, d.teaselctl("publish", "--wait", filepath.Join(d.directory, "intents")))
}

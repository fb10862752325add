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

// cutOff cuts a region or failure domain off from all others, callers included.
func (d *deployment) cutOff(place string) {
	d.relay.SetPartition(relay.Partition{
		From: place,
		To:   relay.AllLocations,
	}, true)
	d.relay.SetPartition(relay.Partition{
		From: relay.AllLocations,
		To:   place,
	}, true)
}

// entriesIn names the entries of a region.
func (d *deployment) entriesIn(region string) []string {
	var names []string
	for _, entry := range d.Entries {
		if d.Configuration.RegionOf(entry.FailureDomain) == region {
			names = append(names, entry.Name)
		}
	}
	return names
}

// allReady waits until every entry serves and is known to.
func (d *deployment) allReady() {
	d.t.Helper()
	for _, entry := range d.Entries {
		d.eventually(entry.Name+" is ready", func() bool { return d.ready(entry.Name) })
	}
}

// TestRegionOutage takes a region away under load, first its links, then its
// entries, and gives it back.
func TestRegionOutage(t *testing.T) {
	const region = "se-east"
	d := start(t, "kasikirjoitus")
	report := d.underLoad(1, func() {
		d.cutOff(region)
		for _, name := range d.entriesIn(region) {
			d.eventually(name+" counts as dead", func() bool {
				for _, entry := range d.Entries {
					if d.Configuration.RegionOf(entry.FailureDomain) != region && !d.sees(entry.Name, name, "dead") {
						return false
					}
				}
				return true
			})
			d.killEntry(name)
		}
		d.served(100)
		for _, name := range d.entriesIn(region) {
			d.startEntry(name)
		}
		d.relay.HealPartitions()
		d.allReady()
	})
	held(t, report)
}

// TestStuckLoadReports lets every backend server report a load of nothing, or
// of far too much, that never changes, and half of them fail their probes.
func TestStuckLoadReports(t *testing.T) {
	d := start(t, "sarki")
	nothing, much := int64(0), int64(1000)
	report := d.underLoad(1, func() {
		for i, server := range d.fleet.Servers() {
			fault := backend.Fault{
				ReportedLoad: &nothing,
			}
			if i%2 == 0 {
				fault.ReportedLoad = &much
			}
			assert.NilError(t, d.fleet.SetFault(server.Name, fault))
		}
		d.served(300)
	})
	held(t, report, report.CheckAllGivenOutcome(), report.CheckAllDone())
}

// TestConcurrentDrainCommands lets operators drain and undrain at the same moment. A
// command either takes effect or says that another came first, and all entries
// end with the version of the last one.
func TestConcurrentDrainCommands(t *testing.T) {
	const racing = 4
	d := start(t, "kasikirjoitus")
	var drained []string
	report := d.underLoad(1, func() {
		for round := range 3 {
			var mu sync.Mutex
			var group sync.WaitGroup
			taken := 0
			for i := range racing {
				server := fmt.Sprintf("agent-desk-%d", 1+round*racing+i)
				group.Go(func() {
					if d.teaselctl("drain", "backend-server", server) != nil {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					taken++
					drained = append(drained, server)
				})
			}
			group.Wait()
			assert.Assert(t, taken > 0, "no operator of round %d published", round)
		}
		version := uint64(1 + len(drained))
		for _, entry := range d.Entries {
			d.eventually(entry.Name+" has the last version", func() bool { return d.inForce(version, entry.Name) })
			assert.Equal(t, d.status(entry.Name).GetConfigurationVersion(), version)
		}
	})
	held(t, report, report.CheckAllGivenOutcome(), report.CheckAllDone())
	before := d.fleet.Report().LastStart
	report = d.underLoad(2, func() { d.served(200) })
	held(t, report, report.CheckAllGivenOutcome(), report.CheckAllDone())
	for _, server := range drained {
		assert.Equal(t, report.Backends.LastStart[server], before[server], "%s was given work after its drain", server)
	}
}

// TestCrashingRequestIsQuarantined sends one that does so to each entry in
// turn, twice, each time under a key of its own. It must not walk the fleet.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	// maxCrashes is how many backend servers may break before the request is
	// known to all.
	const maxCrashes = 2
	d := start(t, "kasikirjoitus")
	report := d.underLoad(1, func() {
		for i := range 2 * len(d.Entries) {
			entry := d.Entries[i%len(d.Entries)]
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+entry.CallersAddress+"/work?"+backend.QueryPoison+"=1", http.NoBody)
			assert.NilError(t, err)
			request.Header.Set(header.Service, "agent-desk")
			request.Header.Set(header.IdempotencyKey, fmt.Sprintf("poison-%d", i))
			answer, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			assert.NilError(t, answer.Body.Close())
			d.served(60)
		}
	})
	held(t, report)
	assert.Assert(t, report.Backends.Crashes <= maxCrashes, "%d backend servers crashed", report.Backends.Crashes)
}

// TestEntryPausedWhilePeerIsKilled lets the two entries of a failure domain fail
// together, one paused past its lease, the other killed, while an operator
// drains a backend server of theirs.
func TestEntryPausedWhilePeerIsKilled(t *testing.T) {
	d := start(t, "kasikirjoitus")
	pair := d.entriesIn("fi-central")[:2]
	report := d.underLoad(1, func() {
		d.pause(pair[0])
		d.killEntry(pair[1])
		// Silent together, the pair can't be told from a failure domain cut off.
		d.eventually("the pair counts as cut off", func() bool {
			return d.sees("entry-5", pair[0], "cut") && d.sees("entry-5", pair[1], "cut")
		})
		assert.NilError(t, d.teaselctl("drain", "backend-server", "agent-desk-1"))
		d.served(100)
		d.resume(pair[0])
		d.startEntry(pair[1])
		d.allReady()
	})
	held(t, report)
	assert.NilError(t, d.teaselctl("publish", "--wait", filepath.Join(d.directory, "intents")))
}

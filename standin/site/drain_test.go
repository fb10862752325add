package site_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/standin/caller"
	"github.com/teaselstack/teaselstack/standin/store"
)

// TestDrainedServerGetsNoWorkThroughFaults drains a backend server, then kills its home,
// starts the home again, and takes the platform away: whoever owns the server's
// slots gives it no new work.
func TestDrainedServerGetsNoWorkThroughFaults(t *testing.T) {
	const server = "agent-desk-1"
	d := start(t, "kasikirjoitus")
	report := d.underLoad(1, func() {
		assert.NilError(t, d.teaselctl("drain", "backend-server", server, "--wait"))
	})
	held(t, report, report.CheckAllGivenOutcome(), report.CheckAllDone())
	drained := report.Backends.LastStart[server]
	home := d.homeOf(server)
	d.killEntry(home)
	d.eventually(home+" counts as dead", func() bool { return d.allSee(home, "dead") })
	notGiven(t, d.underLoad(2, func() {}), server, drained)
	d.startEntry(home)
	d.eventually(home+" is ready", func() bool { return d.ready(home) })
	notGiven(t, d.underLoad(3, func() {}), server, drained)
	d.platform.SetFault(store.Fault{
		Outage: store.OutageRefuse,
	})
	notGiven(t, d.underLoad(4, func() {}), server, drained)
}

// notGiven checks that a drained server got no work since its drain.
func notGiven(t *testing.T, report *caller.Report, server string, drained time.Time) {
	t.Helper()
	held(t, report)
	assert.Equal(t, report.Backends.LastStart[server], drained, "%s was given work after its drain", server)
}

// homeOf returns the entry that is home of a backend server.
func (d *deployment) homeOf(server string) string {
	d.t.Helper()
	for _, entry := range d.Entries {
		for _, line := range d.status(entry.Name).GetServers() {
			if line.GetServer() == server && line.GetRole() == "home" {
				return entry.Name
			}
		}
	}
	d.t.Fatalf("no entry is home of %s", server)
	return ""
}

package site_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/standin/caller"
	"github.com/teaselstack/teaselstack/standin/store"
)

// TestDrainedServerGetsNoWorkThroughFaults drains a backend server, then kills the
// entry that is its home, restarts that entry, and makes the platform refuse calls.
// Whichever entry owns the server's slots must give it no new work.
func TestDrainedServerGetsNoWorkThroughFaults(t *testing.T) {
	const server = "agent-desk-1"
	d := startDeployment(t, "kasikirjoitus")
	report := d.underLoad(1, func() {
		assert.NilError(t, d.teaselctl("drain", "backend-server", server, "--wait"))
	})
	checkPromises(t, report, report.CheckAllGivenOutcome(), report.CheckAllDone())
	lastStart := report.Backends.LastStart[server]
	home := d.homeOf(server)
	d.killEntry(home)
	d.eventually(home+" counts as dead", func() bool { return d.allSeePeerState(home, "dead") })
	checkNoWorkSince(t, d.underLoad(2, func() {}), server, lastStart)
	d.startEntry(home)
	d.eventually(home+" is ready", func() bool { return d.ready(home) })
	checkNoWorkSince(t, d.underLoad(3, func() {}), server, lastStart)
	d.platform.SetFault(store.Fault{
		Outage: store.OutageRefuse,
	})
	checkNoWorkSince(t, d.underLoad(4, func() {}), server, lastStart)
}

// checkNoWorkSince checks the promises, and that a drained server has started no
// request since lastStart, the start of its last request so far.
func checkNoWorkSince(t *testing.T, report *caller.Report, server string, lastStart time.Time) {
	t.Helper()
	checkPromises(t, report)
	assert.Equal(t, report.Backends.LastStart[server], lastStart, "%s got new work after its drain", server)
}

// homeOf returns the name of the entry that is the home of a backend server.
func (d *deployment) homeOf(server string) string {
	d.t.Helper()
	for _, entry := range d.Entries {
		for _, line := range d.status(entry.Name).GetServers() {
			if line.GetServer() == server && line.GetRole() == "home" {
				return entry.Name
			}
		}
	}
	d.t.Fatalf("no entry reports itself as home of %s", server)
	return ""
}

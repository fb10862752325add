package site_test

import (
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/outcome"
	"github.com/teaselstack/teaselstack/standin/caller"
	"github.com/teaselstack/teaselstack/standin/relay"
	"github.com/teaselstack/teaselstack/standin/store"
)

func TestDrainUnderLoad(t *testing.T) {
	for example, server := range map[string]string{
		"kasikirjoitus": "agent-desk-1",
		"sarki":         "dispatch-desk-1",
	} {
		t.Run(example, func(t *testing.T) {
			d := start(t, example)
			report := d.underLoad(1, func() {
				assert.NilError(t, d.teaselctl("drain", "backend-server", server, "--wait"))
			})
			held(t, report, report.CheckAllGivenOutcome(), report.CheckAllDone())
			drained := report.Backends.LastStart[server]
			report = d.underLoad(2, func() {})
			held(t, report, report.CheckAllGivenOutcome(), report.CheckAllDone())
			assert.Equal(t, report.Backends.LastStart[server], drained, "%s was given work after its drain", server)
		})
	}
}

// browsed is the promise that failures are hidden from requests that may run
// again.
func browsed(t *testing.T, report *caller.Report) {
	t.Helper()
	for _, result := range report.Results {
		if result.Kind == caller.KindBrowse {
			assert.Equal(t, result.Outcome, outcome.Done, "%+v", result)
		}
	}
}

func TestEntryKilledAndRestarted(t *testing.T) {
	d := start(t, "kasikirjoitus")
	report := d.underLoad(1, func() {
		d.killEntry("entry-4")
		d.eventually("entry-4 counts as dead", func() bool { return d.allSee("entry-4", "dead") })
		d.served(phaseRequests)
		d.startEntry("entry-4")
		d.eventually("entry-4 is ready", func() bool { return d.ready("entry-4") })
	})
	held(t, report)
	browsed(t, report)
}

func TestEntryPausedPastItsLease(t *testing.T) {
	d := start(t, "kasikirjoitus")
	report := d.underLoad(1, func() {
		d.signal("entry-2", syscall.SIGSTOP)
		d.eventually("entry-2 counts as dead", func() bool { return d.allSee("entry-2", "dead") })
		d.served(phaseRequests)
		d.signal("entry-2", syscall.SIGCONT)
		d.eventually("entry-2 is ready", func() bool { return d.ready("entry-2") })
	})
	held(t, report)
	browsed(t, report)
}

func TestPublicationDuringFailureDomainPartition(t *testing.T) {
	d := start(t, "kasikirjoitus")
	report := d.underLoad(1, func() {
		away := relay.Partition{
			From: "se-east-a",
			To:   relay.AllLocations,
		}
		back := relay.Partition{
			From: relay.AllLocations,
			To:   "se-east-a",
		}
		d.relay.SetPartition(away, true)
		d.relay.SetPartition(back, true)
		// The operator can't reach the cut failure domain either.
		d.leaveOut("entry-4")
		d.eventually("entry-4 counts as dead", func() bool { return d.allSee("entry-4", "dead") })
		before := d.status("entry-4").GetConfigurationVersion()
		assert.NilError(t, d.teaselctl("drain", "backend-server", "agent-desk-1"))
		d.eventually("the others have the drain", func() bool {
			return d.inForce(before+1, "entry-1", "entry-2", "entry-3", "entry-5", "entry-6", "entry-7")
		})
		assert.Equal(t, d.status("entry-4").GetConfigurationVersion(), before)
		d.served(phaseRequests)
		d.relay.HealPartitions()
		d.eventually("entry-4 has the drain", func() bool { return d.inForce(before+1, "entry-4") })
		d.eventually("entry-4 is ready", func() bool { return d.ready("entry-4") })
	})
	held(t, report)
	browsed(t, report)
}

func TestPlatformOutage(t *testing.T) {
	d := start(t, "sarki")
	report := d.underLoad(1, func() {
		for _, fault := range []store.Fault{
			{
				Outage: store.OutageRefuse,
			},
			{
				Outage: store.OutageHang,
			},
			{
				LostResponses: 5,
			},
		} {
			d.platform.SetFault(fault)
			d.served(phaseRequests)
		}
	})
	held(t, report)
	browsed(t, report)
	ticketsServed(t, report)
}

// ticketsServed is the promise that requests under an entry's own tickets need
// no platform.
func ticketsServed(t *testing.T, report *caller.Report) {
	t.Helper()
	for _, result := range report.Results {
		if len(result.Keys) > 0 && strings.HasPrefix(result.Keys[0], "ticket") {
			assert.Equal(t, result.Outcome, outcome.Done, "%+v", result)
		}
	}
}

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

// TestDrainUnderLoad drains a backend server of each example under load. Every
// request is done, and the drained server gets no work afterwards.
func TestDrainUnderLoad(t *testing.T) {
	for example, server := range map[string]string{
		"kasikirjoitus": "agent-desk-1",
		"sarki":         "dispatch-desk-1",
	} {
		t.Run(example, func(t *testing.T) {
			d := startDeployment(t, example)
			report := d.underLoad(1, func() {
				assert.NilError(t, d.teaselctl("drain", "backend-server", server, "--wait"))
			})
			checkPromises(t, report, report.CheckAllGivenOutcome(), report.CheckAllDone())
			lastStart := report.Backends.LastStart[server]
			report = d.underLoad(2, func() {})
			checkPromises(t, report, report.CheckAllGivenOutcome(), report.CheckAllDone())
			assert.Equal(t, report.Backends.LastStart[server], lastStart, "%s got new work after its drain", server)
		})
	}
}

// checkBrowseDone checks that every idempotent request is done: entries and then
// callers retry these after a failure.
func checkBrowseDone(t *testing.T, report *caller.Report) {
	t.Helper()
	for _, result := range report.Results {
		if result.Kind == caller.KindBrowse {
			assert.Equal(t, result.Outcome, outcome.Done, "%+v", result)
		}
	}
}

// TestEntryKilledAndRestarted kills an entry under load and restarts it once its
// peers count it as dead.
func TestEntryKilledAndRestarted(t *testing.T) {
	d := startDeployment(t, "kasikirjoitus")
	report := d.underLoad(1, func() {
		d.killEntry("entry-4")
		d.eventually("entry-4 counts as dead", func() bool { return d.allSeePeerState("entry-4", "dead") })
		d.awaitRequests(phaseRequests)
		d.startEntry("entry-4")
		d.eventually("entry-4 is ready", func() bool { return d.ready("entry-4") })
	})
	checkPromises(t, report)
	checkBrowseDone(t, report)
}

// TestEntryPausedPastItsLease pauses an entry until its leases have expired and
// its peers count it as dead, and then resumes it. It must not use the slots
// that other entries have taken over.
func TestEntryPausedPastItsLease(t *testing.T) {
	d := startDeployment(t, "kasikirjoitus")
	report := d.underLoad(1, func() {
		d.signal("entry-2", syscall.SIGSTOP)
		d.eventually("entry-2 counts as dead", func() bool { return d.allSeePeerState("entry-2", "dead") })
		d.awaitRequests(phaseRequests)
		d.signal("entry-2", syscall.SIGCONT)
		d.eventually("entry-2 is ready", func() bool { return d.ready("entry-2") })
	})
	checkPromises(t, report)
	checkBrowseDone(t, report)
}

// TestPublicationDuringFailureDomainPartition publishes a drain while a failure
// domain is partitioned. Its entry keeps the old version, and fetches the new
// one once the network heals.
func TestPublicationDuringFailureDomainPartition(t *testing.T) {
	d := startDeployment(t, "kasikirjoitus")
	report := d.underLoad(1, func() {
		outbound := relay.Partition{
			From: "se-east-a",
			To:   relay.AllLocations,
		}
		inbound := relay.Partition{
			From: relay.AllLocations,
			To:   "se-east-a",
		}
		d.relay.SetPartition(outbound, true)
		d.relay.SetPartition(inbound, true)
		// The operator can't reach the partitioned failure domain either.
		d.removeFromTeaselctl("entry-4")
		d.eventually("entry-4 counts as dead", func() bool { return d.allSeePeerState("entry-4", "dead") })
		before := d.status("entry-4").GetConfigurationVersion()
		assert.NilError(t, d.teaselctl("drain", "backend-server", "agent-desk-1"))
		d.eventually("the others have the drain", func() bool {
			return d.haveVersion(before+1, "entry-1", "entry-2", "entry-3", "entry-5", "entry-6", "entry-7")
		})
		assert.Equal(t, d.status("entry-4").GetConfigurationVersion(), before)
		d.awaitRequests(phaseRequests)
		d.relay.HealPartitions()
		d.eventually("entry-4 has the drain", func() bool { return d.haveVersion(before+1, "entry-4") })
		d.eventually("entry-4 is ready", func() bool { return d.ready("entry-4") })
	})
	checkPromises(t, report)
	checkBrowseDone(t, report)
}

// TestPlatformOutage makes the platform refuse calls, not answer them, and lose
// the responses of writes.
func TestPlatformOutage(t *testing.T) {
	d := startDeployment(t, "sarki")
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
			d.awaitRequests(phaseRequests)
		}
	})
	checkPromises(t, report)
	checkBrowseDone(t, report)
	checkTicketsDone(t, report)
}

// checkTicketsDone checks that every request whose key is a ticket is done: the
// entry that issued the ticket runs the request without asking the platform.
func checkTicketsDone(t *testing.T, report *caller.Report) {
	t.Helper()
	for _, result := range report.Results {
		if len(result.Keys) > 0 && strings.HasPrefix(result.Keys[0], "ticket") {
			assert.Equal(t, result.Outcome, outcome.Done, "%+v", result)
		}
	}
}

package site_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/standin/store"
)

// TestRollingReplacementOfAllEntries stops and restarts the entries one by one
// under load. Every request is done.
func TestRollingReplacementOfAllEntries(t *testing.T) {
	d := startDeployment(t, "kasikirjoitus")
	report := d.underLoad(1, func() {
		for _, entry := range d.Entries {
			d.stopEntry(entry.Name)
			d.startEntry(entry.Name)
			d.eventually(entry.Name+" is ready", func() bool { return d.ready(entry.Name) })
		}
	})
	checkPromises(t, report, report.CheckAllGivenOutcome(), report.CheckAllDone())
}

// TestEntryRestartsWithoutStateDuringPlatformOutage checks that an entry that is
// killed and restarted while the platform is down loads its state from its
// peers and becomes ready.
func TestEntryRestartsWithoutStateDuringPlatformOutage(t *testing.T) {
	d := startDeployment(t, "sarki")
	report := d.underLoad(1, func() {
		d.platform.SetFault(store.Fault{
			Outage: store.OutageRefuse,
		})
		d.killEntry("entry-3")
		d.startEntry("entry-3")
		d.eventually("entry-3 is ready without the platform", func() bool { return d.ready("entry-3") })
		d.awaitRequests(phaseRequests)
		d.platform.SetFault(store.Fault{})
	})
	checkPromises(t, report)
	checkBrowseDone(t, report)
	assert.NilError(t, d.teaselctl("drain", "backend-server", "dispatch-desk-1", "--wait"))
}

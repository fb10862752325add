package site_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/standin/store"
)

func TestRollingReplacementOfAllEntries(t *testing.T) {
	d := start(t, "kasikirjoitus")
	report := d.underLoad(1, func() {
		for _, entry := range d.Entries {
			d.stopEntry(entry.Name)
			d.startEntry(entry.Name)
			d.eventually(entry.Name+" is ready", func() bool { return d.ready(entry.Name) })
		}
	})
	held(t, report, report.CheckAllGivenOutcome(), report.CheckAllDone())
}

func TestEntryRestartsWithoutStateDuringPlatformOutage(t *testing.T) {
	d := start(t, "sarki")
	report := d.underLoad(1, func() {
		d.platform.SetFault(store.Fault{
			Outage: store.OutageRefuse,
		})
		d.killEntry("entry-3")
		d.startEntry("entry-3")
		d.eventually("entry-3 is ready without the platform", func() bool { return d.ready("entry-3") })
		d.served(phaseRequests)
		d.platform.SetFault(store.Fault{})
	})
	held(t, report)
	browsed(t, report)
	assert.NilError(t, d.teaselctl("drain", "backend-server", "dispatch-desk-1", "--wait"))
}

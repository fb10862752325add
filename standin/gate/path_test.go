package gate_test

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/standin/store"
)

const callers = 12

func TestAllRequestsServedWithoutFaults(t *testing.T) {
	f := startFleet(t, 6)
	f.underLoad(callers, func() {
		f.serves()
		f.configure(`,{"name":"new","prefix":"/new/","kind":"safe","timeout":"1s","service":"desk"}`)
		f.serves()
	})
	assert.Equal(t, f.asked.Load()-f.served.Load(), int64(0), "on a calm day every request is served")
}

// TestRollingRestartUnderLoad stops the entries in turn while callers keep their
// connections.
func TestRollingRestartUnderLoad(t *testing.T) {
	f := startFleet(t, 6)
	f.underLoad(callers, func() {
		f.serves()
		for i := range f.entries {
			f.signal(i, syscall.SIGTERM)
			assert.NilError(t, f.wait(i), "the entry ends by itself within the grace time")
			f.startEntry(i)
			f.eventually("the entry is ready", func() bool { return f.ready(f.entries[i]) })
			f.serves()
		}
	})
	// Callers of this test do not send a request again that crossed the close of
	// an idle connection, and look-ups name an entry for as long as they are kept.
	assert.Assert(t, f.asked.Load()-f.served.Load() <= 3, "%d of %d were not served", f.asked.Load()-f.served.Load(), f.asked.Load())
}

func TestDrainedServerAndReusedAddress(t *testing.T) {
	f := startFleet(t, 6)
	f.underLoad(callers, func() {
		f.serves()
		f.servers[0].Drain()
		left := time.Now()
		f.eventually("the bound has passed", func() bool { return time.Since(left) > drainBound+time.Second })
		f.servers[0].Deregister()
		f.servers[0].Crash()
		// Another service gets the address of a server that falls silent.
		f.servers[1].Crash()
		f.servers[1].ID, f.servers[1].Service = "i-other", "other"
		f.bring(f.servers[1], f.proxies[1].Target)
		f.serves()
	})
}

func TestStoreFaults(t *testing.T) {
	f := startFleet(t, 6)
	f.underLoad(callers, func() {
		for _, fault := range []store.Fault{
			{
				Outage: store.OutageRefuse,
			},
			{
				Outage: store.OutageHang,
			},
			{
				LostResponses:  5,
				LateWriteDelay: 1,
			},
		} {
			f.store.SetFault(fault)
			f.serves()
		}
		// An entry that starts while the store turns it away learns from another.
		f.store.SetFault(store.Fault{
			RefusedAddresses: []string{f.entries[2].ip},
		})
		f.signal(2, syscall.SIGKILL)
		_ = f.wait(2)
		f.startEntry(2)
		f.eventually("the entry is ready", func() bool { return f.ready(f.entries[2]) })
		f.store.SetFault(store.Fault{})
		f.store.Compact()
		f.store.PutRow(platform.ServerTable, "stranger", []byte("\xff"))
		f.serves()
	})
}

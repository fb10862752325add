package gate_test

import (
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/standin/store"
)

// callerCount is the number of concurrent callers of a test.
const callerCount = 12

// TestAllRequestsServedWithoutFaults checks that no request fails while all
// processes run, also across a change of the configuration.
func TestAllRequestsServedWithoutFaults(t *testing.T) {
	d := startDeployment(t, 6)
	d.underLoad(callerCount, func() {
		d.awaitServing()
		d.publishConfiguration(`,{"name":"new","prefix":"/new/","kind":"safe","timeout":"1s","service":"desk"}`)
		d.awaitServing()
	})
	assert.Equal(t, d.sent.Load()-d.served.Load(), int64(0), "without faults every request is served")
}

// TestRollingRestartUnderLoad stops and restarts the entries one by one while
// callers keep their connections open. Each entry must exit without an error, and
// almost all requests must be served.
func TestRollingRestartUnderLoad(t *testing.T) {
	d := startDeployment(t, 6)
	d.underLoad(callerCount, func() {
		d.awaitServing()
		for i := range d.entries {
			d.signalEntry(i, syscall.SIGTERM)
			assert.NilError(t, d.waitEntry(i), "the entry exits without an error within its grace period")
			d.startEntry(i)
			d.eventually("the entry is ready", func() bool { return d.ready(d.entries[i]) })
			d.awaitServing()
		}
	})
	// The callers of this test do not retry, so a request fails if it is sent while the
	// entry closes the idle connection that carries it, or if the result of the caller's
	// look-up still names the stopped entry.
	assert.Assert(t, d.sent.Load()-d.served.Load() <= 3, "%d of %d were not served", d.sent.Load()-d.served.Load(), d.sent.Load())
}

// TestDrainedServerAndReusedAddress removes a drained server after its drain
// time. It then starts a server of another service, with another ID, at the address
// of a crashed one. The entries must go on serving with the other servers. A request
// that is addressed to the crashed server gets status 421 from the new one.
func TestDrainedServerAndReusedAddress(t *testing.T) {
	d := startDeployment(t, 6)
	d.underLoad(callerCount, func() {
		d.awaitServing()
		d.servers[0].Drain()
		drainedAt := time.Now()
		d.eventually("the drain time has passed", func() bool { return time.Since(drainedAt) > drainTime+time.Second })
		d.servers[0].Deregister()
		d.servers[0].Crash()
		// A server of another service gets the address of a server that crashed.
		d.servers[1].Crash()
		d.servers[1].ID, d.servers[1].Service = "i-other", "other"
		d.startServer(d.servers[1], d.proxies[1].Target)
		d.awaitServing()
	})
}

// TestStoreFaults checks that entries serve while the store is down, loses
// responses, refuses an entry that starts, has compacted its history, or holds
// a row that cannot be decoded.
func TestStoreFaults(t *testing.T) {
	d := startDeployment(t, 6)
	d.underLoad(callerCount, func() {
		for _, fault := range []store.Fault{
			{
				Outage: store.OutageRefuse,
			},
			{
				Outage: store.OutageHang,
			},
			{
				LostResponses: 5,
				// 1 ns: each write is performed concurrently with the loss of its response.
				LateWriteDelay: 1,
			},
		} {
			d.store.SetFault(fault)
			d.awaitServing()
		}
		// An entry that the store refuses during its start loads its state from
		// another entry.
		d.store.SetFault(store.Fault{
			RefusedAddresses: []string{d.entries[2].ip},
		})
		d.signalEntry(2, syscall.SIGKILL)
		_ = d.waitEntry(2)
		d.startEntry(2)
		d.eventually("the entry is ready", func() bool { return d.ready(d.entries[2]) })
		d.store.SetFault(store.Fault{})
		d.store.Compact()
		d.store.PutRow(platform.ServerTable, "stranger", []byte("\xff"))
		d.awaitServing()
	})
}

// TestReloadSignalDuringStart guards against an entry that ends because its settings change, and
// it is told so, while it starts: SIGHUP ends a process that doesn't catch it yet.
func TestReloadSignalDuringStart(t *testing.T) {
	d := startDeployment(t, 3)
	entry := d.entries[0]
	d.signalEntry(0, syscall.SIGTERM)
	assert.NilError(t, d.waitEntry(0))
	// The entry waits for its settings until the test has written them to the pipe.
	assert.NilError(t, os.Remove(entry.settingsFile))
	assert.NilError(t, syscall.Mkfifo(entry.settingsFile, 0o600))
	d.runEntry(entry)
	pipe, err := os.OpenFile(entry.settingsFile, os.O_WRONLY, 0)
	assert.NilError(t, err)
	d.signalEntry(0, syscall.SIGHUP)
	assert.NilError(t, os.Remove(entry.settingsFile))
	settings := []byte(d.entrySettings(0))
	assert.NilError(t, os.WriteFile(entry.settingsFile, settings, 0o600))
	_, err = pipe.Write(settings)
	assert.NilError(t, err)
	assert.NilError(t, pipe.Close())
	d.eventually("the entry is ready", func() bool { return d.ready(entry) })
}

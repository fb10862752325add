package store

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/document"
	"github.com/teaselstack/teaselstack/platform"
)

func newClient(t *testing.T) (*Server, platform.Platform) {
	t.Helper()
	server := New()
	served := httptest.NewServer(server)
	t.Cleanup(served.Close)
	return server, platform.NewClient(served.URL, http.DefaultClient).Platform()
}

var writes = []platform.Write{{
	Row:   "a",
	Value: []byte("1"),
}}

func TestLostResponseAfterAppliedWrite(t *testing.T) {
	server, client := newClient(t)
	server.SetFault(Fault{
		LostResponses: 1,
	})
	ctx := context.Background()
	_, err := client.Table.Commit(ctx, writes)
	assert.Assert(t, err != nil)
	row, err := client.Table.Read(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "1")
	_, err = client.Table.Commit(ctx, writes)
	var conflict *platform.ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
}

func TestOutageRefusesOrHangsCalls(t *testing.T) {
	server, client := newClient(t)
	server.SetFault(Fault{
		Outage: OutageRefuse,
	})
	_, err := client.Table.Commit(context.Background(), writes)
	assert.ErrorContains(t, err, "503")
	server.SetFault(Fault{
		Outage: OutageHang,
	})
	leaving, cancel := context.WithCancel(context.Background())
	time.AfterFunc(time.Millisecond, cancel)
	_, err = client.Table.Commit(leaving, writes)
	assert.ErrorIs(t, err, context.Canceled)
	server.SetFault(Fault{})
	_, err = client.Table.Commit(context.Background(), []platform.Write{{
		Row:   "b",
		Value: []byte("1"),
	}})
	assert.NilError(t, err)
}

func TestVMListLags(t *testing.T) {
	server, client := newClient(t)
	server.SetVMs([]platform.VM{{
		Name: "entry-1",
	}})
	machines, err := client.VMs.List(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(machines), 1)
	server.SetFault(Fault{
		VMListLag: document.Duration(time.Hour),
	})
	machines, err = client.VMs.List(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(machines), 0)
}

func TestCallsAboveRateLimitAreRefused(t *testing.T) {
	faults := newFaults()
	assert.Assert(t, faults.writes.AllowN(time.Now(), burst))
	for status := http.StatusOK; status != http.StatusTooManyRequests; {
		var err error
		status, err = faults.admit(context.Background(), "", true)
		assert.NilError(t, err)
	}
}

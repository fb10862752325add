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

// newClient returns a platform that is served over HTTP and a client of it.
func newClient(t *testing.T) (*Server, platform.Platform) {
	t.Helper()
	server := New()
	httpServer := httptest.NewServer(server)
	t.Cleanup(httpServer.Close)
	return server, platform.NewClient(httpServer.URL, http.DefaultClient).Platform()
}

// createRowA creates row a. It conflicts if the row exists.
var createRowA = []platform.Write{{
	Row:   "a",
	Value: []byte("1"),
}}

// A write whose response is lost has taken effect, so the same write conflicts
// when it is sent again.
func TestLostResponseAfterAppliedWrite(t *testing.T) {
	server, client := newClient(t)
	server.SetFault(Fault{
		LostResponses: 1,
	})
	ctx := context.Background()
	_, err := client.Table.Commit(ctx, createRowA)
	assert.Assert(t, err != nil)
	row, err := client.Table.Read(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "1")
	_, err = client.Table.Commit(ctx, createRowA)
	var conflict *platform.ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
}

func TestOutageRefusesOrHangsCalls(t *testing.T) {
	server, client := newClient(t)
	server.SetFault(Fault{
		Outage: OutageRefuse,
	})
	_, err := client.Table.Commit(context.Background(), createRowA)
	assert.ErrorContains(t, err, "503")
	server.SetFault(Fault{
		Outage: OutageHang,
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(time.Millisecond, cancel)
	_, err = client.Table.Commit(ctx, createRowA)
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
	vms, err := client.VMs.List(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(vms), 1)
	server.SetFault(Fault{
		VMListLag: document.Duration(time.Hour),
	})
	vms, err = client.VMs.List(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(vms), 0)
}

func TestCallsAboveRateLimitAreRefused(t *testing.T) {
	state := newFaultState()
	assert.Assert(t, state.writeLimiter.AllowN(time.Now(), callBurst))
	for status := http.StatusOK; status != http.StatusTooManyRequests; {
		var err error
		status, err = state.admit(context.Background(), "", true)
		assert.NilError(t, err)
	}
}

// TestRevisionOfAnEarlierEra guards against a write on the condition of a revision that the store
// gave out before it came back from a copy, and has given to another content since.
func TestRevisionOfAnEarlierEra(t *testing.T) {
	for _, known := range []bool{false, true} {
		server, client := newClient(t)
		ctx := context.Background()
		_, err := client.Table.Commit(ctx, []platform.Write{
			{
				Row:   "b",
				Value: []byte("1"),
			},
		})
		assert.NilError(t, err)
		copied := server.TakeCopy()
		revisions, err := client.Table.Commit(ctx, createRowA)
		assert.NilError(t, err)
		server.RestoreCopy(copied, false)
		server.PutRow("teasel", "a", []byte("another"))
		if known {
			_, err = client.Table.Read(ctx, "b")
			assert.NilError(t, err)
		}
		_, err = client.Table.Commit(ctx, []platform.Write{
			{
				Row:              "a",
				ExpectedRevision: revisions[0],
				Value:            []byte("2"),
			},
		})
		assert.Assert(t, errors.Is(err, platform.ErrEraChanged), "known %t: %v", known, err)
		row, err := client.Table.Read(ctx, "a")
		assert.NilError(t, err)
		if known {
			assert.Equal(t, string(row.Value), "another")
		}
		_, err = client.Table.Commit(ctx, []platform.Write{
			{
				Row:              "a",
				ExpectedRevision: row.Revision,
				Value:            []byte("3"),
			},
		})
		assert.NilError(t, err, "known %t", known)
	}
}

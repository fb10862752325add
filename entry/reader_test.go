package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/entry/presence"
	"github.com/teaselstack/teaselstack/entry/registry"
	"github.com/teaselstack/teaselstack/platform"
)

// TestRegionReader checks which entry reads the store for a region: the one whose name comes
// first among the serving entries, from minRelayEntries on.
func TestRegionReader(t *testing.T) {
	for _, test := range []struct {
		name string
		// serving lists the names of the serving entries, with their regions.
		serving []string
		reader  string
	}{
		{
			name: "no entries",
		},
		{
			name:    "few entries in the region",
			serving: []string{"north/c", "north/a", "north/b", "south/d", "south/e"},
		},
		{
			name:    "enough entries",
			serving: []string{"north/c", "south/0", "north/b", "north/d", "north/e"},
			reader:  "b",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var serving []presence.Entry
			for _, entry := range test.serving {
				region, name, _ := strings.Cut(entry, "/")
				serving = append(serving, presence.Entry{
					Name:   name,
					Region: region,
				})
			}
			first, found := regionReader(serving, "north")
			assert.Equal(t, found, test.reader != "")
			if found {
				assert.Equal(t, first.Name, test.reader)
			}
		})
	}
}

// TestChangesBetweenEntries checks that the answer of serveChanges arrives at changesFrom
// unchanged, and which errors an entry gets for answers that it can't use.
func TestChangesBetweenEntries(t *testing.T) {
	var respond http.HandlerFunc
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { respond(w, r) }))
	defer server.Close()
	n := &platformNode{
		readerClient: newReaderClient(),
		registry:     &registry.Registry{},
	}
	ask := func() (registry.Changes, error) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		return n.changesFrom(strings.TrimPrefix(server.URL, "http://"))(ctx, platform.ServerTable, platform.Position{
			Era:     3,
			Version: 7,
		}, time.Second)
	}
	respond = func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, strings.HasSuffix(r.URL.String(), "/changes?after=7&era=3&table=servers&wait=1s"), r.URL.String())
		_, _ = w.Write([]byte(`{"rows":[{"table":"servers","key":"a","value":"eA==","ver":9}],"version":9,"held":5000000,"age":1000000}`))
	}
	changes, err := ask()
	assert.NilError(t, err)
	assert.DeepEqual(t, changes, registry.Changes{
		Rows: []platform.StoreRow{
			{
				Table:   "servers",
				Key:     "a",
				Value:   []byte("x"),
				Version: 9,
			},
		},
		Version: 9,
		Held:    5 * time.Millisecond,
		Age:     time.Millisecond,
	})
	// This entry has read no table, so it serves no changes.
	respond = n.serveChanges
	_, err = ask()
	assert.ErrorContains(t, err, "status 503")
	for _, content := range []string{"", "{", "[]", "\x00\xff", `{"version":-1}`, `{"held":"long"}`} {
		respond = func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(content)) }
		_, err = ask()
		assert.Assert(t, err != nil, "%q", content)
	}
	respond = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusGone) }
	_, err = ask()
	assert.Assert(t, errors.Is(err, platform.ErrHistoryGone))
	for _, query := range []string{"", "?table=servers&after=x&wait=1s", "?table=servers&after=1&wait=1h", "?table=servers&after=1&wait=-1s", "?table=other&after=1&wait=1s"} {
		recorder := httptest.NewRecorder()
		n.serveChanges(recorder, httptest.NewRequest(http.MethodGet, changesPath+query, nil))
		assert.Equal(t, recorder.Code, http.StatusServiceUnavailable, query)
	}
}

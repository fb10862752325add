package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/settings"
	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/logline"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/platform/memory"
)

// TestStoppingEntryNamesServingEntry checks that an entry that shuts down closes
// connections and, once it refuses requests, names the nearest entry that serves and is
// not stopping.
func TestStoppingEntryNamesServingEntry(t *testing.T) {
	loaded := settings.Default()
	loaded.Name = "entry-1"
	loaded.Region = "north"
	loaded.FailureDomain = "north-1"
	var store memory.Store
	n := newNodeOnPlatform(loaded, logline.New(io.Discard, "entry", loaded.Name),
		func(http.RoundTripper) platform.Platform { return store.Platform() })
	for _, peer := range []*teaselv1.Member{
		{
			Name:          "entry-2",
			Region:        "south",
			FailureDomain: "south-1",
			CallerAddress: "10.0.0.2:1",
			Serving:       true,
		},
		{
			Name:          "entry-3",
			Region:        "north",
			FailureDomain: "north-2",
			CallerAddress: "10.0.0.3:1",
			Serving:       true,
		},
		{
			Name:          "entry-4",
			Region:        "north",
			FailureDomain: "north-1",
			CallerAddress: "10.0.0.4:1",
		},
		{
			Name:          "entry-5",
			Region:        "north",
			FailureDomain: "north-1",
			CallerAddress: "10.0.0.5:1",
			Serving:       true,
			Stopping:      true,
		},
	} {
		n.roster.HandleHeartbeat(&teaselv1.HeartbeatRequest{
			Sender: peer,
		})
	}
	responseHeader := func() http.Header {
		recorder := httptest.NewRecorder()
		n.withShutdownHeaders(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})).
			ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
		return recorder.Header()
	}
	assert.DeepEqual(t, responseHeader(), http.Header{})
	n.shuttingDown.Store(true)
	n.roster.UpdateSelf(func(self *teaselv1.Member) { self.Stopping = true })
	assert.DeepEqual(t, responseHeader(), http.Header{
		"Connection": []string{"close"},
	})
	n.refusingRequests.Store(true)
	assert.DeepEqual(t, responseHeader(), http.Header{
		"Connection":   []string{"close"},
		header.RetryAt: []string{"10.0.0.3:1"},
	})
}

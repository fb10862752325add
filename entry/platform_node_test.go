package main

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestRegistrationPollInterval checks that polls are frequent enough for the drain bound.
// Within the bound, the entry must read that a server is draining and its last request
// must reach the server, also with long round trips to the store and the servers.
func TestRegistrationPollInterval(t *testing.T) {
	for _, test := range []struct {
		drainBound time.Duration
		roundTrip  time.Duration
		want       time.Duration
	}{
		{
			drainBound: 2500 * time.Millisecond,
			roundTrip:  110 * time.Millisecond,
			want:       1250 * time.Millisecond,
		},
		{
			drainBound: 2 * time.Second,
			roundTrip:  300 * time.Millisecond,
			want:       750 * time.Millisecond,
		},
		{
			drainBound: time.Second,
			roundTrip:  400 * time.Millisecond,
			want:       100 * time.Millisecond,
		},
	} {
		assert.Equal(t, registrationPollInterval(test.drainBound, test.roundTrip), test.want)
	}
}

// TestEscapedSlashIsNotIdempotent guards against a request that is started early on its connection
// as if it could be repeated: its path has an escaped slash behind the prefix of a safe route.
func TestEscapedSlashIsNotIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPlatformSite(t, &platformSite{
			regions: 3,
			slots:   3,
		}, 1, 1)
		for target, want := range map[string]bool{
			"/browse/1":   true,
			"/browse%2F1": false,
		} {
			request := httptest.NewRequest(http.MethodGet, target, http.NoBody)
			request.Host = "desk.example"
			assert.Equal(t, s.nodes[0].idempotent(request), want, target)
		}
	})
}

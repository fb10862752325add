package main

import (
	"testing"
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

package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRegistrationPollInterval: news of a leaving server must be here, and the last
// request that went to it there, before the server must be left alone: also where
// the store and the servers are far.
func TestRegistrationPollInterval(t *testing.T) {
	for _, test := range []struct {
		drain     time.Duration
		roundTrip time.Duration
		want      time.Duration
	}{
		{
			drain:     2500 * time.Millisecond,
			roundTrip: 110 * time.Millisecond,
			want:      1250 * time.Millisecond,
		},
		{
			drain:     2 * time.Second,
			roundTrip: 300 * time.Millisecond,
			want:      750 * time.Millisecond,
		},
		{
			drain:     time.Second,
			roundTrip: 400 * time.Millisecond,
			want:      100 * time.Millisecond,
		},
	} {
		assert.Equal(t, registrationPause(test.drain, test.roundTrip), test.want)
	}
}

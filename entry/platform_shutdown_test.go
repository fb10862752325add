package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestShutdownLastsIntoTheEndOfTheGracePeriod guards against requests that a short grace period
// cuts off while servers are at work, before its last sixth.
func TestShutdownLastsIntoTheEndOfTheGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		lasts := shutdownTime(grace)
		assert.Assert(t, lasts >= grace*5/6 && lasts < grace, "%s of %s", lasts, grace)
	}
}

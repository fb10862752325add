package main

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestEntriesTogetherKeepServerLimit guards against more requests to a backend server than the
// limit that it states allows, summed over all entries.
func TestEntriesTogetherKeepServerLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPlatformSite(t, &platformSite{
			regions: 3,
		}, 7, 10)
		server := s.servers["10.9.0.1:8080"]
		s.runCallers(t, 60, 6*time.Second)
		server.setLimit("1")
		named := time.Now()
		s.runCallers(t, 60, 30*time.Second)
		server.assertWithinLimit(t, 1, named.Add(undisturbedWindow), time.Now())
	})
}

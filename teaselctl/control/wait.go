package control

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// inForcePollInterval is how long WaitInForce pauses between two status queries to all
// entries.
const inForcePollInterval = 100 * time.Millisecond

// NotInForceError is returned when a wait ends before all entries have a version
// in force.
type NotInForceError struct {
	Version uint64
	// PendingEntries describes each entry that does not have the version in force
	// or did not answer.
	PendingEntries []string
}

// Error names the version and the pending entries.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("version %d is published, but not in force on %s", e.Version, strings.Join(e.PendingEntries, ", "))
}

// WaitInForce waits until all entries have a version, or a later one, in force
// and returns how long it waited. It returns a *NotInForceError if ctx ends first. If
// the settings list no entries, it returns at once.
func (c *Client) WaitInForce(ctx context.Context, version uint64) (time.Duration, error) {
	start := time.Now()
	for {
		pending := c.pendingEntries(ctx, version)
		if len(pending) == 0 {
			return time.Since(start), nil
		}
		select {
		case <-ctx.Done():
			return 0, &NotInForceError{
				Version:        version,
				PendingEntries: pending,
			}
		case <-time.After(inForcePollInterval):
		}
	}
}

// pendingEntries describes the entries whose version in force is older than
// version, and those that did not answer.
func (c *Client) pendingEntries(ctx context.Context, version uint64) []string {
	var pending []string
	for _, entry := range c.Status(ctx) {
		switch {
		case entry.Status == nil:
			pending = append(pending, entry.Address+" (no answer)")
		case entry.Status.GetConfigurationVersion() < version:
			pending = append(pending, fmt.Sprintf("%s at %s (version %d)",
				entry.Status.GetEntry(), entry.Address, entry.Status.GetConfigurationVersion()))
		}
	}
	return pending
}

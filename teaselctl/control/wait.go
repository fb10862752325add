package control

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// waitInterval is the time between two looks at the versions in force.
const waitInterval = 100 * time.Millisecond

// NotInForceError says which entries lack a version at the end of a wait.
type NotInForceError struct {
	Version        uint64
	PendingEntries []string
}

// Error names the entries.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("version %d is published, but not in force on %s", e.Version, strings.Join(e.PendingEntries, ", "))
}

// WaitInForce waits until all entries have a version in force, and returns how
// long that took. It returns a *NotInForceError when ctx is done before.
func (o *Client) WaitInForce(ctx context.Context, version uint64) (time.Duration, error) {
	began := time.Now()
	for {
		lacking := o.lacking(ctx, version)
		if len(lacking) == 0 {
			return time.Since(began), nil
		}
		select {
		case <-ctx.Done():
			return 0, &NotInForceError{
				Version:        version,
				PendingEntries: lacking,
			}
		case <-time.After(waitInterval):
		}
	}
}

// lacking names the entries without a version, with the version they have.
func (o *Client) lacking(ctx context.Context, version uint64) []string {
	var lacking []string
	for _, each := range o.Status(ctx) {
		switch {
		case each.Status == nil:
			lacking = append(lacking, each.Address+" (no answer)")
		case each.Status.GetConfigurationVersion() < version:
			lacking = append(lacking, fmt.Sprintf("%s at %s (version %d)",
				each.Status.GetEntry(), each.Address, each.Status.GetConfigurationVersion()))
		}
	}
	return lacking
}

package main

import (
	"context"
	"slices"
	"time"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/steering"
	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/timeline"
)

const (
	// homesTimeout bounds how long a starting entry waits until each service has a home
	// that accepts requests. The homes of a service are the entries that grant the slots of
	// its backend servers. A home in another region accepts none while its slots are all
	// in use or needed for waiting requests.
	homesTimeout = 10 * time.Second
	// homesPollInterval is the time between two checks of the services' homes.
	homesPollInterval = 50 * time.Millisecond
)

// advertise marks this entry as serving, so that look-ups name it. It first waits
// for a configuration by which the entry may serve and then, for up to homesTimeout, until
// each service has a home that accepts requests: before that the entry would refuse
// requests.
func (n *node) advertise(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-n.configured:
	}
	timeout := time.NewTimer(homesTimeout)
	defer timeout.Stop()
	for waiting := true; waiting && !n.allServicesHaveHomes(); {
		select {
		case <-ctx.Done():
			return
		case <-timeout.C:
			waiting = false
		case <-time.After(homesPollInterval):
		}
	}
	n.advertised.Store(true)
	n.roster.UpdateSelf(func(self *teaselv1.Member) { self.Serving = true })
	n.events.Record(timeline.Event{
		Kind: "entry-enlisted",
	})
}

// allServicesHaveHomes reports whether each service that has backend servers has a
// home to which requests may be sent.
func (n *node) allServicesHaveHomes() bool {
	return !slices.ContainsFunc(n.keeper.Current().Services, func(service *intent.Service) bool {
		return len(service.BackendServers) > 0 && !slices.ContainsFunc(n.loadView.RankHomes(service, n.settings.Region), isAllowed)
	})
}

// isAllowed reports whether requests may be sent to a ranked home.
func isAllowed(ranked steering.RankedCandidate) bool {
	return ranked.Allowed
}

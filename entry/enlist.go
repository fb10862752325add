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
	// enlistTimeout is how long a starting entry waits for a home with slots for
	// each service. A service may have none left.
	enlistTimeout = 10 * time.Second
	// enlistInterval is the time between two looks at the homes.
	enlistInterval = 50 * time.Millisecond
)

// enlist lets look-ups name this entry once it has settled on a configuration
// and has heard of a home with slots for each service. Before that it would
// refuse what it is sent.
func (m *machine) enlist(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-m.settled:
	}
	timeout := time.NewTimer(enlistTimeout)
	defer timeout.Stop()
	for waits := true; waits && !m.placesAll(); {
		select {
		case <-ctx.Done():
			return
		case <-timeout.C:
			waits = false
		case <-time.After(enlistInterval):
		}
	}
	m.enlisted.Store(true)
	m.roster.UpdateSelf(func(self *teaselv1.Member) { self.Serving = true })
	m.events.Record(timeline.Event{
		Kind: "entry-enlisted",
	})
}

// placesAll reports whether each service that has backend servers has a home
// that may be given requests.
func (m *machine) placesAll() bool {
	return !slices.ContainsFunc(m.keeper.Current().Services, func(service *intent.Service) bool {
		return len(service.BackendServers) > 0 && !slices.ContainsFunc(m.view.RankHomes(service, m.settings.Region), allowed)
	})
}

func allowed(ranked steering.RankedCandidate) bool {
	return ranked.Allowed
}

package main

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/timeline"
)

// stoppingPropagationIntervals is the number of heartbeat intervals after which all
// other entries are assumed to know that this one is stopping.
const stoppingPropagationIntervals = 6

// shutdown stops this entry gracefully. It removes the entry from look-ups, accepts
// requests until the answers that callers cache have expired, except those whose deadline is
// after StopTimeout, then refuses new requests, waits for those in flight and until their
// answers are written. The HTTP servers, including the one for peers, are closed last. A
// process that has lost the ownership of the entry refuses new requests at once. If StopTimeout
// ends while requests are in flight, shutdown abandons them and returns an error.
func (n *node) shutdown(servers []*http.Server) error {
	n.shuttingDown.Store(true)
	n.roster.UpdateSelf(func(self *teaselv1.Member) { self.Stopping = true })
	n.recordShutdownStep("entry-stopping")
	end := time.Now().Add(time.Duration(n.settings.Limits.StopTimeout))
	n.shutdownEnd.Store(&end)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	n.awaitLookupExpiry(ctx)
	n.refusingRequests.Store(true)
	n.recordShutdownStep("entry-refusing")
	err := n.dispatcher.Shutdown(ctx)
	n.recordShutdownStep("entry-stopped")
	if drainErr := n.pipeline.Drain(ctx); err == nil {
		err = drainErr
	}
	for _, server := range servers {
		if shutdownErr := server.Shutdown(ctx); err == nil {
			err = shutdownErr
		}
	}
	if err != nil {
		return errors.Wrap(err, "shut down")
	}
	return nil
}

// stopsAt returns when a shutdown that has begun ends, and else the zero time.
func (n *node) stopsAt() time.Time {
	if end := n.shutdownEnd.Load(); end != nil {
		return *end
	}
	return time.Time{}
}

// recordShutdownStep records an event of the given kind in the time line and, with the
// number of requests in flight, in the log.
func (n *node) recordShutdownStep(kind string) {
	n.events.Record(timeline.Event{
		Kind: kind,
	})
	n.logger.Info().Str("event", kind).Int64("in-flight", n.dispatcher.InFlight()).Msg("")
}

// awaitLookupExpiry waits until every cached answer of a look-up that names this entry
// has expired. It ends early if the ownership of the entry is lost or ctx is done.
// Without a configuration, it returns at once.
func (n *node) awaitLookupExpiry(ctx context.Context) {
	configuration := n.keeper.Serving()
	if configuration == nil {
		return
	}
	wait := time.Duration(configuration.Deployment.Lookup.Lifetime) +
		stoppingPropagationIntervals*time.Duration(n.settings.Limits.HeartbeatInterval)
	select {
	case <-time.After(wait):
	case <-n.ownershipLost:
	case <-ctx.Done():
	}
}

// withRetryAt adds header.RetryAt, with the address of another entry, to every response once
// requests are refused. It is empty if no other entry serves.
func (n *node) withRetryAt(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.refusingRequests.Load() {
			w.Header().Set(header.RetryAt, n.nearestServingAddress())
		}
		next.ServeHTTP(w, r)
	})
}

// nearestServingAddress returns the address at which the nearest entry that look-ups may
// name listens for callers, or "" if there is none. It is not this entry's, which is
// stopping and so not one of servingMembers.
func (n *node) nearestServingAddress() string {
	var best *teaselv1.Member
	for _, member := range n.servingMembers() {
		if best == nil || n.proximity(member) > n.proximity(best) {
			best = member
		}
	}
	return best.GetCallerAddress()
}

// proximity rates how near a member is: 2 in this entry's failure domain, 1 elsewhere in
// its region, 0 in another region.
func (n *node) proximity(member *teaselv1.Member) int {
	switch {
	case member.GetFailureDomain() == n.settings.FailureDomain:
		return 2
	case member.GetRegion() == n.settings.Region:
		return 1
	}
	return 0
}

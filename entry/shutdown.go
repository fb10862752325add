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

// stopPropagationHeartbeats is how many heartbeat intervals it may take until all other
// entries know that this one is stopping.
const stopPropagationHeartbeats = 6

// shutdown stops this entry without losing a request. It removes the entry from
// look-ups, accepts requests until the answers that callers cache have expired, then
// refuses new requests and waits for those in flight. The servers, also the one for
// peers, close last. An entry that lost its seat refuses new requests at once.
func (n *node) shutdown(servers []*http.Server) error {
	n.stopping.Store(true)
	n.roster.UpdateSelf(func(self *teaselv1.Member) { self.Stopping = true })
	n.recordShutdownStep("entry-stopping")
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n.settings.Limits.StopTimeout))
	defer cancel()
	n.awaitLookupExpiry(ctx)
	n.refusing.Store(true)
	n.recordShutdownStep("entry-refusing")
	err := n.dispatcher.Shutdown(ctx)
	n.recordShutdownStep("entry-stopped")
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

// recordShutdownStep records one step of the shutdown in the time line and the log.
func (n *node) recordShutdownStep(kind string) {
	n.events.Record(timeline.Event{
		Kind: kind,
	})
	n.logger.Info().Str("event", kind).Int64("in-flight", n.dispatcher.InFlight()).Msg("")
}

// awaitLookupExpiry waits until no caller can still use a look-up's answer that names
// this entry. It ends early if the entry loses its seat or ctx is done.
func (n *node) awaitLookupExpiry(ctx context.Context) {
	configuration := n.keeper.Serving()
	if configuration == nil {
		return
	}
	wait := time.Duration(configuration.Deployment.Lookup.Lifetime) +
		stopPropagationHeartbeats*time.Duration(n.settings.Limits.HeartbeatInterval)
	select {
	case <-time.After(wait):
	case <-n.superseded:
	case <-ctx.Done():
	}
}

// redirectWhenStopping makes callers of a stopping entry connect to another one. It
// closes each connection with an answer, never an idle connection on which a request
// may be arriving. Once requests are refused, it names another entry to their callers.
func (n *node) redirectWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		if n.refusing.Load() {
			w.Header().Set(header.RetryAt, n.nearestServingEntry())
		}
		next.ServeHTTP(w, r)
	})
}

// nearestServingEntry returns the address for callers of the nearest serving entry, or
// "" if there is none.
func (n *node) nearestServingEntry() string {
	var best *teaselv1.Member
	for _, member := range n.servingMembers() {
		if best == nil || n.proximity(member) > n.proximity(best) {
			best = member
		}
	}
	return best.GetCallerAddress()
}

// proximity ranks a member: 2 in this entry's failure domain, 1 in its region, else zero.
func (n *node) proximity(member *teaselv1.Member) int {
	switch {
	case member.GetFailureDomain() == n.settings.FailureDomain:
		return 2
	case member.GetRegion() == n.settings.Region:
		return 1
	}
	return 0
}

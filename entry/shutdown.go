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

// leaveIntervals is how many heartbeat intervals the news that this entry
// leaves may take to all others.
const leaveIntervals = 6

// shutdown stops this entry without losing a request: it leaves the look-ups,
// serves on until the answers that callers cache have run out, then refuses
// new requests and lets those in flight end. It answers its peers until the
// end. An entry that lost its seat refuses at once.
func (m *machine) shutdown(servers []*http.Server) error {
	m.stopping.Store(true)
	m.roster.UpdateSelf(func(self *teaselv1.Member) { self.Stopping = true })
	m.step("entry-stopping")
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(m.settings.Limits.StopTimeout))
	defer cancel()
	m.awaitCachedAnswers(ctx)
	m.refusing.Store(true)
	m.step("entry-refusing")
	err := m.dispatcher.Shutdown(ctx)
	m.step("entry-stopped")
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

// step records one step of the shutdown.
func (m *machine) step(kind string) {
	m.events.Record(timeline.Event{
		Kind: kind,
	})
	m.logger.Info().Str("event", kind).Int64("in-flight", m.dispatcher.InFlight()).Msg("")
}

// awaitCachedAnswers waits until no caller can hold a look-up's answer that
// names this entry.
func (m *machine) awaitCachedAnswers(ctx context.Context) {
	current := m.keeper.Serving()
	if current == nil {
		return
	}
	span := time.Duration(current.Deployment.Lookup.Lifetime) +
		leaveIntervals*time.Duration(m.settings.Limits.HeartbeatInterval)
	select {
	case <-time.After(span):
	case <-m.superseded:
	case <-ctx.Done():
	}
}

// leaving makes callers of a stopping entry connect elsewhere: it closes each
// connection with an answer, never an idle one that may just be written to,
// and names another entry to those it refuses.
func (m *machine) leaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if m.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		if m.refusing.Load() {
			w.Header().Set(header.RetryAt, m.anotherEntry())
		}
		next.ServeHTTP(w, r)
	})
}

// anotherEntry returns the callers' address of an entry to try instead, of the
// own failure domain or region if there is one, or "".
func (m *machine) anotherEntry() string {
	var best *teaselv1.Member
	for _, member := range m.answerable() {
		if best == nil || m.nearness(member) > m.nearness(best) {
			best = member
		}
	}
	return best.GetCallerAddress()
}

// nearness orders members: of another region, of the own one, of the own
// failure domain.
func (m *machine) nearness(member *teaselv1.Member) int {
	switch {
	case member.GetFailureDomain() == m.settings.FailureDomain:
		return 2
	case member.GetRegion() == m.settings.Region:
		return 1
	}
	return 0
}

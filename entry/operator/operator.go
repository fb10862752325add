// Package operator implements the operator service of an entry: its status, the
// explanation of routing decisions, its time line, and the offer of a newly
// published configuration.
package operator

import (
	"context"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/configuration"
	"github.com/teaselstack/teaselstack/entry/lookup"
	"github.com/teaselstack/teaselstack/entry/membership"
	"github.com/teaselstack/teaselstack/entry/slot"
	"github.com/teaselstack/teaselstack/entry/steering"
	"github.com/teaselstack/teaselstack/timeline"
)

// Server implements the operator service.
type Server struct {
	// Keeper holds the newest configuration.
	Keeper *configuration.Keeper
	// Roster holds the membership records of this entry and its peers.
	Roster *membership.Roster
	// Slots holds the state of the backend servers at which this entry has a seat, the
	// right to allocate slots.
	Slots *slot.Ledger
	// LoadView ranks the homes of a service, the entries that grant the slots of its
	// backend servers, by cost. Explain uses it.
	LoadView *steering.LoadView
	// Lookup computes the answer to a look-up. Explain uses it.
	Lookup *lookup.Server
	// Events holds the time line.
	Events *timeline.Ring
	// Started is when the entry started.
	Started time.Time
	// Ready reports whether the entry has begun to serve callers and is not shutting
	// down.
	Ready func() bool
}

// Status returns the state of the entry, of its peers and of the backend servers at
// which the entry has a seat.
func (s *Server) Status(context.Context, *connect.Request[teaselv1.StatusRequest]) (*connect.Response[teaselv1.StatusResponse], error) {
	self := s.Roster.Self()
	response := &teaselv1.StatusResponse{
		Entry:                self.GetName(),
		Incarnation:          self.GetIncarnation(),
		Region:               self.GetRegion(),
		FailureDomain:        self.GetFailureDomain(),
		ConfigurationVersion: s.Keeper.Version(),
		Ready:                s.Ready(),
		Stopping:             self.GetStopping(),
		PlatformReachable:    s.Keeper.PlatformReachable(),
		Uptime:               durationpb.New(time.Since(s.Started)),
	}
	for _, peer := range s.Roster.Peers() {
		response.Members = append(response.Members, &teaselv1.MemberStatus{
			Member:  peer.Member,
			State:   string(peer.State),
			Silence: durationpb.New(time.Since(peer.LastHeard)),
		})
	}
	for _, status := range s.Slots.Status() {
		response.Servers = append(response.Servers, serverStatus(status))
	}
	return connect.NewResponse(response), nil
}

// serverStatus converts the state of a backend server to a message.
func serverStatus(status slot.Status) *teaselv1.ServerStatus {
	response := &teaselv1.ServerStatus{
		Service:       status.Server.Service,
		Server:        status.Server.Name,
		FailureDomain: status.Server.FailureDomain,
		Role:          string(status.Role),
		Slots:         uint32(status.Server.Slots),
		Usable:        uint32(status.Usable),
		InFlight:      uint32(status.InUse),
		Draining:      status.Draining,
		Requests:      status.Requests,
	}
	response.Health = healthState(status)
	if !status.LastStart.IsZero() {
		response.LastStart = timestamppb.New(status.LastStart)
	}
	return response
}

// healthState returns the health of a backend server, as in ServerStatus.Health.
func healthState(status slot.Status) string {
	switch {
	case status.Failing:
		return "failing"
	case status.Warming:
		return "warming"
	}
	return "healthy"
}

// Explain returns how a request of a caller for a service would be routed now: the
// answer to the caller's look-up, and the homes, best first, with the terms of their
// costs.
func (s *Server) Explain(_ context.Context, request *connect.Request[teaselv1.ExplainRequest]) (*connect.Response[teaselv1.ExplainResponse], error) {
	caller, err := netip.ParseAddr(request.Msg.GetCallerAddress())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Errorf("%q is no IP address", request.Msg.GetCallerAddress()))
	}
	resolved, err := s.Lookup.Resolve(request.Msg.GetService(), caller)
	if err != nil {
		return nil, err
	}
	current := s.Keeper.Current()
	region, covered := current.Blocks.Region(caller)
	if !covered {
		region = s.Lookup.Region
	}
	response := &teaselv1.ExplainResponse{
		Lookup: &teaselv1.LookupAnswer{
			Region: region,
			Reason: resolved.GetReason(),
		},
		Decision: "refused: no home is allowed",
	}
	for _, entry := range resolved.GetEntries() {
		response.Lookup.Entries = append(response.Lookup.Entries, entry.GetName())
	}
	ranked := s.LoadView.RankHomesByCost(current.Service(request.Msg.GetService()), region)
	for _, home := range ranked {
		response.Candidates = append(response.Candidates, candidateTerms(home))
	}
	if len(ranked) > 0 && ranked[0].Allowed {
		response.Decision = "home " + ranked[0].Candidate.Home
	}
	return connect.NewResponse(response), nil
}

// candidateTerms converts a ranked home and the terms of its cost to a message.
func candidateTerms(ranked steering.RankedCandidate) *teaselv1.CandidateTerms {
	terms := &teaselv1.CandidateTerms{
		Region:  ranked.Candidate.Region,
		Home:    ranked.Candidate.Home,
		Allowed: ranked.Allowed,
		Reason:  ranked.Reason,
		Cost:    ranked.Cost,
	}
	for _, term := range ranked.Terms {
		terms.Terms = append(terms.Terms, &teaselv1.Term{
			Name:   term.Name,
			Value:  term.Value,
			Weight: term.Weight,
		})
	}
	return terms
}

// Timeline returns the newest events of the entry that match the request's filter,
// oldest first, and the number of events that the time line has dropped so far.
func (s *Server) Timeline(_ context.Context, request *connect.Request[teaselv1.TimelineRequest]) (*connect.Response[teaselv1.TimelineResponse], error) {
	events, dropped := s.Events.Select(timeline.Filter{
		Key:     request.Msg.GetKey(),
		Service: request.Msg.GetService(),
		Server:  request.Msg.GetServer(),
		Version: request.Msg.GetVersion(),
		Limit:   int(request.Msg.GetLimit()),
	})
	response := &teaselv1.TimelineResponse{
		Dropped: dropped,
	}
	for _, event := range events {
		response.Events = append(response.Events, &teaselv1.TimelineEvent{
			WallNs:   event.Time.Wall,
			Logical:  event.Time.Logical,
			Entry:    event.Entry,
			Sequence: event.Sequence,
			Kind:     event.Kind,
			Service:  event.Service,
			Server:   event.Server,
			Key:      event.Key,
			Version:  event.Version,
			Detail:   event.Detail,
		})
	}
	return connect.NewResponse(response), nil
}

// Offer applies the delta of a version that was just published, so that it comes
// into force before the next poll. The delta is ignored if its parent is not the
// current version; the entry then gets the version from the platform or a peer.
func (s *Server) Offer(_ context.Context, request *connect.Request[teaselv1.OfferRequest]) (*connect.Response[teaselv1.OfferResponse], error) {
	delta := request.Msg.GetStep()
	if delta.GetParent() == s.Keeper.Version() {
		if err := s.Keeper.Apply([]*teaselv1.Delta{delta}, "operator"); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
	}
	return connect.NewResponse(&teaselv1.OfferResponse{
		ConfigurationVersion: s.Keeper.Version(),
	}), nil
}

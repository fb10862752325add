// Package operator answers operators' questions to one entry.
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

// Server answers operators.
type Server struct {
	Keeper   *configuration.Keeper
	Roster   *membership.Roster
	Slots    *slot.Ledger
	LoadView *steering.LoadView
	Lookup   *lookup.Server
	Events   *timeline.Ring
	Started  time.Time
	// Ready reports whether the entry serves callers.
	Ready func() bool
}

// Status returns the state of the entry.
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

func serverStatus(status slot.Status) *teaselv1.ServerStatus {
	line := &teaselv1.ServerStatus{
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
	line.Health = health(status)
	if !status.LastStart.IsZero() {
		line.LastStart = timestamppb.New(status.LastStart)
	}
	return line
}

func health(status slot.Status) string {
	switch {
	case status.Failing:
		return "failing"
	case status.Warming:
		return "warming"
	}
	return "healthy"
}

// Explain returns how a request would be decided now.
func (s *Server) Explain(_ context.Context, request *connect.Request[teaselv1.ExplainRequest]) (*connect.Response[teaselv1.ExplainResponse], error) {
	caller, err := netip.ParseAddr(request.Msg.GetCallerAddress())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Errorf("%q is no IP address", request.Msg.GetCallerAddress()))
	}
	answer, err := s.Lookup.Resolve(request.Msg.GetService(), caller)
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
			Reason: answer.GetReason(),
		},
		Decision: "refused: no home is allowed",
	}
	for _, entry := range answer.GetEntries() {
		response.Lookup.Entries = append(response.Lookup.Entries, entry.GetName())
	}
	ranked := s.LoadView.RankHomesByCost(current.Service(request.Msg.GetService()), region)
	for _, each := range ranked {
		response.Candidates = append(response.Candidates, candidate(each))
	}
	if len(ranked) > 0 && ranked[0].Allowed {
		response.Decision = "home " + ranked[0].Candidate.Home
	}
	return connect.NewResponse(response), nil
}

func candidate(ranked steering.RankedCandidate) *teaselv1.CandidateTerms {
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

// Timeline returns events of the entry.
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

// Offer takes over the step to a version that was just published. An entry that
// lacks the step's parent passes it over; it learns the version as always.
func (s *Server) Offer(_ context.Context, request *connect.Request[teaselv1.OfferRequest]) (*connect.Response[teaselv1.OfferResponse], error) {
	step := request.Msg.GetStep()
	if step.GetParent() == s.Keeper.Version() {
		if err := s.Keeper.Apply([]*teaselv1.Delta{step}, "operator"); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
	}
	return connect.NewResponse(&teaselv1.OfferResponse{
		ConfigurationVersion: s.Keeper.Version(),
	}), nil
}

// Package lookup tells callers which entry VMs to use. Answers come from
// memory alone.
package lookup

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/steering"
	"github.com/teaselstack/teaselstack/intent"
)

// Server answers look-ups.
type Server struct {
	// Configuration returns the newest configuration, or nil.
	Configuration func() *intent.Configuration
	// RankHomes ranks the homes of a service's backend servers as a region sees them.
	RankHomes func(service *intent.Service, region string) []steering.RankedCandidate
	// ServingEntries lists the entries that can be answered: alive and not stopping.
	ServingEntries func() []*teaselv1.Member
	// ServingEntry returns one of Entries by name, or nil.
	ServingEntry func(name string) *teaselv1.Member
	// IssueTicket returns a new ticket.
	IssueTicket func() string
	// Stopping reports whether this entry is to get no new requests, so that it
	// issues no tickets; nil stands for never.
	Stopping func() bool
	// Region is this entry's own, for callers that no client block covers.
	Region string
}

const (
	// maxEntries is the most entry VMs in an answer.
	maxEntries = 4
	// maxTickets is the most tickets in an answer.
	maxTickets = 64
)

// Lookup serves one look-up. Errors are of code invalid_argument, not_found or
// unavailable.
func (s *Server) Lookup(_ context.Context, request *connect.Request[teaselv1.LookupRequest]) (*connect.Response[teaselv1.LookupResponse], error) {
	address, err := callerAddress(request.Msg.GetCallerAddress(), request.Peer().Addr)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if request.Msg.GetTickets() > maxTickets {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Errorf("not run: %d tickets asked, the most is %d", request.Msg.GetTickets(), maxTickets))
	}
	answer, err := s.Resolve(request.Msg.GetService(), address)
	if err != nil {
		return nil, err
	}
	answer.Tickets = s.tickets(request.Msg.GetTickets())
	return connect.NewResponse(answer), nil
}

// tickets issues tickets. An entry that stops issues none: it might be gone
// before they come back to it.
func (s *Server) tickets(count uint32) []string {
	if s.Stopping != nil && s.Stopping() {
		return nil
	}
	var issued []string
	for range count {
		issued = append(issued, s.IssueTicket())
	}
	return issued
}

// Resolve computes the answer for a service and a caller.
func (s *Server) Resolve(name string, caller netip.Addr) (*teaselv1.LookupResponse, error) {
	configuration := s.Configuration()
	if configuration == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("not run: this entry has no configuration yet"))
	}
	service := configuration.Service(name)
	if service == nil {
		return nil, connect.NewError(connect.CodeNotFound, errors.Errorf("not run: service %q does not exist", name))
	}
	region, covered := configuration.Blocks.Region(caller)
	if !covered {
		region = s.Region
	}
	answer := &teaselv1.LookupResponse{
		Lifetime:             durationpb.New(time.Duration(configuration.Deployment.Lookup.Lifetime)),
		ConfigurationVersion: configuration.Version,
		Reason:               fmt.Sprintf("client block in %s", region),
	}
	if !covered {
		answer.Reason = fmt.Sprintf("no client block covers %s; nearest to %s", caller, region)
	}
	answer.Entries = s.order(service, region)
	if len(answer.Entries) == 0 {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("not run: no entry serves yet"))
	}
	return answer, nil
}

// order lists entries: first those that own slots of the service, by rank, then
// others. The others are listed only where the owners are too few: a large fleet
// has thousands.
func (s *Server) order(service *intent.Service, region string) []*teaselv1.EntryAddress {
	var ordered []*teaselv1.EntryAddress
	add := func(member *teaselv1.Member) {
		if member == nil || len(ordered) >= maxEntries || named(ordered, member.GetName()) {
			return
		}
		ordered = append(ordered, &teaselv1.EntryAddress{
			Name:          member.GetName(),
			Address:       member.GetCallerAddress(),
			Region:        member.GetRegion(),
			FailureDomain: member.GetFailureDomain(),
		})
	}
	for _, ranked := range s.RankHomes(service, region) {
		if ranked.Allowed {
			add(s.ServingEntry(ranked.Candidate.Home))
		}
	}
	if len(ordered) < maxEntries {
		for _, member := range s.ServingEntries() {
			add(member)
		}
	}
	return ordered
}

func named(entries []*teaselv1.EntryAddress, name string) bool {
	return slices.ContainsFunc(entries, func(e *teaselv1.EntryAddress) bool { return e.GetName() == name })
}

func callerAddress(text, peer string) (netip.Addr, error) {
	if text == "" {
		host, _, err := net.SplitHostPort(peer)
		if err != nil {
			return netip.Addr{}, errors.Errorf("not run: the caller's address is unknown")
		}
		text = host
	}
	address, err := netip.ParseAddr(text)
	if err != nil {
		return netip.Addr{}, errors.Errorf("not run: %q is no IP address", text)
	}
	return address, nil
}

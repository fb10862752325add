// Package lookup implements the look-up service, which tells callers which entry
// VMs to use. Answers are computed from memory, without calls to other systems.
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

// Server implements the look-up service.
type Server struct {
	// Configuration returns the configuration by which the entry serves, or nil if there
	// is none yet.
	Configuration func() *intent.Configuration
	// RankHomes ranks the homes of a service, the entries that grant the slots of its
	// backend servers, for requests from a region, best first.
	RankHomes func(service *intent.Service, region string) []steering.RankedCandidate
	// ServingEntries returns the entries that answers may name: those that are alive,
	// serving and not stopping.
	ServingEntries func() []*teaselv1.Member
	// ServingEntry returns the entry with a name if ServingEntries contains it, or nil.
	ServingEntry func(name string) *teaselv1.Member
	// IssueTicket returns a new ticket.
	IssueTicket func() string
	// Stopping reports whether this entry is shutting down or its configuration drains
	// it; if so, it must issue no tickets. A nil function means that it never stops.
	Stopping func() bool
	// Region is the region of this entry. It is also assumed for callers whose address no
	// client block covers.
	Region string
}

const (
	// maxEntries is the maximum number of entry VMs in an answer.
	maxEntries = 4
	// maxTickets is the maximum number of tickets in an answer.
	maxTickets = 64
)

// Lookup answers one look-up with entry VMs and the requested number of tickets. Its
// errors have the code invalid_argument, not_found or unavailable.
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
	answer.Tickets = s.issueTickets(request.Msg.GetTickets())
	return connect.NewResponse(answer), nil
}

// issueTickets issues count tickets. A stopping entry issues none, since it might
// have exited by the time a caller uses them.
func (s *Server) issueTickets(count uint32) []string {
	if s.Stopping != nil && s.Stopping() {
		return nil
	}
	var issued []string
	for range count {
		issued = append(issued, s.IssueTicket())
	}
	return issued
}

// Resolve returns the answer to a look-up of a service by a caller, without tickets.
func (s *Server) Resolve(serviceName string, caller netip.Addr) (*teaselv1.LookupResponse, error) {
	configuration := s.Configuration()
	if configuration == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("not run: this entry has no configuration yet"))
	}
	service := configuration.Service(serviceName)
	if service == nil {
		return nil, connect.NewError(connect.CodeNotFound, errors.Errorf("not run: service %q does not exist", serviceName))
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
	answer.Entries = s.orderEntries(service, region)
	if len(answer.Entries) == 0 {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("not run: no entry serves yet"))
	}
	return answer, nil
}

// orderEntries returns up to maxEntries serving entries: first the allowed homes of the
// service, best first, then other entries. It calls ServingEntries only if there are
// fewer than maxEntries such homes, since a large deployment has thousands of entries.
func (s *Server) orderEntries(service *intent.Service, region string) []*teaselv1.EntryAddress {
	var ordered []*teaselv1.EntryAddress
	add := func(member *teaselv1.Member) {
		if member == nil || len(ordered) >= maxEntries || containsName(ordered, member.GetName()) {
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

// containsName reports whether one of the entries has the given name.
func containsName(entries []*teaselv1.EntryAddress, name string) bool {
	return slices.ContainsFunc(entries, func(e *teaselv1.EntryAddress) bool { return e.GetName() == name })
}

// callerAddress parses the caller address in a look-up or, if that is empty, the host in
// remoteAddress, the remote address of the connection.
func callerAddress(address, remoteAddress string) (netip.Addr, error) {
	if address == "" {
		host, _, err := net.SplitHostPort(remoteAddress)
		if err != nil {
			return netip.Addr{}, errors.Errorf("not run: the caller's address is unknown")
		}
		address = host
	}
	parsed, err := netip.ParseAddr(address)
	if err != nil {
		return netip.Addr{}, errors.Errorf("not run: %q is no IP address", address)
	}
	return parsed, nil
}

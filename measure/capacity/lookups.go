package capacity

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"net/netip"

	"google.golang.org/protobuf/proto"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/api/teasel/v1/teaselv1connect"
	"github.com/teaselstack/teaselstack/entry/lookup"
	"github.com/teaselstack/teaselstack/entry/membership"
	"github.com/teaselstack/teaselstack/entry/slot"
	"github.com/teaselstack/teaselstack/entry/steering"
	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/measure/fleet"
	"github.com/teaselstack/teaselstack/measure/slope"
)

// MeasureLookups measures the cost of look-ups, without and with the Connect handler,
// and the size of their responses.
func MeasureLookups() []Row {
	responseRate := lookupRow("look-ups answered by one core", "/s")
	share := lookupRow("a node's 2,083 look-ups a second", "of a core")
	allocations := lookupRow("heap allocations of a look-up", "")
	allocatedBytes := lookupRow("heap allocated by a look-up", "bytes")
	handlerCost := lookupRow("look-up with its connect exchange, without sockets", "us of a core")
	responseSize := lookupRow("answer of a look-up, body", "bytes")
	for _, size := range []fleet.Size{fleet.FirstDeployment(), fleet.HundredthOfTarget(), fleet.TenthOfTarget(), fleet.Target()} {
		addPoint := func(row *Row, value float64) {
			row.Points = append(row.Points, slope.Point{
				Size:  float64(size.Nodes),
				Value: value,
			})
		}
		cost := lookupResponseCost(size)
		addPoint(&responseRate, 1/cost.CPUTime.Seconds())
		addPoint(&share, cost.CPUTime.Seconds()*LookupsPerSecondPerNode)
		addPoint(&allocations, cost.Allocations)
		addPoint(&allocatedBytes, cost.AllocatedBytes)
		server := newLookupServer(size)
		addPoint(&handlerCost, float64(lookupHandlerCost(server).CPUTime.Nanoseconds())/1e3)
		addPoint(&responseSize, float64(proto.Size(resolveNth(server, size, 1))))
	}
	return []Row{responseRate, share, allocations, allocatedBytes, handlerCost, responseSize}
}

// lookupRow returns a row without points or bound, whose sizes are numbers of nodes.
func lookupRow(quantity, unit string) Row {
	return Row{
		Quantity:   quantity,
		Unit:       unit,
		SizeUnit:   "nodes, with their sites and blocks",
		TargetSize: float64(fleet.Target().Nodes),
	}
}

// lookupResponseCost returns the mean cost of computing the response to a look-up in a
// deployment. Decoding the request, encoding the response and HTTP are not included.
func lookupResponseCost(size fleet.Size) operationCost {
	server := newLookupServer(size)
	i := 0
	return measureRepeated(func() {
		i++
		resolveNth(server, size, i)
	})
}

// lookupHandlerCost returns the cost of a look-up through the Connect handler: decoding
// the request, computing the response and encoding it. Creating the HTTP request and
// the recorder of httptest is included, but no socket is used. All look-ups are for the
// same service and client block.
func lookupHandlerCost(server *lookup.Server) operationCost {
	path, handler := teaselv1connect.NewLookupServiceHandler(server)
	content, err := proto.Marshal(&teaselv1.LookupRequest{
		Service:       fleet.SiteName(0),
		CallerAddress: blockAddress(0).String(),
	})
	if err != nil {
		panic("encode a look-up: " + err.Error())
	}
	return measureRepeated(func() {
		request := httptest.NewRequest(http.MethodPost, path+"Lookup", bytes.NewReader(content))
		request.Header.Set("Content-Type", "application/proto")
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		if recorder.Code != http.StatusOK {
			panic("measured look-up: " + recorder.Body.String())
		}
	})
}

// resolveNth runs the i-th look-up of a measurement and returns its response.
// Consecutive look-ups are for different services and client blocks.
func resolveNth(server *lookup.Server, size fleet.Size, i int) *teaselv1.LookupResponse {
	// The step is coprime to the number of blocks of each size, so the look-ups cover
	// all blocks.
	const step = 7919
	response, err := server.Resolve(fleet.SiteName(i%size.Sites), blockAddress(i*step%size.Blocks))
	if err != nil {
		panic("measured look-up: " + err.Error())
	}
	return response
}

// blockAddress returns the second address of client block i.
func blockAddress(i int) netip.Addr {
	return fleet.BlockPrefix(i).Addr().Next()
}

// newLookupServer returns the look-up server of the entry with index 0 in a
// deployment in which all other entries are alive. They report free slots only for the
// services in peerLoads; look-ups of other services are answered with entries from
// ServingEntries. The members may have other regions and failure domains than the
// configuration, since newRoster spreads them over another number of domains; look-ups
// only copy both into the response.
func newLookupServer(size fleet.Size) *lookup.Server {
	compiled := mustCompile(append(size.Documents(), size.BlockDocuments()...))
	current := func() *intent.Configuration { return compiled }
	roster := newRoster(size.Nodes)
	view := &steering.LoadView{
		Entry:         fleet.EntryName(0),
		Configuration: current,
		OwnLoad:       func(string) (slot.Load, bool) { return slot.Load{}, false },
		OwnLoads:      func() []slot.Load { return nil },
		Peer:          roster.Peer,
	}
	extension := view.HeartbeatExtension()
	for i := 1; i < size.Nodes; i++ {
		extension.HandleRequest(&teaselv1.HeartbeatRequest{
			Sender: newMember(i, size.FailureDomains),
			Loads:  peerLoads(size),
		}, &teaselv1.HeartbeatResponse{})
	}
	return &lookup.Server{
		Configuration:  current,
		RankHomes:      view.RankHomes,
		ServingEntries: func() []*teaselv1.Member { return servingEntries(roster) },
		ServingEntry:   func(name string) *teaselv1.Member { return servingEntry(roster, name) },
		IssueTicket:    func() string { return "ticket" },
		Region:         fleet.RegionName(0),
	}
}

// peerLoads returns the loads that every peer reports: one for each of the first
// services, whether or not the peer has seats there. There are as many as there are
// backend servers for each entry, but at least one, and at most one for each service.
// The numbers of slots only have to leave some free.
func peerLoads(size fleet.Size) []*teaselv1.RegionLoad {
	count := min(size.Sites, max(1, size.Sites*size.ServersPerSite/size.Nodes))
	loads := make([]*teaselv1.RegionLoad, 0, count)
	for i := range count {
		loads = append(loads, &teaselv1.RegionLoad{
			Service:       fleet.SiteName(i),
			FailureDomain: fleet.FailureDomainName(0),
			Slots:         12,
			InFlight:      3,
		})
	}
	return loads
}

// servingEntries returns the entry itself and the alive peers that are not stopping.
// Unlike the entry program, it ignores Member.Serving, which newMember does not set.
func servingEntries(roster *membership.Roster) []*teaselv1.Member {
	members := []*teaselv1.Member{roster.Self()}
	for _, peer := range roster.AliveMembers() {
		if !peer.GetStopping() {
			members = append(members, peer)
		}
	}
	return members
}

// servingEntry returns the member of servingEntries that has the given name, or nil.
func servingEntry(roster *membership.Roster, name string) *teaselv1.Member {
	if self := roster.Self(); name == self.GetName() {
		return self
	}
	peer, known := roster.Peer(name)
	if !known || peer.State != membership.Alive || peer.Member.GetStopping() {
		return nil
	}
	return peer.Member
}

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

// MeasureLookups measures the cost and size of look-up responses.
func MeasureLookups() []Row {
	responseRate := lookupRow("look-ups answered by one core", "/s")
	share := lookupRow("a node's 2,083 look-ups a second", "of a core")
	allocations := lookupRow("heap allocations of a look-up", "")
	allocatedBytes := lookupRow("heap allocated by a look-up", "bytes")
	exchange := lookupRow("look-up with its connect exchange, without sockets", "us of a core")
	responseSize := lookupRow("answer of a look-up, body", "bytes")
	for _, size := range []fleet.Size{fleet.FirstDeployment(), fleet.HundredthOfTarget(), fleet.TenthOfTarget(), fleet.Target()} {
		addPoint := func(row *Row, value float64) {
			row.Points = append(row.Points, slope.Point{
				Size:  float64(size.Nodes),
				Value: value,
			})
		}
		cost := LookupResponseCost(size)
		addPoint(&responseRate, 1/cost.CPUTime.Seconds())
		addPoint(&share, cost.CPUTime.Seconds()*LookupsPerSecondPerNode)
		addPoint(&allocations, cost.Allocations)
		addPoint(&allocatedBytes, cost.AllocatedBytes)
		server := NewLookupServer(size)
		addPoint(&exchange, float64(LookupExchangeCost(server).CPUTime.Nanoseconds())/1e3)
		addPoint(&responseSize, float64(proto.Size(AnswerLookup(server, size, 1))))
	}
	return []Row{responseRate, share, allocations, allocatedBytes, exchange, responseSize}
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

// LookupResponseCost returns the cost of computing the response to one look-up in a
// deployment, without that of encoding and HTTP.
func LookupResponseCost(size fleet.Size) Cost {
	server := NewLookupServer(size)
	i := 0
	return measureRepeated(func() {
		i++
		AnswerLookup(server, size, i)
	})
}

// LookupExchangeCost returns the cost of one look-up through the Connect handler,
// with HTTP and the encoding of request and response, but without a socket.
func LookupExchangeCost(server *lookup.Server) Cost {
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

// AnswerLookup returns the response to look-up number i. Consecutive look-ups are
// spread over the services and client blocks.
func AnswerLookup(server *lookup.Server, size fleet.Size, i int) *teaselv1.LookupResponse {
	// A prime step spreads consecutive look-ups over all blocks.
	const step = 7919
	answer, err := server.Resolve(fleet.SiteName(i%size.Sites), blockAddress(i*step%size.Blocks))
	if err != nil {
		panic("measured look-up: " + err.Error())
	}
	return answer
}

// blockAddress returns an address in client block i.
func blockAddress(i int) netip.Addr {
	return fleet.BlockPrefix(i).Addr().Next()
}

// NewLookupServer returns the look-up server of the entry with index 0 in a
// deployment in which all other entries are alive and report free slots.
func NewLookupServer(size fleet.Size) *lookup.Server {
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
			Loads:  regionLoads(size),
		}, &teaselv1.HeartbeatResponse{})
	}
	return &lookup.Server{
		Configuration:  current,
		RankHomes:      view.RankHomes,
		ServingEntries: func() []*teaselv1.Member { return aliveMembers(roster) },
		ServingEntry:   func(name string) *teaselv1.Member { return aliveEntry(roster, name) },
		IssueTicket:    func() string { return "ticket" },
		Region:         fleet.RegionName(0),
	}
}

// regionLoads returns the loads that each other entry reports. There are as many as
// an entry has backend servers on average, but at most one for each site, and they
// are always loads of the first sites.
func regionLoads(size fleet.Size) []*teaselv1.RegionLoad {
	count := min(size.Sites, max(1, size.Sites*size.ServersPerSite/size.Nodes))
	loads := make([]*teaselv1.RegionLoad, 0, count)
	for i := range count {
		loads = append(loads, &teaselv1.RegionLoad{
			Service:       fleet.SiteName(i),
			FailureDomain: fleet.DomainName(0),
			Slots:         12,
			InFlight:      3,
		})
	}
	return loads
}

// aliveMembers returns the entry itself and the alive peers that are not stopping.
// The entry program also requires that they are serving.
func aliveMembers(roster *membership.Roster) []*teaselv1.Member {
	members := []*teaselv1.Member{roster.Self()}
	for _, peer := range roster.AliveMembers() {
		if !peer.GetStopping() {
			members = append(members, peer)
		}
	}
	return members
}

// aliveEntry returns the entry itself or a peer by name. It returns nil for a peer
// that is unknown, not alive or stopping.
func aliveEntry(roster *membership.Roster, name string) *teaselv1.Member {
	if self := roster.Self(); name == self.GetName() {
		return self
	}
	peer, known := roster.Peer(name)
	if !known || peer.State != membership.Alive || peer.Member.GetStopping() {
		return nil
	}
	return peer.Member
}

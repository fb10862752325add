package capacity

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/membership"
	"github.com/teaselstack/teaselstack/measure/fleet"
	"github.com/teaselstack/teaselstack/measure/slope"
)

const (
	// meanNodesPerFailureDomain is the mean number of nodes in a failure domain at the
	// target size.
	meanNodesPerFailureDomain = 29
	// messageOverheadBytes is the number of bytes that HTTP, twirp, TCP and IP add to
	// one message, including its TCP acknowledgement.
	messageOverheadBytes = 400
	// heartbeatInterval is the default of the entries' setting heartbeat-interval.
	heartbeatInterval = 500 * time.Millisecond
	// settleTime is how long the rosters run before the measurement of their
	// heartbeats starts, and observeTime is how long the measurement takes.
	settleTime  = 8 * time.Second
	observeTime = 5 * time.Second
)

// rosterNetwork connects the rosters of all nodes in one process. It delivers a
// heartbeat by a function call, but encodes and decodes request and response as on the
// wire.
type rosterNetwork struct {
	// rosters is keyed by peer address.
	rosters map[string]*membership.Roster
	// messages counts requests and responses, and bytes their encoded size without
	// messageOverheadBytes.
	messages atomic.Int64
	bytes    atomic.Int64
}

// MeasureHeartbeats measures the traffic, processor time and memory of heartbeats
// in deployments whose entries neither start nor stop.
func MeasureHeartbeats() []Row {
	traffic := heartbeatRow("heartbeats and records, sent by a node", "bytes/s", ControlBytesPerSecond)
	messages := heartbeatRow("heartbeat messages sent by a node", "/s", 0)
	cpuShare := heartbeatRow("heartbeats, without sockets", "of a core", ControlCPUShare)
	cpuShareWithHTTP := heartbeatRow("heartbeats with their HTTP exchange", "of a core", ControlCPUShare)
	cpuShareWithHTTP.Derived = true
	cpuShareWithHTTP.Note = "the messages times a measured exchange over loopback, half of it a side"
	memory := heartbeatRow("roster of peers", "bytes", 0)
	exchange := heartbeatExchangeCost()
	for _, nodes := range []int{7, 60, 246, 984} {
		size := float64(nodes)
		addPoint := func(row *Row, value float64) {
			row.Points = append(row.Points, slope.Point{
				Size:  size,
				Value: value,
			})
		}
		_, bytes := retainedHeap(func() *membership.Roster { return newRoster(nodes) })
		addPoint(&memory, bytes)
		usage := newRosterNetwork(nodes).observe()
		nodeSeconds := size * observeTime.Seconds()
		addPoint(&messages, float64(usage.messages)/nodeSeconds)
		addPoint(&traffic, (float64(usage.bytes)+float64(usage.messages)*messageOverheadBytes)/nodeSeconds)
		addPoint(&cpuShare, usage.cpuTime.Seconds()/nodeSeconds)
		addPoint(&cpuShareWithHTTP, usage.cpuTime.Seconds()/nodeSeconds+float64(usage.messages)/nodeSeconds*exchange.CPUTime.Seconds()/2)
	}
	return []Row{traffic, messages, cpuShare, cpuShareWithHTTP, memory}
}

// heartbeatRow returns a row without points, whose sizes are numbers of nodes.
func heartbeatRow(quantity, unit string, bound float64) Row {
	return Row{
		Quantity:   quantity,
		Unit:       unit,
		SizeUnit:   "nodes",
		TargetSize: float64(fleet.Target().Nodes),
		Bound:      bound,
	}
}

// newRosterNetwork returns a network with one roster for each node. Each roster
// knows all nodes, which are spread over at least 6 failure domains.
func newRosterNetwork(nodes int) *rosterNetwork {
	network := &rosterNetwork{
		rosters: make(map[string]*membership.Roster),
	}
	domains := max(6, nodes/meanNodesPerFailureDomain)
	all := &teaselv1.MembershipDelta{}
	for i := range nodes {
		all.Reports = append(all.Reports, &teaselv1.MemberReport{
			Member: newMember(i, domains),
		})
	}
	for i := range nodes {
		self := newMember(i, domains)
		roster := membership.New(self, network.deliver, membership.WithHeartbeatInterval(heartbeatInterval))
		roster.HandleHeartbeat(&teaselv1.HeartbeatRequest{
			Sender:     newMember((i+1)%nodes, domains),
			Membership: all,
		})
		network.rosters[self.GetPeerAddress()] = roster
	}
	return network
}

// deliver hands a heartbeat to the roster at a peer address and returns its
// response.
func (n *rosterNetwork) deliver(_ context.Context, address string, request *teaselv1.HeartbeatRequest) (*teaselv1.HeartbeatResponse, error) {
	decoded := &teaselv1.HeartbeatRequest{}
	n.transfer(request, decoded)
	response := &teaselv1.HeartbeatResponse{}
	n.transfer(n.rosters[address].HandleHeartbeat(decoded), response)
	return response, nil
}

// transfer copies a message by encoding and decoding it, and counts the message and
// its encoded bytes.
func (n *rosterNetwork) transfer(from, to proto.Message) {
	content, err := proto.Marshal(from)
	if err != nil {
		panic("encode a heartbeat: " + err.Error())
	}
	if err := proto.Unmarshal(content, to); err != nil {
		panic("decode a heartbeat: " + err.Error())
	}
	n.messages.Add(1)
	n.bytes.Add(int64(len(content)))
}

// heartbeatUsage is the traffic and processor time of the heartbeats of all nodes
// during a measurement. Messages and bytes are counted as in rosterNetwork.
type heartbeatUsage struct {
	messages int64
	bytes    int64
	cpuTime  time.Duration
}

// observe runs all rosters, waits for settleTime, and returns what their heartbeats
// use during the observeTime that follows.
func (n *rosterNetwork) observe() heartbeatUsage {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, roster := range n.rosters {
		group.Go(func() { roster.Run(ctx) })
	}
	time.Sleep(settleTime)
	before := heartbeatUsage{
		messages: n.messages.Load(),
		bytes:    n.bytes.Load(),
		cpuTime:  cpuTime(),
	}
	time.Sleep(observeTime)
	usage := heartbeatUsage{
		messages: n.messages.Load() - before.messages,
		bytes:    n.bytes.Load() - before.bytes,
		cpuTime:  cpuTime() - before.cpuTime,
	}
	cancel()
	group.Wait()
	return usage
}

// heartbeatExchangeCost returns the cost of one heartbeat and its response over a
// loopback connection, for sender and receiver together.
func heartbeatExchangeCost() operationCost {
	server := httptest.NewServer(teaselv1.NewPeerServiceServer(emptyPeerServer{}))
	defer server.Close()
	client := teaselv1.NewPeerServiceProtobufClient(server.URL, &http.Client{})
	request := &teaselv1.HeartbeatRequest{
		Sender: newMember(0, 1),
	}
	return measureRepeated(func() {
		if _, err := client.Heartbeat(context.Background(), request); err != nil {
			panic("measured heartbeat: " + err.Error())
		}
	})
}

// emptyPeerServer answers heartbeats with an empty response.
type emptyPeerServer struct {
	teaselv1.PeerService
}

// Heartbeat returns an empty response.
func (emptyPeerServer) Heartbeat(context.Context, *teaselv1.HeartbeatRequest) (*teaselv1.HeartbeatResponse, error) {
	return &teaselv1.HeartbeatResponse{}, nil
}

// newRoster returns the roster of the entry with index 0 after a heartbeat from each
// other entry. The entries are spread over at least 6 failure domains. The roster can't
// send heartbeats.
func newRoster(nodes int) *membership.Roster {
	domains := max(6, nodes/meanNodesPerFailureDomain)
	roster := membership.New(newMember(0, domains), nil)
	for i := 1; i < nodes; i++ {
		roster.HandleHeartbeat(&teaselv1.HeartbeatRequest{
			Sender: newMember(i, domains),
		})
	}
	return roster
}

// newMember returns the membership record of the entry with the given index. The
// entries are spread evenly over domainCount failure domains.
func newMember(index, domainCount int) *teaselv1.Member {
	domain := index % domainCount
	address := fmt.Sprintf("10.100.%d.%d", index>>8, index&255)
	return &teaselv1.Member{
		Name:                 fleet.EntryName(index),
		Incarnation:          1_790_000_000_000_000_000 + uint64(index),
		Region:               fleet.RegionName(domain % fleet.Target().Regions),
		FailureDomain:        fleet.FailureDomainName(domain),
		CallerAddress:        address + ":21010",
		PeerAddress:          address + ":21020",
		OperatorAddress:      address + ":21030",
		Sequence:             2,
		ConfigurationVersion: 81_000,
	}
}

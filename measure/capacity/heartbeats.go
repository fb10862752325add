package capacity

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/membership"
	"github.com/teaselstack/teaselstack/measure/fleet"
	"github.com/teaselstack/teaselstack/measure/slope"
)

const (
	// heartbeatsPerSecond is how often an entry sends to each peer.
	heartbeatsPerSecond = 2
	// headerBytes is what HTTP and twirp add to one message, in bytes.
	headerBytes = 250
)

// Heartbeats measures the full mesh of heartbeats.
func Heartbeats() []Row {
	traffic := heartbeatRow("heartbeats sent by one node, full mesh", "bytes/s", ControlBytes)
	traffic.WorkedOut = true
	traffic.Note = "measured messages times the peers"
	processor := heartbeatRow("heartbeats answered by one node, full mesh, without sockets", "of a core", ControlShare)
	processor.WorkedOut = true
	processor.Note = "a measured exchange times the peers"
	memory := heartbeatRow("roster of peers", "bytes", 0)
	for _, nodes := range []int{7, 60, 246, 984, 3_600} {
		size := float64(nodes)
		roster, bytes := heapOf(func() *membership.Roster { return newRoster(nodes) })
		request := heartbeatRequest(nodes)
		response := roster.Answer(request)
		// A node sends a request to each peer and a response to each peer.
		pairs := float64(nodes-1) * heartbeatsPerSecond
		message := float64(proto.Size(request)+proto.Size(response)) + 2*headerBytes
		traffic.Points = append(traffic.Points, slope.Point{
			Size:  size,
			Value: pairs * message,
		})
		answer := cost(func() { exchange(roster, request) })
		processor.Points = append(processor.Points, slope.Point{
			Size:  size,
			Value: pairs * answer.Processor.Seconds(),
		})
		memory.Points = append(memory.Points, slope.Point{
			Size:  size,
			Value: bytes,
		})
	}
	return []Row{traffic, processor, memory}
}

func heartbeatRow(quantity, unit string, bound float64) Row {
	return Row{
		Quantity: quantity,
		Unit:     unit,
		Grows:    "nodes",
		Target:   float64(fleet.Target().Nodes),
		Bound:    bound,
	}
}

// exchange is one heartbeat as the receiver sees it: decode, answer, encode.
func exchange(roster *membership.Roster, request *teaselv1.HeartbeatRequest) {
	content, err := proto.Marshal(request)
	if err != nil {
		panic("encode a heartbeat: " + err.Error())
	}
	received := &teaselv1.HeartbeatRequest{}
	if err := proto.Unmarshal(content, received); err != nil {
		panic("decode a heartbeat: " + err.Error())
	}
	if _, err := proto.Marshal(roster.Answer(received)); err != nil {
		panic("encode a heartbeat's answer: " + err.Error())
	}
}

// newRoster returns the roster of entry 0 that has heard of all others.
func newRoster(nodes int) *membership.Roster {
	roster := membership.New(member(0), refuseCalls)
	for i := 1; i < nodes; i++ {
		roster.Answer(&teaselv1.HeartbeatRequest{
			Sender: member(i),
		})
		roster.Update(func(*teaselv1.Member) {})
	}
	return roster
}

func refuseCalls(ctx context.Context, _ string, _ *teaselv1.HeartbeatRequest) (*teaselv1.HeartbeatResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func heartbeatRequest(nodes int) *teaselv1.HeartbeatRequest {
	request := &teaselv1.HeartbeatRequest{
		Sender:      member(1),
		ClockWallNs: time.Now().UnixNano(),
		Membership:  &teaselv1.MembershipDelta{},
		Loads: []*teaselv1.RegionLoad{{
			Service:       fleet.SiteName(0),
			FailureDomain: fleet.DomainName(0),
			Slots:         12,
			InFlight:      3,
		}},
	}
	for i := range nodes {
		if i != 1 {
			request.Membership.Reports = append(request.Membership.Reports, &teaselv1.MemberReport{
				Member: member(i),
			})
		}
	}
	return request
}

func member(i int) *teaselv1.Member {
	size := fleet.Target()
	domain := i % size.FailureDomains
	return &teaselv1.Member{
		Name:                 fleet.EntryName(i),
		Incarnation:          1_790_000_000_000_000_000 + uint64(i),
		Region:               fleet.RegionName(domain % size.Regions),
		FailureDomain:        fleet.DomainName(domain),
		CallerAddress:        "10.100.101.102:21010",
		PeerAddress:          "10.100.101.102:21020",
		OperatorAddress:      "10.100.101.102:21030",
		Sequence:             81_000,
		ConfigurationVersion: 81_000,
	}
}

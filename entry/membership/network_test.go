package membership

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/timeline"
)

// testNetwork connects rosters by function calls, with message loss, delays and
// partitions.
type testNetwork struct {
	mu sync.Mutex
	// seed selects which messages are lost, see isLost.
	seed uint64
	// messageNumber holds the number of the last message by pair of sender and receiver.
	messageNumber map[string]int
	// loss is the probability that a message is lost.
	loss float64
	// delay is the one-way delay of each message.
	delay time.Duration
	// nodes holds the running nodes by peer address.
	nodes map[string]*node
	// partitioned reports whether a network partition stops messages from one member to
	// another.
	partitioned func(from, to *teaselv1.Member) bool
	// bytes counts the bytes sent and received, and messagesSent the messages sent, by
	// peer address.
	bytes        map[string]int
	messagesSent map[string]int
	// options are the options of each new roster.
	options []Option
}

// node is a running entry.
type node struct {
	member *teaselv1.Member
	roster *Roster
	events *timeline.Ring
	stop   context.CancelFunc
}

var errLost = errors.New("message lost")

func newTestNetwork(seed uint64, options ...Option) *testNetwork {
	return &testNetwork{
		seed:          seed,
		messageNumber: make(map[string]int),
		nodes:         make(map[string]*node),
		partitioned:   func(_, _ *teaselv1.Member) bool { return false },
		bytes:         make(map[string]int),
		messagesSent:  make(map[string]int),
		options:       options,
	}
}

// startNode runs an entry until the test ends or node.stop is called.
func (n *testNetwork) startNode(t *testing.T, group *sync.WaitGroup, member *teaselv1.Member, seeds []string) *node {
	t.Helper()
	clock := &timeline.Clock{}
	ctx, stop := context.WithCancel(t.Context())
	started := &node{
		member: member,
		events: timeline.NewRing(member.GetName(), 5000, clock),
		stop:   stop,
	}
	options := append([]Option{WithSeeds(seeds), WithTimeline(clock, started.events)}, n.options...)
	started.roster = New(member, n.sendFunc(member), options...)
	n.mu.Lock()
	n.nodes[member.GetPeerAddress()] = started
	n.mu.Unlock()
	group.Go(func() { started.roster.Run(ctx) })
	return started
}

// sendFunc returns a function that sends heartbeats from a member. If a message is
// lost, the function returns errLost when the heartbeat times out.
func (n *testNetwork) sendFunc(from *teaselv1.Member) SendFunc {
	return func(ctx context.Context, address string, request *teaselv1.HeartbeatRequest) (*teaselv1.HeartbeatResponse, error) {
		target := n.deliver(ctx, from, address, proto.Size(request))
		if target == nil {
			<-ctx.Done()
			return nil, errLost
		}
		response := target.roster.HandleHeartbeat(request)
		if n.deliver(ctx, target.member, from.GetPeerAddress(), proto.Size(response)) == nil {
			<-ctx.Done()
			return nil, errLost
		}
		return response, nil
	}
}

// deliver carries one message, and returns its receiver or nil if it was lost.
func (n *testNetwork) deliver(ctx context.Context, from *teaselv1.Member, to string, size int) *node {
	target, delay := n.route(from, to, size)
	if target == nil || delay == 0 {
		return target
	}
	select {
	case <-time.After(delay):
		return target
	case <-ctx.Done():
		return nil
	}
}

// route counts a message and returns its receiver and its delay. The receiver is nil if
// the message is lost.
func (n *testNetwork) route(from *teaselv1.Member, to string, size int) (*node, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messagesSent[from.GetPeerAddress()]++
	n.bytes[from.GetPeerAddress()] += size
	target := n.nodes[to]
	if target == nil || n.isLost(from.GetPeerAddress(), to) || n.partitioned(from, target.member) {
		return nil, 0
	}
	n.bytes[to] += size
	return target, n.delay
}

// isLost decides whether the next message between two addresses is lost, by a hash of the
// seed, the addresses and the number of messages between them. The order in which
// goroutines run thus doesn't matter.
func (n *testNetwork) isLost(from, to string) bool {
	pair := from + " " + to
	n.messageNumber[pair]++
	hash := xxhash.Sum64String(fmt.Sprintf("%d %s %d", n.seed, pair, n.messageNumber[pair]))
	return float64(hash)/math.MaxUint64 < n.loss
}

// kill stops an entry and drops all messages to it.
func (n *testNetwork) kill(victim *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, victim.member.GetPeerAddress())
	victim.stop()
}

// setPartition replaces the function that reports whether messages from one member to
// another are stopped.
func (n *testNetwork) setPartition(partitioned func(from, to *teaselv1.Member) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
}

func (n *testNetwork) resetCounts() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.bytes)
	clear(n.messagesSent)
}

// newMember returns the record of an entry with addresses derived from a number.
func newMember(name, domain string, number int) *teaselv1.Member {
	host := fmt.Sprintf("10.%d.%d.%d", number>>16&255, number>>8&255, number&255)
	return &teaselv1.Member{
		Name:            name,
		Incarnation:     1,
		Region:          "region-" + domain,
		FailureDomain:   domain,
		CallerAddress:   host + ":8080",
		PeerAddress:     host + ":8081",
		OperatorAddress: host + ":8082",
	}
}

// startDomains starts perDomain entries in each of the failure domains domain-0,
// domain-1 and so on. The entries are numbered from 1 across all domains.
func (n *testNetwork) startDomains(t *testing.T, group *sync.WaitGroup, domains, perDomain int) []*node {
	t.Helper()
	var members []*teaselv1.Member
	for domain := range domains {
		for range perDomain {
			number := len(members) + 1
			members = append(members, newMember(fmt.Sprintf("entry-%d", number), fmt.Sprintf("domain-%d", domain), number))
		}
	}
	return n.startNodes(t, group, members)
}

// startNodes starts all members, with the first seven as seeds.
func (n *testNetwork) startNodes(t *testing.T, group *sync.WaitGroup, members []*teaselv1.Member) []*node {
	t.Helper()
	var seeds []string
	for _, member := range members[:min(len(members), 7)] {
		seeds = append(seeds, member.GetPeerAddress())
	}
	var nodes []*node
	for _, member := range members {
		nodes = append(nodes, n.startNode(t, group, member, seeds))
	}
	return nodes
}

// sevenMembers returns entry-1 to entry-7 in the six failure domains a to f. The first two
// are in domain a, and each of the others is alone in its domain.
func sevenMembers() []*teaselv1.Member {
	var members []*teaselv1.Member
	for i, domain := range []string{"a", "a", "b", "c", "d", "e", "f"} {
		members = append(members, newMember(fmt.Sprintf("entry-%d", i+1), domain, i+1))
	}
	return members
}

// peerState returns the state of a peer as a node sees it.
func peerState(observer *node, name string) State {
	peer, _ := observer.roster.Peer(name)
	return peer.State
}

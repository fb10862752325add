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

// network joins rosters by function calls, with losses, delays and cuts.
type network struct {
	mu      sync.Mutex
	seed    uint64
	sent    map[string]int
	loss    float64
	delay   time.Duration
	nodes   map[string]*node
	cut     func(from, to *teaselv1.Member) bool
	bytes   map[string]int
	calls   map[string]int
	options []Option
}

type node struct {
	member *teaselv1.Member
	roster *Roster
	events *timeline.Ring
	stop   context.CancelFunc
}

var errLost = errors.New("lost")

func newNetwork(seed uint64, options ...Option) *network {
	return &network{
		seed:    seed,
		sent:    make(map[string]int),
		nodes:   make(map[string]*node),
		cut:     func(_, _ *teaselv1.Member) bool { return false },
		bytes:   make(map[string]int),
		calls:   make(map[string]int),
		options: options,
	}
}

// start runs an entry until the test ends or node.stop is called.
func (n *network) start(t *testing.T, group *sync.WaitGroup, member *teaselv1.Member, seeds []string) *node {
	t.Helper()
	clock := &timeline.Clock{}
	ctx, stop := context.WithCancel(t.Context())
	started := &node{
		member: member,
		events: timeline.NewRing(member.GetName(), 5000, clock),
		stop:   stop,
	}
	options := append([]Option{WithSeeds(seeds), WithTimeline(clock, started.events)}, n.options...)
	started.roster = New(member, n.caller(member), options...)
	n.mu.Lock()
	n.nodes[member.GetPeerAddress()] = started
	n.mu.Unlock()
	group.Go(func() { started.roster.Run(ctx) })
	return started
}

func (n *network) caller(from *teaselv1.Member) SendFunc {
	return func(ctx context.Context, address string, request *teaselv1.HeartbeatRequest) (*teaselv1.HeartbeatResponse, error) {
		target := n.carry(ctx, from, address, proto.Size(request))
		if target == nil {
			<-ctx.Done()
			return nil, errLost
		}
		response := target.roster.HandleHeartbeat(request)
		if n.carry(ctx, target.member, from.GetPeerAddress(), proto.Size(response)) == nil {
			<-ctx.Done()
			return nil, errLost
		}
		return response, nil
	}
}

// carry takes one message over, and returns its receiver if it arrived.
func (n *network) carry(ctx context.Context, from *teaselv1.Member, to string, size int) *node {
	target, delay := n.send(from, to, size)
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

func (n *network) send(from *teaselv1.Member, to string, size int) (*node, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls[from.GetPeerAddress()]++
	n.bytes[from.GetPeerAddress()] += size
	target := n.nodes[to]
	if target == nil || n.lose(from.GetPeerAddress(), to) || n.cut(from, target.member) {
		return nil, 0
	}
	n.bytes[to] += size
	return target, n.delay
}

// lose decides by the number of the message of a pair, so that the order in
// which tasks run doesn't matter.
func (n *network) lose(from, to string) bool {
	pair := from + " " + to
	n.sent[pair]++
	draw := xxhash.Sum64String(fmt.Sprintf("%d %s %d", n.seed, pair, n.sent[pair]))
	return float64(draw)/math.MaxUint64 < n.loss
}

// kill makes an entry vanish without a word.
func (n *network) kill(victim *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, victim.member.GetPeerAddress())
	victim.stop()
}

// setCut replaces which messages are cut off.
func (n *network) setCut(cut func(from, to *teaselv1.Member) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (n *network) resetCounts() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.bytes)
	clear(n.calls)
}

func member(name, domain string, number int) *teaselv1.Member {
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

// fleet starts entries over failure domains, all with the same few seeds.
func (n *network) fleet(t *testing.T, group *sync.WaitGroup, domains, perDomain int) []*node {
	t.Helper()
	var members []*teaselv1.Member
	for domain := range domains {
		for range perDomain {
			number := len(members) + 1
			members = append(members, member(fmt.Sprintf("entry-%d", number), fmt.Sprintf("domain-%d", domain), number))
		}
	}
	return n.startAll(t, group, members)
}

func (n *network) startAll(t *testing.T, group *sync.WaitGroup, members []*teaselv1.Member) []*node {
	t.Helper()
	var seeds []string
	for _, member := range members[:min(len(members), 7)] {
		seeds = append(seeds, member.GetPeerAddress())
	}
	var nodes []*node
	for _, member := range members {
		nodes = append(nodes, n.start(t, group, member, seeds))
	}
	return nodes
}

// today returns the seven entries of the brief, two in the first domain.
func today() []*teaselv1.Member {
	var members []*teaselv1.Member
	for i, domain := range []string{"a", "a", "b", "c", "d", "e", "f"} {
		members = append(members, member(fmt.Sprintf("entry-%d", i+1), domain, i+1))
	}
	return members
}

func state(observer *node, name string) State {
	peer, _ := observer.roster.Peer(name)
	return peer.State
}

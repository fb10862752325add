// Package membership keeps an entry's view of its peers by heartbeats, and
// carries the news of other packages with them.
package membership

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/timeline"
)

// State is what an entry believes of a peer.
type State string

// States of a peer.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Dead    State = "dead"
	// Cut means that the peer's whole failure domain is silent.
	Cut State = "cut"
)

// Peer is one other entry.
type Peer struct {
	Member *teaselv1.Member
	State  State
	// Heard is when the last news came straight from the peer.
	Heard time.Time
	// RoundTrip is the last heartbeat's.
	RoundTrip time.Duration
}

// Part lets another package send its news with the heartbeats. A nil function
// has nothing to say.
type Part struct {
	// Ask fills in what goes to a peer.
	Ask func(peer *teaselv1.Member, request *teaselv1.HeartbeatRequest)
	// Answer reads a peer's request and fills in the response.
	Answer func(request *teaselv1.HeartbeatRequest, response *teaselv1.HeartbeatResponse)
	// Learn reads a peer's response to a request sent at a time.
	Learn func(sent time.Time, response *teaselv1.HeartbeatResponse)
}

// Call sends one heartbeat to a peer's address.
type Call func(ctx context.Context, address string, request *teaselv1.HeartbeatRequest) (*teaselv1.HeartbeatResponse, error)

// Roster is the set of peers of one entry.
type Roster struct {
	call     Call
	interval time.Duration
	clock    *timeline.Clock
	events   *timeline.Ring
	parts    []Part
	seeds    []string

	mu    sync.Mutex
	self  *teaselv1.Member
	peers map[string]*Peer
	// tasks holds the addresses that have a heartbeat task.
	tasks map[string]bool
	group sync.WaitGroup
}

// Option sets up a Roster.
type Option func(*Roster)

// WithSeeds names addresses of peers to start from.
func WithSeeds(addresses []string) Option {
	return func(r *Roster) { r.seeds = addresses }
}

// WithInterval sets the time between two heartbeats to a peer.
func WithInterval(interval time.Duration) Option {
	return func(r *Roster) { r.interval = interval }
}

// WithPart adds a package's news.
func WithPart(part Part) Option {
	return func(r *Roster) { r.parts = append(r.parts, part) }
}

// WithTimeline records changes of members.
func WithTimeline(clock *timeline.Clock, events *timeline.Ring) Option {
	return func(r *Roster) {
		r.clock = clock
		r.events = events
	}
}

const (
	defaultInterval = 500 * time.Millisecond
	// suspectAfter and deadAfter are counted in heartbeat intervals.
	suspectAfter = 4
	deadAfter    = 10
	// attemptTimeouts bounds one heartbeat, in intervals.
	attemptTimeouts = 3
)

// New returns the roster of an entry, without peers yet.
func New(self *teaselv1.Member, call Call, options ...Option) *Roster {
	roster := &Roster{
		call:     call,
		interval: defaultInterval,
		clock:    &timeline.Clock{},
		self:     self,
		peers:    make(map[string]*Peer),
		tasks:    make(map[string]bool),
	}
	for _, option := range options {
		option(roster)
	}
	return roster
}

// Run sends heartbeats, one task for each peer, until ctx is done.
func (r *Roster) Run(ctx context.Context) {
	for _, address := range r.seeds {
		r.start(ctx, address)
	}
	ticker := time.NewTicker(r.interval)
	defer ticker.Stop()
	for {
		r.judge()
		for _, peer := range r.Peers() {
			r.start(ctx, peer.Member.GetPeerAddress())
		}
		select {
		case <-ctx.Done():
			r.group.Wait()
			return
		case <-ticker.C:
		}
	}
}

func (r *Roster) start(ctx context.Context, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if address == "" || address == r.self.GetPeerAddress() || r.tasks[address] {
		return
	}
	r.tasks[address] = true
	r.group.Go(func() { r.heartbeats(ctx, address) })
}

func (r *Roster) heartbeats(ctx context.Context, address string) {
	ticker := time.NewTicker(r.interval)
	defer ticker.Stop()
	for {
		r.heartbeat(ctx, address)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *Roster) heartbeat(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeouts*r.interval)
	defer cancel()
	now := r.clock.Now()
	request := &teaselv1.HeartbeatRequest{
		Sender:       r.Self(),
		ClockWallNs:  now.Wall,
		ClockLogical: now.Logical,
		Membership:   r.news(),
	}
	if peer := r.byAddress(address); peer != nil {
		for _, part := range r.parts {
			if part.Ask != nil {
				part.Ask(peer, request)
			}
		}
	}
	sent := time.Now()
	response, err := r.call(ctx, address, request)
	if err != nil {
		return
	}
	r.clock.Observe(timeline.Time{
		Wall:    response.GetClockWallNs(),
		Logical: response.GetClockLogical(),
	})
	r.heard(response.GetReceiver(), time.Since(sent))
	r.merge(response.GetMembership())
	for _, part := range r.parts {
		if part.Learn != nil {
			part.Learn(sent, response)
		}
	}
}

// Answer serves a peer's heartbeat.
func (r *Roster) Answer(request *teaselv1.HeartbeatRequest) *teaselv1.HeartbeatResponse {
	now := r.clock.Observe(timeline.Time{
		Wall:    request.GetClockWallNs(),
		Logical: request.GetClockLogical(),
	})
	r.heard(request.GetSender(), 0)
	r.merge(request.GetMembership())
	response := &teaselv1.HeartbeatResponse{
		Receiver:     r.Self(),
		ClockWallNs:  now.Wall,
		ClockLogical: now.Logical,
		Membership:   r.news(),
	}
	for _, part := range r.parts {
		if part.Answer != nil {
			part.Answer(request, response)
		}
	}
	return response
}

// Self returns the entry's own record.
func (r *Roster) Self() *teaselv1.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Update changes the entry's own record through a copy.
func (r *Roster) Update(change func(*teaselv1.Member)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := copyMember(r.self)
	change(next)
	next.Sequence++
	r.self = next
}

func copyMember(m *teaselv1.Member) *teaselv1.Member {
	return &teaselv1.Member{
		Name:                 m.GetName(),
		Incarnation:          m.GetIncarnation(),
		Region:               m.GetRegion(),
		FailureDomain:        m.GetFailureDomain(),
		CallerAddress:        m.GetCallerAddress(),
		PeerAddress:          m.GetPeerAddress(),
		OperatorAddress:      m.GetOperatorAddress(),
		Sequence:             m.GetSequence(),
		Stopping:             m.GetStopping(),
		ConfigurationVersion: m.GetConfigurationVersion(),
	}
}

// Peers returns a copy of all peers, in name order.
func (r *Roster) Peers() []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	peers := make([]Peer, 0, len(r.peers))
	for _, peer := range r.peers {
		peers = append(peers, *peer)
	}
	slices.SortFunc(peers, func(a, b Peer) int {
		return strings.Compare(a.Member.GetName(), b.Member.GetName())
	})
	return peers
}

// Peer returns a copy of a peer by name, and whether it is known.
func (r *Roster) Peer(name string) (Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	peer, known := r.peers[name]
	if !known {
		return Peer{}, false
	}
	return *peer, true
}

func (r *Roster) byAddress(address string) *teaselv1.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, peer := range r.peers {
		if peer.Member.GetPeerAddress() == address {
			return peer.Member
		}
	}
	return nil
}

// heard takes a member's own word over.
func (r *Roster) heard(member *teaselv1.Member, roundTrip time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if member.GetName() == "" || member.GetName() == r.self.GetName() {
		return
	}
	peer := r.take(member)
	if peer.Member.GetIncarnation() != member.GetIncarnation() {
		return
	}
	peer.Heard = time.Now()
	if roundTrip > 0 {
		peer.RoundTrip = roundTrip
	}
	r.setState(peer, Alive)
}

// merge takes over what a peer says of others.
func (r *Roster) merge(delta *teaselv1.MembershipDelta) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, member := range delta.GetMembers() {
		if member.GetName() != r.self.GetName() {
			r.take(member)
		}
	}
}

// take returns the peer of a member's name, brought up to the newer of the two
// records. The caller holds the lock.
func (r *Roster) take(member *teaselv1.Member) *Peer {
	peer, known := r.peers[member.GetName()]
	if !known {
		peer = &Peer{
			Member: member,
			State:  Suspect,
			Heard:  time.Now(),
		}
		r.peers[member.GetName()] = peer
		return peer
	}
	if newer(member, peer.Member) {
		peer.Member = member
	}
	return peer
}

func newer(a, b *teaselv1.Member) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetSequence() > b.GetSequence()
}

// news returns what the entry knows of its peers.
func (r *Roster) news() *teaselv1.MembershipDelta {
	delta := &teaselv1.MembershipDelta{}
	for _, peer := range r.Peers() {
		delta.Members = append(delta.Members, peer.Member)
	}
	return delta
}

// judge updates the states of silent peers.
func (r *Roster) judge() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, peer := range r.peers {
		silence := time.Since(peer.Heard)
		switch {
		case silence > deadAfter*r.interval:
			r.setState(peer, Dead)
		case silence > suspectAfter*r.interval:
			r.setState(peer, Suspect)
		}
	}
}

// setState changes a peer's state. The caller holds the lock.
func (r *Roster) setState(peer *Peer, state State) {
	if peer.State == state {
		return
	}
	peer.State = state
	r.events.Record(timeline.Event{
		Kind:   "member-" + string(state),
		Detail: "entry=" + peer.Member.GetName(),
	})
}

// Package membership keeps an entry's view of its peers by heartbeats, and
// carries the news of other packages with them.
//
// A small deployment is a full mesh: every entry hears every other. Beyond
// MeshLimit peers an entry watches the next ones of its failure domain in hash
// order, and a few relays of each failure domain exchange with those of the
// others. Member records travel as deltas, and are repaired by digests. The
// claims of death and their refutation are those of Das, Gupta and Motivala,
// "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol" (2002).
package membership

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

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
	// Partitioned means that the peer's whole failure domain is silent, while nothing
	// says that the peer itself died.
	Partitioned State = "cut"
)

// Peer is one other entry.
type Peer struct {
	Member *teaselv1.Member
	State  State
	// LastHeard is when the last news came straight from the peer.
	LastHeard time.Time
	// RoundTrip is the last heartbeat's.
	RoundTrip time.Duration

	// watchedSince is when heartbeats to the peer began.
	watchedSince time.Time
	// direct is set once the peer was heard itself.
	direct bool
	// dead is a claim that the member of this incarnation and sequence is dead.
	dead bool
	// heardBy names peers that say they hear this one, and when they said so.
	heardBy map[string]time.Time
	// revision is the roster's when the record last changed.
	revision uint64
}

// Extension lets another package send its news with the heartbeats. A nil function
// has nothing to say.
type Extension struct {
	// FillRequest fills in what goes to a peer.
	FillRequest func(peer *teaselv1.Member, request *teaselv1.HeartbeatRequest)
	// HandleRequest reads a peer's request and fills in the response.
	HandleRequest func(request *teaselv1.HeartbeatRequest, response *teaselv1.HeartbeatResponse)
	// HandleResponse reads a peer's response to a request sent at a time.
	HandleResponse func(sent time.Time, response *teaselv1.HeartbeatResponse)
}

// SendFunc sends one heartbeat to a peer's address.
type SendFunc func(ctx context.Context, address string, request *teaselv1.HeartbeatRequest) (*teaselv1.HeartbeatResponse, error)

// Roster is the set of peers of one entry.
type Roster struct {
	call       SendFunc
	interval   time.Duration
	clock      *timeline.Clock
	events     *timeline.Ring
	parts      []Extension
	seeds      []string
	meshLimit  int
	partners   func() []string
	listed     func(name string) (gone, known bool)
	superseded func(incarnation uint64)

	mu    sync.Mutex
	self  *teaselv1.Member
	peers map[string]*Peer
	// links holds what a pair of entries has exchanged, by the peer's name.
	links map[string]*link
	// revision counts changes of records; selfRevision is that of the own one.
	revision     uint64
	selfRevision uint64
	pulses       map[uint32]*pulse
	cutDomains   map[string]time.Time
	index        index
	// distant is the relay of another failure domain exchanged with at present.
	distant      *teaselv1.Member
	distantSince time.Time
	// alive is the answer of AliveMembers, nil after a change.
	alive []*teaselv1.Member
	// tasks holds the heartbeat tasks by address.
	tasks map[string]*task
	// unasked holds the seeds whose first heartbeat has not ended.
	unasked map[string]bool
	group   sync.WaitGroup
}

// Option sets up a Roster.
type Option func(*Roster)

// WithSeeds names addresses of peers to start from.
func WithSeeds(addresses []string) Option {
	return func(r *Roster) { r.seeds = addresses }
}

// WithHeartbeatInterval sets the time between two heartbeats to a peer.
func WithHeartbeatInterval(interval time.Duration) Option {
	return func(r *Roster) { r.interval = interval }
}

// WithExtension adds a package's news.
func WithExtension(part Extension) Option {
	return func(r *Roster) { r.parts = append(r.parts, part) }
}

// WithTimeline records changes of members.
func WithTimeline(clock *timeline.Clock, events *timeline.Ring) Option {
	return func(r *Roster) {
		r.clock = clock
		r.events = events
	}
}

// WithMeshLimit sets up to how many peers every peer is heard directly.
func WithMeshLimit(peers int) Option {
	return func(r *Roster) { r.meshLimit = peers }
}

// WithSeatPartners names peers that are heard directly whatever the size: homes
// and deputies of the same backend servers.
func WithSeatPartners(names func() []string) Option {
	return func(r *Roster) { r.partners = names }
}

// WithVMStatus asks the platform's list of VMs, which lags: whether it says that
// an entry is gone, and whether it knows it at all.
func WithVMStatus(listed func(name string) (gone, known bool)) Option {
	return func(r *Roster) { r.listed = listed }
}

// WithSuperseded is called when a process with a higher incarnation has this
// entry's seat.
func WithSuperseded(superseded func(incarnation uint64)) Option {
	return func(r *Roster) { r.superseded = superseded }
}

const (
	defaultInterval = 500 * time.Millisecond
	// defaultMeshLimit is how many peers an entry hears directly, all of them.
	defaultMeshLimit = 16
)

// New returns the roster of an entry, without peers yet.
func New(self *teaselv1.Member, call SendFunc, options ...Option) *Roster {
	roster := &Roster{
		call:       call,
		interval:   defaultInterval,
		meshLimit:  defaultMeshLimit,
		clock:      &timeline.Clock{},
		self:       self,
		peers:      make(map[string]*Peer),
		links:      make(map[string]*link),
		pulses:     make(map[uint32]*pulse),
		cutDomains: make(map[string]time.Time),
		tasks:      make(map[string]*task),
		unasked:    make(map[string]bool),
		revision:   1,
	}
	roster.selfRevision = roster.revision
	for _, option := range options {
		option(roster)
	}
	for _, address := range roster.seeds {
		if address != self.GetPeerAddress() {
			roster.unasked[address] = true
		}
	}
	return roster
}

// Self returns the entry's own record.
func (r *Roster) Self() *teaselv1.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// UpdateSelf changes the entry's own record through a copy. A change of the
// configuration version alone is told to direct peers only, so that a
// publication does not renew all records everywhere.
func (r *Roster) UpdateSelf(change func(*teaselv1.Member)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := proto.CloneOf(r.self)
	change(next)
	spread := proto.CloneOf(next)
	spread.ConfigurationVersion = r.self.GetConfigurationVersion()
	if !proto.Equal(spread, r.self) {
		r.revision++
		r.selfRevision = r.revision
		next.Sequence++
	}
	r.self = next
}

// SeedsContacted reports whether every seed was asked once.
func (r *Roster) SeedsContacted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.unasked) == 0
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

// AliveMembers returns the records of all peers that are alive, in name order.
// The slice is shared and must not be changed.
func (r *Roster) AliveMembers() []*teaselv1.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.alive != nil {
		return r.alive
	}
	r.alive = []*teaselv1.Member{}
	for _, peer := range r.peers {
		if peer.State == Alive {
			r.alive = append(r.alive, peer.Member)
		}
	}
	slices.SortFunc(r.alive, byName)
	return r.alive
}

func byName(a, b *teaselv1.Member) int {
	return strings.Compare(a.GetName(), b.GetName())
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

// PeerAddress returns the peers' address of an entry, or "".
func (r *Roster) PeerAddress(name string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if peer := r.peers[name]; peer != nil {
		return peer.Member.GetPeerAddress()
	}
	return ""
}

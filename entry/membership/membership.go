// Package membership maintains an entry's list of its peers and their states by
// heartbeats. Other packages can exchange their own data in the same heartbeats.
//
// In a small deployment every entry exchanges heartbeats with every other. With more
// peers than the mesh limit, an entry monitors only its successors, which are the next
// members of its failure domain in hash order, and the peers with a seat at the same
// backend servers. A few relays of each failure domain exchange heartbeats with relays
// of the other domains and with the entries of their own. Member records are sent as
// deltas, and anti-entropy finds the records that the deltas missed by comparing
// digests, and sends them. An entry declares a silent peer dead, and a running peer
// refutes that with a higher sequence number, as in Das, Gupta and Motivala, "SWIM:
// Scalable Weakly-consistent Infection-style Process Group Membership Protocol" (2002).
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

// State is the state of a peer as one entry sees it.
type State string

// States of a peer.
const (
	// Alive means that this entry hears the peer or, if it does not monitor the peer, that
	// the peer is neither declared dead nor in a partitioned failure domain.
	Alive State = "alive"
	// Suspect means that the peer has been silent for more than suspectIntervals, or was
	// reported by another member and has not been heard yet.
	Suspect State = "suspect"
	// Dead means that the peer has been silent for more than deadIntervals and appears to
	// have stopped or, if this entry does not monitor the peer, that a member has declared
	// the peer dead.
	Dead State = "dead"
	// Partitioned means that a network partition separates the peer's failure domain from
	// this entry's, and that the peer may well be running.
	Partitioned State = "cut"
)

// Peer is another entry as this one sees it.
type Peer struct {
	// Member is the newest known record of the peer.
	Member *teaselv1.Member
	State  State
	// LastHeard is when the last heartbeat or response came from the peer itself.
	LastHeard time.Time
	// RoundTrip is the round-trip time of the last heartbeat that the peer answered, or 0
	// if it has answered none.
	RoundTrip time.Duration

	// monitoredSince is when the heartbeat task for the peer's address was last started.
	// It is zero if the peer was not yet known then.
	monitoredSince time.Time
	// everHeard is set once a heartbeat or response has come from the peer itself. Until
	// then, LastHeard is when another member first reported the peer.
	everHeard bool
	// declaredDead is set if this entry or another has declared the member dead at the
	// incarnation and sequence of its record. A newer record of the member clears it.
	declaredDead bool
	// heardBy maps the name of each member that reports that it hears this peer directly
	// to the time of its last such report.
	heardBy map[string]time.Time
	// revision is the roster's revision of the last change of this record.
	revision uint64
}

// Extension lets another package exchange its own data in heartbeats. Each function
// may be nil.
type Extension struct {
	// FillRequest adds data to a request for a peer. It is not called for a request to an
	// address at which no member is known yet.
	FillRequest func(peer *teaselv1.Member, request *teaselv1.HeartbeatRequest)
	// HandleRequest reads the data in a peer's request and adds data to the response.
	HandleRequest func(request *teaselv1.HeartbeatRequest, response *teaselv1.HeartbeatResponse)
	// HandleResponse reads the data in a peer's response; sentAt is when the request was
	// sent.
	HandleResponse func(sentAt time.Time, response *teaselv1.HeartbeatResponse)
}

// SendFunc sends one heartbeat to a peer's address and returns the response.
type SendFunc func(ctx context.Context, address string, request *teaselv1.HeartbeatRequest) (*teaselv1.HeartbeatResponse, error)

// Roster is one entry's list of its peers. It sends heartbeats to them while Run runs.
type Roster struct {
	send              SendFunc
	heartbeatInterval time.Duration
	clock             *timeline.Clock
	events            *timeline.Ring
	extensions        []Extension
	seeds             []string
	meshLimit         int
	seatPartners      func() []string
	vmStatus          func(name string) (gone, known bool)
	onSuperseded      func(incarnation uint64)

	// mu guards the fields below, except group, and the Peers that they point to.
	// Unexported methods that use these without locking mu must be called with it held.
	mu   sync.Mutex
	self *teaselv1.Member
	// peers holds the other members by name.
	peers map[string]*Peer
	// syncStates holds what has been exchanged with each peer, by the peer's name.
	syncStates map[string]*syncState
	// revision counts the changes of all records. selfRevision is the value of revision
	// at the last change of this entry's own record.
	revision     uint64
	selfRevision uint64
	// livenessCounters holds the counters by the domainHash of their failure domains.
	livenessCounters map[uint32]*livenessCounter
	// partitionedDomains holds the failure domains that count as partitioned, and since
	// when.
	partitionedDomains map[string]time.Time
	index              memberIndex
	// remoteRelay is the relay of another failure domain to which this entry currently
	// sends heartbeats, and remoteRelaySince is when it was chosen.
	remoteRelay      *teaselv1.Member
	remoteRelaySince time.Time
	// aliveMembers caches the result of AliveMembers; nil after a change.
	aliveMembers []*teaselv1.Member
	// tasks holds the running heartbeat tasks by address.
	tasks map[string]*heartbeatTask
	// uncontactedSeeds holds the seeds whose first heartbeat has not yet been answered
	// or failed.
	uncontactedSeeds map[string]bool
	// deadWatches holds the calls of WatchDead that wait, by the peer's name.
	deadWatches map[string]map[*deadWatch]struct{}
	group       sync.WaitGroup
}

// Option configures a Roster.
type Option func(*Roster)

// WithSeeds sets the addresses at which an entry finds its first peers.
func WithSeeds(addresses []string) Option {
	return func(r *Roster) { r.seeds = addresses }
}

// WithHeartbeatInterval sets the time between two heartbeats to a monitored peer.
func WithHeartbeatInterval(interval time.Duration) Option {
	return func(r *Roster) { r.heartbeatInterval = interval }
}

// WithExtension adds another package's data to the heartbeats.
func WithExtension(extension Extension) Option {
	return func(r *Roster) { r.extensions = append(r.extensions, extension) }
}

// WithTimeline sets the clock that heartbeats synchronize, and the time line on which
// changes of peers' states are recorded.
func WithTimeline(clock *timeline.Clock, events *timeline.Ring) Option {
	return func(r *Roster) {
		r.clock = clock
		r.events = events
	}
}

// WithMeshLimit sets the largest number of peers with which the entries form a full
// mesh.
func WithMeshLimit(peers int) Option {
	return func(r *Roster) { r.meshLimit = peers }
}

// WithSeatPartners sets a function that returns the names of the peers with a seat, as
// home or deputy, at one of the same backend servers as this entry. The entry monitors
// them also above the mesh limit. The roster's lock is held during a call.
func WithSeatPartners(names func() []string) Option {
	return func(r *Roster) { r.seatPartners = names }
}

// WithVMStatus sets a function that reports whether an entry's VM is gone according to
// the platform's list of VMs, and whether the list has the VM at all. The list may be
// out of date. The roster's lock is held during a call.
func WithVMStatus(status func(name string) (gone, known bool)) Option {
	return func(r *Roster) { r.vmStatus = status }
}

// WithSuperseded sets a function that is called each time a peer reports a process with
// this entry's name and a higher incarnation. The roster's lock is held during the call.
func WithSuperseded(superseded func(incarnation uint64)) Option {
	return func(r *Roster) { r.onSuperseded = superseded }
}

const (
	defaultHeartbeatInterval = 500 * time.Millisecond
	// defaultMeshLimit is the default of WithMeshLimit, in peers of one entry.
	defaultMeshLimit = 16
)

// New returns the roster of the entry whose record is self. It has no peers yet.
func New(self *teaselv1.Member, send SendFunc, options ...Option) *Roster {
	roster := &Roster{
		send:               send,
		heartbeatInterval:  defaultHeartbeatInterval,
		meshLimit:          defaultMeshLimit,
		clock:              &timeline.Clock{},
		self:               self,
		peers:              make(map[string]*Peer),
		syncStates:         make(map[string]*syncState),
		livenessCounters:   make(map[uint32]*livenessCounter),
		partitionedDomains: make(map[string]time.Time),
		tasks:              make(map[string]*heartbeatTask),
		uncontactedSeeds:   make(map[string]bool),
		deadWatches:        make(map[string]map[*deadWatch]struct{}),
		revision:           1,
	}
	roster.selfRevision = roster.revision
	for _, option := range options {
		option(roster)
	}
	for _, address := range roster.seeds {
		if address != self.GetPeerAddress() {
			roster.uncontactedSeeds[address] = true
		}
	}
	return roster
}

// Self returns this entry's own record, which must not be changed.
func (r *Roster) Self() *teaselv1.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// UpdateSelf changes a copy of this entry's own record and replaces the record with it. A
// change of the configuration version alone raises neither the revision nor the sequence
// number: it reaches only the peers that this entry exchanges heartbeats with. Otherwise
// each publication would send every record to every entry.
func (r *Roster) UpdateSelf(change func(*teaselv1.Member)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := proto.CloneOf(r.self)
	change(next)
	exceptVersion := proto.CloneOf(next)
	exceptVersion.ConfigurationVersion = r.self.GetConfigurationVersion()
	if !proto.Equal(exceptVersion, r.self) {
		r.revision++
		r.selfRevision = r.revision
		next.Sequence++
	}
	r.self = next
}

// SeedsContacted reports whether a heartbeat to every seed has been answered or has
// failed.
func (r *Roster) SeedsContacted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.uncontactedSeeds) == 0
}

// Peers returns copies of all peers, in the order of their names.
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

// AliveMembers returns the records of all peers that are alive, in the order of their
// names. The slice is shared and must not be changed.
func (r *Roster) AliveMembers() []*teaselv1.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.aliveMembers != nil {
		return r.aliveMembers
	}
	r.aliveMembers = []*teaselv1.Member{}
	for _, peer := range r.peers {
		if peer.State == Alive {
			r.aliveMembers = append(r.aliveMembers, peer.Member)
		}
	}
	slices.SortFunc(r.aliveMembers, compareNames)
	return r.aliveMembers
}

// compareNames compares members by their names.
func compareNames(a, b *teaselv1.Member) int {
	return strings.Compare(a.GetName(), b.GetName())
}

// Peer returns a copy of the peer with a name, and whether it is known.
func (r *Roster) Peer(name string) (Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	peer, known := r.peers[name]
	if !known {
		return Peer{}, false
	}
	return *peer, true
}

// PeerAddress returns the address of a peer for calls from other entries, or "" if the
// peer is not known.
func (r *Roster) PeerAddress(name string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if peer := r.peers[name]; peer != nil {
		return peer.Member.GetPeerAddress()
	}
	return ""
}

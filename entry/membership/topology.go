package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/timeline"
)

const (
	// successorCount is how many other entries of its failure domain an entry monitors,
	// not counting those that are declared dead.
	successorCount = 2
	// relaysPerDomain is how many entries of each failure domain are its relays, which
	// exchange heartbeats with the relays of other domains.
	relaysPerDomain = 2
	// remoteRelayIntervals is the time between two heartbeats from a relay to a relay of
	// another failure domain, in heartbeat intervals. The relay chooses a new remote relay
	// as often.
	remoteRelayIntervals = 4
	// ownRelayIntervals is the time between two heartbeats from an entry to a relay of its
	// own failure domain, in heartbeat intervals.
	ownRelayIntervals = 8
	// domainTimeoutIntervals is the time without an increase of a failure domain's
	// liveness counter after which the domain counts as partitioned, in heartbeat
	// intervals.
	domainTimeoutIntervals = 60
	// livenessCounterUnit is the unit of liveness counters. A relay sets its failure
	// domain's counter to its wall clock time.
	livenessCounterUnit = time.Second
)

// livenessCounter is the highest known value of a failure domain's liveness counter,
// which the domain's relays raise while they run. Relays exchange the counters in the
// fields Pulsed and Pulses of a MembershipDelta.
type livenessCounter struct {
	value uint32
	// increasedAt is when this entry last saw value increase.
	increasedAt time.Time
}

// isFullMesh reports whether this entry exchanges heartbeats with every peer.
func (r *Roster) isFullMesh() bool {
	return len(r.peers) <= r.meshLimit
}

// monitors reports whether this entry determines a peer's state by its own heartbeats,
// not by what others report.
func (r *Roster) monitors(peer *Peer) bool {
	if r.isFullMesh() {
		return true
	}
	task := r.tasks[peer.Member.GetPeerAddress()]
	return task != nil && task.interval == r.heartbeatInterval
}

// heartbeatTargets returns the addresses to send heartbeats to, with the interval for
// each. If several reasons apply to an address, it gets the shortest of their intervals.
// The caller must hold r.mu.
func (r *Roster) heartbeatTargets() map[string]time.Duration {
	targets := make(map[string]time.Duration)
	if len(r.peers) == 0 || r.isFullMesh() {
		for _, address := range r.seeds {
			targets[address] = r.heartbeatInterval
		}
		for _, peer := range r.peers {
			targets[peer.Member.GetPeerAddress()] = r.heartbeatInterval
		}
		return targets
	}
	successors := r.successors()
	for _, relay := range r.relaysOf(r.self.GetFailureDomain()) {
		targets[relay.GetPeerAddress()] = ownRelayIntervals * r.heartbeatInterval
	}
	if r.selfIsRelay() {
		if remoteRelay := r.currentRemoteRelay(); remoteRelay != nil {
			targets[remoteRelay.GetPeerAddress()] = remoteRelayIntervals * r.heartbeatInterval
		}
	}
	for _, member := range successors {
		targets[member.GetPeerAddress()] = r.heartbeatInterval
	}
	r.addSeatPartners(targets)
	delete(targets, r.self.GetPeerAddress())
	return targets
}

// addSeatPartners adds the peers with a seat at the same backend servers to targets.
func (r *Roster) addSeatPartners(targets map[string]time.Duration) {
	if r.seatPartners == nil {
		return
	}
	for _, name := range r.seatPartners() {
		if peer := r.peers[name]; peer != nil {
			targets[peer.Member.GetPeerAddress()] = r.heartbeatInterval
		}
	}
}

// successors returns the members of this entry's failure domain that follow it in hash
// order: the next successorCount that are not declared dead, and any members between
// them that are.
func (r *Roster) successors() []*teaselv1.Member {
	domain := r.domainMembers(r.self.GetFailureDomain())
	ownIndex := slices.IndexFunc(domain, func(m *teaselv1.Member) bool { return m.GetName() == r.self.GetName() })
	var following []*teaselv1.Member
	notDead := 0
	for i := 1; i < len(domain) && notDead < successorCount; i++ {
		member := domain[(ownIndex+i)%len(domain)]
		following = append(following, member)
		if peer := r.peers[member.GetName()]; !peer.declaredDead {
			notDead++
		}
	}
	return following
}

// relaysOf returns the relays of a failure domain: its first relaysPerDomain members in
// hash order that are neither suspect nor dead.
func (r *Roster) relaysOf(domain string) []*teaselv1.Member {
	var relays []*teaselv1.Member
	for _, member := range r.domainMembers(domain) {
		peer := r.peers[member.GetName()]
		if peer != nil && (peer.declaredDead || peer.State == Dead || peer.State == Suspect) {
			continue
		}
		if relays = append(relays, member); len(relays) == relaysPerDomain {
			break
		}
	}
	return relays
}

// selfIsRelay reports whether this entry is a relay of its failure domain.
func (r *Roster) selfIsRelay() bool {
	return r.isRelay(r.self)
}

// currentRemoteRelay returns a random relay of a random other failure domain, or nil if
// it finds none. It chooses a new one every remoteRelayIntervals heartbeat intervals.
func (r *Roster) currentRemoteRelay() *teaselv1.Member {
	if time.Since(r.remoteRelaySince) < remoteRelayIntervals*r.heartbeatInterval && r.remoteRelay != nil {
		return r.remoteRelay
	}
	r.remoteRelay = nil
	r.remoteRelaySince = time.Now()
	names := r.otherDomains()
	if len(names) == 0 {
		return nil
	}
	if relays := r.relaysOf(names[rand.IntN(len(names))]); len(relays) > 0 {
		r.remoteRelay = relays[rand.IntN(len(relays))]
	}
	return r.remoteRelay
}

// updateDomains raises the liveness counter of this entry's failure domain, and marks
// the other domains as partitioned or connected by the time since their counters last
// increased. It does nothing in a full mesh and in entries that are not relays.
func (r *Roster) updateDomains() {
	if r.isFullMesh() || !r.selfIsRelay() {
		return
	}
	own := r.self.GetFailureDomain()
	r.observeCounter(domainHash(own), uint32(time.Now().UnixNano()/int64(livenessCounterUnit)))
	for _, name := range r.otherDomains() {
		counter := r.livenessCounters[domainHash(name)]
		if counter == nil {
			continue
		}
		stalled := time.Since(counter.increasedAt) > domainTimeoutIntervals*r.heartbeatInterval
		if _, partitioned := r.partitionedDomains[name]; partitioned != stalled {
			r.setPartitioned(name, stalled)
		}
	}
}

// domainHash returns the hash that identifies a failure domain among liveness counters.
func domainHash(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// observeCounter records a value of a failure domain's liveness counter if it is higher
// than the known one.
func (r *Roster) observeCounter(domain, value uint32) {
	counter := r.livenessCounters[domain]
	if counter == nil {
		counter = &livenessCounter{}
		r.livenessCounters[domain] = counter
	}
	if value > counter.value {
		counter.value = value
		counter.increasedAt = time.Now()
	}
}

// setPartitioned marks a failure domain as partitioned or connected and records an
// event.
func (r *Roster) setPartitioned(domain string, partitioned bool) {
	kind := "domain-connected"
	delete(r.partitionedDomains, domain)
	if partitioned {
		kind = "domain-cut"
		r.partitionedDomains[domain] = time.Now()
	}
	r.events.Record(timeline.Event{
		Kind:   kind,
		Detail: "failure-domain=" + domain,
	})
}

// addRelayData adds to a delta what only relays send. A receiver in this entry's failure
// domain gets the set of partitioned failure domains. A receiver that is a relay, of any
// failure domain, gets the liveness counters, at most every remoteRelayIntervals heartbeat
// intervals.
func (r *Roster) addRelayData(to *teaselv1.Member, state *syncState, delta *teaselv1.MembershipDelta) {
	if r.isFullMesh() || !r.selfIsRelay() {
		return
	}
	if to.GetFailureDomain() == r.self.GetFailureDomain() {
		delta.Relay = true
		delta.Cut = slices.Sorted(maps.Keys(r.partitionedDomains))
	}
	if time.Since(state.countersSentAt) < remoteRelayIntervals*r.heartbeatInterval || !r.isRelay(to) {
		return
	}
	state.countersSentAt = time.Now()
	for domain, counter := range r.livenessCounters {
		delta.Pulsed = append(delta.Pulsed, domain)
		delta.Pulses = append(delta.Pulses, counter.value)
	}
}

// isRelay reports whether a member is a relay of its failure domain.
func (r *Roster) isRelay(member *teaselv1.Member) bool {
	return slices.ContainsFunc(r.relaysOf(member.GetFailureDomain()), func(m *teaselv1.Member) bool {
		return m.GetName() == member.GetName()
	})
}

// applyRelayData applies the data that a peer's addRelayData added to a delta. All
// entries keep the highest values of the liveness counters. Entries that are not relays
// also adopt the relay's set of partitioned failure domains.
func (r *Roster) applyRelayData(delta *teaselv1.MembershipDelta) {
	for i, domain := range delta.GetPulsed() {
		if i < len(delta.GetPulses()) {
			r.observeCounter(domain, delta.GetPulses()[i])
		}
	}
	if !delta.GetRelay() || r.isFullMesh() || r.selfIsRelay() {
		return
	}
	for name := range r.partitionedDomains {
		if !slices.Contains(delta.GetCut(), name) {
			r.setPartitioned(name, false)
		}
	}
	for _, name := range delta.GetCut() {
		if _, known := r.partitionedDomains[name]; !known {
			r.setPartitioned(name, true)
		}
	}
}

// FirstInDomain reports whether this entry's name comes, in string order, before those of
// all peers of its failure domain that are alive and not stopping.
func (r *Roster) FirstInDomain() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, member := range r.domainMembers(r.self.GetFailureDomain()) {
		peer := r.peers[member.GetName()]
		if peer != nil && peer.State == Alive && !member.GetStopping() && member.GetName() < r.self.GetName() {
			return false
		}
	}
	return true
}

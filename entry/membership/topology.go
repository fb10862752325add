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
	// successors is how many entries of its failure domain an entry watches.
	successors = 2
	// relays is how many entries of a failure domain exchange with others.
	relays = 2
	// relayPace and memberPace are the times between two exchanges of relays
	// with each other and of an entry with its relays, in heartbeat intervals.
	relayPace  = 4
	memberPace = 8
	// domainCutAfter is how long a failure domain's pulse stands still before it
	// counts as cut, in heartbeat intervals.
	domainCutAfter = 60
	// pulseUnit is the time by which a count of a pulse grows by one.
	pulseUnit = time.Second
)

// pulse is the last count seen of a failure domain.
type pulse struct {
	count uint32
	grown time.Time
}

// meshed reports whether every peer is heard directly.
func (r *Roster) meshed() bool {
	return len(r.peers) <= r.meshLimit
}

// watched reports whether this entry judges a peer by its own ear.
func (r *Roster) watched(peer *Peer) bool {
	if r.meshed() {
		return true
	}
	running := r.tasks[peer.Member.GetPeerAddress()]
	return running != nil && running.interval == r.interval
}

// targets returns the addresses to send heartbeats to, and how often. The
// caller holds the lock.
func (r *Roster) targets() map[string]time.Duration {
	targets := make(map[string]time.Duration)
	if len(r.peers) == 0 || r.meshed() {
		for _, address := range r.seeds {
			targets[address] = r.interval
		}
		for _, peer := range r.peers {
			targets[peer.Member.GetPeerAddress()] = r.interval
		}
		return targets
	}
	neighbours := r.neighbours()
	for _, relay := range r.relaysOf(r.self.GetFailureDomain()) {
		targets[relay.GetPeerAddress()] = memberPace * r.interval
	}
	if r.isRelay() {
		if other := r.distantRelay(); other != nil {
			targets[other.GetPeerAddress()] = relayPace * r.interval
		}
	}
	for _, member := range neighbours {
		targets[member.GetPeerAddress()] = r.interval
	}
	r.addPartners(targets)
	delete(targets, r.self.GetPeerAddress())
	return targets
}

// addPartners adds the peers that hold seats at the same backend servers.
func (r *Roster) addPartners(targets map[string]time.Duration) {
	if r.partners == nil {
		return
	}
	for _, name := range r.partners() {
		if peer := r.peers[name]; peer != nil {
			targets[peer.Member.GetPeerAddress()] = r.interval
		}
	}
}

// neighbours returns the next members of the own failure domain in hash order,
// beyond those already found dead.
func (r *Roster) neighbours() []*teaselv1.Member {
	domain := r.domain(r.self.GetFailureDomain())
	own := slices.IndexFunc(domain, func(m *teaselv1.Member) bool { return m.GetName() == r.self.GetName() })
	var next []*teaselv1.Member
	living := 0
	for i := 1; i < len(domain) && living < successors; i++ {
		member := domain[(own+i)%len(domain)]
		next = append(next, member)
		if peer := r.peers[member.GetName()]; !peer.dead {
			living++
		}
	}
	return next
}

// relaysOf returns the relays of a failure domain: the first ones in hash
// order that are not believed dead.
func (r *Roster) relaysOf(domain string) []*teaselv1.Member {
	var chosen []*teaselv1.Member
	for _, member := range r.domain(domain) {
		peer := r.peers[member.GetName()]
		if peer != nil && (peer.dead || peer.State == Dead || peer.State == Suspect) {
			continue
		}
		if chosen = append(chosen, member); len(chosen) == relays {
			break
		}
	}
	return chosen
}

func (r *Roster) isRelay() bool {
	return r.relayOf(r.self)
}

// distantRelay returns some relay of some other failure domain, another one
// every relayPace intervals.
func (r *Roster) distantRelay() *teaselv1.Member {
	if time.Since(r.distantSince) < relayPace*r.interval && r.distant != nil {
		return r.distant
	}
	r.distant = nil
	r.distantSince = time.Now()
	names := r.otherDomains()
	if len(names) == 0 {
		return nil
	}
	if found := r.relaysOf(names[rand.IntN(len(names))]); len(found) > 0 {
		r.distant = found[rand.IntN(len(found))]
	}
	return r.distant
}

// judgeDomains lets the own failure domain's pulse grow, and finds the others
// whose pulse stands still. Only relays see pulses.
func (r *Roster) judgeDomains() {
	if r.meshed() || !r.isRelay() {
		return
	}
	own := r.self.GetFailureDomain()
	r.feel(domainHash(own), uint32(time.Now().UnixNano()/int64(pulseUnit)))
	for _, name := range r.otherDomains() {
		pulse := r.pulses[domainHash(name)]
		if pulse == nil {
			continue
		}
		still := time.Since(pulse.grown) > domainCutAfter*r.interval
		if _, cut := r.cutDomains[name]; cut != still {
			r.setCut(name, still)
		}
	}
}

// domainHash stands for a failure domain's name in pulses.
func domainHash(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// feel takes a failure domain's pulse over.
func (r *Roster) feel(domain, count uint32) {
	known := r.pulses[domain]
	if known == nil {
		known = &pulse{}
		r.pulses[domain] = known
	}
	if count > known.count {
		known.count = count
		known.grown = time.Now()
	}
}

func (r *Roster) setCut(domain string, cut bool) {
	kind := "domain-connected"
	delete(r.cutDomains, domain)
	if cut {
		kind = "domain-cut"
		r.cutDomains[domain] = time.Now()
	}
	r.events.Record(timeline.Event{
		Kind:   kind,
		Detail: "failure-domain=" + domain,
	})
}

// addRelayNews adds pulses for relays, and the domains that are cut for entries
// of the own one.
func (r *Roster) addRelayNews(to *teaselv1.Member, known *link, delta *teaselv1.MembershipDelta) {
	if r.meshed() || !r.isRelay() {
		return
	}
	if to.GetFailureDomain() == r.self.GetFailureDomain() {
		delta.Relay = true
		delta.Cut = slices.Sorted(maps.Keys(r.cutDomains))
	}
	if time.Since(known.pulsed) < relayPace*r.interval || !r.relayOf(to) {
		return
	}
	known.pulsed = time.Now()
	for domain, pulse := range r.pulses {
		delta.Pulsed = append(delta.Pulsed, domain)
		delta.Pulses = append(delta.Pulses, pulse.count)
	}
}

// relayOf reports whether a member is a relay of its failure domain.
func (r *Roster) relayOf(member *teaselv1.Member) bool {
	return slices.ContainsFunc(r.relaysOf(member.GetFailureDomain()), func(m *teaselv1.Member) bool {
		return m.GetName() == member.GetName()
	})
}

// takeRelayNews reads what addRelayNews wrote.
func (r *Roster) takeRelayNews(delta *teaselv1.MembershipDelta) {
	for i, domain := range delta.GetPulsed() {
		if i < len(delta.GetPulses()) {
			r.feel(domain, delta.GetPulses()[i])
		}
	}
	if !delta.GetRelay() || r.meshed() || r.isRelay() {
		return
	}
	for name := range r.cutDomains {
		if !slices.Contains(delta.GetCut(), name) {
			r.setCut(name, false)
		}
	}
	for _, name := range delta.GetCut() {
		if _, known := r.cutDomains[name]; !known {
			r.setCut(name, true)
		}
	}
}

// FirstInDomain reports whether this entry comes first by name among the entries of
// its failure domain that are alive and not stopping.
func (r *Roster) FirstInDomain() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, member := range r.domain(r.self.GetFailureDomain()) {
		peer := r.peers[member.GetName()]
		if peer != nil && peer.State == Alive && !member.GetStopping() && member.GetName() < r.self.GetName() {
			return false
		}
	}
	return true
}

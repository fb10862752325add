package membership

import (
	"time"

	"github.com/teaselstack/teaselstack/timeline"
)

const (
	// suspectIntervals is the number of heartbeat intervals after which a silent peer is
	// suspect.
	suspectIntervals = 6
	// deadIntervals is the number of heartbeat intervals after which a silent peer is
	// dead or partitioned.
	deadIntervals = 12
)

// updateStates updates the states of all peers and failure domains. It never makes a
// monitored peer alive again: recordContact does that.
func (r *Roster) updateStates() {
	r.mu.Lock()
	defer r.mu.Unlock()
	silences := r.countSilentPeers()
	isolated := r.isolated(silences)
	for _, peer := range r.peers {
		domain := peer.Member.GetFailureDomain()
		switch silence := peer.silentFor(); {
		case !r.monitors(peer):
			r.setState(peer, r.gossipedState(peer))
		case silence <= suspectIntervals*r.heartbeatInterval:
			continue
		case silence <= deadIntervals*r.heartbeatInterval:
			r.setState(peer, Suspect)
		default:
			r.setState(peer, r.deadOrPartitioned(peer, silences[domain], isolated))
		}
	}
	r.updateDomains()
}

// silentFor returns the time since a peer was last heard or since its monitoring began,
// whichever is shorter.
func (p *Peer) silentFor() time.Duration {
	return min(time.Since(p.LastHeard), time.Since(p.monitoredSince))
}

// domainSilence counts the peers of a failure domain that this entry monitors, and
// those of them that have been silent for more than suspectIntervals.
type domainSilence struct {
	monitored int
	silent    int
}

// allSilent reports whether at least one peer of the failure domain is monitored and
// all monitored ones are silent.
func (d domainSilence) allSilent() bool {
	return d.monitored > 0 && d.silent == d.monitored
}

// countSilentPeers returns the counts of all failure domains with monitored peers.
func (r *Roster) countSilentPeers() map[string]domainSilence {
	silences := make(map[string]domainSilence)
	for _, peer := range r.peers {
		if !r.monitors(peer) {
			continue
		}
		domain := silences[peer.Member.GetFailureDomain()]
		domain.monitored++
		if peer.silentFor() > suspectIntervals*r.heartbeatInterval {
			domain.silent++
		}
		silences[peer.Member.GetFailureDomain()] = domain
	}
	return silences
}

// isolated reports whether this entry itself appears to be partitioned: it monitors
// peers in two or more other failure domains and hears none of these peers.
func (r *Roster) isolated(silences map[string]domainSilence) bool {
	silentDomains := 0
	for name, domain := range silences {
		if name == r.self.GetFailureDomain() {
			continue
		}
		if !domain.allSilent() {
			return false
		}
		silentDomains++
	}
	return silentDomains > 1
}

// deadOrPartitioned returns the state of a peer that has been silent for more than
// deadIntervals, by the first of these rules that applies:
//   - Dead if the peer is in this entry's own failure domain, or if this entry hears
//     another peer of the peer's domain.
//   - Partitioned if this entry is isolated or other entries hear the peer.
//   - Dead if the platform's list of VMs says that the peer's VM is gone.
//   - Partitioned if this entry monitors several peers of the peer's domain.
//   - Partitioned if the list has the VM.
//   - Dead otherwise.
//
// The list may be out of date, so it only helps to choose between the two states: a
// peer that is heard stays alive whatever the list says.
func (r *Roster) deadOrPartitioned(peer *Peer, domain domainSilence, isolated bool) State {
	if peer.Member.GetFailureDomain() == r.self.GetFailureDomain() || !domain.allSilent() {
		return Dead
	}
	if isolated || r.heardByOthers(peer) {
		return Partitioned
	}
	gone, known := false, false
	if r.vmStatus != nil {
		gone, known = r.vmStatus(peer.Member.GetName())
	}
	switch {
	case known && gone:
		return Dead
	case domain.monitored > 1:
		return Partitioned
	case known:
		return Partitioned
	}
	return Dead
}

// heardByOthers reports whether some peer that this entry hears reports that it hears
// the given peer.
func (r *Roster) heardByOthers(peer *Peer) bool {
	for name := range peer.heardBy {
		if reporter := r.peers[name]; reporter != nil && r.hearsDirectly(reporter) {
			return true
		}
	}
	return false
}

// hearsDirectly reports whether a heartbeat or response has come from the peer itself
// within suspectIntervals.
func (r *Roster) hearsDirectly(peer *Peer) bool {
	return peer.everHeard && time.Since(peer.LastHeard) <= suspectIntervals*r.heartbeatInterval
}

// gossipedState returns the state of a peer that this entry does not monitor. It follows
// from whether the peer has been declared dead and from the partitioned failure domains.
func (r *Roster) gossipedState(peer *Peer) State {
	_, partitioned := r.partitionedDomains[peer.Member.GetFailureDomain()]
	switch {
	case peer.declaredDead:
		return Dead
	case partitioned:
		return Partitioned
	}
	return Alive
}

// deadWatch is a call of WatchDead.
type deadWatch struct {
	onDead func()
}

// WatchDead calls onDead once when the peer with a name becomes dead, at once if it is. The
// roster's lock is held during the call. No call begins after stop has returned.
func (r *Roster) WatchDead(name string, onDead func()) (stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if peer := r.peers[name]; peer != nil && peer.State == Dead {
		onDead()
		return func() {}
	}
	watch := &deadWatch{
		onDead: onDead,
	}
	if r.deadWatches[name] == nil {
		r.deadWatches[name] = make(map[*deadWatch]struct{})
	}
	r.deadWatches[name][watch] = struct{}{}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.deadWatches[name], watch)
	}
}

// notifyDead calls the functions that watch a peer that has become dead.
func (r *Roster) notifyDead(name string) {
	for watch := range r.deadWatches[name] {
		watch.onDead()
	}
	delete(r.deadWatches, name)
}

// setState changes a peer's state and records an event. A change to Dead also sets
// declaredDead if this entry monitors the peer, unless the entries form a full mesh. The
// next deltas contain the peer's record if its state changed from or to Alive, or if
// declaredDead was set. The caller must hold r.mu.
func (r *Roster) setState(peer *Peer, state State) {
	if peer.State == state {
		return
	}
	changed := peer.State == Alive || state == Alive
	peer.State = state
	if state == Dead && !peer.declaredDead && !r.isFullMesh() && r.monitors(peer) {
		peer.declaredDead = true
		changed = true
	}
	if changed {
		r.markChanged(peer)
	}
	if state == Dead {
		r.notifyDead(peer.Member.GetName())
	}
	r.aliveMembers = nil
	r.events.Record(timeline.Event{
		Kind:   "member-" + string(state),
		Detail: "entry=" + peer.Member.GetName(),
	})
}

package membership

import (
	"time"

	"github.com/teaselstack/teaselstack/timeline"
)

// Silences after which a peer is judged, in heartbeat intervals.
const (
	suspectAfter = 6
	deadAfter    = 12
)

// judge updates the states of all peers.
func (r *Roster) judge() {
	r.mu.Lock()
	defer r.mu.Unlock()
	silent := r.silentDomains()
	isolated := r.isolated(silent)
	for _, peer := range r.peers {
		domain := peer.Member.GetFailureDomain()
		switch silence := peer.silence(); {
		case !r.watched(peer):
			r.setState(peer, r.told(peer))
		case silence <= suspectAfter*r.interval:
			continue
		case silence <= deadAfter*r.interval:
			r.setState(peer, Suspect)
		default:
			r.setState(peer, r.silentState(peer, silent[domain], isolated))
		}
	}
	r.judgeDomains()
}

// silence is how long a peer that is watched has been silent.
func (p *Peer) silence() time.Duration {
	return min(time.Since(p.LastHeard), time.Since(p.watchedSince))
}

// domainSilence counts the peers of a failure domain that this entry watches,
// and those of them that are silent.
type domainSilence struct {
	watched int
	silent  int
}

func (d domainSilence) all() bool {
	return d.watched > 0 && d.silent == d.watched
}

func (r *Roster) silentDomains() map[string]domainSilence {
	silences := make(map[string]domainSilence)
	for _, peer := range r.peers {
		if !r.watched(peer) {
			continue
		}
		domain := silences[peer.Member.GetFailureDomain()]
		domain.watched++
		if peer.silence() > suspectAfter*r.interval {
			domain.silent++
		}
		silences[peer.Member.GetFailureDomain()] = domain
	}
	return silences
}

// isolated reports whether several failure domains are watched and none is
// heard but the own: then it is this entry that is cut off.
func (r *Roster) isolated(silences map[string]domainSilence) bool {
	others := 0
	for name, domain := range silences {
		if name == r.self.GetFailureDomain() {
			continue
		}
		if !domain.all() {
			return false
		}
		others++
	}
	return others > 1
}

// silentState tells a dead peer from one that is cut off. A peer of the own
// failure domain, or one with neighbours that are heard, is dead. A whole
// domain of several peers is cut. Of a single one the entries elsewhere say
// whether they hear it, and the platform's list whether its VM is still there;
// the list lags, so it only chooses between the two words.
func (r *Roster) silentState(peer *Peer, domain domainSilence, isolated bool) State {
	if peer.Member.GetFailureDomain() == r.self.GetFailureDomain() || !domain.all() {
		return Dead
	}
	if isolated || r.heardElsewhere(peer) {
		return Partitioned
	}
	gone, known := false, false
	if r.listed != nil {
		gone, known = r.listed(peer.Member.GetName())
	}
	switch {
	case known && gone:
		return Dead
	case domain.watched > 1:
		return Partitioned
	case known:
		return Partitioned
	}
	return Dead
}

// heardElsewhere reports whether a peer that is heard itself says that it
// hears another.
func (r *Roster) heardElsewhere(peer *Peer) bool {
	for name := range peer.heardBy {
		if witness := r.peers[name]; witness != nil && r.hears(witness) {
			return true
		}
	}
	return false
}

// hears reports whether there is fresh news straight from a peer.
func (r *Roster) hears(peer *Peer) bool {
	return peer.direct && time.Since(peer.LastHeard) <= suspectAfter*r.interval
}

// told is the state of a peer that this entry does not watch itself.
func (r *Roster) told(peer *Peer) State {
	_, cut := r.cutDomains[peer.Member.GetFailureDomain()]
	switch {
	case peer.dead:
		return Dead
	case cut:
		return Partitioned
	}
	return Alive
}

// setState changes a peer's state. The caller holds the lock.
func (r *Roster) setState(peer *Peer, state State) {
	if peer.State == state {
		return
	}
	changed := peer.State == Alive || state == Alive
	peer.State = state
	if state == Dead && !peer.dead && !r.meshed() && r.watched(peer) {
		peer.dead = true
		changed = true
	}
	if changed {
		r.touch(peer)
	}
	r.alive = nil
	r.events.Record(timeline.Event{
		Kind:   "member-" + string(state),
		Detail: "entry=" + peer.Member.GetName(),
	})
}

package membership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
)

// memberIndex holds the members by failure domain and by address. It is rebuilt at the
// next use after a peer was added or its record was replaced by a newer one, but not after
// UpdateSelf, so its copy of this entry's own record may be older than Roster.self.
type memberIndex struct {
	// valid is false while the index must be rebuilt before use.
	valid bool
	// byDomain holds the members of each failure domain, this entry included, in the
	// order of the hashes of their names.
	byDomain map[string][]*teaselv1.Member
	// domainNames holds the sorted names of the failure domains.
	domainNames []string
	// byAddress holds the peers by their peer address.
	byAddress map[string][]*Peer
}

// currentIndex returns the index, rebuilt if it isn't valid. The caller must hold r.mu.
func (r *Roster) currentIndex() *memberIndex {
	if r.index.valid {
		return &r.index
	}
	r.index = memberIndex{
		valid:     true,
		byDomain:  make(map[string][]*teaselv1.Member),
		byAddress: make(map[string][]*Peer),
	}
	r.forEachRecord(func(member *teaselv1.Member, _ bool) {
		domain := member.GetFailureDomain()
		r.index.byDomain[domain] = append(r.index.byDomain[domain], member)
	})
	for _, peer := range r.peers {
		address := peer.Member.GetPeerAddress()
		r.index.byAddress[address] = append(r.index.byAddress[address], peer)
	}
	for _, members := range r.index.byDomain {
		slices.SortFunc(members, func(a, b *teaselv1.Member) int {
			return cmp.Compare(xxhash.Sum64String(a.GetName()), xxhash.Sum64String(b.GetName()))
		})
	}
	r.index.domainNames = slices.Sorted(maps.Keys(r.index.byDomain))
	return &r.index
}

// domainMembers returns the members of a failure domain in hash order.
func (r *Roster) domainMembers(name string) []*teaselv1.Member {
	return r.currentIndex().byDomain[name]
}

// otherDomains returns the names of all failure domains except this entry's own.
func (r *Roster) otherDomains() []string {
	return slices.DeleteFunc(slices.Clone(r.currentIndex().domainNames), func(name string) bool {
		return name == r.self.GetFailureDomain()
	})
}

// peerAt returns the peer at an address, or nil. If several members have had the
// address, it returns the one heard from most recently. The caller must hold r.mu.
func (r *Roster) peerAt(address string) *Peer {
	var found *Peer
	for _, peer := range r.currentIndex().byAddress[address] {
		if found == nil || peer.LastHeard.After(found.LastHeard) {
			found = peer
		}
	}
	return found
}

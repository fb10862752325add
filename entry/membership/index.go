package membership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
)

// index finds members by failure domain and address. It is built anew after a
// change of records.
type index struct {
	valid     bool
	domains   map[string][]*teaselv1.Member
	names     []string
	addresses map[string][]*Peer
}

// indexed returns the current index. The caller holds the lock.
func (r *Roster) indexed() *index {
	if r.index.valid {
		return &r.index
	}
	r.index = index{
		valid:     true,
		domains:   make(map[string][]*teaselv1.Member),
		addresses: make(map[string][]*Peer),
	}
	r.each(func(member *teaselv1.Member, _ bool) {
		domain := member.GetFailureDomain()
		r.index.domains[domain] = append(r.index.domains[domain], member)
	})
	for _, peer := range r.peers {
		address := peer.Member.GetPeerAddress()
		r.index.addresses[address] = append(r.index.addresses[address], peer)
	}
	for _, members := range r.index.domains {
		slices.SortFunc(members, func(a, b *teaselv1.Member) int {
			return cmp.Compare(xxhash.Sum64String(a.GetName()), xxhash.Sum64String(b.GetName()))
		})
	}
	r.index.names = slices.Sorted(maps.Keys(r.index.domains))
	return &r.index
}

// domain returns the members of a failure domain in hash order.
func (r *Roster) domain(name string) []*teaselv1.Member {
	return r.indexed().domains[name]
}

// otherDomains names the failure domains but the own one.
func (r *Roster) otherDomains() []string {
	return slices.DeleteFunc(slices.Clone(r.indexed().names), func(name string) bool {
		return name == r.self.GetFailureDomain()
	})
}

// byAddress returns the peer last heard at an address, or nil. The caller
// holds the lock.
func (r *Roster) byAddress(address string) *Peer {
	var found *Peer
	for _, peer := range r.indexed().addresses[address] {
		if found == nil || peer.LastHeard.After(found.LastHeard) {
			found = peer
		}
	}
	return found
}

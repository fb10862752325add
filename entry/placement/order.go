package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/teaselstack/teaselstack/routing"
)

// rank returns the servers that may run a request in the object's order.
func (f *Fleet) rank(request *Request, now time.Time) []*server {
	all := f.services[request.Service]
	type scored struct {
		server *server
		score  float64
		bad    bool
	}
	order := make([]scored, 0, len(all))
	failing := 0
	for _, each := range all {
		if each.Draining || each.health.replaced || f.evacuated[each.FailureDomain] || slices.Contains(request.TriedIDs, each.ID) {
			continue
		}
		if request.Route != nil && !request.Route.AllowsRegion(each.Region) {
			continue
		}
		bad := f.failing(each, now)
		if bad {
			failing++
		}
		order = append(order, scored{
			server: each,
			score:  f.score(request, each),
			bad:    bad,
		})
	}
	// Where most seem to fail, the fault is more likely on the way than in all
	// of them.
	if float64(failing) <= panicShare*float64(len(order)) && failing < len(order) {
		order = slices.DeleteFunc(order, func(each scored) bool { return each.bad })
	}
	slices.SortFunc(order, func(a, b scored) int {
		if a.server.doubtful != b.server.doubtful {
			if b.server.doubtful {
				return -1
			}
			return 1
		}
		if a.score > b.score {
			return -1
		}
		return 1
	})
	ranked := make([]*server, 0, len(order))
	for _, each := range order {
		ranked = append(ranked, each.server)
	}
	return ranked
}

// failing reports whether a server is left out: it failed this entry, or several
// peers. One peer's word is not enough: the fault may be on its own way.
func (f *Fleet) failing(each *server, now time.Time) bool {
	if each.health.failing(now) {
		return true
	}
	return f.hearsay.failing[each.short()] >= failedPeers
}

// score is the weighted rendezvous score of a server for an object.
func (f *Fleet) score(request *Request, each *server) float64 {
	weight := float64(each.Slots)
	if each.Region == f.Region {
		if request.Kind == routing.Upload {
			weight *= f.options.uploadWeight
		} else {
			weight *= f.options.homeWeight
		}
	}
	draw := (float64(mix(request.Object^each.hash)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(draw)
}

// mix is the finalizer of MurmurHash3.
func mix(key uint64) uint64 {
	key ^= key >> 33
	key *= 0xff51afd7ed558ccd
	key ^= key >> 33
	key *= 0xc4ceb9fe1a85ec53
	return key ^ key>>33
}

// ObjectHash hashes what identifies an object.
func ObjectHash(route, object string) uint64 {
	digest := xxhash.New()
	for _, part := range []string{route, "\x00", object} {
		// A hash's writer returns no error.
		_, _ = digest.WriteString(part)
	}
	return digest.Sum64()
}

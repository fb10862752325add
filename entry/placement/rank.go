package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// rank returns the servers that may run a request, by falling rendezvous score for the
// request's object, with doubtful servers last. Failing servers are not included unless
// their share exceeds panicThreshold.
func (f *Fleet) rank(request *Request, now time.Time) []*serverRecord {
	servers := f.byService[request.Service]
	type scored struct {
		server  *serverRecord
		score   float64
		failing bool
	}
	weights := f.slotWeights(request, now)
	order := make([]scored, 0, len(servers))
	failing := 0
	for _, server := range servers {
		if server.Draining || server.leaving.leaving || server.detector.replaced || f.evacuated[server.FailureDomain] || slices.Contains(request.TriedServerIDs, server.ID) {
			continue
		}
		if request.Route != nil && !request.Route.AllowsRegion(server.Region) {
			continue
		}
		serverFailing := f.failing(server, now)
		if serverFailing {
			failing++
		}
		order = append(order, scored{
			server:  server,
			score:   score(request.Object, server, weights[server.FailureDomain]),
			failing: serverFailing,
		})
	}
	// If most servers seem to fail, the fault is more likely in the network than in
	// all these servers, so the failing ones stay in the order.
	if float64(failing) <= panicThreshold*float64(len(order)) && failing < len(order) {
		order = slices.DeleteFunc(order, func(candidate scored) bool { return candidate.failing })
	}
	avoided := func(candidate scored) bool {
		return request.AvoidDomain != nil && request.AvoidDomain(candidate.server.FailureDomain)
	}
	if !slices.ContainsFunc(order, func(candidate scored) bool { return !avoided(candidate) }) {
		avoided = func(scored) bool { return false }
	}
	order = slices.DeleteFunc(order, avoided)
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
	ranked := make([]*serverRecord, 0, len(order))
	for _, candidate := range order {
		ranked = append(ranked, candidate.server)
	}
	return ranked
}

// failing reports whether a server fails requests of this entry or is reported as
// failing by several peers. The report of a single peer does not count: the fault
// may be in the network between that peer and the server.
func (f *Fleet) failing(server *serverRecord, now time.Time) bool {
	if server.detector.failing(now) {
		return true
	}
	return f.peerReports.failing[server.wireHash()] >= minPeersReportingFailure
}

// score returns the weighted rendezvous score of a server for an object, by the logarithmic
// method: the share of the objects for which a server has the highest score is proportional
// to its weight. The weight is the server's number of slots, multiplied by the weight of a
// slot in its failure domain.
func score(object uint64, server *serverRecord, slotWeight float64) float64 {
	weight := float64(server.Slots) * slotWeight
	// draw is a pseudorandom number in (0, 1), which depends on the object and the server.
	draw := (float64(fmix64(object^server.hash)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(draw)
}

// fmix64 is the 64-bit finalizer of MurmurHash3.
func fmix64(key uint64) uint64 {
	key ^= key >> 33
	key *= 0xff51afd7ed558ccd
	key ^= key >> 33
	key *= 0xc4ceb9fe1a85ec53
	return key ^ key>>33
}

// ObjectHash returns the hash by which placement identifies an object of a route.
func ObjectHash(route, object string) uint64 {
	digest := xxhash.New()
	for _, part := range []string{route, "\x00", object} {
		// The digest's WriteString never returns an error.
		_, _ = digest.WriteString(part)
	}
	return digest.Sum64()
}

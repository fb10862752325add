package placement

import (
	"time"

	"github.com/teaselstack/teaselstack/routing"
)

const (
	// assumedUtilization is the utilization that a service is assumed to have if its
	// requests are spread over all slots: callers come from each region alike, and together
	// they need this share of the slots. Assuming too little overloads a region with few
	// slots; assuming too much sends some of its objects further than necessary.
	assumedUtilization = 0.6
	// maxHomeUtilization is the utilization, under the same assumption, up to which the
	// servers of a region get the objects of the region's own callers. It leaves room for
	// waves of load.
	maxHomeUtilization = 0.7
	// overflowWeight is the weight of a slot, relative to an even spread, in a region that
	// gets no objects of the own region's callers. It only orders the servers for requests
	// for which the others have no room.
	overflowWeight = 1e-6
	// minDomainSlots is the number of slots of a service in the own failure domain from which
	// on uploads prefer that domain. With fewer, waiting for a slot would cost callers more
	// than the shorter way saves.
	minDomainSlots = 6
	// slotWeightsLifetime is how long computed weights are used.
	slotWeightsLifetime = 100 * time.Millisecond
)

// slotWeightsKey identifies the weights for the uploads, or for the other requests, to a
// service.
type slotWeightsKey struct {
	service string
	upload  bool
}

// cachedSlotWeights holds the rendezvous weight of a slot by failure domain, at the time of the
// computation.
type cachedSlotWeights struct {
	byDomain   map[string]float64
	computedAt time.Time
}

// slotWeights returns the rendezvous weights of a service's slots, by failure domain, for the
// objects that callers of this entry's region request. Answers of the own region's servers
// arrive sooner, and an object is mostly requested from one region only. So all objects go
// to the own region, as far as its servers have room for the demand of its callers, and the
// excess to the other regions in proportion to the room that their own callers leave there.
//
// Within the own region, the spread is even, because callers move between failure domains and
// their objects stay warm then. Uploads, whose bodies are most of the traffic, prefer the own
// failure domain by the same rule. Entries of a region, or for uploads of a failure domain,
// that know the same servers compute the same weights.
func (f *Fleet) slotWeights(request *Request, now time.Time) map[string]float64 {
	key := slotWeightsKey{
		service: request.Service,
		upload:  request.Kind == routing.Upload,
	}
	cached, found := f.weights[key]
	if !found || now.Sub(cached.computedAt) > slotWeightsLifetime {
		cached = cachedSlotWeights{
			byDomain:   f.computeSlotWeights(key),
			computedAt: now,
		}
		f.weights[key] = cached
	}
	return cached.byDomain
}

// computeSlotWeights computes the result of slotWeights.
func (f *Fleet) computeSlotWeights(key slotWeightsKey) map[string]float64 {
	slotsByRegion, slotsByLocalDomain := make(map[string]float64), make(map[string]float64)
	regionByDomain := make(map[string]string)
	for _, server := range f.byService[key.service] {
		if server.Draining || f.evacuated[server.FailureDomain] {
			continue
		}
		regionByDomain[server.FailureDomain] = server.Region
		slotsByRegion[server.Region] += float64(server.Slots)
		if server.Region == f.Region {
			slotsByLocalDomain[server.FailureDomain] += float64(server.Slots)
		}
	}
	regionWeights := spreadWeights(f.Region, slotsByRegion, len(f.regions))
	weights := make(map[string]float64, len(regionByDomain))
	for domain, region := range regionByDomain {
		weights[domain] = regionWeights[region]
	}
	if key.upload && slotsByLocalDomain[f.options.failureDomain] >= minDomainSlots {
		for domain, weight := range spreadWeights(f.options.failureDomain, slotsByLocalDomain, len(slotsByLocalDomain)) {
			weights[domain] = regionWeights[f.Region] * slotsByRegion[f.Region] * weight
		}
	}
	return weights
}

// spreadWeights returns the weight of a slot in each place for the objects of the callers in
// one place, where callers come from placeCount places. The weights of all slots add up to 1,
// but for the overflow weights.
func spreadWeights(own string, slotsByPlace map[string]float64, placeCount int) map[string]float64 {
	total := 0.0
	for _, slots := range slotsByPlace {
		total += slots
	}
	demand := assumedUtilization * total / float64(max(1, placeCount))
	room := func(place string) float64 { return max(0, maxHomeUtilization*slotsByPlace[place]-demand) }
	homeShare, otherRoom := 0.0, 0.0
	if demand > 0 {
		homeShare = min(1, maxHomeUtilization*slotsByPlace[own]/demand)
	}
	for place := range slotsByPlace {
		if place != own {
			otherRoom += room(place)
		}
	}
	weights := make(map[string]float64, len(slotsByPlace))
	for place, slots := range slotsByPlace {
		share := homeShare
		switch {
		case place == own:
		case otherRoom > 0:
			share = (1 - homeShare) * room(place) / otherRoom
		default:
			share = (1 - homeShare) * slots / max(1, total-slotsByPlace[own])
		}
		weights[place] = max(overflowWeight/max(1, total), share/max(1, slots))
	}
	return weights
}

package placement

import (
	"time"
)

const (
	// assumedUtilization is the utilization that a service is assumed to have if its
	// requests are spread over all slots: callers come from each region alike, and together
	// they need this share of the slots.
	assumedUtilization = 0.5
	// maxHomeUtilization is the utilization, under the same assumption, up to which the
	// servers of a region get the objects of the region's own callers. It leaves room for
	// waves of load.
	maxHomeUtilization = 0.7
	// overflowWeight is the weight of a slot, relative to an even spread, in a region that
	// gets no objects of the own region's callers. It only orders the servers for requests
	// for which the others have no room.
	overflowWeight = 1e-6
	// regionWeightsLifetime is how long computed weights are used.
	regionWeightsLifetime = 100 * time.Millisecond
)

// regionWeights holds the rendezvous weight of a slot by region, for the servers of one
// service, at the time of their computation.
type regionWeights struct {
	perSlot    map[string]float64
	computedAt time.Time
}

// regionWeightsFor returns the rendezvous weights by which a service's objects that this
// region's callers request are spread over the regions. Answers of the own region's servers
// arrive sooner, and an object is mostly requested from one region only. So all objects go
// to the own region, as far as its servers have room for the demand of its callers, and the
// excess to the other regions in proportion to the room that their own callers leave there.
// Entries of a region that know the same servers compute the same weights.
func (f *Fleet) regionWeightsFor(service string, now time.Time) map[string]float64 {
	cached, found := f.regionWeights[service]
	if found && now.Sub(cached.computedAt) <= regionWeightsLifetime {
		return cached.perSlot
	}
	slotsByRegion := make(map[string]float64)
	total := 0.0
	for _, server := range f.byService[service] {
		if !server.Draining && !f.evacuated[server.FailureDomain] {
			slotsByRegion[server.Region] += float64(server.Slots)
			total += float64(server.Slots)
		}
	}
	cached = regionWeights{
		perSlot:    slotWeights(f.Region, slotsByRegion, total, len(f.regions)),
		computedAt: now,
	}
	f.regionWeights[service] = cached
	return cached.perSlot
}

// slotWeights returns the weight of a slot in each region for the objects of one region's
// callers, where callers come from regionCount regions.
func slotWeights(ownRegion string, slotsByRegion map[string]float64, total float64, regionCount int) map[string]float64 {
	demand := assumedUtilization * total / float64(max(1, regionCount))
	room := func(region string) float64 { return max(0, maxHomeUtilization*slotsByRegion[region]-demand) }
	homeShare, otherRoom := 0.0, 0.0
	if demand > 0 {
		homeShare = min(1, maxHomeUtilization*slotsByRegion[ownRegion]/demand)
	}
	for region := range slotsByRegion {
		if region != ownRegion {
			otherRoom += room(region)
		}
	}
	weights := make(map[string]float64, len(slotsByRegion))
	for region, slots := range slotsByRegion {
		share := homeShare
		switch {
		case region == ownRegion:
		case otherRoom > 0:
			share = (1 - homeShare) * room(region) / otherRoom
		default:
			share = (1 - homeShare) * slots / max(1, total-slotsByRegion[ownRegion])
		}
		weights[region] = max(overflowWeight/max(1, total), share/max(1, slots))
	}
	return weights
}

// Package steering decides which owner of a service's slots a request goes to, by
// one objective: latency, headroom and drain time, weighed as the deployment
// says. Requests, look-ups and explanations all use Decide.
package steering

import (
	"cmp"
	"slices"
	"time"

	"github.com/teaselstack/teaselstack/intent"
)

// Candidate is what an entry knows of one owner of a service's slots.
type Candidate struct {
	// Home is the entry VM that has the slots to give.
	Home          string
	Region        string
	FailureDomain string
	// Delay is the one-way delay from the deciding entry.
	Delay time.Duration
	Slots int
	InUse int
	// Waiting counts requests that wait for a slot there.
	Waiting int
	// LoadAge is how old the figures are; 0 for the entry's own.
	LoadAge time.Duration
	// Reachable is false for an entry that does not answer heartbeats.
	Reachable bool
	// Draining is true for an entry that is to be drained.
	Draining bool
	// CrossRegion is true for a place in another region than the request's.
	CrossRegion bool
}

// CostTerm is one weighted part of a place's cost.
type CostTerm struct {
	Name   string
	Value  float64
	Weight float64
}

// terms is the number of terms of a cost.
const terms = 3

// RankedCandidate is a place with its cost; lower is better.
type RankedCandidate struct {
	Candidate Candidate
	Allowed   bool
	// Reason says why the place is not allowed.
	Reason string
	Cost   float64
	Terms  [terms]CostTerm
}

const (
	// latencyUnit is the delay that costs as much as a full place, at equal weights.
	latencyUnit = 50 * time.Millisecond
	// staleLimit is the age past which a place's figures count as unknown.
	staleLimit = 30 * time.Second
	// equalCost is the difference of costs, as a part of all weights, below which
	// places count as equal.
	equalCost = 0.1
)

// Rank ranks places, best first; those that are not allowed come last. Figures
// past their age are unknown: a place in the request's own region then counts as
// full, one in another region is not allowed, so that old figures may stop a
// shift but never start one.
func Rank(objective intent.Objective, places []Candidate) []RankedCandidate {
	order := make([]position, len(places))
	for at := range places {
		var each RankedCandidate
		each.rank(objective, &places[at])
		order[at] = position{
			at:      at,
			allowed: each.Allowed,
			cost:    each.Cost,
		}
	}
	slices.SortStableFunc(order, comparePositions)
	ranked := make([]RankedCandidate, len(places))
	for rank, each := range order {
		ranked[rank].rank(objective, &places[each.at])
	}
	return ranked
}

// position is what the sort of places moves about.
type position struct {
	at      int
	allowed bool
	cost    float64
}

func comparePositions(a, b position) int {
	if a.allowed != b.allowed {
		if a.allowed {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.cost, b.cost)
}

func (r *RankedCandidate) rank(objective intent.Objective, place *Candidate) {
	r.Candidate = *place
	r.Reason = place.refusal()
	r.Allowed = r.Reason == ""
	leaving := 0.0
	if place.Draining {
		leaving = 1
	}
	r.Terms = [terms]CostTerm{
		{
			Name:   "latency",
			Value:  float64(place.Delay) / float64(latencyUnit),
			Weight: objective.Latency,
		},
		{
			Name:   "headroom",
			Value:  place.used(),
			Weight: objective.Headroom,
		},
		{
			Name:   "drain-time",
			Value:  leaving,
			Weight: objective.DrainTime,
		},
	}
	for _, term := range r.Terms {
		r.Cost += term.Value * term.Weight
	}
}

// refusal says why a place is not allowed, or "".
func (p *Candidate) refusal() string {
	switch {
	case !p.Reachable:
		return "unreachable"
	case p.LoadAge > staleLimit && p.CrossRegion:
		return "figures too old to move requests there"
	case p.Slots == 0:
		return "no slots"
	case p.CrossRegion && p.used() >= 1:
		return "no room for requests of another region"
	}
	return ""
}

// used returns the part of the slots that is in use or waited for.
func (p *Candidate) used() float64 {
	if p.Slots == 0 || p.LoadAge > staleLimit {
		return 1
	}
	return max(0, float64(p.InUse+p.Waiting)/float64(p.Slots))
}

// free returns how many slots are neither in use nor waited for.
func (p *Candidate) free() float64 {
	if p.LoadAge > staleLimit {
		return 0
	}
	return max(0, float64(p.Slots-p.InUse-p.Waiting))
}

// BreakTies puts one of the places whose cost hardly differs from the best first,
// drawn by their free slots with a number from 0 to 1. So entries that see the
// same figures do not all choose the same place.
func BreakTies(objective intent.Objective, ranked []RankedCandidate, draw float64) {
	band := equalCost * (objective.Latency + objective.Headroom + objective.DrainTime)
	equal, sum := 0, 0.0
	for equal < len(ranked) && ranked[equal].Allowed && ranked[equal].Cost <= ranked[0].Cost+band {
		sum += minShare + ranked[equal].Candidate.free()
		equal++
	}
	draw *= sum
	for at := range equal {
		draw -= minShare + ranked[at].Candidate.free()
		if draw < 0 || at == equal-1 {
			chosen := ranked[at]
			copy(ranked[1:at+1], ranked[:at])
			ranked[0] = chosen
			return
		}
	}
}

// minShare is the weight of a place without a free slot in the draw, in slots.
const minShare = 0.05

// Package steering ranks the entry VMs that have a seat at a backend server of a service
// as targets for a request; see slot.Seats. The cost of a target is a weighted sum of three terms: its network
// delay (latency), its utilization (headroom) and whether it is draining (drain time).
// The deployment's objective sets the weights. Requests, look-ups and explain calls
// all use Rank.
package steering

import (
	"cmp"
	"slices"
	"time"

	"github.com/teaselstack/teaselstack/intent"
)

// Candidate is an entry VM that has a seat at a backend server of a service, with its
// last known load, as a possible target for a request.
type Candidate struct {
	// Home is the name of the entry VM that grants the slots. It is the home or the
	// deputy of a backend server of the service.
	Home string
	// Region and FailureDomain are those of the entry VM.
	Region        string
	FailureDomain string
	// Delay is the one-way network delay from the request's region. LoadView adds
	// relayDelay for a candidate other than the ranking entry.
	Delay time.Duration
	// Slots is the number of the service's slots that the entry VM may use, InUse the
	// number of those that are in use.
	Slots int
	InUse int
	// Waiting is the number of requests queued there for a slot.
	Waiting int
	// LoadAge is the age of Slots, InUse and Waiting. It is 0 for the ranking entry
	// itself and for a candidate that has not reported its load, whose Slots are 0 too.
	LoadAge time.Duration
	// Reachable reports whether the entry VM answers heartbeats and is not stopping.
	Reachable bool
	// Draining reports whether the configuration drains the entry VM.
	Draining bool
	// CrossRegion reports whether the candidate is outside the request's region.
	CrossRegion bool
}

// CostTerm is one summand of a candidate's cost: Value times Weight. Value is
// dimensionless; 1 stands for a delay of latencyScale, a fully used candidate, or a
// draining one.
type CostTerm struct {
	Name   string
	Value  float64
	Weight float64
}

// termCount is the number of summands of a cost.
const termCount = 3

// RankedCandidate is a candidate with its cost; a lower cost is better.
type RankedCandidate struct {
	Candidate Candidate
	// Allowed reports whether requests may be sent to the candidate.
	Allowed bool
	// Reason says why the candidate is not allowed; it is empty for an allowed one.
	Reason string
	// Cost is the sum of Terms.
	Cost  float64
	Terms [termCount]CostTerm
}

const (
	// latencyScale is the one-way delay that costs as much as a fully used candidate
	// when latency and headroom have equal weights.
	latencyScale = 50 * time.Millisecond
	// maxLoadAge is the age beyond which a candidate's load is treated as unknown.
	maxLoadAge = 30 * time.Second
	// tieTolerance is the largest difference from the lowest cost at which a candidate
	// still counts as equally good, as a fraction of the sum of the weights.
	tieTolerance = 0.1
)

// Rank orders candidates by cost, lowest first; those that are not allowed come
// last. A candidate whose load is older than maxLoadAge counts as full if it is in the
// request's region, and is not allowed otherwise. So requests are shifted only to
// regions whose load is known, and a shift ends when the load becomes stale.
func Rank(objective intent.Objective, candidates []Candidate) []RankedCandidate {
	order := make([]sortKey, len(candidates))
	for index := range candidates {
		var evaluated RankedCandidate
		evaluated.evaluate(objective, &candidates[index])
		order[index] = sortKey{
			index:   index,
			allowed: evaluated.Allowed,
			cost:    evaluated.Cost,
		}
	}
	slices.SortStableFunc(order, compareSortKeys)
	ranked := make([]RankedCandidate, len(candidates))
	for rank, key := range order {
		ranked[rank].evaluate(objective, &candidates[key.index])
	}
	return ranked
}

// sortKey holds what Rank compares of a candidate. Rank sorts these keys instead of
// the RankedCandidate values, which are large to copy.
type sortKey struct {
	index   int
	allowed bool
	cost    float64
}

func compareSortKeys(a, b sortKey) int {
	if a.allowed != b.allowed {
		if a.allowed {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.cost, b.cost)
}

// evaluate sets r, which must be zero, to the candidate with its cost under the
// objective.
func (r *RankedCandidate) evaluate(objective intent.Objective, candidate *Candidate) {
	r.Candidate = *candidate
	r.Reason = candidate.refusalReason()
	r.Allowed = r.Reason == ""
	draining := 0.0
	if candidate.Draining {
		draining = 1
	}
	r.Terms = [termCount]CostTerm{
		{
			Name:   "latency",
			Value:  float64(candidate.Delay) / float64(latencyScale),
			Weight: objective.Latency,
		},
		{
			Name:   "headroom",
			Value:  candidate.utilization(),
			Weight: objective.Headroom,
		},
		{
			Name:   "drain-time",
			Value:  draining,
			Weight: objective.DrainTime,
		},
	}
	for _, term := range r.Terms {
		r.Cost += term.Value * term.Weight
	}
}

// refusalReason returns why no request may be sent to the candidate, or "" if one
// may.
func (c *Candidate) refusalReason() string {
	switch {
	case !c.Reachable:
		return "unreachable"
	case c.LoadAge > maxLoadAge && c.CrossRegion:
		return "figures too old to move requests there"
	case c.Slots == 0:
		return "no slots"
	case c.CrossRegion && c.utilization() >= 1:
		return "no room for requests of another region"
	}
	return ""
}

// utilization returns the sum of the slots in use and the waiting requests as a
// fraction of the slots; it exceeds 1 when requests wait for a full candidate. A
// candidate without slots, or whose load is unknown, counts as full.
func (c *Candidate) utilization() float64 {
	if c.Slots == 0 || c.LoadAge > maxLoadAge {
		return 1
	}
	return max(0, float64(c.InUse+c.Waiting)/float64(c.Slots))
}

// freeSlots returns the number of slots that are neither in use nor needed for a
// waiting request; 0 if the load is unknown.
func (c *Candidate) freeSlots() float64 {
	if c.LoadAge > maxLoadAge {
		return 0
	}
	return max(0, float64(c.Slots-c.InUse-c.Waiting))
}

// BreakTies moves one of the best candidates, chosen at random, to the front of ranked.
// It chooses among the allowed ones whose cost is within tieTolerance of the lowest;
// the chance of each is in proportion to its free slots plus minTieWeight. random is in
// [0, 1). Without this, all entries that see the same load would choose the same
// candidate.
func BreakTies(objective intent.Objective, ranked []RankedCandidate, random float64) {
	tolerance := tieTolerance * (objective.Latency + objective.Headroom + objective.DrainTime)
	ties, totalWeight := 0, 0.0
	for ties < len(ranked) && ranked[ties].Allowed && ranked[ties].Cost <= ranked[0].Cost+tolerance {
		totalWeight += minTieWeight + ranked[ties].Candidate.freeSlots()
		ties++
	}
	random *= totalWeight
	for index := range ties {
		random -= minTieWeight + ranked[index].Candidate.freeSlots()
		if random < 0 || index == ties-1 {
			chosen := ranked[index]
			copy(ranked[1:index+1], ranked[:index])
			ranked[0] = chosen
			return
		}
	}
}

// minTieWeight is a number of slots that BreakTies adds to the free slots of each
// candidate, so that one without a free slot can still be chosen.
const minTieWeight = 0.05

// Package steering decides which home of a service's backend servers a request
// goes to, by one objective: latency, headroom and drain time, weighed as the
// deployment says.
package steering

import (
	"cmp"
	"slices"
	"time"

	"github.com/teaselstack/teaselstack/intent"
)

// Place is what an entry knows of one home of a service's backend servers.
type Place struct {
	// Home is the entry VM that owns the slots.
	Home          string
	Region        string
	FailureDomain string
	// Delay is the one-way delay from the deciding entry.
	Delay time.Duration
	Slots int
	InUse int
	// Waiting counts requests that wait for a slot there.
	Waiting int
	// Age is how old the figures are; 0 for the entry's own.
	Age time.Duration
	// Reachable is false for a home that does not answer heartbeats.
	Reachable bool
}

// Term is one weighted part of a place's cost.
type Term struct {
	Name   string
	Value  float64
	Weight float64
}

// Ranked is a place with its cost; lower is better.
type Ranked struct {
	Place   Place
	Allowed bool
	// Reason says why the place is not allowed.
	Reason string
	Cost   float64
	Terms  []Term
}

// latencyUnit is the delay that costs as much as a full place, at equal weights.
const latencyUnit = 50 * time.Millisecond

// Decide ranks places, best first; those that are not allowed come last.
func Decide(objective intent.Objective, places []Place) []Ranked {
	ranked := make([]Ranked, 0, len(places))
	for _, place := range places {
		ranked = append(ranked, rank(objective, place))
	}
	slices.SortStableFunc(ranked, func(a, b Ranked) int {
		if a.Allowed != b.Allowed {
			if a.Allowed {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Cost, b.Cost)
	})
	return ranked
}

func rank(objective intent.Objective, place Place) Ranked {
	ranked := Ranked{
		Place:   place,
		Allowed: true,
	}
	switch {
	case !place.Reachable:
		ranked.Allowed = false
		ranked.Reason = "unreachable"
	case place.Slots == 0:
		ranked.Allowed = false
		ranked.Reason = "no slots"
	}
	used := 1.0
	if place.Slots > 0 {
		used = float64(place.InUse+place.Waiting) / float64(place.Slots)
	}
	ranked.Terms = []Term{
		{
			Name:   "latency",
			Value:  float64(place.Delay) / float64(latencyUnit),
			Weight: objective.Latency,
		},
		{
			Name:   "headroom",
			Value:  used,
			Weight: objective.Headroom,
		},
	}
	for _, term := range ranked.Terms {
		ranked.Cost += term.Value * term.Weight
	}
	return ranked
}

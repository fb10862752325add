package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/routing"
)

// scenarios returns the scenarios that placement must handle. The simulated servers
// together serve 233 requests per second for warm objects, or 70 for others.
func scenarios() []*scenario {
	return []*scenario{
		{
			name:    "steady",
			rate:    30,
			length:  20 * time.Second,
			objects: 24,
		},
		{
			name:      "cold-start",
			rate:      30,
			length:    10 * time.Second,
			objects:   70,
			coldStart: true,
		},
		{
			name:        "flash-crowd",
			rate:        30,
			length:      20 * time.Second,
			objects:     24,
			burstFactor: 3,
			burstFrom:   5 * time.Second,
			burstUntil:  12 * time.Second,
		},
		{
			name:           "retry-storm",
			rate:           35,
			length:         20 * time.Second,
			objects:        24,
			burstFactor:    3,
			burstFrom:      5 * time.Second,
			burstUntil:     10 * time.Second,
			impatientShare: 0.4,
		},
		{
			name:     "hot-object",
			rate:     30,
			length:   20 * time.Second,
			objects:  24,
			hotShare: 0.4,
		},
		{
			name:    "cold-herd",
			rate:    30,
			length:  20 * time.Second,
			objects: 24,
			events: []scenarioEvent{
				{
					at:    5 * time.Second,
					apply: (*simulation).stopSouth,
				},
				{
					at:    9 * time.Second,
					apply: (*simulation).restartSouth,
				},
			},
		},
		{
			name:    "slow-minority",
			rate:    30,
			length:  20 * time.Second,
			objects: 24,
			events: []scenarioEvent{
				{
					at: 4 * time.Second,
					apply: func(sim *simulation) {
						for i := 0; i < len(sim.servers); i += 6 {
							sim.servers[i].slowdown = 6
						}
					},
				},
			},
		},
		{
			name:    "grey-failure",
			rate:    30,
			length:  20 * time.Second,
			objects: 24,
			events: []scenarioEvent{
				{
					at: 4 * time.Second,
					apply: func(sim *simulation) {
						for i := 0; i < len(sim.servers); i += 6 {
							sim.servers[i].shedShare = 0.5
						}
					},
				},
			},
		},
		{
			name:        "upload-convoy",
			rate:        22,
			length:      20 * time.Second,
			objects:     24,
			uploadShare: 0.08,
		},
		{
			name:    "skewed-regions",
			rate:    30,
			length:  20 * time.Second,
			objects: 24,
			servers: map[string]int{
				"north": 2,
				"south": 9,
				"west":  10,
			},
			rateFactors: map[string]float64{
				"north": 1.6,
				"south": 0.7,
				"west":  0.7,
			},
		},
	}
}

// stopSouth stops the servers of region south.
func (sim *simulation) stopSouth() {
	for _, server := range sim.servers {
		if server.Region == "south" {
			server.down = true
			server.warm = nil
		}
	}
}

// restartSouth restarts the servers of region south, without warm objects, and
// registers them as cold.
func (sim *simulation) restartSouth() {
	for _, server := range sim.servers {
		if server.Region != "south" {
			continue
		}
		server.down = false
		server.StartUnixMS++
		cold := server.Server
		cold.ColdLeft = 3 * time.Second
		for _, entry := range sim.entries {
			entry.fleet.Update([]routing.Server{cold})
		}
	}
}

// TestGoodputAgainstBaselines checks in each scenario that the fleet answers at least
// as many requests within the objective as the best of the baseline policies, and that
// it makes at most 5% more attempts than it answers requests.
func TestGoodputAgainstBaselines(t *testing.T) {
	for _, sc := range scenarios() {
		t.Run(sc.name, func(t *testing.T) {
			ours := simulate(t, sc, "ours")
			best := 0
			for _, policy := range []string{"random", "two-choices", "hash"} {
				best = max(best, simulate(t, sc, policy).withinObjective)
			}
			assert.Check(t, ours.withinObjective >= best, "ours %d, best baseline %d", ours.withinObjective, best)
			assert.Check(t, float64(ours.attempts) <= 1.05*float64(ours.withinObjective+ours.late))
		})
	}
}

// minPlannerShare is the required ratio of the fleet's goodput to that of a planner
// with full knowledge.
const minPlannerShare = 0.9

// TestAgainstPlanner checks that the fleet's goodput comes close to that of a
// planner with full knowledge, in the scenarios that are not surges.
func TestAgainstPlanner(t *testing.T) {
	for _, sc := range scenarios() {
		if !isSurge(sc) {
			t.Run(sc.name, func(t *testing.T) { compareWithPlanner(t, sc) })
		}
	}
}

// TestSurgeAgainstPlanner is like TestAgainstPlanner, in the scenarios that are surges.
func TestSurgeAgainstPlanner(t *testing.T) {
	for _, sc := range scenarios() {
		if isSurge(sc) {
			t.Run(sc.name, func(t *testing.T) { compareWithPlanner(t, sc) })
		}
	}
}

// isSurge reports whether a scenario's load suddenly exceeds the servers' capacity:
// at a cold start, or in a burst without impatient callers.
func isSurge(sc *scenario) bool { return sc.coldStart || sc.burstFactor > 0 && sc.impatientShare == 0 }

// compareWithPlanner checks that the fleet's goodput is at least minPlannerShare of the
// planner's.
func compareWithPlanner(t *testing.T, sc *scenario) {
	ours, best := simulate(t, sc, "ours"), simulate(t, sc, "planner")
	assert.Check(t, float64(ours.withinObjective) >= minPlannerShare*float64(best.withinObjective), "ours %d, planner %d", ours.withinObjective, best.withinObjective)
}

// TestObjectsStayInTheirRegion checks that requests run in the region of their callers where
// its servers have room, and that only the excess of a region with few servers runs
// elsewhere. With two of eighteen servers, a region keeps seven of eighteen of its objects, see
// maxHomeUtilization.
func TestObjectsStayInTheirRegion(t *testing.T) {
	steady := simulate(t, &scenario{
		name:    "steady",
		rate:    30,
		length:  20 * time.Second,
		objects: 24,
	}, "ours")
	for _, region := range regions {
		assert.Check(t, steady.shareAtHome(region) >= 0.95, "%s: %.3f", region, steady.shareAtHome(region))
	}
	skewed := simulate(t, &scenario{
		name:    "few-servers-in-one-region",
		rate:    30,
		length:  20 * time.Second,
		objects: 24,
		servers: map[string]int{
			"north": 2,
			"south": 8,
			"west":  8,
		},
	}, "ours")
	assert.Check(t, skewed.shareAtHome("north") >= 0.25 && skewed.shareAtHome("north") <= 0.6, "north: %.3f", skewed.shareAtHome("north"))
	for _, region := range []string{"south", "west"} {
		assert.Check(t, skewed.shareAtHome(region) >= 0.9, "%s: %.3f", region, skewed.shareAtHome(region))
	}
}

// TestGoodputUnderOverload checks that the goodput does not fall when the load triples.
func TestGoodputUnderOverload(t *testing.T) {
	sc := scenario{
		name:    "steady",
		rate:    30,
		length:  10 * time.Second,
		objects: 24,
	}
	normal := simulate(t, &sc, "ours")
	sc.name, sc.rate = "three-times", 90
	tripled := simulate(t, &sc, "ours")
	assert.Check(t, tripled.withinObjective >= normal.withinObjective, "%d at one, %d at three", normal.withinObjective, tripled.withinObjective)
}

// TestRefusalsAfterRetries checks that the share of requests that are still refused after the
// caller's retries exceeds the share of the load that is beyond capacity by at most 0.05.
func TestRefusalsAfterRetries(t *testing.T) {
	for _, sc := range scenarios() {
		t.Run(sc.name, func(t *testing.T) {
			ours := simulate(t, sc, "ours")
			assert.Check(t, ours.share(ours.refusedAfterRetries) <= sc.excessLoad()+0.05, "%.3f refused twice, %.3f of the load is beyond capacity",
				ours.share(ours.refusedAfterRetries), sc.excessLoad())
		})
	}
}

// excessLoad returns the share of a scenario's requests that exceeds the servers'
// capacity even if every object is warm.
func (sc *scenario) excessLoad() float64 {
	capacity := float64(len(regions)*7*slots) / warmServiceTime.Seconds()
	rate := sc.rate * float64(len(regions))
	burstRate := max(sc.burstFactor, 1) * rate
	burstSeconds := (sc.burstUntil - sc.burstFrom).Seconds()
	requests := rate*(sc.length.Seconds()-burstSeconds) + burstRate*burstSeconds
	return max(0, burstRate-capacity) * burstSeconds / requests
}

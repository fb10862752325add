package steering

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/teaselstack/teaselstack/intent"
)

var (
	// headroomObjective weights headroom more than latency.
	headroomObjective = intent.Objective{
		Latency:   0.25,
		Headroom:  0.6,
		DrainTime: 0.15,
	}
	// latencyObjective weights latency more than headroom.
	latencyObjective = intent.Objective{
		Latency:   0.6,
		Headroom:  0.25,
		DrainTime: 0.15,
	}
)

// localCandidate returns a candidate in the request's region with a change applied.
func localCandidate(change func(*Candidate)) Candidate {
	candidate := Candidate{
		Home:      "local",
		Region:    "north",
		Slots:     10,
		Reachable: true,
	}
	change(&candidate)
	return candidate
}

// remoteCandidate returns a candidate in another region with a change applied.
func remoteCandidate(change func(*Candidate)) Candidate {
	candidate := localCandidate(change)
	candidate.Home = "remote"
	candidate.Region = "south"
	candidate.CrossRegion = true
	if candidate.Delay == 0 {
		candidate.Delay = 55 * time.Millisecond
	}
	return candidate
}

// withInUse returns a change for localCandidate and remoteCandidate that sets the
// number of slots in use; the candidates have 10 slots.
func withInUse(count int) func(*Candidate) {
	return func(c *Candidate) { c.InUse = count }
}

// TestRank ranks small sets of candidates under an objective that weights headroom
// more and one that weights latency more. It compares the order, costs and refusal
// reasons with a golden file.
func TestRank(t *testing.T) {
	cases := []struct {
		name       string
		candidates []Candidate
	}{
		{
			name:       "free slots at both",
			candidates: []Candidate{remoteCandidate(withInUse(0)), localCandidate(withInUse(3))},
		},
		{
			name:       "local nearly full",
			candidates: []Candidate{remoteCandidate(withInUse(1)), localCandidate(withInUse(9))},
		},
		{
			name: "stale remote load starts no shift",
			candidates: []Candidate{
				remoteCandidate(func(c *Candidate) { c.LoadAge = 2 * maxLoadAge }),
				localCandidate(withInUse(10)),
			},
		},
		{
			name: "stale local load counts as full but stays allowed",
			candidates: []Candidate{
				remoteCandidate(withInUse(9)),
				localCandidate(func(c *Candidate) { c.LoadAge = 2 * maxLoadAge }),
			},
		},
		{
			name:       "full remote takes no request of another region",
			candidates: []Candidate{remoteCandidate(withInUse(10)), localCandidate(func(c *Candidate) { c.InUse, c.Waiting = 10, 30 })},
		},
		{
			name: "draining entry ranks last",
			candidates: []Candidate{
				localCandidate(func(c *Candidate) { c.Draining = true }),
				localCandidate(func(c *Candidate) { c.Home, c.InUse = "other", 2 }),
			},
		},
		{
			name: "unreachable and without slots",
			candidates: []Candidate{
				localCandidate(func(c *Candidate) { c.Reachable = false }),
				localCandidate(func(c *Candidate) { c.Home, c.Slots = "deputy", 0 }),
				remoteCandidate(withInUse(5)),
			},
		},
	}
	var text strings.Builder
	for _, test := range cases {
		for _, weighting := range []struct {
			name      string
			objective intent.Objective
		}{
			{
				name:      "headroom",
				objective: headroomObjective,
			},
			{
				name:      "latency",
				objective: latencyObjective,
			},
		} {
			fmt.Fprintf(&text, "%s, weighing %s\n", test.name, weighting.name)
			for _, ranked := range Rank(weighting.objective, test.candidates) {
				fmt.Fprintf(&text, "  %-7s %.3f %s\n", ranked.Candidate.Home, ranked.Cost, ranked.Reason)
			}
		}
	}
	golden.Assert(t, text.String(), "rank.golden")
}

// TestBreakTies passes evenly spaced numbers in [0, 1) as random. Three candidates of
// equal cost and with equally many free slots must come first equally often, and a full
// one of higher cost never.
func TestBreakTies(t *testing.T) {
	const draws = 1000
	count := make(map[string]int)
	for i := range draws {
		candidates := []Candidate{
			localCandidate(func(c *Candidate) { c.Home = "a" }),
			localCandidate(func(c *Candidate) { c.Home = "b" }),
			localCandidate(func(c *Candidate) { c.Home = "c" }),
			localCandidate(func(c *Candidate) { c.Home, c.InUse = "full", 10 }),
		}
		ranked := Rank(headroomObjective, candidates)
		BreakTies(headroomObjective, ranked, (float64(i)+0.5)/draws)
		assert.Equal(t, len(ranked), len(candidates))
		count[ranked[0].Candidate.Home]++
	}
	assert.Equal(t, count["full"], 0)
	for _, name := range []string{"a", "b", "c"} {
		assert.Assert(t, count[name] >= draws/3-1 && count[name] <= draws/3+1, "%s: %d", name, count[name])
	}
}

// BenchmarkRank measures Rank followed by BreakTies, by the number of candidates.
func BenchmarkRank(b *testing.B) {
	for _, count := range []int{7, minCandidates} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var candidates []Candidate
			for i := range count {
				candidates = append(candidates, localCandidate(withInUse(i%10)))
			}
			b.ReportAllocs()
			for b.Loop() {
				BreakTies(latencyObjective, Rank(latencyObjective, candidates), 0.5)
			}
		})
	}
}

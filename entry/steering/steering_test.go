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
	kasikirjoitus = intent.Objective{
		Latency:   0.25,
		Headroom:  0.6,
		DrainTime: 0.15,
	}
	sarki = intent.Objective{
		Latency:   0.6,
		Headroom:  0.25,
		DrainTime: 0.15,
	}
)

func local(change func(*Candidate)) Candidate {
	place := Candidate{
		Home:      "local",
		Region:    "north",
		Slots:     10,
		Reachable: true,
	}
	change(&place)
	return place
}

func remote(change func(*Candidate)) Candidate {
	place := local(change)
	place.Home = "remote"
	place.Region = "south"
	place.CrossRegion = true
	if place.Delay == 0 {
		place.Delay = 55 * time.Millisecond
	}
	return place
}

func inUse(count int) func(*Candidate) {
	return func(p *Candidate) { p.InUse = count }
}

// TestRank writes the ranks of small cases under both deployments' objectives.
func TestRank(t *testing.T) {
	cases := []struct {
		name   string
		places []Candidate
	}{
		{
			name:   "room at both",
			places: []Candidate{remote(inUse(0)), local(inUse(3))},
		},
		{
			name:   "local nearly full",
			places: []Candidate{remote(inUse(1)), local(inUse(9))},
		},
		{
			name: "local full, remote figures too old to start a shift",
			places: []Candidate{
				remote(func(p *Candidate) { p.LoadAge = 2 * staleLimit }),
				local(inUse(10)),
			},
		},
		{
			name: "old local figures stop nothing",
			places: []Candidate{
				remote(inUse(9)),
				local(func(p *Candidate) { p.LoadAge = 2 * staleLimit }),
			},
		},
		{
			name:   "remote full takes no request of another region",
			places: []Candidate{remote(inUse(10)), local(func(p *Candidate) { p.InUse, p.Waiting = 10, 30 })},
		},
		{
			name: "a leaving entry is avoided",
			places: []Candidate{
				local(func(p *Candidate) { p.Draining = true }),
				local(func(p *Candidate) { p.Home, p.InUse = "other", 2 }),
			},
		},
		{
			name: "unreachable and without slots",
			places: []Candidate{
				local(func(p *Candidate) { p.Reachable = false }),
				local(func(p *Candidate) { p.Home, p.Slots = "deputy", 0 }),
				remote(inUse(5)),
			},
		},
	}
	var text strings.Builder
	for _, c := range cases {
		for _, o := range []struct {
			name      string
			objective intent.Objective
		}{
			{
				name:      "headroom",
				objective: kasikirjoitus,
			},
			{
				name:      "latency",
				objective: sarki,
			},
		} {
			fmt.Fprintf(&text, "%s, weighing %s\n", c.name, o.name)
			for _, each := range Rank(o.objective, c.places) {
				fmt.Fprintf(&text, "  %-7s %.3f %s\n", each.Candidate.Home, each.Cost, each.Reason)
			}
		}
	}
	golden.Assert(t, text.String(), "decide.golden")
}

// TestBreakTies draws evenly over 0 to 1 and counts how often each of three equal
// places and one dearer comes first.
func TestBreakTies(t *testing.T) {
	const draws = 1000
	count := make(map[string]int)
	for i := range draws {
		places := []Candidate{
			local(func(p *Candidate) { p.Home = "a" }),
			local(func(p *Candidate) { p.Home = "b" }),
			local(func(p *Candidate) { p.Home = "c" }),
			local(func(p *Candidate) { p.Home, p.InUse = "full", 10 }),
		}
		ranked := Rank(kasikirjoitus, places)
		BreakTies(kasikirjoitus, ranked, (float64(i)+0.5)/draws)
		assert.Equal(t, len(ranked), len(places))
		count[ranked[0].Candidate.Home]++
	}
	assert.Equal(t, count["full"], 0)
	for _, name := range []string{"a", "b", "c"} {
		assert.Assert(t, count[name] >= draws/3-1 && count[name] <= draws/3+1, "%s: %d", name, count[name])
	}
}

func BenchmarkRank(b *testing.B) {
	for _, count := range []int{7, maxCandidates} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var places []Candidate
			for i := range count {
				places = append(places, local(inUse(i%10)))
			}
			b.ReportAllocs()
			for b.Loop() {
				BreakTies(sarki, Rank(sarki, places), 0.5)
			}
		})
	}
}

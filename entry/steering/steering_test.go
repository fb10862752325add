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

func local(change func(*Place)) Place {
	place := Place{
		Home:      "local",
		Region:    "north",
		Slots:     10,
		Reachable: true,
	}
	change(&place)
	return place
}

func remote(change func(*Place)) Place {
	place := local(change)
	place.Home = "remote"
	place.Region = "south"
	place.Moved = true
	if place.Delay == 0 {
		place.Delay = 55 * time.Millisecond
	}
	return place
}

func inUse(count int) func(*Place) {
	return func(p *Place) { p.InUse = count }
}

// TestDecide writes the ranks of small cases under both deployments' objectives.
func TestDecide(t *testing.T) {
	cases := []struct {
		name   string
		places []Place
	}{
		{
			name:   "room at both",
			places: []Place{remote(inUse(0)), local(inUse(3))},
		},
		{
			name:   "local nearly full",
			places: []Place{remote(inUse(1)), local(inUse(9))},
		},
		{
			name: "local full, remote figures too old to start a shift",
			places: []Place{
				remote(func(p *Place) { p.Age = 2 * staleLimit }),
				local(inUse(10)),
			},
		},
		{
			name: "old local figures stop nothing",
			places: []Place{
				remote(inUse(9)),
				local(func(p *Place) { p.Age = 2 * staleLimit }),
			},
		},
		{
			name:   "remote full takes no request of another region",
			places: []Place{remote(inUse(10)), local(func(p *Place) { p.InUse, p.Waiting = 10, 30 })},
		},
		{
			name: "a leaving entry is avoided",
			places: []Place{
				local(func(p *Place) { p.Leaving = true }),
				local(func(p *Place) { p.Home, p.InUse = "other", 2 }),
			},
		},
		{
			name: "unreachable and without slots",
			places: []Place{
				local(func(p *Place) { p.Reachable = false }),
				local(func(p *Place) { p.Home, p.Slots = "deputy", 0 }),
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
			for _, each := range Decide(o.objective, c.places) {
				fmt.Fprintf(&text, "  %-7s %.3f %s\n", each.Place.Home, each.Cost, each.Reason)
			}
		}
	}
	golden.Assert(t, text.String(), "decide.golden")
}

// TestSpread draws evenly over 0 to 1 and counts how often each of three equal
// places and one dearer comes first.
func TestSpread(t *testing.T) {
	const draws = 1000
	count := make(map[string]int)
	for i := range draws {
		places := []Place{
			local(func(p *Place) { p.Home = "a" }),
			local(func(p *Place) { p.Home = "b" }),
			local(func(p *Place) { p.Home = "c" }),
			local(func(p *Place) { p.Home, p.InUse = "full", 10 }),
		}
		ranked := Decide(kasikirjoitus, places)
		Spread(kasikirjoitus, ranked, (float64(i)+0.5)/draws)
		assert.Equal(t, len(ranked), len(places))
		count[ranked[0].Place.Home]++
	}
	assert.Equal(t, count["full"], 0)
	for _, name := range []string{"a", "b", "c"} {
		assert.Assert(t, count[name] >= draws/3-1 && count[name] <= draws/3+1, "%s: %d", name, count[name])
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, count := range []int{7, maxCandidates} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var places []Place
			for i := range count {
				places = append(places, local(inUse(i%10)))
			}
			b.ReportAllocs()
			for b.Loop() {
				Spread(sarki, Decide(sarki, places), 0.5)
			}
		})
	}
}

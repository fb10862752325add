package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/routing"
)

// patterns are the loads that placement is made for. The model's servers do 233
// warm requests a second, or 70 that are not warm.
func patterns() []*pattern {
	return []*pattern{
		{
			name:    "steady",
			rate:    30,
			length:  20 * time.Second,
			objects: 24,
		},
		{
			name:    "cold-start",
			rate:    30,
			length:  10 * time.Second,
			objects: 70,
			cold:    true,
		},
		{
			name:       "flash-crowd",
			rate:       30,
			length:     20 * time.Second,
			objects:    24,
			burst:      3,
			burstFrom:  5 * time.Second,
			burstUntil: 12 * time.Second,
		},
		{
			name:       "retry-storm",
			rate:       35,
			length:     20 * time.Second,
			objects:    24,
			burst:      3,
			burstFrom:  5 * time.Second,
			burstUntil: 10 * time.Second,
			impatient:  0.4,
		},
		{
			name:    "hot-object",
			rate:    30,
			length:  20 * time.Second,
			objects: 24,
			hot:     0.4,
		},
		{
			name:    "cold-herd",
			rate:    30,
			length:  20 * time.Second,
			objects: 24,
			events: []event{
				{
					at:     5 * time.Second,
					change: (*world).loseSouth,
				},
				{
					at:     9 * time.Second,
					change: (*world).returnSouth,
				},
			},
		},
		{
			name:    "slow-minority",
			rate:    30,
			length:  20 * time.Second,
			objects: 24,
			events: []event{
				{
					at: 4 * time.Second,
					change: func(w *world) {
						for i := 0; i < len(w.servers); i += 6 {
							w.servers[i].slow = 6
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
			events: []event{
				{
					at: 4 * time.Second,
					change: func(w *world) {
						for i := 0; i < len(w.servers); i += 6 {
							w.servers[i].shed = 0.5
						}
					},
				},
			},
		},
		{
			name:    "upload-convoy",
			rate:    22,
			length:  20 * time.Second,
			objects: 24,
			uploads: 0.08,
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
			skew: map[string]float64{
				"north": 1.6,
				"south": 0.7,
				"west":  0.7,
			},
		},
	}
}

// loseSouth takes a region's servers down.
func (w *world) loseSouth() {
	for _, each := range w.servers {
		if each.Region == "south" {
			each.down = true
			each.warm = nil
		}
	}
}

// returnSouth brings them back cold, and registered as such.
func (w *world) returnSouth() {
	for _, each := range w.servers {
		if each.Region != "south" {
			continue
		}
		each.down = false
		each.BornUnixMS++
		cold := each.Server
		cold.ColdLeft = 3 * time.Second
		for _, at := range w.entries {
			at.fleet.Update([]routing.Server{cold})
		}
	}
}

// TestGoodputAgainstBaselines plays each load under ours and the baselines. In goodput within
// the objective ours is at least as good as the best baseline, and hardly a
// request is sent twice.
func TestGoodputAgainstBaselines(t *testing.T) {
	for _, p := range patterns() {
		t.Run(p.name, func(t *testing.T) {
			ours := play(t, p, "ours")
			best := 0
			for _, policy := range []string{"random", "two-choices", "hash"} {
				best = max(best, play(t, p, policy).inAim)
			}
			assert.Check(t, ours.inAim >= best, "ours %d, best baseline %d", ours.inAim, best)
			assert.Check(t, float64(ours.sends) <= 1.05*float64(ours.inAim+ours.late))
		})
	}
}

// plannerShare is the part of the goodput of a planner with full knowledge that
// entries are to reach.
const plannerShare = 0.9

// TestAgainstPlanner: entries reach nearly what could be reached if each knew all.
func TestAgainstPlanner(t *testing.T) {
	for _, p := range patterns() {
		if !surges(p) {
			t.Run(p.name, func(t *testing.T) { againstPlanner(t, p) })
		}
	}
}

// TestSurgeAgainstPlanner: the same where the servers suddenly have more to do
// than they can.
func TestSurgeAgainstPlanner(t *testing.T) {
	for _, p := range patterns() {
		if surges(p) {
			t.Run(p.name, func(t *testing.T) { againstPlanner(t, p) })
		}
	}
}

func surges(p *pattern) bool { return p.cold || p.burst > 0 && p.impatient == 0 }

func againstPlanner(t *testing.T, p *pattern) {
	ours, best := play(t, p, "ours"), play(t, p, "planner")
	assert.Check(t, float64(ours.inAim) >= plannerShare*float64(best.inAim), "ours %d, planner %d", ours.inAim, best.inAim)
}

// TestGoodputUnderOverload: at three times the load, more requests a second have
// their answer within the objective than at one.
func TestGoodputUnderOverload(t *testing.T) {
	load := pattern{
		name:    "steady",
		rate:    30,
		length:  10 * time.Second,
		objects: 24,
	}
	one := play(t, &load, "ours")
	load.name, load.rate = "three-times", 90
	three := play(t, &load, "ours")
	assert.Check(t, three.inAim >= one.inAim, "%d at one, %d at three", one.inAim, three.inAim)
}

// TestRefusedTwice: hardly more callers are sent away twice than there is load
// beyond what warm servers can do.
func TestRefusedTwice(t *testing.T) {
	for _, p := range patterns() {
		t.Run(p.name, func(t *testing.T) {
			ours := play(t, p, "ours")
			assert.Check(t, ours.share(ours.refusedTwice) <= p.excess()+0.05, "%.3f refused twice, %.3f of the load is beyond capacity",
				ours.share(ours.refusedTwice), p.excess())
		})
	}
}

// excess is the part of a pattern's requests that its servers can't do even if
// every object is warm.
func (p *pattern) excess() float64 {
	capacity := float64(len(regions)*7*slots) / warmWork.Seconds()
	rate := p.rate * float64(len(regions))
	burst := max(p.burst, 1) * rate
	during := (p.burstUntil - p.burstFrom).Seconds()
	total := rate*(p.length.Seconds()-during) + burst*during
	return max(0, burst-capacity) * during / total
}

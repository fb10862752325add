package placement

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestSlotWeights checks the shares of the objects of a region's callers that each region
// gets, which are the weights of the slots times their numbers.
func TestSlotWeights(t *testing.T) {
	for _, test := range []struct {
		name  string
		slots map[string]float64
		// shares are those of the objects requested in region north.
		shares map[string]float64
	}{
		{
			name: "alike",
			slots: map[string]float64{
				"north": 30,
				"south": 30,
				"west":  30,
			},
			shares: map[string]float64{
				"north": 1,
				"south": 0,
				"west":  0,
			},
		},
		{
			name: "few slots at home",
			slots: map[string]float64{
				"north": 10,
				"south": 40,
				"west":  40,
			},
			shares: map[string]float64{
				"north": 7.0 / 15,
				"south": 4.0 / 15,
				"west":  4.0 / 15,
			},
		},
		{
			name: "no room in one other region",
			slots: map[string]float64{
				"north": 10,
				"south": 65,
				"west":  15,
			},
			shares: map[string]float64{
				"north": 7.0 / 15,
				"south": 8.0 / 15,
				"west":  0,
			},
		},
		{
			name: "none at home",
			slots: map[string]float64{
				"south": 30,
				"west":  30,
			},
			shares: map[string]float64{
				"south": 0.5,
				"west":  0.5,
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			total := 0.0
			for _, slots := range test.slots {
				total += slots
			}
			weights := slotWeights("north", test.slots, total, 3)
			for region, share := range test.shares {
				assert.Assert(t, math.Abs(weights[region]*test.slots[region]-share) < 1e-4, "%s: %f", region, weights[region]*test.slots[region])
			}
		})
	}
}

// TestSlotWeightsFillNoRegion checks for arbitrary numbers of slots that the shares add up to
// one, that they are all positive, and that no region is given more than maxHomeUtilization of
// its slots under the assumed demand, as long as all together have that room.
func TestSlotWeightsFillNoRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := []string{"east", "north", "south", "west"}[:rapid.IntRange(1, 4).Draw(t, "regions")]
		slots, total := make(map[string]float64), 0.0
		for _, region := range regions {
			slots[region] = float64(rapid.IntRange(0, 200).Draw(t, region))
			total += slots[region]
		}
		if total == 0 {
			return
		}
		demand := assumedUtilization * total / float64(len(regions))
		used := make(map[string]float64)
		for _, own := range regions {
			sum := 0.0
			for region, weight := range slotWeights(own, slots, total, len(regions)) {
				assert.Assert(t, weight > 0, "%s from %s", region, own)
				sum += weight * slots[region]
				used[region] += weight * slots[region] * demand
			}
			assert.Assert(t, math.Abs(sum-1) < 1e-3, "the shares from %s add up to %f", own, sum)
		}
		for _, region := range regions {
			assert.Assert(t, used[region] <= maxHomeUtilization*slots[region]+1e-3*total, "%s: %f of %f slots", region, used[region], slots[region])
		}
	})
}

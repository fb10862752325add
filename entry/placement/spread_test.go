package placement

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/teaselstack/teaselstack/routing"
)

// TestSpreadWeights checks the shares of the objects of a region's callers that each region
// gets, which are the weights of the slots times their numbers.
func TestSpreadWeights(t *testing.T) {
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
				"north": 7.0 / 18,
				"south": 11.0 / 36,
				"west":  11.0 / 36,
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
				"north": 7.0 / 18,
				"south": 11.0 / 18,
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
			weights := spreadWeights("north", test.slots, 3)
			for region, share := range test.shares {
				assert.Assert(t, math.Abs(weights[region]*test.slots[region]-share) < 1e-4, "%s: %f", region, weights[region]*test.slots[region])
			}
		})
	}
}

// TestSpreadFillsNoRegion checks for arbitrary numbers of slots that the shares add up to
// one, that they are all positive, and that no region is given more than maxHomeUtilization of
// its slots under the assumed demand, as long as all together have that room.
func TestSpreadFillsNoRegion(t *testing.T) {
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
			for region, weight := range spreadWeights(own, slots, len(regions)) {
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

// TestUploadsStayInTheirFailureDomain checks which of the own region's servers come first for
// uploads and for other requests: for uploads those of the own failure domain, if it has
// enough slots, and otherwise all alike.
func TestUploadsStayInTheirFailureDomain(t *testing.T) {
	for _, test := range []struct {
		name string
		kind routing.RequestKind
		// serverCount is the number of servers, of three slots each, in each failure domain.
		serverCount int
		// minShare and maxShare bound the share of objects whose first server is in the own
		// failure domain.
		minShare, maxShare float64
	}{
		{
			name:        "uploads",
			kind:        routing.Upload,
			serverCount: 4,
			minShare:    1,
			maxShare:    1,
		},
		{
			name:        "uploads with few slots in the domain",
			kind:        routing.Upload,
			serverCount: 1,
			minShare:    0.4,
			maxShare:    0.6,
		},
		{
			name:        "other requests",
			kind:        routing.Idempotent,
			serverCount: 4,
			minShare:    0.4,
			maxShare:    0.6,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			fleet := New("north", func() (int, int) { return 0, 1 }, WithFailureDomain("north-a"))
			var servers []routing.Server
			for _, domain := range []string{"north-a", "north-b", "south-a", "south-b"} {
				for i := range test.serverCount {
					servers = append(servers, routing.Server{
						ID:            fmt.Sprintf("%s-%d", domain, i),
						Service:       "desk",
						FailureDomain: domain,
						Region:        strings.Split(domain, "-")[0],
						Slots:         3,
					})
				}
			}
			fleet.Update(servers)
			const objects = 500
			inDomain := 0
			for object := range objects {
				ranked := fleet.rank(&Request{
					Service: "desk",
					Kind:    test.kind,
					Object:  ObjectHash("", strconv.Itoa(object)),
				}, time.Now())
				assert.Equal(t, ranked[0].Region, "north")
				if ranked[0].FailureDomain == "north-a" {
					inDomain++
				}
			}
			share := float64(inDomain) / objects
			assert.Assert(t, share >= test.minShare && share <= test.maxShare, "%.2f", share)
		})
	}
}

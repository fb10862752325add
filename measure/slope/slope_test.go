package slope_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/measure/slope"
)

func TestFitAndExtrapolateRecoverPowerLaw(t *testing.T) {
	for _, exponent := range []float64{0, 1, 2} {
		var points []slope.Point
		for _, size := range []float64{10, 100, 1000} {
			points = append(points, slope.Point{
				Size:  size,
				Value: 3 * math.Pow(size, exponent),
			})
		}
		law := slope.Fit(points)
		assert.Assert(t, math.Abs(law.Exponent-exponent) < 1e-9)
		assert.Assert(t, math.Abs(law.Factor-3) < 1e-9)
		value, measured := slope.Extrapolate(points, 10_000)
		assert.Assert(t, !measured)
		assert.Assert(t, math.Abs(value/(3*math.Pow(10_000, exponent))-1) < 1e-9)
	}
}

func TestExtrapolateReturnsMeasuredValue(t *testing.T) {
	value, measured := slope.Extrapolate([]slope.Point{
		{
			Size:  1,
			Value: 5,
		},
		{
			Size:  2,
			Value: 50,
		},
	}, 1)
	assert.Equal(t, value, 5.0)
	assert.Assert(t, measured)
}

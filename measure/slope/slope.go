// Package slope fits power laws to costs measured at several sizes and
// extrapolates them to sizes that were not measured.
package slope

import "math"

// Point is a value, such as a cost, that was measured or calculated at a size.
type Point struct {
	Size  float64
	Value float64
}

// PowerLaw is the function value = Factor * size^Exponent. An exponent of 0 means a
// constant value, 1 linear growth.
type PowerLaw struct {
	Factor   float64
	Exponent float64
}

// Fit returns the power law that fits points best, by least squares of the
// logarithms. It ignores points whose size or value is not above 0. With fewer
// than two different sizes it returns the zero PowerLaw.
func Fit(points []Point) PowerLaw {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, point := range points {
		if point.Size <= 0 || point.Value <= 0 {
			continue
		}
		x, y := math.Log(point.Size), math.Log(point.Value)
		n++
		sumX += x
		sumY += y
		sumXX += x * x
		sumXY += x * y
	}
	spread := n*sumXX - sumX*sumX
	if n < 2 || spread == 0 {
		return PowerLaw{}
	}
	exponent := (n*sumXY - sumX*sumY) / spread
	return PowerLaw{
		Factor:   math.Exp((sumY - exponent*sumX) / n),
		Exponent: exponent,
	}
}

// At returns the value of the power law at a size.
func (l PowerLaw) At(size float64) float64 {
	return l.Factor * math.Pow(size, l.Exponent)
}

// Extrapolate returns the value at a size and whether points contains that size.
// If not, the value is extrapolated by the power law through the last two points,
// which must be those of the largest sizes: at small sizes a fixed cost flattens the
// curve. With fewer than two points, the extrapolated value is 0.
func Extrapolate(points []Point, size float64) (value float64, measured bool) {
	for _, point := range points {
		if point.Size == size {
			return point.Value, true
		}
	}
	if len(points) < 2 {
		return 0, false
	}
	law := Fit(points[len(points)-2:])
	return law.At(size), false
}

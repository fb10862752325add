// Package slope fits how a cost grows with a size, and carries it to sizes that
// were not measured.
package slope

import "math"

// Point is a cost measured at a size.
type Point struct {
	Size  float64
	Value float64
}

// PowerLaw is the power law value = Factor * size^Exponent.
type PowerLaw struct {
	Factor   float64
	Exponent float64
}

// Fit returns the power law nearest to points by least squares of the
// logarithms. Points whose size or value is not above 0 are left out; fewer
// than two points give the zero Line.
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

// At returns the line's value at a size.
func (l PowerLaw) At(size float64) float64 {
	return l.Factor * math.Pow(size, l.Exponent)
}

// Extrapolate returns the value at a size: a measured one where there is one,
// otherwise the last measured value grown by the exponent of the last two
// points, which follows a curve whose fixed part fades.
func Extrapolate(points []Point, size float64) (value float64, measured bool) {
	for _, point := range points {
		if point.Size == size {
			return point.Value, true
		}
	}
	if len(points) < 2 {
		return 0, false
	}
	line := Fit(points[len(points)-2:])
	return line.At(size), false
}

package scaletest

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: the value of the axis, and the cost.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
	// Excluded excludes the point from the fit, because the machine was saturated or the fleet was
	// unstable.
	Excluded bool `json:"left_out,omitempty"`
}

// Fit is a least-squares curve: y = Intercept + Slope·x if Shape is linear, and
// y = Intercept + Slope·x² if it is quadratic.
type Fit struct {
	Shape     string  `json:"shape"`
	Intercept float64 `json:"a"`
	Slope     float64 `json:"b"`
	// R2 is the coefficient of determination; 1 is a perfect fit.
	R2         float64 `json:"r2"`
	PointCount int     `json:"points"`
}

const (
	linear    = "linear"
	quadratic = "square"
	// minSizesForFit is the minimum number of distinct sizes for a fit.
	minSizesForFit = 2
	// minSizesForQuadratic is higher, because a quadratic fits the noise of three sizes too well.
	minSizesForQuadratic = 4
	// maxQuadraticResidualRatio limits the unexplained variance of a quadratic, relative to that
	// of the line, for the quadratic to be chosen.
	maxQuadraticResidualRatio = 0.5
)

// FitPoints fits the points that aren't excluded. It returns false if they have fewer than two
// distinct sizes.
func FitPoints(points []Point) (Fit, bool) {
	var xs, ys, squares []float64
	sizes := map[float64]bool{}
	for _, p := range points {
		if !p.Excluded {
			xs, ys, squares = append(xs, p.X), append(ys, p.Y), append(squares, p.X*p.X)
			sizes[p.X] = true
		}
	}
	if len(sizes) < minSizesForFit {
		return Fit{}, false
	}
	best := fitShape(linear, xs, ys)
	if len(sizes) >= minSizesForQuadratic {
		curve := fitShape(quadratic, squares, ys)
		if curve.Slope > 0 && 1-curve.R2 < maxQuadraticResidualRatio*(1-best.R2) {
			best = curve
		}
	}
	return best, true
}

func fitShape(shape string, xs, ys []float64) Fit {
	a, b := stat.LinearRegression(xs, ys, nil, false)
	r2 := stat.RSquared(xs, ys, nil, a, b)
	// If all values of y are equal, their variance is 0 and R² is undefined. A horizontal line is
	// then a perfect fit.
	if math.IsNaN(r2) || math.IsInf(r2, 0) {
		r2 = 1
	}
	return Fit{Shape: shape, Intercept: a, Slope: b, R2: r2, PointCount: len(xs)}
}

// ValueAt returns the value of the curve at x.
func (f Fit) ValueAt(x float64) float64 {
	if f.Shape == quadratic {
		return f.Intercept + f.Slope*x*x
	}
	return f.Intercept + f.Slope*x
}

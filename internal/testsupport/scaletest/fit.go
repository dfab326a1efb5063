package scaletest

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement of a slope.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
	// Left out: the machine was full, so this measures it and not the fleet.
	LeftOut bool `json:"left_out,omitempty"`
}

// Fit is a least-squares line through points: y = A + B x, or A + B x² where
// that explains clearly more.
type Fit struct {
	Shape      string  `json:"shape"`
	Intercept  float64 `json:"a"`
	Slope      float64 `json:"b"`
	R2         float64 `json:"r2"`
	PointCount int     `json:"points"`
}

const (
	linear    = "linear"
	quadratic = "square"
	// quadraticResidualShare is what part of the unexplained rest the square must take away.
	quadraticResidualShare = 0.5
	// minSizesForQuadratic points are wanted before a curve is believed.
	minSizesForQuadratic = 4
)

// FitPoints fits the points that aren't left out; false if there are too few.
func FitPoints(points []Point) (Fit, bool) {
	var xs, ys, squares []float64
	seen := map[float64]bool{}
	for _, p := range points {
		if !p.LeftOut {
			xs, ys, squares = append(xs, p.X), append(ys, p.Y), append(squares, p.X*p.X)
			seen[p.X] = true
		}
	}
	if len(seen) < 2 {
		return Fit{}, false
	}
	best := fitShape(linear, xs, ys)
	if len(seen) >= minSizesForQuadratic {
		if curve := fitShape(quadratic, squares, ys); curve.Slope > 0 && 1-curve.R2 < quadraticResidualShare*(1-best.R2) {
			best = curve
		}
	}
	return best, true
}

func fitShape(shape string, xs, ys []float64) Fit {
	a, b := stat.LinearRegression(xs, ys, nil, false)
	r2 := stat.RSquared(xs, ys, nil, a, b)
	// All points at one height are explained by a level line.
	if math.IsNaN(r2) || math.IsInf(r2, 0) {
		r2 = 1
	}
	return Fit{Shape: shape, Intercept: a, Slope: b, R2: r2, PointCount: len(xs)}
}

// ValueAt multiplies out.
func (f Fit) ValueAt(x float64) float64 {
	if f.Shape == quadratic {
		return f.Intercept + f.Slope*x*x
	}
	return f.Intercept + f.Slope*x
}

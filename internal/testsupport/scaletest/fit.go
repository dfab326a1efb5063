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
	Out bool `json:"left_out,omitempty"`
}

// Fit is a least-squares line through points: y = A + B x, or A + B x² where
// that explains clearly more.
type Fit struct {
	Shape  string  `json:"shape"`
	A      float64 `json:"a"`
	B      float64 `json:"b"`
	R2     float64 `json:"r2"`
	Points int     `json:"points"`
}

const (
	linear = "linear"
	square = "square"
	// squareTermShare is what part of the unexplained rest the square must take away.
	squareTermShare = 0.5
	// leastForSquare points are wanted before a curve is believed.
	leastForSquare = 4
)

// FitOf fits the points that aren't left out; false if there are too few.
func FitOf(points []Point) (Fit, bool) {
	var xs, ys, squares []float64
	seen := map[float64]bool{}
	for _, p := range points {
		if !p.Out {
			xs, ys, squares = append(xs, p.X), append(ys, p.Y), append(squares, p.X*p.X)
			seen[p.X] = true
		}
	}
	if len(seen) < 2 {
		return Fit{}, false
	}
	best := line(linear, xs, ys)
	if len(seen) >= leastForSquare {
		if s := line(square, squares, ys); s.B > 0 && 1-s.R2 < squareTermShare*(1-best.R2) {
			best = s
		}
	}
	return best, true
}

func line(shape string, xs, ys []float64) Fit {
	a, b := stat.LinearRegression(xs, ys, nil, false)
	r2 := stat.RSquared(xs, ys, nil, a, b)
	// All points at one height are explained by a level line.
	if math.IsNaN(r2) || math.IsInf(r2, 0) {
		r2 = 1
	}
	return Fit{Shape: shape, A: a, B: b, R2: r2, Points: len(xs)}
}

// At multiplies out.
func (f Fit) At(x float64) float64 {
	if f.Shape == square {
		return f.A + f.B*x*x
	}
	return f.A + f.B*x
}

package scaletest

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// almostEqual reports whether two numbers differ only by rounding errors.
func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-6*max(1, math.Abs(b)) }

// pointsOf returns the points of a function at xs.
func pointsOf(f func(x float64) float64, xs ...float64) []Point {
	var out []Point
	for _, x := range xs {
		out = append(out, Point{X: x, Y: f(x)})
	}
	return out
}

func TestFitPoints_Line(t *testing.T) {
	is := is.New(t)
	f, ok := FitPoints(pointsOf(func(x float64) float64 { return 3 + 0.5*x }, 10, 20, 40, 80))
	is.True(ok)
	is.Equal(f.Shape, linear)
	is.Equal(f.PointCount, 4)
	is.True(almostEqual(f.ValueAt(1600), 803))
	is.True(almostEqual(f.R2, 1))
}

func TestFitPoints_QuadraticNeedsFourSizes(t *testing.T) {
	is := is.New(t)
	parabola := func(x float64) float64 { return 2 + x*x/100 }
	f, ok := FitPoints(pointsOf(parabola, 10, 20, 40, 80))
	is.True(ok)
	is.Equal(f.Shape, quadratic)
	is.True(almostEqual(f.ValueAt(1600), 25602))
	// Three sizes are too few for a quadratic.
	f, ok = FitPoints(pointsOf(parabola, 10, 20, 40))
	is.True(ok)
	is.Equal(f.Shape, linear)
}

func TestFitPoints_ExcludesPointsAndNeedsTwoSizes(t *testing.T) {
	is := is.New(t)
	withOutlier := append(pointsOf(func(x float64) float64 { return x }, 1, 2, 3), Point{X: 4, Y: 1000, Excluded: true})
	f, ok := FitPoints(withOutlier)
	is.True(ok)
	is.Equal(f.PointCount, 3)
	is.True(almostEqual(f.ValueAt(10), 10))
	_, ok = FitPoints(pointsOf(func(float64) float64 { return 1 }, 5, 5))
	is.True(!ok)
	f, ok = FitPoints(pointsOf(func(float64) float64 { return 7 }, 1, 2))
	is.True(ok)
	is.True(almostEqual(f.ValueAt(99), 7))
}

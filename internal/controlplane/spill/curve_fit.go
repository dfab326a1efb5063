package spill

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
)

// Sample is a zone's CPU time and its 95th percentile of front-line latency,
// in milliseconds, over one report.
type Sample struct {
	CPU           float64
	LatencyMillis float64
}

// Fit is what was learned of a zone's maximum, and whether to go by it.
type Fit struct {
	Maximum float64
	Learned bool
	Reason  string
	Samples int
}

const (
	// latencyObjectiveMillis is the latency that users still find fast, in milliseconds.
	latencyObjectiveMillis = 20.0
	minSamples             = 20
	minSpread              = 0.2
	minRSquared            = 0.5
	// maxLearnedRatio bounds how far beyond the set default a learned maximum may go.
	maxLearnedRatio = 1.5
)

// LearnMaximum fits latency to CPU by quadratic least squares and gives the CPU at
// the objective on the rising side. Where the samples don't carry a fit, the
// default stands.
func LearnMaximum(samples []Sample, target, fallback float64) Fit {
	cleaned := dropOutliers(samples)
	fallbackFit := func(why string) Fit { return Fit{Maximum: fallback, Reason: why, Samples: len(cleaned)} }
	if len(cleaned) < minSamples {
		return fallbackFit("too few samples")
	}
	low, high := cleaned[0].CPU, cleaned[0].CPU
	for _, x := range cleaned {
		low, high = min(low, x.CPU), max(high, x.CPU)
	}
	if high-low < minSpread*target {
		return fallbackFit("too little spread")
	}
	a, b, c, rSquared := fitQuadratic(cleaned)
	if rSquared < minRSquared {
		return fallbackFit("the curve doesn't fit")
	}
	maximum, ok := solveAtObjective(a, b, c)
	if !ok {
		return fallbackFit("the curve doesn't rise to the objective")
	}
	// Clamped: never at or under the target, never far beyond the default.
	maximum = min(max(maximum, target*1.02), fallback*maxLearnedRatio)
	return Fit{Maximum: maximum, Learned: true, Reason: "learned", Samples: len(cleaned)}
}

// solveAtObjective solves a+bx+cx² = objective where the curve rises.
func solveAtObjective(a, b, c float64) (float64, bool) {
	a -= latencyObjectiveMillis
	if math.Abs(c) < 1e-12 {
		return -a / b, b > 0 && -a/b > 0
	}
	discriminant := b*b - 4*a*c
	if discriminant < 0 {
		return 0, false
	}
	// The slope at this solution is +sqrt(root), whatever the sign of c.
	x := (-b + math.Sqrt(discriminant)) / (2 * c)
	return x, x > 0
}

// fitQuadratic gives a, b, c and the share of the variance that they explain.
func fitQuadratic(samples []Sample) (a, b, c, rSquared float64) {
	// CPU is scaled to about one, or its squares would swamp the fit.
	scale := 0.0
	for _, x := range samples {
		scale = max(scale, x.CPU)
	}
	design, y, mean := mat.NewDense(len(samples), 3, nil), mat.NewVecDense(len(samples), nil), 0.0
	for i, x := range samples {
		u := x.CPU / scale
		design.SetRow(i, []float64{1, u, u * u})
		y.SetVec(i, x.LatencyMillis)
		mean += x.LatencyMillis / float64(len(samples))
	}
	var qr mat.QR
	qr.Factorize(design)
	var coefficients mat.VecDense
	if err := qr.SolveVecTo(&coefficients, false, y); err != nil {
		return 0, 0, 0, 0
	}
	a, b, c = coefficients.AtVec(0), coefficients.AtVec(1)/scale, coefficients.AtVec(2)/scale/scale
	var residual, total float64
	for _, x := range samples {
		residual += math.Pow(x.LatencyMillis-(a+b*x.CPU+c*x.CPU*x.CPU), 2)
		total += math.Pow(x.LatencyMillis-mean, 2)
	}
	if total == 0 {
		return a, b, c, 0
	}
	return a, b, c, 1 - residual/total
}

// dropOutliers drops outliers: samples far, by median deviation, from the others of
// about the same CPU.
func dropOutliers(samples []Sample) []Sample {
	s := slices.Clone(samples)
	slices.SortFunc(s, func(a, b Sample) int {
		return cmp.Or(cmp.Compare(a.CPU, b.CPU), cmp.Compare(a.LatencyMillis, b.LatencyMillis))
	})
	const radius = 5
	var out []Sample
	for i, x := range s {
		neighbours := s[max(0, i-radius):min(len(s), i+radius+1)]
		center := median(neighbours, func(n Sample) float64 { return n.LatencyMillis })
		deviation := median(neighbours, func(n Sample) float64 { return math.Abs(n.LatencyMillis - center) })
		if math.Abs(x.LatencyMillis-center) <= 4*max(deviation, 0.25) {
			out = append(out, x)
		}
	}
	return out
}

func median(s []Sample, of func(Sample) float64) float64 {
	v := make([]float64, len(s))
	for i, x := range s {
		v[i] = of(x)
	}
	slices.Sort(v)
	return v[len(v)/2]
}

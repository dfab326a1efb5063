package spill

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
)

// Sample is a cell's CPU time and its 95th percentile of front-line latency,
// in milliseconds, over one report.
type Sample struct {
	CPU     float64
	Latency float64
}

// Fit is what was learned of a cell's maximum, and whether to go by it.
type Fit struct {
	Maximum float64
	Kept    bool
	Why     string
	Samples int
}

const (
	// Objective is the latency that users still find fast, in milliseconds.
	Objective = 20.0
	fewest    = 20
	spread    = 0.2
	trust     = 0.5
	// ceiling bounds how far beyond the set default a learned maximum may go.
	ceiling = 1.5
)

// Learn fits latency to CPU by quadratic least squares and gives the CPU at
// the objective on the rising side. Where the samples don't carry a fit, the
// default stands.
func Learn(samples []Sample, target, fallback float64) Fit {
	s := clean(samples)
	no := func(why string) Fit { return Fit{Maximum: fallback, Why: why, Samples: len(s)} }
	if len(s) < fewest {
		return no("too few samples")
	}
	low, high := s[0].CPU, s[0].CPU
	for _, x := range s {
		low, high = min(low, x.CPU), max(high, x.CPU)
	}
	if high-low < spread*target {
		return no("too little spread")
	}
	a, b, c, fit := quadratic(s)
	if fit < trust {
		return no("the curve doesn't fit")
	}
	at, ok := rising(a, b, c)
	if !ok {
		return no("the curve doesn't rise to the objective")
	}
	// Clamped: never at or under the target, never far beyond the default.
	at = min(max(at, target*1.02), fallback*ceiling)
	return Fit{Maximum: at, Kept: true, Why: "learned", Samples: len(s)}
}

// rising solves a+bx+cx² = objective where the curve rises.
func rising(a, b, c float64) (float64, bool) {
	a -= Objective
	if math.Abs(c) < 1e-12 {
		return -a / b, b > 0 && -a/b > 0
	}
	root := b*b - 4*a*c
	if root < 0 {
		return 0, false
	}
	// The slope at this solution is +sqrt(root), whatever the sign of c.
	x := (-b + math.Sqrt(root)) / (2 * c)
	return x, x > 0
}

// quadratic gives a, b, c and the share of the variance that they explain.
func quadratic(s []Sample) (a, b, c, fit float64) {
	// CPU is scaled to about one, or its squares would swamp the fit.
	scale := 0.0
	for _, x := range s {
		scale = max(scale, x.CPU)
	}
	m, y, mean := mat.NewDense(len(s), 3, nil), mat.NewVecDense(len(s), nil), 0.0
	for i, x := range s {
		u := x.CPU / scale
		m.SetRow(i, []float64{1, u, u * u})
		y.SetVec(i, x.Latency)
		mean += x.Latency / float64(len(s))
	}
	var q mat.QR
	q.Factorize(m)
	var k mat.VecDense
	if err := q.SolveVecTo(&k, false, y); err != nil {
		return 0, 0, 0, 0
	}
	a, b, c = k.AtVec(0), k.AtVec(1)/scale, k.AtVec(2)/scale/scale
	var off, all float64
	for _, x := range s {
		off += math.Pow(x.Latency-(a+b*x.CPU+c*x.CPU*x.CPU), 2)
		all += math.Pow(x.Latency-mean, 2)
	}
	if all == 0 {
		return a, b, c, 0
	}
	return a, b, c, 1 - off/all
}

// clean drops outliers: samples far, by median deviation, from the others of
// about the same CPU.
func clean(samples []Sample) []Sample {
	s := slices.Clone(samples)
	slices.SortFunc(s, func(a, b Sample) int { return cmp.Or(cmp.Compare(a.CPU, b.CPU), cmp.Compare(a.Latency, b.Latency)) })
	const reach = 5
	var out []Sample
	for i, x := range s {
		near := s[max(0, i-reach):min(len(s), i+reach+1)]
		mid := median(near, func(n Sample) float64 { return n.Latency })
		dev := median(near, func(n Sample) float64 { return math.Abs(n.Latency - mid) })
		if math.Abs(x.Latency-mid) <= 4*max(dev, 0.25) {
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

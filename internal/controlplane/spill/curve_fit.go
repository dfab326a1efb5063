package spill

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
)

// Sample is one observation of a zone: its CPU time, and a proxy's latency at that load.
type Sample struct {
	// CPU is in milliseconds per second.
	CPU float64
	// LatencyMillis is the 95th percentile of the proxy's own time for a request.
	LatencyMillis float64
}

// Fit is the maximum load of a zone, either learned from samples or configured.
type Fit struct {
	// Maximum is in milliseconds of CPU time per second.
	Maximum float64
	// Learned is false if the samples allow no fit and Maximum is the configured one.
	Learned bool
	// Reason explains to operators why Maximum was or wasn't learned.
	Reason string
	// SampleCount is the number of samples left after outliers are removed.
	SampleCount int
}

const (
	// latencyObjectiveMillis is the highest acceptable latency. The load at which a zone
	// reaches it is the zone's maximum.
	latencyObjectiveMillis = 20.0
	// minSamples is the minimum number of samples for a fit.
	minSamples = 20
	// minSpread is the minimum range of the samples' CPU times, as a fraction of the target.
	minSpread = 0.2
	// minRSquared is the minimum coefficient of determination of a fit.
	minRSquared = 0.5
	// minTargetRatio and maxConfiguredRatio bound a learned maximum: it is at least this
	// multiple of the target, and at most this multiple of the configured maximum.
	minTargetRatio     = 1.02
	maxConfiguredRatio = 1.5
)

// LearnMaximum fits latency as a quadratic function of CPU time by least squares, and returns
// the CPU time at which latency rises to the objective, clamped to its bounds. If the samples
// allow no such fit, it returns the configured maximum.
func LearnMaximum(samples []Sample, target, configured float64) Fit {
	cleaned := dropOutliers(samples)
	maximum, reason := fitMaximum(cleaned, target)
	if reason != "" {
		return Fit{Maximum: configured, Reason: reason, SampleCount: len(cleaned)}
	}
	maximum = min(max(maximum, target*minTargetRatio), configured*maxConfiguredRatio)
	return Fit{Maximum: maximum, Learned: true, Reason: "learned", SampleCount: len(cleaned)}
}

// fitMaximum returns the CPU time at which latency rises to the objective, or the reason why
// it can't be determined from the samples.
func fitMaximum(samples []Sample, target float64) (maximum float64, reason string) {
	if len(samples) < minSamples {
		return 0, "too few samples"
	}
	low, high := samples[0].CPU, samples[0].CPU
	for _, sample := range samples {
		low, high = min(low, sample.CPU), max(high, sample.CPU)
	}
	if high-low < minSpread*target {
		return 0, "too little spread"
	}
	a, b, c, rSquared := fitQuadratic(samples)
	if rSquared < minRSquared {
		return 0, "the curve doesn't fit"
	}
	maximum, ok := solveAtObjective(a, b, c)
	if !ok {
		return 0, "the curve doesn't rise to the objective"
	}
	return maximum, ""
}

// minCurvature is the magnitude of the quadratic coefficient below which the curve is treated
// as a line.
const minCurvature = 1e-12

// solveAtObjective solves a+bx+cx² = latencyObjectiveMillis for the positive x at which the
// curve rises. It returns false if there is none.
func solveAtObjective(a, b, c float64) (float64, bool) {
	a -= latencyObjectiveMillis
	if math.Abs(c) < minCurvature {
		return -a / b, b > 0 && -a/b > 0
	}
	discriminant := b*b - 4*a*c
	if discriminant < 0 {
		return 0, false
	}
	// At this root the slope is the square root of the discriminant, so the curve rises for
	// either sign of c.
	x := (-b + math.Sqrt(discriminant)) / (2 * c)
	return x, x > 0
}

// fitQuadratic returns the least-squares coefficients of a+bx+cx² and the coefficient of
// determination.
func fitQuadratic(samples []Sample) (a, b, c, rSquared float64) {
	// CPU is scaled to at most 1 to keep the design matrix well conditioned.
	scale := 0.0
	for _, sample := range samples {
		scale = max(scale, sample.CPU)
	}
	design, latencies := mat.NewDense(len(samples), 3, nil), mat.NewVecDense(len(samples), nil)
	mean := 0.0
	for i, sample := range samples {
		x := sample.CPU / scale
		design.SetRow(i, []float64{1, x, x * x})
		latencies.SetVec(i, sample.LatencyMillis)
		mean += sample.LatencyMillis / float64(len(samples))
	}
	var qr mat.QR
	qr.Factorize(design)
	var coefficients mat.VecDense
	if err := qr.SolveVecTo(&coefficients, false, latencies); err != nil {
		// The design matrix is singular or ill-conditioned, so there is no usable fit.
		return 0, 0, 0, 0
	}
	a, b, c = coefficients.AtVec(0), coefficients.AtVec(1)/scale, coefficients.AtVec(2)/scale/scale
	var residual, total float64
	for _, sample := range samples {
		residual += math.Pow(sample.LatencyMillis-(a+b*sample.CPU+c*sample.CPU*sample.CPU), 2)
		total += math.Pow(sample.LatencyMillis-mean, 2)
	}
	if total == 0 {
		return a, b, c, 0
	}
	return a, b, c, 1 - residual/total
}

const (
	// outlierRadius is the number of neighbours by CPU time on each side that a sample is
	// compared with.
	outlierRadius = 5
	// outlierDeviations is the distance from the neighbours' median latency, in median
	// absolute deviations, beyond which a sample is an outlier. A deviation is taken as at
	// least minDeviationMillis.
	outlierDeviations  = 4
	minDeviationMillis = 0.25
)

// dropOutliers returns the samples without outliers, sorted by CPU time. An outlier's latency
// is far from that of samples with a similar CPU time.
func dropOutliers(samples []Sample) []Sample {
	sorted := slices.Clone(samples)
	slices.SortFunc(sorted, func(a, b Sample) int {
		return cmp.Or(cmp.Compare(a.CPU, b.CPU), cmp.Compare(a.LatencyMillis, b.LatencyMillis))
	})
	var kept []Sample
	for i, sample := range sorted {
		neighbours := sorted[max(0, i-outlierRadius):min(len(sorted), i+outlierRadius+1)]
		center := median(neighbours, func(n Sample) float64 { return n.LatencyMillis })
		deviation := median(neighbours, func(n Sample) float64 { return math.Abs(n.LatencyMillis - center) })
		if math.Abs(sample.LatencyMillis-center) <= outlierDeviations*max(deviation, minDeviationMillis) {
			kept = append(kept, sample)
		}
	}
	return kept
}

// median returns the median of value over the samples. For an even number of samples it is
// the upper of the two middle values.
func median(samples []Sample, value func(Sample) float64) float64 {
	values := make([]float64, len(samples))
	for i, sample := range samples {
		values[i] = value(sample)
	}
	slices.Sort(values)
	return values[len(values)/2]
}

package spill

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// newSamples returns samples with noise and some outliers of a zone whose latency reaches the
// objective at 1000 ms/s.
func newSamples() []Sample {
	random := rand.New(rand.NewPCG(1, 2))
	var samples []Sample
	for i := range 200 {
		x := 200 + float64(i)*4
		samples = append(samples, Sample{CPU: x, LatencyMillis: 2 + 18*(x/1000)*(x/1000) + random.NormFloat64()*0.3})
	}
	for i := 0; i < len(samples); i += 20 {
		samples[i].LatencyMillis = 400
	}
	return samples
}

func TestLearnMaximum_FindsLoadAtLatencyObjective(t *testing.T) {
	is := is.New(t)
	fit := LearnMaximum(newSamples(), 850, 900)
	is.True(fit.Learned)
	is.True(math.Abs(fit.Maximum-1000) < 25)
}

func TestLearnMaximum_StaysAboveTarget(t *testing.T) {
	is := is.New(t)
	is.Equal(LearnMaximum(newSamples(), 1200, 1300).Maximum, 1200.0*1.02)
}

func TestLearnMaximum_FallsBackToConfiguredMaximum(t *testing.T) {
	falling := newSamples()
	for i := range falling {
		falling[i].LatencyMillis = 15 - 10*falling[i].CPU/1000
	}
	for name, samples := range map[string][]Sample{
		"too few samples":   newSamples()[:10],
		"too little spread": newSamples()[:30],
		"falling curve":     falling,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fit := LearnMaximum(samples, 850, 900)
			is.Equal(fit.Learned, false)
			is.Equal(fit.Maximum, 900.0)
		})
	}
}

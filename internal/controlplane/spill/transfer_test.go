package spill

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// approxEqual tells whether two numbers are equal but for rounding.
func approxEqual(a, b float64) bool { return math.Abs(a-b) < 1e-6*max(1, math.Abs(b)) }

// The first worked example of the published description: a zone that uses 18,000 ms/s at
// 90 %, with a target of 85 %, must move 1,000 ms/s.
func TestExcessCPU_MatchesPublishedExample(t *testing.T) {
	is := is.New(t)
	is.True(approxEqual(excessCPU(18000, 90, 85), 1000))
	is.Equal(excessCPU(18000, 85, 85), 0.0)
}

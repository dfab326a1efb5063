package spill

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// approxEqual reports whether two numbers are equal up to rounding errors.
func approxEqual(a, b float64) bool { return math.Abs(a-b) < 1e-6*max(1, math.Abs(b)) }

// The first example of Cloudflare's description of Traffic Manager: a zone that uses 18,000 ms/s
// at a utilization of 90 %, with a target of 85 %, must move 1,000 ms/s.
func TestExcessCPU_MatchesPublishedExample(t *testing.T) {
	is := is.New(t)
	is.True(approxEqual(excessCPU(18000, 90, 85), 1000))
	is.Equal(excessCPU(18000, 85, 85), 0.0)
}

package registry

import (
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/state/policy"
)

// What a result means to a caller. One whose end is unknown is no refusal,
// whatever else it holds.
func TestStatusOfResults(t *testing.T) {
	is := is.New(t)
	fault := []policy.Fault{{Item: "route/mud"}}
	for status, r := range map[int]policy.Result{
		200: {},
		400: {Faults: fault},
		404: {Missing: []policy.Touched{{}}},
		409: {Conflicts: fault},
		504: {Unknown: "forgotten", Faults: fault, Stale: []policy.Stale{{}}},
	} {
		is.Equal(statusOf(r), status)
	}
	is.Equal(statusOf(policy.Result{Stale: []policy.Stale{{}}}), 409)
}

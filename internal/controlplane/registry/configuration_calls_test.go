package registry

import (
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/state/configuration"
)

// An unknown result is never reported as a rejection, whatever else it contains.
func TestHTTPStatus_FollowsResult(t *testing.T) {
	violations := []configuration.Violation{{Item: "route/mud"}}
	conflicts := []configuration.VersionConflict{{}}
	for _, c := range []struct {
		name   string
		result configuration.Result
		want   int
	}{
		{"accepted", configuration.Result{}, 200},
		{"invalid", configuration.Result{Violations: violations}, 400},
		{"missing item", configuration.Result{MissingItems: []configuration.ItemVersion{{}}}, 404},
		{"version reused", configuration.Result{ReuseConflicts: violations}, 409},
		{"version conflict", configuration.Result{VersionConflicts: conflicts}, 409},
		{"forgotten", configuration.Result{UnknownReason: "forgotten", Violations: violations, VersionConflicts: conflicts}, 504},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(httpStatus(c.result), c.want)
		})
	}
}

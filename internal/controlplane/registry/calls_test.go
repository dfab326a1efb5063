package registry

import (
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/state/configuration"
)

// What a result means to a caller. One whose end is unknown is no refusal,
// whatever else it holds.
func TestHTTPStatus_FollowsResult(t *testing.T) {
	is := is.New(t)
	fault := []configuration.Violation{{Item: "route/mud"}}
	for status, r := range map[int]configuration.Result{
		200: {},
		400: {Violations: fault},
		404: {MissingItems: []configuration.ItemVersion{{}}},
		409: {ReuseConflicts: fault},
		504: {UnknownReason: "forgotten", Violations: fault, VersionConflicts: []configuration.VersionConflict{{}}},
	} {
		is.Equal(httpStatus(r), status)
	}
	is.Equal(httpStatus(configuration.Result{VersionConflicts: []configuration.VersionConflict{{}}}), 409)
}

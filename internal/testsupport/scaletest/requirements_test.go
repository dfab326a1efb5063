package scaletest

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestRequirements_GrowWithSizeAndRejectOversized(t *testing.T) {
	is := is.New(t)
	a := RequirementsOf(small, 400)
	is.Equal(a.Processes, 7)
	is.Equal(a.Bytes(), a.ProxyGroups+a.Registries+a.Stores)
	for _, axis := range axes[:2] {
		b := small
		*axis.field(&b) *= 10
		is.True(RequirementsOf(b, 400).Bytes() > a.Bytes())
	}
	is.Equal(RequirementsOf(small, 2).Processes, 9)
	is.True(RequirementsOf(small, 2).Descriptors <= a.Descriptors)
	is.NoErr(a.CheckFits(small, Limits{Memory: 2 * a.Bytes(), Processes: 7, Descriptors: a.Descriptors}))
	for resource, limits := range map[string]Limits{
		"bytes":       {Memory: 2*a.Bytes() - 2, Processes: 7, Descriptors: a.Descriptors},
		"processes":   {Memory: 2 * a.Bytes(), Processes: 6, Descriptors: a.Descriptors},
		"descriptors": {Memory: 2 * a.Bytes(), Processes: 7, Descriptors: a.Descriptors - 1},
	} {
		err := a.CheckFits(small, limits)
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), resource))
		is.True(strings.Contains(err.Error(), "would need"))
	}
}

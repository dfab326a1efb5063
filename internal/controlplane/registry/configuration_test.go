package registry

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/configuration"
)

// A registry reads the configuration once or twice a second, so adopting an unchanged value
// must be cheap regardless of its size.
func TestAdoptConfiguration_UnchangedValueAllocatesLittle(t *testing.T) {
	is := is.New(t)
	var merge configuration.Merge
	for i := range 1000 {
		merge.Items = append(merge.Items, configuration.VersionedItem{Kind: "service", Name: ids.Name(fmt.Sprint("s", i)), Version: 1, Body: json.RawMessage(`{"tier":4}`)})
	}
	empty, err := configuration.Decode(nil)
	is.NoErr(err)
	first, result := empty.Merge(merge)
	is.True(result.Accepted())
	r := New(Options{Options: membership.Options{Self: membership.Member{ID: "f"}}})
	r.adoptConfiguration(first.Encode(true))
	is.Equal(r.configuration.view.Revision, ids.Revision(1))
	unchanged := first.Encode(true)
	is.True(testing.AllocsPerRun(10, func() { r.adoptConfiguration(unchanged) }) < 5)
	// A newer revision is adopted, an older one isn't.
	second, _ := first.Merge(configuration.Merge{Items: []configuration.VersionedItem{{Kind: "service", Name: "s1", Version: 2, Removed: true}}})
	r.adoptConfiguration(second.Encode(true))
	r.adoptConfiguration(first.Encode(true))
	is.Equal(r.configuration.view.Revision, ids.Revision(2))
	is.Equal(len(r.configuration.view.Services), 999)
}

// Regression: a registry that started before it knew any store sent its first read to no
// store, and read again only after that read timed out.
func TestPollConfiguration_StartsOnceStoreIsKnown(t *testing.T) {
	is := is.New(t)
	r := newTestRegistry(true)
	r.partitioned = true
	r.run(3*testTickInterval, nil)
	is.Equal(r.lease.renewedAt, ids.Time(0))
	r.partitioned = false
	r.run(2*testTickInterval, nil)
	is.True(r.lease.renewedAt != 0)
}

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

// A registry reads the configuration twice a second. The same again costs next to nothing,
// however large it is.
func TestAdoptConfiguration_UnchangedValueAllocatesLittle(t *testing.T) {
	is := is.New(t)
	var m configuration.Merge
	for i := range 1000 {
		m.Items = append(m.Items, configuration.VersionedItem{Kind: "service", Name: ids.Name(fmt.Sprint("s", i)), Version: 1, Body: json.RawMessage(`{"tier":4}`)})
	}
	p, err := configuration.Decode(nil)
	is.NoErr(err)
	p, r := p.Merge(m)
	is.True(r.Accepted())
	f := New(Options{Options: membership.Options{Self: membership.Member{ID: "f"}}})
	f.adoptConfiguration(p.Encode(true))
	is.Equal(f.configuration.view.Revision, ids.Revision(1))
	again := p.Encode(true)
	is.True(testing.AllocsPerRun(10, func() { f.adoptConfiguration(again) }) < 5)
	// What is newer is taken, and what is older isn't.
	q, _ := p.Merge(configuration.Merge{Items: []configuration.VersionedItem{{Kind: "service", Name: "s1", Version: 2, Removed: true}}})
	f.adoptConfiguration(q.Encode(true))
	f.adoptConfiguration(p.Encode(true))
	is.Equal(f.configuration.view.Revision, ids.Revision(2))
	is.Equal(len(f.configuration.view.Services), 999)
}

package configuration

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

// A view that reuses parts of an earlier view equals a newly decoded one.
func TestViewReusing_EqualsFreshView(t *testing.T) {
	is := is.New(t)
	d := emptyDocument(t)
	view := d.View()
	for i := range 60 {
		items := []VersionedItem{versionedService("wader", ids.Revision(1+i/7)), versionedRoute(fmt.Sprint("r", i%9), "wader", ids.Revision(i+1))}
		if i%4 == 3 {
			items[1].Removed, items[1].Body = true, nil
		}
		next, res := d.Merge(mergeOf(items...))
		is.True(res.Accepted())
		view = next.ViewReusing(d, view)
		d = next
		is.Equal(view, d.View())
	}
}

func TestView_RouteDefaults(t *testing.T) {
	is := is.New(t)
	d, _ := emptyDocument(t).Merge(mergeOf(versionedService("wader", 1), versionedRoute("mud", "wader", 1)))
	route := d.View().Routes["mud"]
	is.Equal(route.Timeout(), 5*time.Second)
	is.Equal(route.LatencyGoal(), time.Duration(0))
	is.Equal(route.MaxAttempts, 3)
}

func TestView_ClientLimits(t *testing.T) {
	is := is.New(t)
	d := emptyDocument(t)
	is.Equal(d.View().Limits, DefaultLimits)
	limits := func(body string, version ids.Revision) VersionedItem {
		return VersionedItem{Kind: "limits", Name: "limits", Version: version, Body: json.RawMessage(body), Source: json.RawMessage(body)}
	}
	d, res := d.Merge(mergeOf(limits(`{"max_header":2048,"max_body":10,"header_ms":300,"idle_ms":400}`, 3)))
	is.True(res.Accepted())
	is.Equal(d.View().Limits, Limits{2048, 10, 300, 400})
	// Limits that aren't set keep their defaults.
	d, res = d.Merge(mergeOf(limits(`{"max_body":20}`, 4)))
	is.True(res.Accepted())
	want := DefaultLimits
	want.MaxBodyBytes = 20
	is.Equal(d.View().Limits, want)
	for _, body := range []string{`{"max_header":1023}`, `{"max_body":-1}`, `{"header_ms":99}`, `{"idle_ms":3600001}`, `{"idle_ms":"1"}`, `{"more":1}`} {
		t.Run(body, func(t *testing.T) {
			_, res := d.Merge(mergeOf(limits(body, 9)))
			is.New(t).Equal(len(res.Violations), 1)
		})
	}
	d, _ = d.Merge(mergeOf(versionedRemoval("limits", "limits", 9)))
	is.Equal(d.View().Limits, DefaultLimits)
}

func TestSetRegions_FillsMissingZonesAndRegions(t *testing.T) {
	is := is.New(t)
	d := emptyDocument(t)
	d, res := applyChange(t, d, "1", `{"kind":"cell","name":"quay","put":{"region":"west","target":100,"shut":true}},{"kind":"cell","name":"pier","put":{"target":50}}`)
	is.True(res.Accepted())
	v := d.View()
	v.SetRegions(map[ids.Name]string{"quay": "east", "pier": "east", "mole": "east"})
	is.Equal(v.Zones["quay"].Region, "west") // the configuration takes precedence
	is.True(v.Zones["quay"].Evacuated)
	is.Equal(v.Zones["quay"].TargetLoad, 100.0)
	is.Equal(v.Zones["pier"].Region, "east")
	is.Equal(v.Zones["pier"].TargetLoad, 50.0)
	is.Equal(v.Zones["mole"].Name, ids.Name("mole"))
	is.Equal(v.Zones["mole"].TargetLoad, float64(defaultTargetLoad))
	is.Equal(v.Distance("pier", "mole"), 1.0)
	is.Equal(v.Distance("quay", "mole"), 1000.0)
	is.Equal(v.Distance("mole", "mole"), 0.0)
}

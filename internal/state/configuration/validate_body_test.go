package configuration

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

func TestRouteSelectService_FollowsWeights(t *testing.T) {
	is := is.New(t)
	r := Route{Service: "none", Split: []WeightedService{{"idle", 0}, {"wader", 90}, {"plover", 10}, {"wader", 0}, {"late", 0}}}
	is.Equal(r.Services(), []ids.Name{"wader", "plover"})
	got := map[ids.Name]int{}
	const n = 1000
	for i := range n {
		got[r.SelectService(float64(i)/n)]++
	}
	is.Equal(got, map[ids.Name]int{"wader": 900, "plover": 100})
	// The ends: a draw may come out just under 1, and sums of fractions round.
	is.Equal(r.SelectService(0), ids.Name("wader"))
	is.Equal(r.SelectService(math.Nextafter(1, 0)), ids.Name("plover"))
	is.Equal(r.SelectService(1), ids.Name("plover")) // never one of no weight
	thirds := Route{Split: []WeightedService{{"a", 0.1}, {"b", 0.1}, {"c", 0.1}, {"zero", 0}}}
	is.Equal(thirds.SelectService(math.Nextafter(1, 0)), ids.Name("c"))
	// Without one there is but the service.
	one := Route{Service: "wader"}
	is.Equal(one.Services(), []ids.Name{"wader"})
	is.Equal(one.SelectService(0.5), ids.Name("wader"))
	// A service that stands twice is one.
	is.Equal(Route{Split: []WeightedService{{"a", 1}, {"a", 2}, {"b", 1}}}.Services(), []ids.Name{"a", "b"})
}

// Names and paths of given items are their caller's; numbers and types ours.
func TestMergeCheck_ItemBodies(t *testing.T) {
	is := is.New(t)
	for body, want := range map[string]string{
		`{"prefix":"/","service":"S_1","repeatable":true}`:                                                         "",
		`{"prefix":"/v1/own/","service":"s","repeatable":true}`:                                                    "", // on its own host, our pages aren't in the way
		`{"prefix":"/a b/%41/","service":"s","repeatable":true}`:                                                   "",
		`{"prefix":"","service":"s","repeatable":true}`:                                                            "prefix",
		`{"prefix":7,"service":"s","repeatable":true}`:                                                             "prefix",
		`{"prefix":"/a/","service":7,"repeatable":true}`:                                                           "service",
		`{"prefix":"/a/","service":"s"}`:                                                                           "repeatable",
		`{"prefix":"/a/","service":"s","repeatable":"yes"}`:                                                        "repeatable",
		`{"prefix":"/a/","service":"s","repeatable":true,"single":1}`:                                              "single",
		`{"prefix":"/a/","service":"s","repeatable":true,"host":"a b"}`:                                            "host",
		`{"prefix":"/a/","service":"s","repeatable":true,"attempts":0}`:                                            "attempts",
		`{"prefix":"/a/","service":"s","repeatable":true,"attempts":1.5}`:                                          "attempts",
		`{"prefix":"/a/","service":"s","repeatable":true,"limit_ms":9}`:                                            "limit_ms",
		`{"prefix":"/a/","service":"s","repeatable":true,"goal_ms":660001}`:                                        "goal_ms",
		`{"prefix":"/a/","service":"s","repeatable":true,"homes":"north"}`:                                         "homes",
		`{"prefix":"/a/","service":"s","repeatable":true,"homes":[7]}`:                                             "homes.0",
		`{"prefix":"/a/","repeatable":true,"split":[]}`:                                                            "split",
		`{"prefix":"/a/","repeatable":true,"split":{}}`:                                                            "split",
		`{"prefix":"/a/","repeatable":true,"split":[{"service":"s","weight":-1},{"service":"t","weight":2}]}`:      "split.0.weight",
		`{"prefix":"/a/","repeatable":true,"split":[{"service":"s","weight":"1"}]}`:                                "split.0.weight",
		`{"prefix":"/a/","repeatable":true,"split":[{"service":"","weight":1}]}`:                                   "split.0.service",
		`{"prefix":"/a/","repeatable":true,"split":[{"service":"s","weight":1,"more":1}]}`:                         "split.0.more",
		`{"prefix":"/a/","repeatable":true,"split":[{"service":"s","weight":0.5},{"service":"t","weight":0.001}]}`: "",
	} {
		faults := mergeOf(VersionedItem{Kind: "route", Name: "r", Version: 1, Body: json.RawMessage(body)}).Check()
		if want == "" && len(faults) > 0 || want != "" && (len(faults) == 0 || faults[0].Path != want) {
			t.Errorf("%s gave %v, not %q", body, faults, want)
		}
	}
	zone := VersionedItem{Kind: "cell", Name: "c", Version: 1, Body: json.RawMessage(`{"region":"North_1"}`)}
	is.Equal(len(mergeOf(zone).Check()), 0)
	zone.Body = json.RawMessage(`{"shut":"yes"}`)
	is.Equal(mergeOf(zone).Check(), []Violation{{"cell/c", "shut", "must be true or false"}})
}

// A route may hold a request for ten minutes.
func TestMergeCheck_LongestRouteTimeout(t *testing.T) {
	is := is.New(t)
	check := func(ms string) int {
		return len(mergeOf(VersionedItem{Kind: "route", Name: "r", Version: 1, Body: json.RawMessage(`{"prefix":"/a/","service":"s","repeatable":true,"limit_ms":` + ms + `}`)}).Check())
	}
	is.Equal(check("600000"), 0)
	is.Equal(check("600001"), 1)
}

func TestView_ClientLimits(t *testing.T) {
	is := is.New(t)
	p := emptyDocument(t)
	is.Equal(p.View().Limits, DefaultLimits)
	limits := func(raw string, v ids.Revision) VersionedItem {
		return VersionedItem{Kind: "limits", Name: "limits", Version: v, Body: json.RawMessage(raw), Source: json.RawMessage(raw)}
	}
	p, r := p.Merge(mergeOf(limits(`{"max_header":2048,"max_body":10,"header_ms":300,"idle_ms":400}`, 3)))
	is.True(r.Accepted())
	is.Equal(p.View().Limits, Limits{2048, 10, 300, 400})
	// Part of them leaves the rest at what holds without any.
	p, r = p.Merge(mergeOf(limits(`{"max_body":20}`, 4)))
	is.True(r.Accepted())
	want := DefaultLimits
	want.MaxBodyBytes = 20
	is.Equal(p.View().Limits, want)
	for _, raw := range []string{`{"max_header":1023}`, `{"max_body":-1}`, `{"header_ms":99}`, `{"idle_ms":3600001}`, `{"idle_ms":"1"}`, `{"more":1}`} {
		_, r := p.Merge(mergeOf(limits(raw, 9)))
		is.Equal(len(r.Violations), 1)
	}
	p, _ = p.Merge(mergeOf(versionedRemoval("limits", "limits", 9)))
	is.Equal(p.View().Limits, DefaultLimits)
}

func TestSetRegions_FillsMissingZonesAndRegions(t *testing.T) {
	is := is.New(t)
	p := emptyDocument(t)
	p, r := applyChange(t, p, "1", `{"kind":"cell","name":"quay","put":{"region":"west","target":100,"shut":true}},{"kind":"cell","name":"pier","put":{"target":50}}`)
	is.True(r.Accepted())
	v := p.View()
	v.SetRegions(map[ids.Name]string{"quay": "east", "pier": "east", "mole": "east"})
	is.Equal(v.Zones["quay"].Region, "west") // configuration's own word goes first
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

func TestView_RouteDefaults(t *testing.T) {
	is := is.New(t)
	p, _ := emptyDocument(t).Merge(mergeOf(versionedService("wader", 1), versionedRoute("mud", "wader", 1)))
	r := p.View().Routes["mud"]
	is.Equal(r.Timeout(), 5*time.Second)
	is.Equal(r.LatencyGoal(), time.Duration(0))
	is.Equal(r.MaxAttempts, 3)
}

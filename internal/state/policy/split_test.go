package policy

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

func TestASplitIsDrawnByWeight(t *testing.T) {
	is := is.New(t)
	r := Route{Service: "none", Split: []Share{{"idle", 0}, {"wader", 90}, {"plover", 10}, {"wader", 0}, {"late", 0}}}
	is.Equal(r.Services(), []ids.Name{"wader", "plover"})
	got := map[ids.Name]int{}
	const n = 1000
	for i := range n {
		got[r.Draw(float64(i)/n)]++
	}
	is.Equal(got, map[ids.Name]int{"wader": 900, "plover": 100})
	// The ends: a draw may come out just under 1, and sums of fractions round.
	is.Equal(r.Draw(0), ids.Name("wader"))
	is.Equal(r.Draw(math.Nextafter(1, 0)), ids.Name("plover"))
	is.Equal(r.Draw(1), ids.Name("plover")) // never one of no weight
	thirds := Route{Split: []Share{{"a", 0.1}, {"b", 0.1}, {"c", 0.1}, {"zero", 0}}}
	is.Equal(thirds.Draw(math.Nextafter(1, 0)), ids.Name("c"))
	// Without one there is but the service.
	one := Route{Service: "wader"}
	is.Equal(one.Services(), []ids.Name{"wader"})
	is.Equal(one.Draw(0.5), ids.Name("wader"))
	// A service that stands twice is one.
	is.Equal(Route{Split: []Share{{"a", 1}, {"a", 2}, {"b", 1}}}.Services(), []ids.Name{"a", "b"})
}

// Names and paths of given items are their caller's; numbers and types ours.
func TestGivenItemsAreChecked(t *testing.T) {
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
		faults := merging(Given{Kind: "route", Name: "r", Version: 1, Body: json.RawMessage(body)}).Check()
		if want == "" && len(faults) > 0 || want != "" && (len(faults) == 0 || faults[0].Path != want) {
			t.Errorf("%s gave %v, not %q", body, faults, want)
		}
	}
	cell := Given{Kind: "cell", Name: "c", Version: 1, Body: json.RawMessage(`{"region":"North_1"}`)}
	is.Equal(len(merging(cell).Check()), 0)
	cell.Body = json.RawMessage(`{"shut":"yes"}`)
	is.Equal(merging(cell).Check(), []Fault{{"cell/c", "shut", "must be true or false"}})
}

// A route may hold a request for ten minutes.
func TestTheLongestLimit(t *testing.T) {
	is := is.New(t)
	check := func(ms string) int {
		return len(merging(Given{Kind: "route", Name: "r", Version: 1, Body: json.RawMessage(`{"prefix":"/a/","service":"s","repeatable":true,"limit_ms":` + ms + `}`)}).Check())
	}
	is.Equal(check("600000"), 0)
	is.Equal(check("600001"), 1)
}

func TestLimitsOfConsumers(t *testing.T) {
	is := is.New(t)
	p := empty(t)
	is.Equal(p.View().Limits, NoLimits)
	limits := func(raw string, v ids.Revision) Given {
		return Given{Kind: "limits", Name: "limits", Version: v, Body: json.RawMessage(raw), Source: json.RawMessage(raw)}
	}
	p, r := p.Merge(merging(limits(`{"max_header":2048,"max_body":10,"header_ms":300,"idle_ms":400}`, 3)))
	is.True(r.Accepted())
	is.Equal(p.View().Limits, Limits{2048, 10, 300, 400})
	// Part of them leaves the rest at what holds without any.
	p, r = p.Merge(merging(limits(`{"max_body":20}`, 4)))
	is.True(r.Accepted())
	want := NoLimits
	want.MaxBody = 20
	is.Equal(p.View().Limits, want)
	for _, raw := range []string{`{"max_header":1023}`, `{"max_body":-1}`, `{"header_ms":99}`, `{"idle_ms":3600001}`, `{"idle_ms":"1"}`, `{"more":1}`} {
		_, r := p.Merge(merging(limits(raw, 9)))
		is.Equal(len(r.Faults), 1)
	}
	p, _ = p.Merge(merging(gone("limits", "limits", 9)))
	is.Equal(p.View().Limits, NoLimits)
}

func TestWhatADaemonWasToldOfCells(t *testing.T) {
	is := is.New(t)
	p := empty(t)
	p, r := change(t, p, "1", `{"kind":"cell","name":"quay","put":{"region":"west","target":100,"shut":true}},{"kind":"cell","name":"pier","put":{"target":50}}`)
	is.True(r.Accepted())
	v := p.View()
	v.Know(map[ids.Name]string{"quay": "east", "pier": "east", "mole": "east"})
	is.Equal(v.Cells["quay"].Region, "west") // policy's own word goes first
	is.True(v.Cells["quay"].Shut)
	is.Equal(v.Cells["quay"].Target, 100.0)
	is.Equal(v.Cells["pier"].Region, "east")
	is.Equal(v.Cells["pier"].Target, 50.0)
	is.Equal(v.Cells["mole"].Name, ids.Name("mole"))
	is.Equal(v.Cells["mole"].Target, float64(defaultTarget))
	is.Equal(v.Distance("pier", "mole"), 1.0)
	is.Equal(v.Distance("quay", "mole"), 1000.0)
	is.Equal(v.Distance("mole", "mole"), 0.0)
}

func TestRouteDefaultsAndTimes(t *testing.T) {
	is := is.New(t)
	p, _ := empty(t).Merge(merging(givenService("wader", 1), givenRoute("mud", "wader", 1)))
	r := p.View().Routes["mud"]
	is.Equal(r.LimitTime(), 5*time.Second)
	is.Equal(r.GoalTime(), time.Duration(0))
	is.Equal(r.Attempts, 3)
}

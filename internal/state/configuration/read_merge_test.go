package configuration

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

func TestReadMerge_ListsViolations(t *testing.T) {
	is := is.New(t)
	m, faults := ReadMerge([]byte(`{"items":[{"kind":"service","name":"Wader_1","version":7,"body":{"tier":3},"source":{"x":1,"x":2}},{"kind":"route","name":"mud","version":0,"removed":true}]}`))
	is.Equal(len(faults), 0)
	is.Equal(m.Items[0].Version, ids.Revision(7))
	is.Equal(string(m.Items[0].Source), `{"x":1,"x":2}`)
	is.True(m.Items[1].Removed)
	given := func(s string) string { return `{"items":[` + s + `]}` }
	for raw, want := range map[string]Violation{
		"":                      {"merging", "", "is not a JSON object"},
		"[]":                    {"merging", "", "is not a JSON object"},
		"{}":                    {"merging", "items", "must be a list of 1 to 200000"},
		`{"items":[]}`:          {"merging", "items", "must be a list of 1 to 200000"},
		`{"items":{},"id":"x"}`: {"merging", "id", "is not known"},
		given(`7`):              {"items.0", "", "must be an object"},
		given(`{"kind":"service","name":"a","version":1}`):                            {"items.0", "", "must have one of body and removed"},
		given(`{"kind":"service","name":"a","version":1,"body":{},"removed":true}`):   {"items.0", "", "must have one of body and removed"},
		given(`{"kind":"service","name":"a","version":1,"body":{},"removed":1}`):      {"items.0", "removed", "must be true or false"},
		given(`{"kind":"service","name":"a","version":1.5,"body":{}}`):                {"items.0", "version", "must be a whole number"},
		given(`{"kind":"service","name":"a","version":"1","body":{}}`):                {"items.0", "version", "must be a whole number"},
		given(`{"kind":"service","name":"a","version":9e99,"body":{}}`):               {"items.0", "version", "must be a whole number"},
		given(`{"kind":"service","name":7,"version":1,"body":{}}`):                    {"items.0", "name", "must be a string"},
		given(`{"kind":"service","name":"a","name":"b","version":1,"body":{}}`):       {"items.0", "name", "stands twice"},
		given(`{"kind":"service","name":"a","version":1,"body":{"tier":1,"tier":2}}`): {"items.0", "body.tier", "stands twice"},
		given(`{"kind":"service","name":"a","version":1,"body":{},"more":1}`):         {"items.0", "more", "is not known"},
		given(`{"kind":"shop","name":"a","version":1,"body":{}}`):                     {"items.0", "kind", "is not known"},
		given(`{"kind":"service","name":"a","version":1,"body":{"tier":10}}`):         {"service/a", "tier", "must be from 0 to 9"},
	} {
		_, faults := ReadMerge([]byte(raw))
		if len(faults) == 0 || faults[0] != want {
			t.Errorf("%s gave %v, not %v", raw, faults, want)
		}
	}
}

// Routes that were merged are their caller's business, though it kept no source:
// two of them with one place don't stand in the way of our own changes.
func TestApply_AllowsMergedRoutesWithSamePrefix(t *testing.T) {
	is := is.New(t)
	a, b := versionedRoute("mud", "wader", 1), versionedRoute("mud", "wader", 1)
	b.Name, a.Source, b.Source = "sand", nil, nil
	p, r := emptyDocument(t).Merge(mergeOf(versionedService("wader", 1), a, b))
	is.True(r.Accepted())
	_, r = applyChange(t, p, "1", service)
	is.True(r.Accepted())
}

// What nests thousands deep could be kept by nobody: it is a fault, not an
// uncertain end.
func TestMergeCheck_RejectsDeeplyNestedSource(t *testing.T) {
	is := is.New(t)
	nested := func(n int) VersionedItem {
		g := versionedService("wader", 1)
		g.Source = json.RawMessage(`{"a":"[[[[{\"","b":` + strings.Repeat("[", n) + strings.Repeat("]", n) + `}`)
		return g
	}
	is.Equal(len(mergeOf(nested(maxSourceDepth-1)).Check()), 0)
	for _, n := range []int{maxSourceDepth, 20000, 1000000} {
		from := time.Now()
		is.Equal(mergeOf(nested(n)).Check(), []Violation{{"service/wader", "source", "nests too deep"}})
		is.True(time.Since(from) < 2*time.Second)
	}
	g := versionedService("wader", 1)
	g.Source = json.RawMessage(`{"a":`)
	is.Equal(mergeOf(g).Check(), []Violation{{"service/wader", "source", "is not valid JSON"}})
}

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
	decoded, violations := ReadMerge([]byte(`{"items":[{"kind":"service","name":"Wader_1","version":7,"body":{"tier":3},"source":{"x":1,"x":2}},{"kind":"route","name":"mud","version":0,"removed":true}]}`))
	is.Equal(len(violations), 0)
	is.Equal(decoded.Items[0].Version, ids.Revision(7))
	is.Equal(string(decoded.Items[0].Source), `{"x":1,"x":2}`)
	is.True(decoded.Items[1].Removed)
	merge := func(items string) string { return `{"items":[` + items + `]}` }
	for raw, want := range map[string]Violation{
		"":                      {"merging", "", "is not a JSON object"},
		"[]":                    {"merging", "", "is not a JSON object"},
		"{}":                    {"merging", "items", "must be a list of 1 to 200000"},
		`{"items":[]}`:          {"merging", "items", "must be a list of 1 to 200000"},
		`{"items":{},"id":"x"}`: {"merging", "id", "is not known"},
		merge(`7`):              {"items.0", "", "must be an object"},
		merge(`{"kind":"service","name":"a","version":1}`):                            {"items.0", "", "must have one of body and removed"},
		merge(`{"kind":"service","name":"a","version":1,"body":{},"removed":true}`):   {"items.0", "", "must have one of body and removed"},
		merge(`{"kind":"service","name":"a","version":1,"body":{},"removed":1}`):      {"items.0", "removed", "must be true or false"},
		merge(`{"kind":"service","name":"a","version":1.5,"body":{}}`):                {"items.0", "version", "must be a whole number"},
		merge(`{"kind":"service","name":"a","version":"1","body":{}}`):                {"items.0", "version", "must be a whole number"},
		merge(`{"kind":"service","name":"a","version":9e99,"body":{}}`):               {"items.0", "version", "must be a whole number"},
		merge(`{"kind":"service","name":7,"version":1,"body":{}}`):                    {"items.0", "name", "must be a string"},
		merge(`{"kind":"service","name":"a","name":"b","version":1,"body":{}}`):       {"items.0", "name", "stands twice"},
		merge(`{"kind":"service","name":"a","version":1,"body":{"tier":1,"tier":2}}`): {"items.0", "body.tier", "stands twice"},
		merge(`{"kind":"service","name":"a","version":1,"body":{},"more":1}`):         {"items.0", "more", "is not known"},
		merge(`{"kind":"shop","name":"a","version":1,"body":{}}`):                     {"items.0", "kind", "is not known"},
		merge(`{"kind":"service","name":"a","version":1,"body":{"tier":10}}`):         {"service/a", "tier", "must be from 0 to 9"},
	} {
		t.Run(raw, func(t *testing.T) {
			_, violations := ReadMerge([]byte(raw))
			if len(violations) == 0 || violations[0] != want {
				t.Errorf("%s: got violations %v, want %v first", raw, violations, want)
			}
		})
	}
}

func TestMergeCheck_LimitsItemCount(t *testing.T) {
	is := is.New(t)
	violations := Merge{Items: make([]VersionedItem, maxMergeItems+1)}.Check()
	is.Equal(len(violations), 1)
	is.Equal(violations[0].Item, "items")
}

// A source that is nested too deeply to be stored is a violation and is detected quickly. It
// must not lead to an unknown outcome.
func TestMergeCheck_RejectsDeeplyNestedSource(t *testing.T) {
	is := is.New(t)
	nested := func(depth int) VersionedItem {
		item := versionedService("wader", 1)
		item.Source = json.RawMessage(`{"a":"[[[[{\"","b":` + strings.Repeat("[", depth) + strings.Repeat("]", depth) + `}`)
		return item
	}
	is.Equal(len(mergeOf(nested(maxSourceDepth-1)).Check()), 0)
	for _, depth := range []int{maxSourceDepth, 20000, 1000000} {
		start := time.Now()
		is.Equal(mergeOf(nested(depth)).Check(), []Violation{{"service/wader", "source", "nests too deep"}})
		is.True(time.Since(start) < 2*time.Second)
	}
	broken := versionedService("wader", 1)
	broken.Source = json.RawMessage(`{"a":`)
	is.Equal(mergeOf(broken).Check(), []Violation{{"service/wader", "source", "is not valid JSON"}})
}

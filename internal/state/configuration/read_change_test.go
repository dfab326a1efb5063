package configuration

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// All violations of a change are returned, each with its item and path.
func TestReadChange_ListsViolations(t *testing.T) {
	is := is.New(t)
	change := func(items string) string { return `{"id":"x","changes":[` + items + `]}` }
	for raw, want := range map[string]string{
		`{`:                                "change  is not valid JSON",
		`[]`:                               "change  must be an object",
		`{"changes":[]}`:                   "change id must be 1 to 128",
		`{"id":"x","id":"x","changes":[]}`: "change id stands twice",
		`{"id":"x","changes":[],"more":1}`: "change more is not known",
		change(`{"kind":"shop","name":"a","put":{}}`):                                                  "changes.0 kind must be service, route, cell or limits",
		change(`{"kind":"service","name":"A b","put":{}}`):                                             "changes.0 name must be lower-case",
		change(`{"kind":"service","name":"a"}`):                                                        "service/a  must have one of put, set and remove",
		change(`{"kind":"service","name":"a","put":{"tier":10}}`):                                      "service/a tier must be from 0 to 9",
		change(`{"kind":"service","name":"a","put":{"tier":1.5}}`):                                     "service/a tier must be a whole number",
		change(`{"kind":"service","name":"a","put":{"tier":1e0}}`):                                     "service/a tier must be written as a whole",
		change(`{"kind":"service","name":"a","put":{"tier":"1"}}`):                                     "service/a tier must be a number",
		change(`{"kind":"service","name":"a","put":{"tiers":1}}`):                                      "service/a tiers is not known",
		change(`{"kind":"service","name":"a","put":{"tier":1,"tier":2}}`):                              "changes.0.put.tier stands twice",
		change(`{"kind":"service","name":"a","put":null}`):                                             "service/a  must be an object",
		change(`{"kind":"service","name":"a","version":-1,"put":{}}`):                                  "service/a version must be a whole number",
		change(`{"kind":"service","name":"a","put":{}},{"kind":"service","name":"a","put":{}}`):        "service/a  is changed twice",
		change(`{"kind":"route","name":"r","put":{"prefix":"x","service":"a","repeatable":true}}`):     "route/r prefix must be a path",
		change(`{"kind":"route","name":"r","put":{"prefix":"/v1/x","service":"a","repeatable":true}}`): "route/r prefix is kept",
		change(`{"kind":"route","name":"r","put":{"prefix":"/x","service":"a"}}`):                      "route/r repeatable is missing",
		change(`{"kind":"cell","name":"c","put":{"target":100,"acceptable":100}}`):                     "cell/c acceptable must be below target",
		change(`{"kind":"cell","name":"c","put":{"distances":{"B":-1}}}`):                              "cell/c distances.B must be",
	} {
		t.Run(want, func(t *testing.T) {
			_, violations := ReadChange([]byte(raw))
			all := ""
			for _, v := range violations {
				all += v.Item + " " + v.Path + " " + v.Reason + "\n"
			}
			if !strings.Contains(all, want) {
				t.Errorf("%s: got violations %q, want %q", raw, all, want)
			}
		})
	}
	_, violations := ReadChange([]byte(change(`{"kind":"service","name":"a","put":{"tier":10,"x":1}},{"kind":"route","name":"r","put":{}}`)))
	is.Equal(len(violations), 5) // two of the service, three of the route
	raw, err := json.Marshal(violations[0])
	is.NoErr(err)
	is.Equal(string(raw), `{"item":"service/a","path":"tier","problem":"must be from 0 to 9"}`)
}

// A registry decodes changes in its event loop, so a deeply nested body must not block it.
func TestReadChange_RejectsDeepNestingQuickly(t *testing.T) {
	is := is.New(t)
	deep := strings.Repeat(`{"a":`, 100000) + "1" + strings.Repeat("}", 100000)
	start := time.Now()
	_, violations := ReadChange([]byte(`{"id":"d","changes":[{"kind":"cell","name":"a","put":{"distances":` + deep + `}}]}`))
	is.True(len(violations) > 0)
	is.True(time.Since(start) < 2*time.Second)
}

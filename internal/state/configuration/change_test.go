package configuration

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

func applyChange(t *testing.T, p *Document, id, parts string) (*Document, Result) {
	t.Helper()
	c, faults := ReadChange([]byte(fmt.Sprintf(`{"id":%q,"changes":[%s]}`, id, parts)))
	if len(faults) > 0 {
		t.Fatalf("%v", faults)
	}
	return p.Apply(c)
}

const (
	service = `{"kind":"service","name":"ledger","put":{"tier":8}}`
	route   = `{"kind":"route","name":"orders","put":{"prefix":"/orders","service":"ledger","repeatable":false}}`
)

func TestApply_IsAtomic(t *testing.T) {
	is := is.New(t)
	empty, _ := Decode(nil)
	p, r := applyChange(t, empty, "1", service+","+route)
	is.True(r.Accepted())
	is.Equal(p.Revision, r.Revision)
	is.Equal(string(p.Services["ledger"].Body), `{"tier":8}`) // read back as it was sent
	// Resent: the first result, and no second revision.
	same, again := applyChange(t, p, "1", service+","+route)
	is.Equal(again, r)
	is.Equal(same, p)
	// Stale: rejected with the present version, and the good part with it.
	q, r := applyChange(t, p, "2", `{"kind":"service","name":"new","put":{}},{"kind":"route","name":"orders","version":9,"put":{"prefix":"/o","service":"ledger","repeatable":true}}`)
	is.Equal(string(q.Encode(false)), string(p.Encode(false)))
	is.Equal(r.VersionConflicts[0].Version, p.Routes["orders"].Version)
	// A route may not outlive its service, nor begin without one.
	_, r = applyChange(t, p, "3", `{"kind":"service","name":"ledger","remove":true}`)
	is.Equal(r.Violations, []Violation{{"route/orders", "service", `there is no service "ledger"`}})
	q, r = applyChange(t, p, "4", `{"kind":"service","name":"ledger","remove":true},{"kind":"route","name":"orders","remove":true}`)
	is.True(r.Accepted())
	is.Equal(len(q.Services)+len(q.Routes), 0)
	_, r = applyChange(t, q, "5", `{"kind":"cell","name":"nowhere","remove":true}`)
	is.Equal(len(r.MissingItems), 1)
	// Made anew, an item never has an old version again.
	s, r := applyChange(t, q, "6", service)
	is.True(r.Accepted())
	is.True(s.Services["ledger"].Version > p.Services["ledger"].Version)
	_, r = applyChange(t, s, "7", `{"kind":"service","name":"ledger","version":0,"put":{}}`)
	is.Equal(len(r.VersionConflicts), 1)
}

// A change was rejected, and a copy of it comes late, when it would be good:
// its caller was told that it is rejected, and that stands.
func TestApply_RejectedChangeStaysRejected(t *testing.T) {
	is := is.New(t)
	p, _ := Decode(nil)
	remove := `{"kind":"service","name":"ledger","remove":true}`
	p, r := applyChange(t, p, "1", remove)
	is.Equal(len(r.MissingItems), 1)
	p, r = applyChange(t, p, "2", service)
	is.True(r.Accepted())
	p, r = applyChange(t, p, "1", remove)
	is.Equal(len(r.MissingItems), 1)
	is.Equal(len(p.Services), 1)
	// What is kept is bounded, and not shown to those who only obey.
	for i := range 3 * maxRejectedResults {
		p, _ = applyChange(t, p, fmt.Sprintf("d%d", i), `{"kind":"route","name":"none","remove":true}`)
	}
	is.Equal(len(p.RejectedResults), maxRejectedResults)
	is.True(!strings.Contains(string(p.Encode(false)), "declined"))
}

func TestApply_SetKeepsOtherFields(t *testing.T) {
	is := is.New(t)
	p, _ := Decode(nil)
	p, r := applyChange(t, p, "1", `{"kind":"cell","name":"a","put":{"target":100,"region":"south"}}`)
	is.True(r.Accepted())
	p, r = applyChange(t, p, "2", `{"kind":"cell","name":"a","set":{"emptied":true}}`)
	is.True(r.Accepted())
	v := p.View().Zones["a"]
	is.True(v.Drained && v.TargetLoad == 100 && v.Region == "south")
	_, r = applyChange(t, p, "3", `{"kind":"cell","name":"a","set":{"emptied":"yes"}}`)
	is.Equal(r.Violations, []Violation{{"cell/a", "emptied", "must be true or false"}})
}

// Each broken change is rejected with the item and the path, and all of a
// batch's faults are listed.
func TestReadChange_ListsViolations(t *testing.T) {
	is := is.New(t)
	part := func(s string) string { return `{"id":"x","changes":[` + s + `]}` }
	for raw, want := range map[string]string{
		`{`:                                "change  is not valid JSON",
		`[]`:                               "change  must be an object",
		`{"changes":[]}`:                   "change id must be 1 to 128",
		`{"id":"x","id":"x","changes":[]}`: "change id stands twice",
		`{"id":"x","changes":[],"more":1}`: "change more is not known",
		part(`{"kind":"shop","name":"a","put":{}}`):                                                  "changes.0 kind must be service, route, cell or limits",
		part(`{"kind":"service","name":"A b","put":{}}`):                                             "changes.0 name must be lower-case",
		part(`{"kind":"service","name":"a"}`):                                                        "service/a  must have one of put, set and remove",
		part(`{"kind":"service","name":"a","put":{"tier":10}}`):                                      "service/a tier must be from 0 to 9",
		part(`{"kind":"service","name":"a","put":{"tier":1.5}}`):                                     "service/a tier must be a whole number",
		part(`{"kind":"service","name":"a","put":{"tier":1e0}}`):                                     "service/a tier must be written as a whole",
		part(`{"kind":"service","name":"a","put":{"tier":"1"}}`):                                     "service/a tier must be a number",
		part(`{"kind":"service","name":"a","put":{"tiers":1}}`):                                      "service/a tiers is not known",
		part(`{"kind":"service","name":"a","put":{"tier":1,"tier":2}}`):                              "changes.0.put.tier stands twice",
		part(`{"kind":"service","name":"a","put":null}`):                                             "service/a  must be an object",
		part(`{"kind":"service","name":"a","version":-1,"put":{}}`):                                  "service/a version must be a whole number",
		part(`{"kind":"service","name":"a","put":{}},{"kind":"service","name":"a","put":{}}`):        "service/a  is changed twice",
		part(`{"kind":"route","name":"r","put":{"prefix":"x","service":"a","repeatable":true}}`):     "route/r prefix must be a path",
		part(`{"kind":"route","name":"r","put":{"prefix":"/v1/x","service":"a","repeatable":true}}`): "route/r prefix is kept",
		part(`{"kind":"route","name":"r","put":{"prefix":"/x","service":"a"}}`):                      "route/r repeatable is missing",
		part(`{"kind":"cell","name":"c","put":{"target":100,"acceptable":100}}`):                     "cell/c acceptable must be below target",
		part(`{"kind":"cell","name":"c","put":{"distances":{"B":-1}}}`):                              "cell/c distances.B must be",
	} {
		_, faults := ReadChange([]byte(raw))
		all := ""
		for _, f := range faults {
			all += f.Item + " " + f.Path + " " + f.Reason + "\n"
		}
		if !strings.Contains(all, want) {
			t.Errorf("%s gave %q, not %q", raw, all, want)
		}
	}
	_, faults := ReadChange([]byte(part(`{"kind":"service","name":"a","put":{"tier":10,"x":1}},{"kind":"route","name":"r","put":{}}`)))
	is.Equal(len(faults), 5) // two of the service, three of the route
	raw, err := json.Marshal(faults[0])
	is.NoErr(err)
	is.Equal(string(raw), `{"item":"service/a","path":"tier","problem":"must be from 0 to 9"}`)
}

func TestApply_RejectsSecondRouteWithSamePrefix(t *testing.T) {
	is := is.New(t)
	p, _ := Decode(nil)
	p, _ = applyChange(t, p, "1", service+","+route)
	_, r := applyChange(t, p, "2", `{"kind":"route","name":"more","put":{"prefix":"/orders/","service":"ledger","repeatable":true}}`)
	is.Equal(len(r.Violations), 1)
}

// A registry reads changes in its owner: a body that nests thousands deep must not
// hold all others up.
func TestReadChange_RejectsDeepNestingQuickly(t *testing.T) {
	is := is.New(t)
	deep := strings.Repeat(`{"a":`, 100000) + "1" + strings.Repeat("}", 100000)
	from := time.Now()
	_, faults := ReadChange([]byte(`{"id":"d","changes":[{"kind":"cell","name":"a","put":{"distances":` + deep + `}}]}`))
	is.True(len(faults) > 0)
	is.True(time.Since(from) < 2*time.Second)
}

// A view taken over from an earlier one is the one read anew.
func TestViewReusing_EqualsFreshView(t *testing.T) {
	is := is.New(t)
	p, _ := Decode(nil)
	v := p.View()
	for i := range 60 {
		list := []VersionedItem{versionedService("wader", ids.Revision(1+i/7)), versionedRoute(fmt.Sprint("r", i%9), "wader", ids.Revision(i+1))}
		if i%4 == 3 {
			list[1].Removed, list[1].Body = true, nil
		}
		next, res := p.Merge(mergeOf(list...))
		is.True(res.Accepted())
		v = next.ViewReusing(p, v)
		p = next
		is.Equal(v, p.View())
	}
}

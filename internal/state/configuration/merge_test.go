package configuration

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

func versionedService(name string, v ids.Revision) VersionedItem {
	return VersionedItem{Kind: "service", Name: ids.Name(name), Version: v, Body: json.RawMessage(`{"circuits":9}`), Source: json.RawMessage(fmt.Sprintf(`{"called": %q,  "v":%d}`, name, v))}
}

func versionedRoute(name, service string, v ids.Revision) VersionedItem {
	body := fmt.Sprintf(`{"host":"tern.example","prefix":"/%s/","service":%q,"repeatable":true}`, name, service)
	return VersionedItem{Kind: "route", Name: ids.Name(name), Version: v, Body: json.RawMessage(body), Source: json.RawMessage(fmt.Sprintf(`{"n":%q, "to" : %q}`, name, service))}
}

func versionedRemoval(kind, name string, v ids.Revision) VersionedItem {
	return VersionedItem{Kind: kind, Name: ids.Name(name), Version: v, Removed: true}
}

func mergeOf(items ...VersionedItem) Merge { return Merge{Items: items} }

func emptyDocument(t *testing.T) *Document {
	t.Helper()
	p, err := Decode(nil)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestMerge_HighestVersionWins(t *testing.T) {
	is := is.New(t)
	p, r := emptyDocument(t).Merge(mergeOf(versionedService("wader", 7), versionedRoute("mud", "wader", 7)))
	is.True(r.Accepted())
	is.Equal(r.Revision, ids.Revision(1))
	is.Equal(p.Routes["mud"].Version, ids.Revision(7))
	is.Equal(r.Items, []ItemVersion{{"service", "wader", 7}, {"route", "mud", 7}})
	// Equal and lower ones succeed, name what holds, and change nothing at all.
	for _, v := range []ids.Revision{7, 6, 0} {
		q, r := p.Merge(mergeOf(versionedRoute("mud", "wader", v)))
		is.True(q == p)
		is.True(r.Accepted())
		is.Equal(r.Revision, p.Revision)
		is.Equal(r.Items, []ItemVersion{{"route", "mud", 7}})
	}
	// Steps may be uneven, and one item may be newer beside one that is older.
	q, r := p.Merge(mergeOf(versionedRoute("mud", "wader", 40), versionedService("wader", 3)))
	is.True(r.Accepted())
	is.Equal(q.Routes["mud"].Version, ids.Revision(40))
	is.Equal(q.Services["wader"].Version, ids.Revision(7))
	is.Equal(p.Routes["mud"].Version, ids.Revision(7)) // the old configuration is as it was
	// Version 0 is one too, where there is none.
	q, r = q.Merge(mergeOf(versionedService("plover", 0)))
	is.True(r.Accepted())
	_, ok := q.Services["plover"]
	is.True(ok)
}

// Whatever the order in which calls arrive, and however often, the same holds.
func TestMerge_IsCommutativeAndIdempotent(t *testing.T) {
	is := is.New(t)
	base, _ := emptyDocument(t).Merge(mergeOf(versionedService("wader", 1), versionedService("plover", 1)))
	calls := []Merge{
		mergeOf(versionedRoute("mud", "wader", 2)),
		mergeOf(versionedRoute("mud", "plover", 5), versionedRoute("sand", "wader", 5)),
		mergeOf(versionedRemoval("route", "mud", 9), versionedRoute("sand", "plover", 3)),
		mergeOf(versionedRoute("mud", "wader", 8)),
		mergeOf(versionedRemoval("route", "sand", 4)),
	}
	var play func(p *Document, left []int)
	runs := 0
	play = func(p *Document, left []int) {
		if len(left) == 0 {
			runs++
			_, there := p.Routes["mud"]
			is.True(!there)
			is.Equal(p.Tombstones["route/mud"].Version, ids.Revision(9))
			is.Equal(string(p.Routes["sand"].Source), `{"n":"sand", "to" : "wader"}`)
			return
		}
		for i, n := range left {
			next, r := p.Merge(calls[n])
			is.True(r.Accepted())
			again, r := next.Merge(calls[n]) // resent at once
			is.True(r.Accepted())
			is.True(again == next)
			rest := append(append([]int{}, left[:i]...), left[i+1:]...)
			play(next, rest)
		}
	}
	play(base, []int{0, 1, 2, 3, 4})
	is.Equal(runs, 120)
}

func TestMerge_OlderVersionDoesNotRestoreRemovedItem(t *testing.T) {
	is := is.New(t)
	p, _ := emptyDocument(t).Merge(mergeOf(versionedService("wader", 1), versionedRoute("mud", "wader", 4)))
	p, r := p.Merge(mergeOf(versionedRemoval("route", "mud", 6)))
	is.True(r.Accepted())
	is.Equal(r.Items, []ItemVersion{{"route", "mud", 6}})
	is.Equal(len(p.Routes), 0)
	// A copy that is older, or as old, doesn't bring it back; nor does a reopened
	// configuration forget it.
	p, err := Decode(p.Encode(false))
	is.NoErr(err)
	for _, v := range []ids.Revision{4, 5} {
		q, r := p.Merge(mergeOf(versionedRoute("mud", "wader", v)))
		is.True(r.Accepted())
		is.True(q == p)
	}
	// The number of the removal is taken: it can't stand for an item as well.
	q, r := p.Merge(mergeOf(versionedRoute("mud", "wader", 6)))
	is.Equal(r.ReuseConflicts, []Violation{{"route/mud", "version", reasonOtherContent}})
	is.True(q == p)
	q, r = p.Merge(mergeOf(versionedRemoval("route", "mud", 6)))
	is.True(r.Accepted())
	is.True(q == p)
	p, _ = p.Merge(mergeOf(versionedRoute("mud", "wader", 7)))
	is.Equal(p.Routes["mud"].Version, ids.Revision(7))
	is.Equal(len(p.Tombstones), 0)
	// One that never was there can be removed beforehand.
	p, r = p.Merge(mergeOf(versionedRemoval("route", "early", 3)))
	is.True(r.Accepted())
	p, _ = p.Merge(mergeOf(versionedRoute("early", "wader", 2)))
	_, there := p.Routes["early"]
	is.True(!there)
	// A removal that is overtaken removes nothing.
	p, _ = p.Merge(mergeOf(versionedRemoval("route", "mud", 7)))
	_, there = p.Routes["mud"]
	is.True(there)
}

func TestMerge_IsAtomic(t *testing.T) {
	is := is.New(t)
	p, _ := emptyDocument(t).Merge(mergeOf(versionedService("wader", 1), versionedRoute("mud", "wader", 4)))
	body := func(kind, raw string) VersionedItem {
		return VersionedItem{Kind: kind, Name: "odd", Version: 50, Body: json.RawMessage(raw)}
	}
	for name, bad := range map[string]VersionedItem{
		"unknown kind":      body("shop", `{}`),
		"no name":           {Kind: "service", Version: 50, Body: json.RawMessage(`{}`)},
		"long name":         {Kind: "service", Name: ids.Name(make([]byte, 257)), Version: 50, Body: json.RawMessage(`{}`)},
		"broken":            body("service", `{"tier":`),
		"no body":           {Kind: "service", Name: "odd", Version: 50},
		"no object":         body("service", `7`),
		"unknown path":      body("service", `{"colour":1}`),
		"out of bounds":     body("service", `{"tier":10}`),
		"no service":        body("route", `{"prefix":"/x/","repeatable":true}`),
		"empty service":     body("route", `{"prefix":"/x/","repeatable":true,"service":""}`),
		"unknown service":   versionedRoute("odd", "nobody", 50),
		"no weight":         body("route", `{"prefix":"/x/","repeatable":true,"split":[{"service":"wader","weight":0}]}`),
		"unknown in split":  body("route", `{"prefix":"/x/","repeatable":true,"split":[{"service":"wader","weight":1},{"service":"nobody","weight":0}]}`),
		"prefix no path":    body("route", `{"prefix":"x/","repeatable":true,"service":"wader"}`),
		"service in use":    versionedRemoval("service", "wader", 50),
		"overtaken unknown": versionedRoute("mud", "nobody", 2),
	} {
		q, r := p.Merge(mergeOf(versionedService("plover", 50), versionedRoute("sand", "plover", 50), bad))
		if r.Accepted() || len(r.Violations) == 0 {
			t.Errorf("%s: accepted", name)
		}
		if q != p || string(q.Encode(true)) != string(p.Encode(true)) {
			t.Errorf("%s: something changed", name)
		}
		is.Equal(len(r.Items), 0)
	}
	// A route may come with its service, and both may go in one call.
	q, r := p.Merge(mergeOf(versionedRoute("sand", "plover", 50), versionedService("plover", 50)))
	is.True(r.Accepted())
	_, r = q.Merge(mergeOf(versionedRemoval("service", "plover", 51), versionedRemoval("route", "sand", 51)))
	is.True(r.Accepted())
}

func TestMergeCheck_LimitsItemCount(t *testing.T) {
	is := is.New(t)
	faults := Merge{Items: make([]VersionedItem, maxMergeItems+1)}.Check()
	is.Equal(len(faults), 1)
	is.Equal(faults[0].Item, "items")
}

// What the operators of our own interface do to merged items goes on from the
// version that holds, never back.
func TestApply_VersionOfMergedItemNeverDecreases(t *testing.T) {
	is := is.New(t)
	p, _ := emptyDocument(t).Merge(mergeOf(versionedService("wader", 100), versionedRoute("mud", "wader", 100)))
	p, r := applyChange(t, p, "1", `{"kind":"service","name":"wader","set":{"tier":7}}`)
	is.True(r.Accepted())
	is.Equal(p.Services["wader"].Version, ids.Revision(101))
	q, _ := p.Merge(mergeOf(versionedService("wader", 101)))
	is.True(q == p)
	p, r = applyChange(t, p, "2", `{"kind":"route","name":"mud","remove":true}`)
	is.True(r.Accepted())
	is.Equal(p.Tombstones["route/mud"].Version, ids.Revision(101))
	q, _ = p.Merge(mergeOf(versionedRoute("mud", "wader", 101)))
	is.True(q == p)
	p, r = applyChange(t, p, "3", `{"kind":"route","name":"mud","put":{"prefix":"/mud","service":"wader","repeatable":true}}`)
	is.True(r.Accepted())
	is.Equal(p.Routes["mud"].Version, ids.Revision(102))
	p, _ = p.Merge(mergeOf(versionedRoute("mud", "wader", 103)))
	is.Equal(p.Routes["mud"].Version, ids.Revision(103))
}

// An item that our own interface changed, and then removes, was merged once:
// the copies of its caller must not bring it back.
func TestMerge_StaleCopyDoesNotRestoreItemChangedThenRemoved(t *testing.T) {
	is := is.New(t)
	p, _ := emptyDocument(t).Merge(mergeOf(versionedService("wader", 100), versionedRoute("mud", "wader", 100)))
	p, r := applyChange(t, p, "1", `{"kind":"route","name":"mud","set":{"tier":3}}`)
	is.True(r.Accepted())
	p, r = applyChange(t, p, "2", `{"kind":"route","name":"mud","remove":true}`)
	is.True(r.Accepted())
	q, _ := p.Merge(mergeOf(versionedRoute("mud", "wader", 100)))
	is.True(q == p)
}

func TestMerge_KeepsSourceExceptWhitespace(t *testing.T) {
	is := is.New(t)
	odd := `{ "z" : 1.50 , "a":"\u00e4ä",	"list":[ 1,2 ],"big":12345678901234567890 }`
	g := versionedService("wader", 1)
	g.Source = json.RawMessage(odd)
	raw, err := json.Marshal(mergeOf(g))
	is.NoErr(err)
	out, _ := mergeOp(Key, nil, raw)
	p, err := Decode(out)
	is.NoErr(err)
	p, err = Decode(p.Encode(false))
	is.NoErr(err)
	var want, got any
	is.NoErr(json.Unmarshal([]byte(odd), &want))
	is.NoErr(json.Unmarshal(p.Services["wader"].Source, &got))
	is.Equal(got, want)
	is.Equal(string(p.Services["wader"].Source), `{"z":1.50,"a":"\u00e4ä","list":[1,2],"big":12345678901234567890}`) // but for blanks between
}

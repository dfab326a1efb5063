package configuration

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

func TestMerge_HighestVersionWins(t *testing.T) {
	is := is.New(t)
	d, res := emptyDocument(t).Merge(mergeOf(versionedService("wader", 7), versionedRoute("mud", "wader", 7)))
	is.True(res.Accepted())
	is.Equal(res.Revision, ids.Revision(1))
	is.Equal(d.Routes["mud"].Version, ids.Revision(7))
	is.Equal(res.Items, []ItemVersion{{"service", "wader", 7}, {"route", "mud", 7}})
	// Equal and lower versions are accepted, return the current version and change nothing.
	for _, version := range []ids.Revision{7, 6, 0} {
		next, res := d.Merge(mergeOf(versionedRoute("mud", "wader", version)))
		is.True(next == d)
		is.True(res.Accepted())
		is.Equal(res.Revision, d.Revision)
		is.Equal(res.Items, []ItemVersion{{"route", "mud", 7}})
	}
	// Versions may skip numbers, and a merge may contain both newer and older versions.
	next, res := d.Merge(mergeOf(versionedRoute("mud", "wader", 40), versionedService("wader", 3)))
	is.True(res.Accepted())
	is.Equal(next.Routes["mud"].Version, ids.Revision(40))
	is.Equal(next.Services["wader"].Version, ids.Revision(7))
	is.Equal(d.Routes["mud"].Version, ids.Revision(7)) // the old document is unmodified
	// Version 0 is accepted if there is no item yet.
	next, res = next.Merge(mergeOf(versionedService("plover", 0)))
	is.True(res.Accepted())
	_, ok := next.Services["plover"]
	is.True(ok)
}

// The result doesn't depend on the order of merges or on duplicates.
func TestMerge_IsCommutativeAndIdempotent(t *testing.T) {
	is := is.New(t)
	base, _ := emptyDocument(t).Merge(mergeOf(versionedService("wader", 1), versionedService("plover", 1)))
	merges := []Merge{
		mergeOf(versionedRoute("mud", "wader", 2)),
		mergeOf(versionedRoute("mud", "plover", 5), versionedRoute("sand", "wader", 5)),
		mergeOf(versionedRemoval("route", "mud", 9), versionedRoute("sand", "plover", 3)),
		mergeOf(versionedRoute("mud", "wader", 8)),
		mergeOf(versionedRemoval("route", "sand", 4)),
	}
	var applyPermutations func(d *Document, remaining []int)
	permutations := 0
	applyPermutations = func(d *Document, remaining []int) {
		if len(remaining) == 0 {
			permutations++
			_, exists := d.Routes["mud"]
			is.True(!exists)
			is.Equal(d.Tombstones["route/mud"].Version, ids.Revision(9))
			is.Equal(string(d.Routes["sand"].Source), `{"n":"sand", "to" : "wader"}`)
			return
		}
		for i, n := range remaining {
			next, res := d.Merge(merges[n])
			is.True(res.Accepted())
			again, res := next.Merge(merges[n])
			is.True(res.Accepted())
			is.True(again == next)
			applyPermutations(next, slices.Concat(remaining[:i], remaining[i+1:]))
		}
	}
	applyPermutations(base, []int{0, 1, 2, 3, 4})
	is.Equal(permutations, 120)
}

func TestMerge_OlderVersionDoesNotRestoreRemovedItem(t *testing.T) {
	is := is.New(t)
	d, _ := emptyDocument(t).Merge(mergeOf(versionedService("wader", 1), versionedRoute("mud", "wader", 4)))
	d, res := d.Merge(mergeOf(versionedRemoval("route", "mud", 6)))
	is.True(res.Accepted())
	is.Equal(res.Items, []ItemVersion{{"route", "mud", 6}})
	is.Equal(len(d.Routes), 0)
	// An older version doesn't restore it, even after the document was encoded and decoded.
	d, err := Decode(d.Encode(false))
	is.NoErr(err)
	for _, version := range []ids.Revision{4, 5} {
		next, res := d.Merge(mergeOf(versionedRoute("mud", "wader", version)))
		is.True(res.Accepted())
		is.True(next == d)
	}
	// The version of the removal can't be reused for an item.
	next, res := d.Merge(mergeOf(versionedRoute("mud", "wader", 6)))
	is.Equal(res.ReuseConflicts, []Violation{{"route/mud", "version", reasonVersionReused}})
	is.True(next == d)
	next, res = d.Merge(mergeOf(versionedRemoval("route", "mud", 6)))
	is.True(res.Accepted())
	is.True(next == d)
	d, _ = d.Merge(mergeOf(versionedRoute("mud", "wader", 7)))
	is.Equal(d.Routes["mud"].Version, ids.Revision(7))
	is.Equal(len(d.Tombstones), 0)
	// A removal may arrive before the older version that creates the item.
	d, res = d.Merge(mergeOf(versionedRemoval("route", "early", 3)))
	is.True(res.Accepted())
	d, _ = d.Merge(mergeOf(versionedRoute("early", "wader", 2)))
	_, exists := d.Routes["early"]
	is.True(!exists)
	// A superseded removal removes nothing.
	d, _ = d.Merge(mergeOf(versionedRemoval("route", "mud", 7)))
	_, exists = d.Routes["mud"]
	is.True(exists)
}

// A duplicate of a Merge doesn't restore an item that was changed and removed by Changes
// after it.
func TestMerge_StaleCopyDoesNotRestoreItemChangedThenRemoved(t *testing.T) {
	is := is.New(t)
	d, _ := emptyDocument(t).Merge(mergeOf(versionedService("wader", 100), versionedRoute("mud", "wader", 100)))
	d, res := applyChange(t, d, "1", `{"kind":"route","name":"mud","set":{"tier":3}}`)
	is.True(res.Accepted())
	d, res = applyChange(t, d, "2", `{"kind":"route","name":"mud","remove":true}`)
	is.True(res.Accepted())
	next, _ := d.Merge(mergeOf(versionedRoute("mud", "wader", 100)))
	is.True(next == d)
}

func TestMerge_IsAtomic(t *testing.T) {
	is := is.New(t)
	d, _ := emptyDocument(t).Merge(mergeOf(versionedService("wader", 1), versionedRoute("mud", "wader", 4)))
	withBody := func(kind, body string) VersionedItem {
		return VersionedItem{Kind: kind, Name: "odd", Version: 50, Body: json.RawMessage(body)}
	}
	for name, invalid := range map[string]VersionedItem{
		"unknown kind":     withBody("shop", `{}`),
		"no name":          {Kind: "service", Version: 50, Body: json.RawMessage(`{}`)},
		"long name":        {Kind: "service", Name: ids.Name(make([]byte, 257)), Version: 50, Body: json.RawMessage(`{}`)},
		"malformed JSON":   withBody("service", `{"tier":`),
		"no body":          {Kind: "service", Name: "odd", Version: 50},
		"not an object":    withBody("service", `7`),
		"unknown path":     withBody("service", `{"colour":1}`),
		"out of bounds":    withBody("service", `{"tier":10}`),
		"no service":       withBody("route", `{"prefix":"/x/","repeatable":true}`),
		"empty service":    withBody("route", `{"prefix":"/x/","repeatable":true,"service":""}`),
		"unknown service":  versionedRoute("odd", "nobody", 50),
		"no weight":        withBody("route", `{"prefix":"/x/","repeatable":true,"split":[{"service":"wader","weight":0}]}`),
		"unknown in split": withBody("route", `{"prefix":"/x/","repeatable":true,"split":[{"service":"wader","weight":1},{"service":"nobody","weight":0}]}`),
		"prefix without /": withBody("route", `{"prefix":"x/","repeatable":true,"service":"wader"}`),
		"service in use":   versionedRemoval("service", "wader", 50),
		"superseded":       versionedRoute("mud", "nobody", 2),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			next, res := d.Merge(mergeOf(versionedService("plover", 50), versionedRoute("sand", "plover", 50), invalid))
			if res.Accepted() || len(res.Violations) == 0 {
				t.Error("invalid merge was accepted or has no violations")
			}
			if next != d || string(next.Encode(true)) != string(d.Encode(true)) {
				t.Error("rejected merge changed the document")
			}
			is.Equal(len(res.Items), 0)
		})
	}
	// A route may be merged together with its service, and both may be removed together.
	next, res := d.Merge(mergeOf(versionedRoute("sand", "plover", 50), versionedService("plover", 50)))
	is.True(res.Accepted())
	_, res = next.Merge(mergeOf(versionedRemoval("service", "plover", 51), versionedRemoval("route", "sand", 51)))
	is.True(res.Accepted())
}

func TestMerge_KeepsSourceExceptWhitespace(t *testing.T) {
	is := is.New(t)
	source := `{ "z" : 1.50 , "a":"\u00e4ä",	"list":[ 1,2 ],"big":12345678901234567890 }`
	item := versionedService("wader", 1)
	item.Source = json.RawMessage(source)
	raw, err := json.Marshal(mergeOf(item))
	is.NoErr(err)
	out, _ := runOpMerge(Key, nil, raw)
	d, err := Decode(out)
	is.NoErr(err)
	d, err = Decode(d.Encode(false))
	is.NoErr(err)
	var want, got any
	is.NoErr(json.Unmarshal([]byte(source), &want))
	is.NoErr(json.Unmarshal(d.Services["wader"].Source, &got))
	is.Equal(got, want)
	is.Equal(string(d.Services["wader"].Source), `{"z":1.50,"a":"\u00e4ä","list":[1,2],"big":12345678901234567890}`)
}

// If two contents are merged under one version, the second is rejected, and duplicates of
// each have the same result as the first.
func TestMerge_RejectsOtherContentUnderUsedVersion(t *testing.T) {
	is := is.New(t)
	base, _ := emptyDocument(t).Merge(mergeOf(versionedService("wader", 1), versionedService("plover", 1)))
	accepted, other := versionedRoute("mud", "wader", 5), versionedRoute("mud", "plover", 5)
	d, res := base.Merge(mergeOf(accepted))
	is.True(res.Accepted())
	reused := []Violation{{"route/mud", "version", reasonVersionReused}}
	next, res := d.Merge(mergeOf(other, versionedRoute("sand", "plover", 5)))
	is.Equal(res.ReuseConflicts, reused)
	is.True(next == d) // the whole merge is rejected
	_, res = d.Merge(mergeOf(versionedRemoval("route", "mud", 5)))
	is.Equal(res.ReuseConflicts, reused)
	// The same holds after the version is superseded, and after the item is removed.
	for _, newer := range []VersionedItem{versionedRoute("mud", "plover", 9), versionedRemoval("route", "mud", 11)} {
		d, _ = d.Merge(mergeOf(newer))
		d = reencoded(t, d)
		next, res = d.Merge(mergeOf(accepted))
		is.True(res.Accepted())
		is.True(next == d)
		next, res = d.Merge(mergeOf(other))
		is.Equal(res.ReuseConflicts, reused)
		is.True(next == d)
	}
	// Both contents in one merge.
	_, res = base.Merge(mergeOf(accepted, other))
	is.Equal(res.ReuseConflicts, reused)
}

// BenchmarkMerge_OneRouteOfThousands merges one route into a document of 3000 routes, with an
// empty cache.
func BenchmarkMerge_OneRouteOfThousands(b *testing.B) {
	items := []VersionedItem{versionedService("wader", 1)}
	for i := range 3000 {
		items = append(items, versionedRoute(fmt.Sprint("r", i), "wader", 1))
	}
	raw, _ := json.Marshal(mergeOf(items...))
	value, _ := runOpMerge(Key, nil, raw)
	arg, _ := json.Marshal(mergeOf(versionedRoute("r7", "wader", 2)))
	b.ReportAllocs()
	for b.Loop() {
		runOpMerge(Key, value, arg)
	}
}

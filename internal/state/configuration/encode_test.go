package configuration

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

// mergeOp merges as a proposer that has no configuration at hand.
func mergeOp(key ids.RegisterKey, old, arg []byte) ([]byte, []byte) {
	return Ops()[OpMerge](key, old, arg)
}

// What is written without reading each body again is what json.Marshal writes.
func TestEncode_MatchesJSONMarshal(t *testing.T) {
	is := is.New(t)
	odd := []string{`{"a":1}`, `{ "a" : [ 1 , 2 ] }`, `"<&>"`, "\"\u2028 \u2029\"", `"\u003c"`, "\"\xff\xe2\x80\"", `null`, "{\n\t}"}
	p, _ := Decode(nil)
	for round := range 3 {
		plain, err := json.Marshal(p)
		is.NoErr(err)
		is.Equal(string(p.Encode(true)), string(plain))
		p = p.nextRevision()
		for i, body := range odd {
			n := ids.Name(fmt.Sprintf("é<%d>%d", i, round))
			p.Routes[n] = Item{Version: 3, Body: json.RawMessage(body), ChangedAt: ids.Revision(i)}
			p.Services[n] = Item{Version: 1 << 60, ChangeHash: "b<", PreviousVersion: 3, EverMerged: true, Body: json.RawMessage(`{}`), Source: json.RawMessage(body), Merged: i%2 == 0}
			if round > 1 {
				p.Limits[n] = Item{Body: json.RawMessage(body), ChangeHash: "id<", PreviousVersion: 2, EverMerged: true}
			}
		}
		p.addTombstone("route/x", Tombstone{Version: 7, ChangeHash: "x", PreviousVersion: 6, EverMerged: true})
		p.RecentResults = appendBounded(p.RecentResults, Result{ID: "a", Revision: 2}, 5)
		p.History = &History{ForgottenRevision: ids.Revision(round)}
	}
	p.BaseRevision, p.Zones = 4, nil
	plain, _ := json.Marshal(p)
	is.Equal(string(p.Encode(true)), string(plain))
}

// No field of an item is left out, also none that is added later.
func TestItemAppendJSON_WritesEveryField(t *testing.T) {
	is := is.New(t)
	kind := reflect.TypeFor[Item]()
	for set := range 1 << kind.NumField() {
		it := Item{Body: json.RawMessage("{}")}
		v := reflect.ValueOf(&it).Elem()
		for i := range kind.NumField() {
			if set>>i&1 == 0 {
				continue
			}
			switch f := v.Field(i); f.Kind() {
			case reflect.Bool:
				f.SetBool(true)
			case reflect.String:
				f.SetString("<text>")
			case reflect.Slice:
				f.SetBytes([]byte(`{"a":1}`))
			case reflect.Uint64:
				f.SetUint(1 << 63)
			default:
				t.Fatalf("%s is of a kind that this test doesn't set", kind.Field(i).Name)
			}
		}
		plain, err := json.Marshal(it)
		is.NoErr(err)
		is.Equal(string(it.appendJSON(nil)), string(plain))
	}
}

// A proposer that has the configuration at hand gives what one gives that reads it anew.
func TestOps_CachedDocumentGivesSameResult(t *testing.T) {
	is := is.New(t)
	ops := Ops()
	var value []byte
	for i := range 40 {
		list := []VersionedItem{versionedService("wader", 1), versionedRoute(fmt.Sprint("r", i%7), "wader", ids.Revision(i))}
		if i%5 == 4 {
			list[1].Removed, list[1].Body = true, nil
		}
		if i%11 == 10 {
			list[1] = versionedRoute("r1", "nobody", 99)
		}
		arg, _ := json.Marshal(mergeOf(list...))
		old := value
		want, wantOut := mergeOp(Key, old, arg)
		for range 2 {
			got, out := ops[OpMerge](Key, old, arg)
			is.Equal(string(got), string(want))
			is.Equal(string(out), string(wantOut))
		}
		value = want
		if i%9 == 8 {
			// Another proposer's value lies between.
			other, _ := json.Marshal(mergeOf(versionedService(fmt.Sprint("s", i), 1)))
			value, _ = mergeOp(Key, value, other)
		}
	}
}

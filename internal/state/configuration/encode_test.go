package configuration

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

// Encode writes the same bytes as json.Marshal, although it doesn't parse the bodies.
func TestEncode_MatchesJSONMarshal(t *testing.T) {
	is := is.New(t)
	bodies := []string{`{"a":1}`, `{ "a" : [ 1 , 2 ] }`, `"<&>"`, "\"\u2028 \u2029\"", `"\u003c"`, "\"\xff\xe2\x80\"", `null`, "{\n\t}"}
	d := emptyDocument(t)
	for round := range 3 {
		plain, err := json.Marshal(d)
		is.NoErr(err)
		is.Equal(string(d.Encode(true)), string(plain))
		d = d.nextRevision()
		for i, body := range bodies {
			name := ids.Name(fmt.Sprintf("é<%d>%d", i, round))
			d.Routes[name] = Item{Version: 3, Body: json.RawMessage(body), ChangedAt: ids.Revision(i)}
			d.Services[name] = Item{Version: 1 << 60, ChangeIDHash: "b<", PreviousVersion: 3, EverMerged: true, Body: json.RawMessage(`{}`), Source: json.RawMessage(body), Merged: i%2 == 0}
			if round > 1 {
				d.Limits[name] = Item{Body: json.RawMessage(body), ChangeIDHash: "id<", PreviousVersion: 2, EverMerged: true}
			}
		}
		d.addTombstone("route/x", Tombstone{Version: 7, ChangeIDHash: "x", PreviousVersion: 6, EverMerged: true})
		d.RecentResults = appendBounded(d.RecentResults, Result{ID: "a", Revision: 2}, 5)
		d.History = &History{EvictedRevision: ids.Revision(round)}
	}
	d.BaseRevision, d.Zones = 4, nil
	plain, _ := json.Marshal(d)
	is.Equal(string(d.Encode(true)), string(plain))
}

// Guards against a new field of Item that appendJSON omits, by comparing every combination
// of set and unset fields with json.Marshal.
func TestItemAppendJSON_WritesEveryField(t *testing.T) {
	is := is.New(t)
	itemType := reflect.TypeFor[Item]()
	for combination := range 1 << itemType.NumField() {
		item := Item{Body: json.RawMessage("{}")}
		value := reflect.ValueOf(&item).Elem()
		for i := range itemType.NumField() {
			if combination>>i&1 == 0 {
				continue
			}
			switch field := value.Field(i); field.Kind() {
			case reflect.Bool:
				field.SetBool(true)
			case reflect.String:
				field.SetString("<text>")
			case reflect.Slice:
				field.SetBytes([]byte(`{"a":1}`))
			case reflect.Uint64:
				field.SetUint(1 << 63)
			default:
				t.Fatalf("field %s has a kind that this test doesn't support", itemType.Field(i).Name)
			}
		}
		plain, err := json.Marshal(item)
		is.NoErr(err)
		is.Equal(string(item.appendJSON(nil)), string(plain))
	}
}

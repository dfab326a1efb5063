package compat

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/app/api"
	"dunlinwell/internal/app/runbook"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/dataplane/proxy"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/testsupport/testbed"
)

// jsonTypes holds the types that are encoded to or decoded from JSON, by their names in the golden
// file.
var jsonTypes = map[string]reflect.Type{
	"answer of one item":       reflect.TypeFor[api.Item](),
	"answer of the revision":   reflect.TypeFor[api.Revision](),
	"answer with a problem":    reflect.TypeFor[registry.ErrorResponse](),
	"answer of the directory":  reflect.TypeFor[registry.Resolution](),
	"answer of the status":     reflect.TypeFor[registry.Status](),
	"announcement of a target": reflect.TypeFor[targets.Target](),
	"page of a target":         reflect.TypeFor[proxy.IdentityDocument](),
	"policy":                   reflect.TypeFor[configuration.Document](),
	"change":                   reflect.TypeFor[configuration.Change](),
	"result of a change":       reflect.TypeFor[configuration.Result](),
	"merge":                    reflect.TypeFor[configuration.Merge](),
	"order for a cell":         reflect.TypeFor[configuration.ZoneEvacuationRequest](),
	"body of a service":        reflect.TypeFor[configuration.Service](),
	"body of a route":          reflect.TypeFor[configuration.Route](),
	"body of a cell":           reflect.TypeFor[configuration.Zone](),
	"body of limits":           reflect.TypeFor[configuration.Limits](),
	"runbook":                  reflect.TypeFor[runbook.Book](),
	"script of the testbed":    reflect.TypeFor[testbed.Script](),
}

// filledJSON returns a pointer to a value with all fields filled.
func filledJSON(t *testing.T, of reflect.Type) any {
	t.Helper()
	v := reflect.New(of)
	f := filler{active: map[reflect.Type]bool{}}
	f.fill(t, v.Elem())
	return v.Interface()
}

// TestJSON_Encoding checks that the JSON keys and encodings of all types are unchanged.
func TestJSON_Encoding(t *testing.T) {
	got := map[string]string{}
	for name, of := range jsonTypes {
		raw, err := json.Marshal(filledJSON(t, of))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		got[name] = string(raw)
	}
	checkGolden(t, "json.txt", got)
}

// TestJSON_RoundTrip checks that decoding and encoding a golden text reproduces it.
func TestJSON_RoundTrip(t *testing.T) {
	for name, text := range readGolden(t, "testdata/json.txt") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := reflect.New(jsonTypes[name])
			is.NoErr(json.Unmarshal([]byte(text), v.Interface()))
			raw, err := json.Marshal(v.Interface())
			is.NoErr(err)
			is.Equal(string(raw), text)
		})
	}
}

// checkTags reports an error for each exported field without a json tag, whose key in JSON would
// be its Go name.
func checkTags(t *testing.T, of reflect.Type, seen map[reflect.Type]bool) {
	t.Helper()
	switch of.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		checkTags(t, of.Elem(), seen)
	case reflect.Struct:
		if seen[of] {
			return
		}
		seen[of] = true
		for i := range of.NumField() {
			field := of.Field(i)
			if _, tagged := field.Tag.Lookup("json"); field.IsExported() && !tagged && !field.Anonymous {
				t.Errorf("%s.%s has no json tag", of, field.Name)
			}
			checkTags(t, field.Type, seen)
		}
	}
}

// TestJSON_FieldsHaveTags checks that renaming a Go field can't change a key in JSON.
func TestJSON_FieldsHaveTags(t *testing.T) {
	for _, of := range jsonTypes {
		checkTags(t, of, map[reflect.Type]bool{})
	}
}

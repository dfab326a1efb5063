package configuration

import (
	"encoding/json"
	"fmt"
	"testing"

	"dunlinwell/internal/base/ids"
)

// Items of changes that create a service and a route.
const (
	putLedgerService = `{"kind":"service","name":"ledger","put":{"tier":8}}`
	putOrdersRoute   = `{"kind":"route","name":"orders","put":{"prefix":"/orders","service":"ledger","repeatable":false}}`
)

func emptyDocument(t *testing.T) *Document {
	t.Helper()
	d, err := Decode(nil)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// applyChange reads and applies a change with the given ID. items is a JSON list without its
// brackets.
func applyChange(t *testing.T, d *Document, id, items string) (*Document, Result) {
	t.Helper()
	change, violations := ReadChange([]byte(fmt.Sprintf(`{"id":%q,"changes":[%s]}`, id, items)))
	if len(violations) > 0 {
		t.Fatalf("%v", violations)
	}
	return d.Apply(change)
}

// applyOtherChanges applies count changes of the service "busy", all of which are accepted.
func applyOtherChanges(t *testing.T, d *Document, count int) *Document {
	t.Helper()
	for i := range count {
		var res Result
		d, res = applyChange(t, d, fmt.Sprintf("other-%d-%d", d.Revision, i), fmt.Sprintf(`{"kind":"service","name":"busy","put":{"circuits":%d}}`, i%9))
		if !res.Accepted() {
			t.Fatalf("%+v", res)
		}
	}
	return d
}

// reencoded encodes and decodes a document, as happens when a store restarts.
func reencoded(t *testing.T, d *Document) *Document {
	t.Helper()
	decoded, err := Decode(d.Encode(true))
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

func mergeOf(items ...VersionedItem) Merge { return Merge{Items: items} }

func versionedService(name string, version ids.Revision) VersionedItem {
	return VersionedItem{
		Kind: "service", Name: ids.Name(name), Version: version,
		Body:   json.RawMessage(`{"circuits":9}`),
		Source: json.RawMessage(fmt.Sprintf(`{"called": %q,  "v":%d}`, name, version)),
	}
}

func versionedRoute(name, service string, version ids.Revision) VersionedItem {
	body := fmt.Sprintf(`{"host":"tern.example","prefix":"/%s/","service":%q,"repeatable":true}`, name, service)
	return VersionedItem{
		Kind: "route", Name: ids.Name(name), Version: version,
		Body:   json.RawMessage(body),
		Source: json.RawMessage(fmt.Sprintf(`{"n":%q, "to" : %q}`, name, service)),
	}
}

func versionedRemoval(kind, name string, version ids.Revision) VersionedItem {
	return VersionedItem{Kind: kind, Name: ids.Name(name), Version: version, Removed: true}
}

// runOpMerge runs OpMerge with an empty cache.
func runOpMerge(key ids.RegisterKey, old, arg []byte) ([]byte, []byte) {
	return Ops()[OpMerge](key, old, arg)
}

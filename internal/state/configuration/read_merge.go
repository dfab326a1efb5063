package configuration

import (
	"encoding/json"
	"fmt"

	"github.com/tidwall/gjson"

	"dunlinwell/internal/base/jsoncheck"
)

// ReadMerging reads and checks the words of a merging; all faults are listed.
func ReadMerge(raw []byte) (Merge, []Violation) {
	var m Merge
	var faults []Violation
	item := "merging"
	bad := func(path, why string) { faults = append(faults, Violation{item, path, why}) }
	doc := gjson.ParseBytes(raw)
	if !jsoncheck.Valid(raw) || !doc.IsObject() {
		bad("", "is not a JSON object")
		return m, faults
	}
	CheckKeys(doc, "", bad, "items")
	list := doc.Get("items").Array()
	if !doc.Get("items").IsArray() || len(list) == 0 || len(list) > maxMergeItems {
		bad("items", fmt.Sprintf("must be a list of 1 to %d", maxMergeItems))
		return m, faults
	}
	for i, g := range list {
		item = fmt.Sprintf("items.%d", i)
		checkVersionedItem(g, bad)
	}
	if len(faults) == 0 {
		if err := json.Unmarshal(raw, &m); err != nil {
			item = "merging"
			bad("", err.Error())
		}
	}
	if len(faults) == 0 {
		faults = m.Check()
	}
	return m, faults
}

// checkVersionedItem checks what surrounds an item's body; the body is checked later.
func checkVersionedItem(g gjson.Result, bad func(path, why string)) {
	if !g.IsObject() {
		bad("", "must be an object")
		return
	}
	// A source is its caller's own, whatever it holds.
	seen := map[string]bool{}
	g.ForEach(func(k, v gjson.Result) bool {
		if seen[k.String()] {
			bad(k.String(), "stands twice")
		}
		seen[k.String()] = true
		if k.String() == "body" {
			checkDuplicateKeys("body", v, bad)
		}
		return true
	})
	CheckKeys(g, "", bad, "kind", "name", "version", "body", "source", "removed")
	for _, f := range []string{"kind", "name"} {
		if g.Get(f).Type != gjson.String {
			bad(f, "must be a string")
		}
	}
	if v := g.Get("version"); v.Type != gjson.Number || v.Num < 0 || v.Num >= 1<<62 || v.Raw != fmt.Sprint(v.Uint()) {
		bad("version", "must be a whole number")
	}
	removed := g.Get("removed")
	if removed.Exists() && !removed.IsBool() {
		bad("removed", "must be true or false")
	}
	if removed.Bool() == g.Get("body").Exists() {
		bad("", "must have one of body and removed")
	}
}

// maxSourceDepth is how far a source may nest: encoding/json reads no more than
// ten thousand levels, and what it can't read again nobody could keep.
const maxSourceDepth = 256

func checkSource(raw json.RawMessage, bad func(path, why string)) {
	switch {
	case len(raw) == 0:
	case jsoncheck.Depth(raw) > maxSourceDepth:
		bad("source", "nests too deep")
	case !jsoncheck.Valid(raw):
		bad("source", "is not valid JSON")
	}
}

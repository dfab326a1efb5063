package configuration

import (
	"encoding/json"
	"fmt"

	"github.com/tidwall/gjson"

	"dunlinwell/internal/base/jsoncheck"
)

// maxMergeItems is the maximum number of items in one Merge.
const maxMergeItems = 200000

// maxNameBytes is the maximum length of an item's name in a Merge.
const maxNameBytes = 256

// maxSourceDepth is the maximum nesting depth of a source. encoding/json decodes at most
// 10000 levels, so a deeper source would make the stored document undecodable.
const maxSourceDepth = 256

// ReadMerge decodes and validates a merge. It returns all violations; if there are any,
// the merge is incomplete.
func ReadMerge(raw []byte) (Merge, []Violation) {
	var merge Merge
	violations := violationList{item: "merging"}
	doc := gjson.ParseBytes(raw)
	if !jsoncheck.Valid(raw) || !doc.IsObject() {
		violations.report("", "is not a JSON object")
		return merge, violations.list
	}
	CheckKeys(doc, "", violations.report, "items")
	items := doc.Get("items").Array()
	if !doc.Get("items").IsArray() || len(items) == 0 || len(items) > maxMergeItems {
		violations.report("items", fmt.Sprintf("must be a list of 1 to %d", maxMergeItems))
		return merge, violations.list
	}
	for i, item := range items {
		violations.item = fmt.Sprintf("items.%d", i)
		checkVersionedItem(item, violations.report)
	}
	if len(violations.list) > 0 {
		return merge, violations.list
	}
	if err := json.Unmarshal(raw, &merge); err != nil {
		violations.item = "merging"
		violations.report("", err.Error())
		return merge, violations.list
	}
	return merge, merge.Check()
}

// checkVersionedItem validates the fields of an item except for its body, which Merge.Check
// validates.
func checkVersionedItem(item gjson.Result, report ReportFunc) {
	if !item.IsObject() {
		report("", "must be an object")
		return
	}
	checkDuplicateItemKeys(item, report)
	CheckKeys(item, "", report, "kind", "name", "version", "body", "source", "removed")
	for _, key := range []string{"kind", "name"} {
		if item.Get(key).Type != gjson.String {
			report(key, "must be a string")
		}
	}
	if version := item.Get("version"); !isWholeNumber(version) || version.Num >= 1<<62 {
		report("version", "must be a whole number")
	}
	removed := item.Get("removed")
	if removed.Exists() && !removed.IsBool() {
		report("removed", "must be true or false")
	}
	if removed.Bool() == item.Get("body").Exists() {
		report("", "must have one of body and removed")
	}
}

// checkDuplicateItemKeys reports duplicate keys in an item and its body. They aren't
// checked in a source, since the caller's own format may allow them.
func checkDuplicateItemKeys(item gjson.Result, report ReportFunc) {
	seen := map[string]bool{}
	item.ForEach(func(key, value gjson.Result) bool {
		if seen[key.String()] {
			report(key.String(), "stands twice")
		}
		seen[key.String()] = true
		if key.String() == "body" {
			checkDuplicateKeys("body", value, report)
		}
		return true
	})
}

// Check returns the violations that can be found without the current document.
func (m Merge) Check() []Violation {
	violations := violationList{item: "items"}
	if len(m.Items) > maxMergeItems {
		violations.report("", fmt.Sprintf("must be %d at most", maxMergeItems))
		return violations.list
	}
	for i, item := range m.Items {
		violations.item = fmt.Sprintf("items.%d", i)
		item.check(&violations)
	}
	return violations.list
}

// check validates one item. Once its kind and name are known, violations are reported
// under them.
func (v VersionedItem) check(violations *violationList) {
	if _, ok := fieldRules[v.Kind]; !ok {
		violations.report("kind", "is not known")
		return
	}
	if len(v.Name) == 0 || len(v.Name) > maxNameBytes {
		violations.report("name", fmt.Sprintf("must be 1 to %d bytes", maxNameBytes))
		return
	}
	violations.item = itemKey(v.Kind, v.Name)
	if v.Removed {
		return
	}
	if !jsoncheck.Valid(v.Body) {
		violations.report("", "is not valid JSON")
		return
	}
	checkSource(v.Source, violations.report)
	checkVersionedBody(v.Kind, string(v.Body), violations.report)
}

// checkSource checks that a source, if there is one, can be stored.
func checkSource(source json.RawMessage, report ReportFunc) {
	switch {
	case len(source) == 0:
	case jsoncheck.Depth(source) > maxSourceDepth:
		report("source", "nests too deep")
	case !jsoncheck.Valid(source):
		report("source", "is not valid JSON")
	}
}

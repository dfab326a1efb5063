package configuration

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"github.com/tidwall/gjson"

	"dunlinwell/internal/base/jsoncheck"
)

// maxChangeItems is the maximum number of items in one change.
const maxChangeItems = 1000

// maxChangeDepth is the maximum nesting depth of objects and lists in a request. Valid
// requests need three levels. Each level is parsed again, so the cost grows with the depth.
const maxChangeDepth = 16

// ReadChange decodes and validates a change. It returns all violations; if there are any,
// the change is incomplete.
func ReadChange(raw []byte) (Change, []Violation) {
	var change Change
	violations := violationList{item: "change"}
	if !jsoncheck.Valid(raw) {
		violations.report("", "is not valid JSON")
		return change, violations.list
	}
	doc := gjson.ParseBytes(raw)
	if !doc.IsObject() {
		violations.report("", "must be an object")
		return change, violations.list
	}
	checkDuplicateKeys("", doc, violations.report)
	CheckKeys(doc, "", violations.report, "id", "changes")
	if id := doc.Get("id"); id.Type != gjson.String || !changeIDPattern.MatchString(id.Str) {
		violations.report("id", "must be 1 to 128 letters, digits or . _ : -")
	}
	items := doc.Get("changes")
	if !items.IsArray() || len(items.Array()) == 0 || len(items.Array()) > maxChangeItems {
		violations.report("changes", fmt.Sprintf("must be a list of 1 to %d", maxChangeItems))
		return change, violations.list
	}
	seen := map[string]bool{}
	for i, item := range items.Array() {
		violations.item = fmt.Sprintf("changes.%d", i)
		checkItemChange(item, &violations, seen)
	}
	if len(violations.list) > 0 {
		return change, violations.list
	}
	if err := json.Unmarshal(raw, &change); err != nil {
		violations.report("", err.Error())
	}
	return change, violations.list
}

// checkItemChange validates one item of a change. Once the item's kind and name are known,
// violations are reported under them. seen holds the keys of the items checked so far.
func checkItemChange(item gjson.Result, violations *violationList, seen map[string]bool) {
	if !item.IsObject() {
		violations.report("", "must be an object")
		return
	}
	CheckKeys(item, "", violations.report, "kind", "name", "version", "put", "set", "remove")
	kind, name := item.Get("kind"), item.Get("name")
	if _, ok := fieldRules[kind.Str]; !ok || kind.Type != gjson.String {
		violations.report("kind", "must be service, route, cell or limits")
		return
	}
	if name.Type != gjson.String || !namePattern.MatchString(name.Str) {
		violations.report("name", "must be "+nameDescription)
		return
	}
	violations.item = kind.Str + "/" + name.Str
	if seen[violations.item] {
		violations.report("", "is changed twice in one change")
	}
	seen[violations.item] = true
	if version := item.Get("version"); version.Exists() && !isWholeNumber(version) {
		violations.report("version", "must be a whole number")
	}
	checkAction(kind.Str, item, violations.report)
}

// checkAction checks that an item of a change has exactly one of put, set and remove, and
// validates its value.
func checkAction(kind string, item gjson.Result, report ReportFunc) {
	put, set, remove := item.Get("put"), item.Get("set"), item.Get("remove")
	if remove.Exists() && remove.Type != gjson.True {
		report("remove", "must be true")
	}
	actions := 0
	for _, action := range []gjson.Result{put, set, remove} {
		if action.Exists() {
			actions++
		}
	}
	if actions != 1 {
		report("", "must have one of put, set and remove")
		return
	}
	if put.Exists() {
		checkBody(kind, put.Raw, report)
	}
	if set.Exists() && !set.IsObject() {
		report("set", "must be an object")
	}
}

// isWholeNumber reports whether encoding/json can decode a value into an unsigned integer:
// a number that consists of decimal digits only.
func isWholeNumber(v gjson.Result) bool {
	return v.Type == gjson.Number && v.Num >= 0 && v.Raw == strconv.FormatUint(v.Uint(), 10)
}

// CheckKeys reports each key of an object that isn't one of the known keys.
func CheckKeys(doc gjson.Result, path string, report ReportFunc, known ...string) {
	doc.ForEach(func(key, _ gjson.Result) bool {
		if !slices.Contains(known, key.String()) {
			report(joinPath(path, key.String()), "is not known")
		}
		return true
	})
}

// checkDuplicateKeys reports duplicate keys of objects at any depth, since JSON decoders
// differ in which of them they use. It also reports values that are nested deeper than
// maxChangeDepth.
func checkDuplicateKeys(path string, v gjson.Result, report ReportFunc) {
	checkDuplicateKeysToDepth(path, v, maxChangeDepth, report)
}

func checkDuplicateKeysToDepth(path string, v gjson.Result, remainingDepth int, report ReportFunc) {
	if remainingDepth == 0 {
		report(path, "is nested too deeply")
		return
	}
	seen, index := map[string]bool{}, -1
	v.ForEach(func(key, element gjson.Result) bool {
		index++
		elementPath := joinPath(path, strconv.Itoa(index))
		if v.IsObject() {
			elementPath = joinPath(path, key.String())
			if seen[key.String()] {
				report(elementPath, "stands twice")
			}
			seen[key.String()] = true
		}
		if element.IsObject() || element.IsArray() {
			checkDuplicateKeysToDepth(elementPath, element, remainingDepth-1, report)
		}
		return true
	})
}

// joinPath appends a key to a path. An empty path denotes the item itself.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

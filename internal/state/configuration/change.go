package configuration

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/tidwall/gjson"
	"github.com/tidwall/pretty"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/base/jsoncheck"
)

// ItemChange changes one item: put whole, set some fields of it, or remove it.
type ItemChange struct {
	Kind    string          `json:"kind"`
	Name    ids.Name        `json:"name"`
	Version *ids.Revision   `json:"version,omitempty"`
	Put     json.RawMessage `json:"put,omitempty"`
	Set     json.RawMessage `json:"set,omitempty"`
	Remove  bool            `json:"remove,omitempty"`
}

// Change is whole or nothing.
type Change struct {
	ID    ids.ChangeID `json:"id"`
	Items []ItemChange `json:"changes"`
}

// ItemVersion is an item as a change left it; version 0 is a removed one.
type ItemVersion struct {
	Kind    string       `json:"kind"`
	Name    ids.Name     `json:"name"`
	Version ids.Revision `json:"version"`
}

// VersionConflict is an item whose version is not the one the change was made for.
type VersionConflict struct {
	ItemVersion
	Expected ids.Revision `json:"asked"`
}

// Result is what came of a change.
type Result struct {
	ID               ids.ChangeID      `json:"id"`
	Revision         ids.Revision      `json:"revision"`
	Items            []ItemVersion     `json:"items,omitempty"`
	Violations       []Violation       `json:"errors,omitempty"`
	VersionConflicts []VersionConflict `json:"stale,omitempty"`
	MissingItems     []ItemVersion     `json:"missing,omitempty"`
	// ReuseConflicts are numbers that already stand for something else.
	ReuseConflicts []Violation `json:"conflicts,omitempty"`
	// Unknown, if set, says why the end of this change can't be told.
	UnknownReason string `json:"unknown,omitempty"`
}

// Accepted tells whether the change took effect.
func (r Result) Accepted() bool {
	return len(r.Violations)+len(r.VersionConflicts)+len(r.MissingItems)+len(r.ReuseConflicts) == 0 && r.UnknownReason == ""
}

// mostRecent and mostRejected bound how many results are kept for resent changes.
const (
	maxRecentResults   = 256
	maxRejectedResults = 128
)

// appendBounded adds a result to a bounded list, which is not shared with the old one.
func appendBounded(list []Result, r Result, most int) []Result {
	list = append(slices.Clone(list), r)
	return list[max(0, len(list)-most):]
}

func sortedNames[V any](m map[ids.Name]V) []ids.Name { return slices.Sorted(maps.Keys(m)) }

// ReadChange reads and checks the words of a change; all faults are listed.
func ReadChange(raw []byte) (Change, []Violation) {
	var c Change
	var faults []Violation
	item := "change"
	bad := func(path, why string) { faults = append(faults, Violation{item, path, why}) }
	if !jsoncheck.Valid(raw) {
		bad("", "is not valid JSON")
		return c, faults
	}
	doc := gjson.ParseBytes(raw)
	if !doc.IsObject() {
		bad("", "must be an object")
		return c, faults
	}
	checkDuplicateKeys("", doc, bad)
	CheckKeys(doc, "", bad, "id", "changes")
	if id := doc.Get("id"); id.Type != gjson.String || !changeIDPattern.MatchString(id.Str) {
		bad("id", "must be 1 to 128 letters, digits or . _ : -")
	}
	list := doc.Get("changes")
	if !list.IsArray() || len(list.Array()) == 0 || len(list.Array()) > 1000 {
		bad("changes", "must be a list of 1 to 1000")
		return c, faults
	}
	seen := map[string]bool{}
	for i, part := range list.Array() {
		item = fmt.Sprintf("changes.%d", i)
		if !part.IsObject() {
			bad("", "must be an object")
			continue
		}
		checkItemChange(part, &item, seen, bad)
	}
	if len(faults) > 0 {
		return c, faults
	}
	if err := json.Unmarshal(raw, &c); err != nil {
		bad("", err.Error())
	}
	return c, faults
}

// CheckKeys finds the keys of an object that are not among the known ones.
func CheckKeys(doc gjson.Result, path string, bad func(path, why string), known ...string) {
	doc.ForEach(func(k, _ gjson.Result) bool {
		if !slices.Contains(known, k.String()) {
			bad(joinPath(path, k.String()), "is not known")
		}
		return true
	})
}

func checkItemChange(part gjson.Result, item *string, seen map[string]bool, bad func(path, why string)) {
	CheckKeys(part, "", bad, "kind", "name", "version", "put", "set", "remove")
	kind, name := part.Get("kind"), part.Get("name")
	if _, ok := fieldRules[kind.Str]; !ok || kind.Type != gjson.String {
		bad("kind", "must be service, route, cell or limits")
		return
	}
	if name.Type != gjson.String || !namePattern.MatchString(name.Str) {
		bad("name", "must be "+nameDescription)
		return
	}
	*item = kind.Str + "/" + name.Str
	if seen[*item] {
		bad("", "is changed twice in one change")
	}
	seen[*item] = true
	if v := part.Get("version"); v.Exists() && (v.Type != gjson.Number || v.Num < 0 || v.Raw != fmt.Sprint(v.Uint())) {
		bad("version", "must be a whole number")
	}
	put, set, rem := part.Get("put"), part.Get("set"), part.Get("remove")
	if rem.Exists() && rem.Type != gjson.True {
		bad("remove", "must be true")
	}
	n := 0
	for _, v := range []gjson.Result{put, set, rem} {
		if v.Exists() {
			n++
		}
	}
	if n != 1 {
		bad("", "must have one of put, set and remove")
		return
	}
	if put.Exists() {
		checkBody(kind.Str, put.Raw, bad)
	}
	if set.Exists() && !set.IsObject() {
		bad("set", "must be an object")
	}
}

// Apply gives the configuration after a change, or the same configuration if it is rejected.
func (d *Document) Apply(c Change) (*Document, Result) {
	if res, ended := d.earlierResult(c); ended {
		return d, res
	}
	sure := d.isSurelyNew(c)
	if _, named := baseRevisionOf(c.ID); named && !sure {
		return d, Result{ID: c.ID, Revision: d.Revision, UnknownReason: reasonUnknown}
	}
	next := d.nextRevision()
	res := Result{ID: c.ID, Revision: d.Revision}
	var done []ItemVersion
	for _, part := range c.Items {
		done = append(done, next.applyItem(part, changeHash(c.ID), &res))
	}
	if res.Accepted() {
		res.Violations = next.checkReferences(c)
	}
	switch {
	case !res.Accepted() && !sure:
		return d, Result{ID: c.ID, Revision: d.Revision, UnknownReason: reasonUnknown}
	case !res.Accepted():
		same := *d
		same.recordChange(c, res)
		same.RejectedResults = appendBounded(d.RejectedResults, res, maxRejectedResults)
		return &same, res
	}
	res.Revision, res.Items = next.Revision, done
	next.recordChange(c, res)
	next.RecentResults = appendBounded(d.RecentResults, res, maxRecentResults)
	return next, res
}

// applyItem makes one part's change in place, and notes what stands against it.
func (d *Document) applyItem(part ItemChange, by string, res *Result) ItemVersion {
	items := d.Items(part.Kind)
	have, exists := items[part.Name]
	key := part.Kind + "/" + string(part.Name)
	given := have.isMerged() || have.EverMerged || d.Tombstones[key].EverMerged
	t := ItemVersion{Kind: part.Kind, Name: part.Name, Version: have.Version}
	if part.Version != nil && *part.Version != have.Version {
		res.VersionConflicts = append(res.VersionConflicts, VersionConflict{t, *part.Version})
		return t
	}
	if !exists && part.Put == nil {
		res.MissingItems = append(res.MissingItems, t)
		return t
	}
	if part.Remove {
		d.recordVersionIfMerged(part.Kind, part.Name, given)
		delete(items, part.Name)
		// It stays removed for copies of it that arrive later, too.
		d.addTombstone(key, Tombstone{Version: have.Version + 1, ChangeHash: by, PreviousVersion: have.Version, EverMerged: given})
		return ItemVersion{Kind: part.Kind, Name: part.Name}
	}
	body := part.Put
	if part.Set != nil {
		body = overlayFields(have.Body, part.Set)
		checkBody(part.Kind, string(body), func(path, why string) {
			res.Violations = append(res.Violations, Violation{key, path, why})
		})
	}
	t.Version = d.Revision
	// Versions given from outside may run ahead of ours; none goes back.
	before, known := d.version(part.Kind, part.Name)
	if known {
		t.Version = max(t.Version, before+1)
	}
	d.recordVersionIfMerged(part.Kind, part.Name, given)
	delete(d.Tombstones, key)
	items[part.Name] = Item{Version: t.Version, Body: pretty.Ugly(body), ChangedAt: d.Revision, Merged: have.isMerged(), ChangeHash: by, PreviousVersion: before, EverMerged: given}
	return t
}

package configuration

import (
	"encoding/json"

	"github.com/tidwall/pretty"

	"dunlinwell/internal/base/ids"
)

// VersionedItem is an item whose version the caller assigns. For each name the
// highest version holds, whether it sets or removes the item; a lower or equal one
// changes nothing.
type VersionedItem struct {
	Kind    string       `json:"kind"`
	Name    ids.Name     `json:"name"`
	Version ids.Revision `json:"version"`
	// Body is the item in our format, Source in the caller's own if that differs.
	Body    json.RawMessage `json:"body,omitempty"`
	Source  json.RawMessage `json:"source,omitempty"`
	Removed bool            `json:"removed,omitempty"`
}

// Merge sets and removes items by version. It takes effect whole or not at all. Sent
// again, late or out of order it has the same effect, so it needs no id.
type Merge struct {
	Items []VersionedItem `json:"items"`
}

// Merge returns the document with the items merged in, or the same document if the
// merge is rejected or has nothing newer.
func (d *Document) Merge(m Merge) (*Document, Result) {
	res := Result{Revision: d.Revision, Violations: m.Check()}
	if len(res.Violations) > 0 {
		return d, res
	}
	next := d.nextRevision()
	changed, removedService := false, false
	for _, item := range m.Items {
		res.ReuseConflicts = append(res.ReuseConflicts, next.reuseConflicts(item)...)
		if next.mergeItem(item) {
			changed = true
			removedService = removedService || item.Kind == kindService && item.Removed
		}
		version, _ := next.version(item.Kind, item.Name)
		res.Items = append(res.Items, ItemVersion{Kind: item.Kind, Name: item.Name, Version: version})
	}
	res.Violations = next.checkMergedReferences(m, removedService)
	if !res.Accepted() {
		return d, Result{Revision: d.Revision, Violations: res.Violations, ReuseConflicts: res.ReuseConflicts}
	}
	if !changed {
		return d, res
	}
	res.Revision = next.Revision
	return next, res
}

// mergeItem applies one item in place and reports whether its version was the highest
// for its name.
func (d *Document) mergeItem(item VersionedItem) bool {
	if version, ok := d.version(item.Kind, item.Name); ok && item.Version <= version {
		return false
	}
	key := itemKey(item.Kind, item.Name)
	d.recordVersion(item.Kind, item.Name)
	if item.Removed {
		delete(d.Items(item.Kind), item.Name)
		d.addTombstone(key, Tombstone{Version: item.Version, EverMerged: true})
		return true
	}
	delete(d.Tombstones, key)
	d.Items(item.Kind)[item.Name] = Item{
		Version:    item.Version,
		Body:       pretty.Ugly(item.Body),
		Source:     item.Source,
		ChangedAt:  d.Revision,
		Merged:     true,
		EverMerged: true,
	}
	return true
}

// reuseConflicts reports whether an item's version already stands for another
// content: two callers must not both be told that one version is theirs.
func (d *Document) reuseConflicts(item VersionedItem) []Violation {
	version, known := d.version(item.Kind, item.Name)
	if !known || item.Version > version {
		return nil
	}
	present := d.contentHashOf(item.Kind, item.Name)
	if item.Version < version {
		entry, ok := d.history().Versions.find(versionKey(item.Kind, item.Name, item.Version))
		if !ok {
			// It never held, or so long ago that it is forgotten. Since it is
			// overtaken, it has no effect in either case.
			return nil
		}
		present = entry.contentHash
	}
	if present == item.contentHash() {
		return nil
	}
	return []Violation{{itemKey(item.Kind, item.Name), "version", reasonOtherContent}}
}

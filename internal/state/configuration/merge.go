package configuration

import (
	"encoding/json"

	"github.com/tidwall/pretty"

	"dunlinwell/internal/base/ids"
)

// VersionedItem sets or removes an item under a version that the caller assigns. The
// highest version of an item wins; a lower or equal one has no effect.
type VersionedItem struct {
	Kind    string       `json:"kind"`
	Name    ids.Name     `json:"name"`
	Version ids.Revision `json:"version"`
	// Body is the item in the format of this package, Source in the caller's own format if
	// that differs.
	Body    json.RawMessage `json:"body,omitempty"`
	Source  json.RawMessage `json:"source,omitempty"`
	Removed bool            `json:"removed,omitempty"`
}

// Merge sets and removes items by version, atomically. Merges are idempotent and
// commutative, so they need no ID.
type Merge struct {
	Items []VersionedItem `json:"items"`
}

// Merge returns the document with the items merged in, or d itself if the merge is rejected
// or contains no newer version.
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

// mergeItem applies one item in place unless its version is superseded, and reports whether
// it was applied.
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

// reuseConflicts returns a violation if the item's version is already used for different
// content. Two callers must not both have different content acknowledged for one version.
func (d *Document) reuseConflicts(item VersionedItem) []Violation {
	version, exists := d.version(item.Kind, item.Name)
	if !exists || item.Version > version {
		return nil
	}
	recorded := d.contentHashOf(item.Kind, item.Name)
	if item.Version < version {
		entry, ok := d.history().Versions.find(versionKey(item.Kind, item.Name, item.Version))
		if !ok {
			// The version was never used or its entry was evicted. It is superseded
			// and has no effect in either case.
			return nil
		}
		recorded = entry.contentHash
	}
	if recorded == item.contentHash() {
		return nil
	}
	return []Violation{{itemKey(item.Kind, item.Name), "version", reasonVersionReused}}
}

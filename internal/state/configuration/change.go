package configuration

import (
	"encoding/json"

	"github.com/tidwall/pretty"

	"dunlinwell/internal/base/ids"
)

// ItemChange changes one item. Exactly one of Put, Set and Remove is given.
type ItemChange struct {
	Kind string   `json:"kind"`
	Name ids.Name `json:"name"`
	// Version, if given, is the version that the item must have; 0 requires that there
	// is no such item.
	Version *ids.Revision `json:"version,omitempty"`
	// Put replaces the whole body, Set only the fields that it names.
	Put    json.RawMessage `json:"put,omitempty"`
	Set    json.RawMessage `json:"set,omitempty"`
	Remove bool            `json:"remove,omitempty"`
}

// Change is an operator's change of one or more items. It takes effect whole or not
// at all.
type Change struct {
	// ID is the caller's own id of this change, the same in each copy of it.
	ID    ids.ChangeID `json:"id"`
	Items []ItemChange `json:"changes"`
}

// Apply returns the document after a change, or the same items if the change is
// rejected. A change that was applied before isn't applied again: its first result is
// returned. If that can't be determined any more, Result.UnknownReason is set.
func (d *Document) Apply(c Change) (*Document, Result) {
	if res, ended := d.earlierResult(c); ended {
		return d, res
	}
	isNew := d.isSurelyNew(c)
	unknown := Result{ID: c.ID, Revision: d.Revision, UnknownReason: reasonUnknown}
	if _, hasBase := baseRevisionOf(c.ID); hasBase && !isNew {
		return d, unknown
	}
	next := d.nextRevision()
	res := Result{ID: c.ID, Revision: d.Revision}
	var changed []ItemVersion
	for _, item := range c.Items {
		changed = append(changed, next.applyItem(item, changeHash(c.ID), &res))
	}
	if res.Accepted() {
		res.Violations = next.checkReferences(c)
	}
	if res.Accepted() {
		res.Revision, res.Items = next.Revision, changed
		next.recordChange(c, res)
		next.RecentResults = appendBounded(next.RecentResults, res, maxRecentResults)
		return next, res
	}
	if !isNew {
		// It may have been accepted once: a rejection would contradict that.
		return d, unknown
	}
	rejected := *d
	rejected.recordChange(c, res)
	rejected.RejectedResults = appendBounded(d.RejectedResults, res, maxRejectedResults)
	return &rejected, res
}

// applyItem changes one item in place and adds to the result what stands against it.
func (d *Document) applyItem(change ItemChange, hash string, res *Result) ItemVersion {
	items := d.Items(change.Kind)
	present, exists := items[change.Name]
	result := ItemVersion{Kind: change.Kind, Name: change.Name, Version: present.Version}
	switch {
	case change.Version != nil && *change.Version != present.Version:
		res.VersionConflicts = append(res.VersionConflicts, VersionConflict{result, *change.Version})
		return result
	case !exists && change.Put == nil:
		res.MissingItems = append(res.MissingItems, result)
		return result
	case change.Remove:
		d.removeItem(change, hash)
		result.Version = 0
		return result
	}
	result.Version = d.putItem(change, hash, res)
	return result
}

// removeItem removes an existing item in place. The tombstone keeps copies of the item
// that arrive later from restoring it.
func (d *Document) removeItem(change ItemChange, hash string) {
	items := d.Items(change.Kind)
	present := items[change.Name]
	everMerged := d.everMerged(change.Kind, change.Name)
	if everMerged {
		d.recordVersion(change.Kind, change.Name)
	}
	delete(items, change.Name)
	d.addTombstone(itemKey(change.Kind, change.Name), Tombstone{
		Version:         present.Version + 1,
		ChangeHash:      hash,
		PreviousVersion: present.Version,
		EverMerged:      everMerged,
	})
}

// putItem writes an item's new body in place, adds the violations of a Set to the
// result, and returns the item's new version. A Put was checked by ReadChange.
func (d *Document) putItem(change ItemChange, hash string, res *Result) ids.Revision {
	items := d.Items(change.Kind)
	present := items[change.Name]
	key := itemKey(change.Kind, change.Name)
	body := change.Put
	if change.Set != nil {
		body = overlayFields(present.Body, change.Set)
		violations := violationList{item: key}
		checkBody(change.Kind, string(body), violations.report)
		res.Violations = append(res.Violations, violations.list...)
	}
	everMerged := d.everMerged(change.Kind, change.Name)
	version := d.Revision
	previous, known := d.version(change.Kind, change.Name)
	if known {
		// Versions that came by a Merge may be ahead of revisions; none decreases.
		version = max(version, previous+1)
	}
	if everMerged {
		d.recordVersion(change.Kind, change.Name)
	}
	delete(d.Tombstones, key)
	items[change.Name] = Item{
		Version:         version,
		Body:            pretty.Ugly(body),
		ChangedAt:       d.Revision,
		Merged:          present.isMerged(),
		ChangeHash:      hash,
		PreviousVersion: previous,
		EverMerged:      everMerged,
	}
	return version
}

// everMerged reports whether some version of a name came by a Merge.
func (d *Document) everMerged(kind string, name ids.Name) bool {
	item := d.Items(kind)[name]
	return item.isMerged() || item.EverMerged || d.Tombstones[itemKey(kind, name)].EverMerged
}

// overlayFields returns a body with the fields of another object set in it. Both were
// checked to be objects before; whatever can't be read is left out.
func overlayFields(body, fields json.RawMessage) json.RawMessage {
	merged := map[string]json.RawMessage{}
	_ = json.Unmarshal(body, &merged)
	_ = json.Unmarshal(fields, &merged)
	raw, _ := json.Marshal(merged)
	return raw
}

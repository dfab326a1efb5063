package configuration

import (
	"encoding/json"

	"github.com/tidwall/pretty"

	"dunlinwell/internal/base/ids"
)

// ItemChange changes one item. Exactly one of Put, Set and Remove is set.
type ItemChange struct {
	Kind string   `json:"kind"`
	Name ids.Name `json:"name"`
	// Version, if set, is the version that the item must have; 0 requires that the item
	// doesn't exist.
	Version *ids.Revision `json:"version,omitempty"`
	// Put replaces the whole body, Set only the fields that it contains.
	Put    json.RawMessage `json:"put,omitempty"`
	Set    json.RawMessage `json:"set,omitempty"`
	Remove bool            `json:"remove,omitempty"`
}

// Change is an operator's atomic change of one or more items.
type Change struct {
	// ID is assigned by the caller and is the same in each retry of the change.
	ID    ids.ChangeID `json:"id"`
	Items []ItemChange `json:"changes"`
}

// Apply returns the document after a change. If the change is rejected, the returned
// document has the same items. A change that was applied before isn't applied again: its
// first result is returned, or Result.UnknownReason is set if that result can't be
// determined any more.
func (d *Document) Apply(c Change) (*Document, Result) {
	if res, recorded := d.recordedResult(c); recorded {
		return d, res
	}
	isNew := d.isProvablyNew(c)
	unknown := Result{ID: c.ID, Revision: d.Revision, UnknownReason: reasonUnknown}
	if _, hasBase := baseRevisionOf(c.ID); hasBase && !isNew {
		return d, unknown
	}
	next := d.nextRevision()
	res := Result{ID: c.ID, Revision: d.Revision}
	var changed []ItemVersion
	for _, item := range c.Items {
		changed = append(changed, next.applyItem(item, hashChangeID(c.ID), &res))
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
		// The change may have been accepted before: a rejection would contradict that.
		return d, unknown
	}
	rejected := *d
	rejected.recordChange(c, res)
	rejected.RejectedResults = appendBounded(d.RejectedResults, res, maxRejectedResults)
	return &rejected, res
}

// applyItem changes one item in place and adds the reasons to reject it to the result.
func (d *Document) applyItem(change ItemChange, hash string, res *Result) ItemVersion {
	items := d.Items(change.Kind)
	current, exists := items[change.Name]
	result := ItemVersion{Kind: change.Kind, Name: change.Name, Version: current.Version}
	switch {
	case change.Version != nil && *change.Version != current.Version:
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

// removeItem removes an existing item in place. The tombstone keeps delayed duplicates of
// earlier requests from restoring the item.
func (d *Document) removeItem(change ItemChange, hash string) {
	items := d.Items(change.Kind)
	current := items[change.Name]
	everMerged := d.everMerged(change.Kind, change.Name)
	if everMerged {
		d.recordVersion(change.Kind, change.Name)
	}
	delete(items, change.Name)
	d.addTombstone(itemKey(change.Kind, change.Name), Tombstone{
		Version:         current.Version + 1,
		ChangeIDHash:    hash,
		PreviousVersion: current.Version,
		EverMerged:      everMerged,
	})
}

// putItem writes an item's new body in place and returns the item's new version. It adds
// violations of the body that results from a Set to the result; ReadChange has already
// checked the body of a Put.
func (d *Document) putItem(change ItemChange, hash string, res *Result) ids.Revision {
	items := d.Items(change.Kind)
	current := items[change.Name]
	key := itemKey(change.Kind, change.Name)
	body := change.Put
	if change.Set != nil {
		body = overlayFields(current.Body, change.Set)
		violations := violationList{item: key}
		checkBody(change.Kind, string(body), violations.report)
		res.Violations = append(res.Violations, violations.list...)
	}
	everMerged := d.everMerged(change.Kind, change.Name)
	version := d.Revision
	previous, hasPrevious := d.version(change.Kind, change.Name)
	if hasPrevious {
		// Versions assigned by a Merge may be ahead of revisions; versions never decrease.
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
		Merged:          current.isMerged(),
		ChangeIDHash:    hash,
		PreviousVersion: previous,
		EverMerged:      everMerged,
	}
	return version
}

// everMerged reports whether any version of the named item was written by a Merge.
func (d *Document) everMerged(kind string, name ids.Name) bool {
	item := d.Items(kind)[name]
	return item.isMerged() || item.EverMerged || d.Tombstones[itemKey(kind, name)].EverMerged
}

// overlayFields returns body with its fields overridden by those of another object. The
// caller has checked that both are objects; input that can't be decoded is left out.
func overlayFields(body, fields json.RawMessage) json.RawMessage {
	merged := map[string]json.RawMessage{}
	_ = json.Unmarshal(body, &merged)
	_ = json.Unmarshal(fields, &merged)
	raw, _ := json.Marshal(merged)
	return raw
}

package configuration

import (
	"encoding/base64"
	"regexp"
	"strconv"

	"dunlinwell/internal/base/ids"
)

// Reasons in results, as shown to clients.
const (
	reasonIDReused      = "was used for another change: a change needs an id of its own"
	reasonRejected      = "names a change that was declined"
	reasonUnknown       = "this may be a copy of a change so old that its end isn't known any more; read the item, and send what is still wanted under a new id"
	reasonVersionReused = "this version holds already, with other content"
)

// baseRevisionPattern matches a change ID made by ChangeIDAt.
var baseRevisionPattern = regexp.MustCompile(`^at-([0-9]{1,18})-`)

// ChangeIDAt returns a change ID that contains the revision that its author had read. It
// shows that the change was made no earlier than that revision.
func ChangeIDAt(base ids.Revision, random string) string {
	return "at-" + strconv.FormatUint(uint64(base), 10) + "-" + random
}

// baseRevisionOf returns the revision in a change ID, and whether it contains one.
func baseRevisionOf(id ids.ChangeID) (ids.Revision, bool) {
	match := baseRevisionPattern.FindStringSubmatch(string(id))
	if match == nil {
		return 0, false
	}
	base, err := strconv.ParseUint(match[1], 10, 62)
	return ids.Revision(base), err == nil
}

// hashChangeID returns the hash of a change ID, as stored in Item.ChangeIDHash.
func hashChangeID(id ids.ChangeID) string {
	key := hashHistoryKey(string(id))
	return base64.RawStdEncoding.EncodeToString(key[:])
}

// recordedResult returns the result of a change whose outcome is recorded. A different
// change with the same ID is rejected.
func (d *Document) recordedResult(c Change) (Result, bool) {
	entry, recorded := d.history().Changes.find(hashHistoryKey(string(c.ID)))
	if recorded && entry.contentHash != hashChange(c) {
		return Result{ID: c.ID, Revision: d.Revision, ReuseConflicts: []Violation{{"change", "id", reasonIDReused}}}, true
	}
	if res, ok := d.retainedResult(c.ID); ok {
		return res, true
	}
	if recorded {
		res := Result{ID: c.ID, Revision: entry.revision}
		if entry.rejected {
			res.ReuseConflicts = []Violation{{"change", "id", reasonRejected}}
		}
		return res, true
	}
	if revision, ok := d.revisionOfItemChangedBy(c); ok {
		return Result{ID: c.ID, Revision: revision}, true
	}
	return Result{}, false
}

// retainedResult returns the full result of a change if it is still retained.
func (d *Document) retainedResult(id ids.ChangeID) (Result, bool) {
	for _, results := range [][]Result{d.RecentResults, d.RejectedResults} {
		for _, res := range results {
			if res.ID == id {
				return res, true
			}
		}
	}
	return Result{}, false
}

// revisionOfItemChangedBy returns the revision at which a change was applied, and whether
// the current version or tombstone of one of its items was written by it. Changes are
// atomic, so one item proves that all of them were changed.
func (d *Document) revisionOfItemChangedBy(c Change) (ids.Revision, bool) {
	hash := hashChangeID(c.ID)
	for _, change := range c.Items {
		if item, ok := d.Items(change.Kind)[change.Name]; ok && item.ChangeIDHash == hash {
			return item.ChangedAt, true
		}
		if t, ok := d.Tombstones[itemKey(change.Kind, change.Name)]; ok && t.ChangeIDHash == hash {
			return t.ChangedAt, true
		}
	}
	return 0, false
}

// isProvablyNew reports whether a change without a recorded outcome can't have been
// accepted before: if it had been, its outcome would still be recorded, or its items would
// differ. False means only that an earlier acceptance can't be excluded.
func (d *Document) isProvablyNew(c Change) bool {
	evictedRevision := d.history().EvictedRevision
	if evictedRevision == 0 {
		return true
	}
	if base, ok := baseRevisionOf(c.ID); ok && base >= evictedRevision {
		return true
	}
	for _, change := range c.Items {
		if d.itemProvesNew(change, evictedRevision) {
			return true
		}
	}
	return false
}

// itemProvesNew reports whether the state of one item proves that its change was never
// accepted. All outcomes after evictedRevision are still recorded.
func (d *Document) itemProvesNew(change ItemChange, evictedRevision ids.Revision) bool {
	item, exists := d.Items(change.Kind)[change.Name]
	tombstone, removed := d.Tombstones[itemKey(change.Kind, change.Name)]
	switch {
	case !exists && !removed:
		// An accepted change would have left an item or a tombstone.
		return true
	case change.Version == nil:
		return false
	case *change.Version == 0 && change.Put == nil && !item.EverMerged && !tombstone.EverMerged:
		// Only a merged item can exist with version 0, so this change can't have matched one.
		return true
	case exists && item.Version == *change.Version:
		// An accepted change would have replaced this version, and versions are never reused.
		return true
	case exists && item.ChangeIDHash != "" && item.PreviousVersion == *change.Version:
		// This version was replaced by a different change.
		return true
	case removed && tombstone.ChangeIDHash != "" && tombstone.PreviousVersion == *change.Version:
		return true
	}
	// A version that no Merge assigned equals the revision that wrote it, so the change
	// that replaced it came after the evicted outcomes and would still be recorded.
	return !item.isMerged() && !item.EverMerged && !tombstone.EverMerged && *change.Version >= evictedRevision
}

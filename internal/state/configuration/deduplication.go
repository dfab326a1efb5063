package configuration

import (
	"encoding/base64"
	"regexp"
	"strconv"

	"dunlinwell/internal/base/ids"
)

// Reasons of results, as clients see them.
const (
	reasonIDUsed       = "was used for another change: a change needs an id of its own"
	reasonRejected     = "names a change that was declined"
	reasonUnknown      = "this may be a copy of a change so old that its end isn't known any more; read the item, and send what is still wanted under a new id"
	reasonOtherContent = "this version holds already, with other content"
)

// baseRevisionPattern matches an id whose author names the revision that was read.
var baseRevisionPattern = regexp.MustCompile(`^at-([0-9]{1,18})-`)

// ChangeIDAt returns a change id that names the revision its author had read. Such a
// change can always be told from one that was made before that revision.
func ChangeIDAt(base ids.Revision, random string) string {
	return "at-" + strconv.FormatUint(uint64(base), 10) + "-" + random
}

// baseRevisionOf returns the revision that an id names, and whether it names one.
func baseRevisionOf(id ids.ChangeID) (ids.Revision, bool) {
	match := baseRevisionPattern.FindStringSubmatch(string(id))
	if match == nil {
		return 0, false
	}
	base, err := strconv.ParseUint(match[1], 10, 62)
	return ids.Revision(base), err == nil
}

// changeHash is the hash of a change's id that Item.ChangeHash holds.
func changeHash(id ids.ChangeID) string {
	key := historyKeyOf(string(id))
	return base64.RawStdEncoding.EncodeToString(key[:])
}

// earlierResult returns the result of a change whose outcome is remembered. Another
// change under the same id is rejected.
func (d *Document) earlierResult(c Change) (Result, bool) {
	entry, remembered := d.history().Changes.find(historyKeyOf(string(c.ID)))
	if remembered && entry.contentHash != hashChange(c) {
		return Result{ID: c.ID, Revision: d.Revision, ReuseConflicts: []Violation{{"change", "id", reasonIDUsed}}}, true
	}
	if res, ok := d.keptResult(c.ID); ok {
		return res, true
	}
	if remembered {
		res := Result{ID: c.ID, Revision: entry.revision}
		if entry.rejected {
			res.ReuseConflicts = []Violation{{"change", "id", reasonRejected}}
		}
		return res, true
	}
	if revision, ok := d.revisionOfItemMadeBy(c); ok {
		return Result{ID: c.ID, Revision: revision}, true
	}
	return Result{}, false
}

// keptResult returns a result that is kept whole.
func (d *Document) keptResult(id ids.ChangeID) (Result, bool) {
	for _, results := range [][]Result{d.RecentResults, d.RejectedResults} {
		for _, res := range results {
			if res.ID == id {
				return res, true
			}
		}
	}
	return Result{}, false
}

// revisionOfItemMadeBy reports whether the present version or the removal of one of a
// change's items was made by this change, and at which revision. Changes take effect
// whole, so one item proves it for all.
func (d *Document) revisionOfItemMadeBy(c Change) (ids.Revision, bool) {
	hash := changeHash(c.ID)
	for _, change := range c.Items {
		if item, ok := d.Items(change.Kind)[change.Name]; ok && item.ChangeHash == hash {
			return item.ChangedAt, true
		}
		if t, ok := d.Tombstones[itemKey(change.Kind, change.Name)]; ok && t.ChangeHash == hash {
			return t.ChangedAt, true
		}
	}
	return 0, false
}

// isSurelyNew reports whether a change that isn't remembered can't have been accepted
// before: if it had been, its outcome would still be known, or its items would
// differ. False means only that it can't be excluded.
func (d *Document) isSurelyNew(c Change) bool {
	forgotten := d.history().ForgottenRevision
	if forgotten == 0 {
		return true
	}
	if base, ok := baseRevisionOf(c.ID); ok && base >= forgotten {
		return true
	}
	for _, change := range c.Items {
		if d.provesNew(change, forgotten) {
			return true
		}
	}
	return false
}

// provesNew reports whether one item shows that its change was never accepted.
// Outcomes after the forgotten revision are all remembered.
func (d *Document) provesNew(change ItemChange, forgotten ids.Revision) bool {
	item, exists := d.Items(change.Kind)[change.Name]
	tombstone, removed := d.Tombstones[itemKey(change.Kind, change.Name)]
	switch {
	case !exists && !removed:
		// Accepted, it would have left an item or a tombstone.
		return true
	case change.Version == nil:
		return false
	case *change.Version == 0 && change.Put == nil && !item.EverMerged && !tombstone.EverMerged:
		// No item that exists to be altered has version 0.
		return true
	case exists && item.Version == *change.Version:
		// Accepted, it would have replaced this version, and versions don't come back.
		return true
	case exists && item.ChangeHash != "" && item.PreviousVersion == *change.Version:
		// The one change that replaced this version is another one.
		return true
	case removed && tombstone.ChangeHash != "" && tombstone.PreviousVersion == *change.Version:
		return true
	}
	// A version that no Merge assigned is the revision that made it, so whatever
	// replaced it came later than all that is forgotten.
	return !item.isMerged() && !item.EverMerged && !tombstone.EverMerged && *change.Version >= forgotten
}

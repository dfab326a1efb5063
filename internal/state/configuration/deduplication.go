package configuration

import (
	"encoding/base64"
	"regexp"
	"strconv"

	"dunlinwell/internal/base/ids"
)

// Reasons that a result gives.
const (
	reasonIDUsed     = "was used for another change: a change needs an id of its own"
	reasonRejected   = "names a change that was declined"
	reasonUnknown    = "this may be a copy of a change so old that its end isn't known any more; read the item, and send what is still wanted under a new id"
	reasonOtherValue = "this version holds already, with other content"
)

// basePattern is that of an id whose maker says which revision it had read.
var basePattern = regexp.MustCompile(`^at-([0-9]{1,18})-`)

// ChangeIDAt writes a change's id that says which revision its maker had read:
// a change made later than that can be told from one made earlier for ever.
func ChangeIDAt(base ids.Revision, random string) string {
	return "at-" + strconv.FormatUint(uint64(base), 10) + "-" + random
}

// baseRevisionOf gives the revision that an id names.
func baseRevisionOf(id ids.ChangeID) (ids.Revision, bool) {
	m := basePattern.FindStringSubmatch(string(id))
	if m == nil {
		return 0, false
	}
	base, err := strconv.ParseUint(m[1], 10, 62)
	return ids.Revision(base), err == nil
}

// changeHash is what an item keeps of the id of the change that made its version.
func changeHash(id ids.ChangeID) string {
	key := historyKeyOf(string(id))
	return base64.RawStdEncoding.EncodeToString(key[:])
}

// earlierResult gives the end of a change that was met before. A resent change gets
// its first result, not a second version; another change under its id gets none.
func (d *Document) earlierResult(c Change) (Result, bool) {
	if e, ok := d.history().Changes.find(historyKeyOf(string(c.ID))); ok {
		if e.contentHash != hashChange(c) {
			return Result{ID: c.ID, Revision: d.Revision, ReuseConflicts: []Violation{{"change", "id", reasonIDUsed}}}, true
		}
		if res, ok := d.keptResult(c.ID); ok {
			return res, true
		}
		res := Result{ID: c.ID, Revision: e.revision}
		if e.rejected {
			res.ReuseConflicts = []Violation{{"change", "id", reasonRejected}}
		}
		return res, true
	}
	if res, ok := d.keptResult(c.ID); ok {
		return res, true
	}
	if r, ok := d.revisionOfItemMadeBy(c); ok {
		return Result{ID: c.ID, Revision: r}, true
	}
	return Result{}, false
}

// keptResult finds a result that is kept whole.
func (d *Document) keptResult(id ids.ChangeID) (Result, bool) {
	for _, list := range [][]Result{d.RecentResults, d.RejectedResults} {
		for _, r := range list {
			if r.ID == id {
				return r, true
			}
		}
	}
	return Result{}, false
}

// revisionOfItemMadeBy tells whether one of a change's items says that it was this change
// that made its version, and at which revision. Changes are whole or nothing, so
// one item speaks for all.
func (d *Document) revisionOfItemMadeBy(c Change) (ids.Revision, bool) {
	mark := changeHash(c.ID)
	for _, part := range c.Items {
		if it, ok := d.Items(part.Kind)[part.Name]; ok && it.ChangeHash == mark {
			return it.ChangedAt, true
		}
		if t, ok := d.Tombstones[part.Kind+"/"+string(part.Name)]; ok && t.ChangeHash == mark {
			return t.ChangedAt, true
		}
	}
	return 0, false
}

// isSurelyNew tells whether a change of unknown id was surely never accepted: had
// it been, its end would be known still, or the items would differ.
func (d *Document) isSurelyNew(c Change) bool {
	forgotten := d.history().ForgottenRevision
	if forgotten == 0 {
		return true
	}
	if base, ok := baseRevisionOf(c.ID); ok && base >= forgotten {
		return true
	}
	for _, part := range c.Items {
		if d.provesNew(part, forgotten) {
			return true
		}
	}
	return false
}

// provesNew tells whether a part shows that its change was never accepted.
func (d *Document) provesNew(part ItemChange, forgotten ids.Revision) bool {
	it, exists := d.Items(part.Kind)[part.Name]
	tomb, removed := d.Tombstones[part.Kind+"/"+string(part.Name)]
	switch {
	case !exists && !removed:
		// Accepted, it would have left an item or the mark of its removal.
		return true
	case part.Version == nil:
		return false
	case *part.Version == 0 && part.Put == nil && !it.EverMerged && !tomb.EverMerged:
		// No item that is there to be altered has version 0.
		return true
	case exists && it.Version == *part.Version:
		// Accepted, it would have moved the item on, for good.
		return true
	case exists && it.ChangeHash != "" && it.PreviousVersion == *part.Version:
		// The one change that followed this version is another.
		return true
	case removed && tomb.ChangeHash != "" && tomb.PreviousVersion == *part.Version:
		return true
	}
	// A version is the revision that made it, unless it was given from outside:
	// whatever followed this one came after all that was forgotten.
	return !it.isMerged() && !it.EverMerged && !tomb.EverMerged && *part.Version >= forgotten
}

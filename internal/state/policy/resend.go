package policy

import (
	"encoding/base64"
	"regexp"
	"strconv"

	"dunlinwell/internal/base/ids"
)

// Reasons that a result gives.
const (
	reasonIDUsed     = "was used for another change: a change needs an id of its own"
	reasonDeclined   = "names a change that was declined"
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

// baseOf gives the revision that an id names.
func baseOf(id ids.Change) (ids.Revision, bool) {
	m := basePattern.FindStringSubmatch(string(id))
	if m == nil {
		return 0, false
	}
	base, err := strconv.ParseUint(m[1], 10, 62)
	return ids.Revision(base), err == nil
}

// by is what an item keeps of the id of the change that made its version.
func by(id ids.Change) string {
	key := keyOf(string(id))
	return base64.RawStdEncoding.EncodeToString(key[:])
}

// earlierEnd gives the end of a change that was met before. A resent change gets
// its first result, not a second version; another change under its id gets none.
func (p *Policy) earlierEnd(c Change) (Result, bool) {
	if e, ok := p.history().Changes.find(keyOf(string(c.ID))); ok {
		if e.content != sumOfChange(c) {
			return Result{ID: c.ID, Revision: p.Revision, Conflicts: []Fault{{"change", "id", reasonIDUsed}}}, true
		}
		if res, ok := p.fullResult(c.ID); ok {
			return res, true
		}
		res := Result{ID: c.ID, Revision: e.revision}
		if e.declined {
			res.Conflicts = []Fault{{"change", "id", reasonDeclined}}
		}
		return res, true
	}
	if res, ok := p.fullResult(c.ID); ok {
		return res, true
	}
	if r, ok := p.madeItem(c); ok {
		return Result{ID: c.ID, Revision: r}, true
	}
	return Result{}, false
}

// fullResult finds a result that is kept whole.
func (p *Policy) fullResult(id ids.Change) (Result, bool) {
	for _, list := range [][]Result{p.Recent, p.Declined} {
		for _, r := range list {
			if r.ID == id {
				return r, true
			}
		}
	}
	return Result{}, false
}

// madeItem tells whether one of a change's items says that it was this change
// that made its version, and at which revision. Changes are whole or nothing, so
// one item speaks for all.
func (p *Policy) madeItem(c Change) (ids.Revision, bool) {
	mark := by(c.ID)
	for _, part := range c.Parts {
		if it, ok := p.Of(part.Kind)[part.Name]; ok && it.By == mark {
			return it.At, true
		}
		if t, ok := p.Removed[part.Kind+"/"+string(part.Name)]; ok && t.By == mark {
			return t.At, true
		}
	}
	return 0, false
}

// surelyNew tells whether a change of unknown id was surely never accepted: had
// it been, its end would be known still, or the items would differ.
func (p *Policy) surelyNew(c Change) bool {
	forgotten := p.history().Forgotten
	if forgotten == 0 {
		return true
	}
	if base, ok := baseOf(c.ID); ok && base >= forgotten {
		return true
	}
	for _, part := range c.Parts {
		if p.provesNew(part, forgotten) {
			return true
		}
	}
	return false
}

// provesNew tells whether a part shows that its change was never accepted.
func (p *Policy) provesNew(part Part, forgotten ids.Revision) bool {
	it, exists := p.Of(part.Kind)[part.Name]
	tomb, removed := p.Removed[part.Kind+"/"+string(part.Name)]
	switch {
	case !exists && !removed:
		// Accepted, it would have left an item or the mark of its removal.
		return true
	case part.Version == nil:
		return false
	case *part.Version == 0 && part.Put == nil && !it.Given && !tomb.Given:
		// No item that is there to be altered has version 0.
		return true
	case exists && it.Version == *part.Version:
		// Accepted, it would have moved the item on, for good.
		return true
	case exists && it.By != "" && it.Prev == *part.Version:
		// The one change that followed this version is another.
		return true
	case removed && tomb.By != "" && tomb.Prev == *part.Version:
		return true
	}
	// A version is the revision that made it, unless it was given from outside:
	// whatever followed this one came after all that was forgotten.
	return !it.merged() && !it.Given && !tomb.Given && *part.Version >= forgotten
}

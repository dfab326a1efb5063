package configuration

import (
	"slices"

	"dunlinwell/internal/base/ids"
)

// Violation is one rule that a request breaks: the item, the path in it, and why.
type Violation struct {
	Item   string `json:"item"`
	Path   string `json:"path"`
	Reason string `json:"problem"`
}

// ReportFunc receives a violation of the item that is being checked. An empty path
// means the item as a whole.
type ReportFunc func(path, reason string)

// violationList collects the violations of one request. All are reported at once, so
// that an operator doesn't find them one by one.
type violationList struct {
	// item names the item that is being checked.
	item string
	list []Violation
}

func (v *violationList) report(path, reason string) {
	v.list = append(v.list, Violation{v.item, path, reason})
}

// ItemVersion is an item as an operation left it. Version 0 is a removed one.
type ItemVersion struct {
	Kind    string       `json:"kind"`
	Name    ids.Name     `json:"name"`
	Version ids.Revision `json:"version"`
}

// VersionConflict is an item whose version differs from the one that the request
// expects.
type VersionConflict struct {
	ItemVersion
	Expected ids.Revision `json:"asked"`
}

// Result is the outcome of one operation.
type Result struct {
	ID ids.ChangeID `json:"id"`
	// Revision is the document's revision after the operation, or at its rejection.
	Revision         ids.Revision      `json:"revision"`
	Items            []ItemVersion     `json:"items,omitempty"`
	Violations       []Violation       `json:"errors,omitempty"`
	VersionConflicts []VersionConflict `json:"stale,omitempty"`
	MissingItems     []ItemVersion     `json:"missing,omitempty"`
	// ReuseConflicts are change ids and versions that already stand for another
	// content.
	ReuseConflicts []Violation `json:"conflicts,omitempty"`
	// UnknownReason, if set, says why the outcome of this change can't be
	// determined; nothing was changed then.
	UnknownReason string `json:"unknown,omitempty"`
}

// Accepted reports whether the operation took effect, or had done so before.
func (r Result) Accepted() bool {
	return len(r.Violations)+len(r.VersionConflicts)+len(r.MissingItems)+len(r.ReuseConflicts) == 0 && r.UnknownReason == ""
}

// How many whole results are kept for changes that are sent again. History
// remembers the outcome of far more of them, in fewer bytes.
const (
	maxRecentResults   = 256
	maxRejectedResults = 128
)

// appendBounded returns a copy of the list with one more result, without the oldest
// ones beyond the limit.
func appendBounded(list []Result, r Result, limit int) []Result {
	list = append(slices.Clone(list), r)
	return list[max(0, len(list)-limit):]
}

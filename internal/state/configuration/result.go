package configuration

import (
	"slices"

	"dunlinwell/internal/base/ids"
)

// Violation describes one violated rule: the item, the path within it and the reason.
type Violation struct {
	Item   string `json:"item"`
	Path   string `json:"path"`
	Reason string `json:"problem"`
}

// ReportFunc records a violation of the item being checked. An empty path denotes the item
// as a whole.
type ReportFunc func(path, reason string)

// violationList collects all violations of one request, so that an operator can correct
// them together.
type violationList struct {
	// item is the key or path of the item being checked.
	item string
	list []Violation
}

func (v *violationList) report(path, reason string) {
	v.list = append(v.list, Violation{v.item, path, reason})
}

// ItemVersion is the version of an item after an operation; 0 if the item was removed.
type ItemVersion struct {
	Kind    string       `json:"kind"`
	Name    ids.Name     `json:"name"`
	Version ids.Revision `json:"version"`
}

// VersionConflict is an item whose version differs from the version that the request
// expects.
type VersionConflict struct {
	ItemVersion
	Expected ids.Revision `json:"asked"`
}

// Result is the outcome of one operation.
type Result struct {
	ID ids.ChangeID `json:"id"`
	// Revision is the document's revision after the operation, or when it was rejected.
	Revision         ids.Revision      `json:"revision"`
	Items            []ItemVersion     `json:"items,omitempty"`
	Violations       []Violation       `json:"errors,omitempty"`
	VersionConflicts []VersionConflict `json:"stale,omitempty"`
	MissingItems     []ItemVersion     `json:"missing,omitempty"`
	// ReuseConflicts are change IDs and versions that are already used for different
	// content.
	ReuseConflicts []Violation `json:"conflicts,omitempty"`
	// UnknownReason, if set, is the reason why the change's outcome can't be determined.
	// The operation changed nothing in that case.
	UnknownReason string `json:"unknown,omitempty"`
}

// Accepted reports whether the operation takes effect now or was applied before.
func (r Result) Accepted() bool {
	return len(r.Violations)+len(r.VersionConflicts)+len(r.MissingItems)+len(r.ReuseConflicts) == 0 && r.UnknownReason == ""
}

// Numbers of full results that are retained for duplicates of changes. History records the
// outcomes of older changes in compact form.
const (
	maxRecentResults   = 256
	maxRejectedResults = 128
)

// appendBounded returns a copy of the list with one more result, keeping only the newest
// ones up to the limit.
func appendBounded(list []Result, r Result, limit int) []Result {
	list = append(slices.Clone(list), r)
	return list[max(0, len(list)-limit):]
}

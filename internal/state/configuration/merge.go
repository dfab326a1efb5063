package configuration

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/tidwall/pretty"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/base/jsoncheck"
	"dunlinwell/internal/state/consensus"
)

// OpMerge merges items whose versions their caller gave.
const OpMerge consensus.Op = 2

// VersionedItem is an item whose version its caller gave: for each name the highest
// version holds, set or removed; lower or equal ones change nothing.
type VersionedItem struct {
	Kind    string          `json:"kind"`
	Name    ids.Name        `json:"name"`
	Version ids.Revision    `json:"version"`
	Body    json.RawMessage `json:"body,omitempty"`
	Source  json.RawMessage `json:"source,omitempty"`
	Removed bool            `json:"removed,omitempty"`
}

// Merging is a call's items; it is valid whole or rejected whole. Sent again,
// late or out of order it does no harm, so it needs no id.
type Merge struct {
	Items []VersionedItem `json:"items"`
}

// maxMergeItems bounds the items of one call.
const maxMergeItems = 200000

// Check finds what a merging's own words show to be wrong.
func (m Merge) Check() []Violation {
	var faults []Violation
	item := "items"
	bad := func(path, why string) { faults = append(faults, Violation{item, path, why}) }
	if len(m.Items) > maxMergeItems {
		bad("", fmt.Sprintf("must be %d at most", maxMergeItems))
		return faults
	}
	for i, g := range m.Items {
		item = fmt.Sprintf("items.%d", i)
		if _, ok := fieldRules[g.Kind]; !ok {
			bad("kind", "is not known")
			continue
		}
		if len(g.Name) == 0 || len(g.Name) > 256 {
			bad("name", "must be 1 to 256 bytes")
			continue
		}
		item = g.Kind + "/" + string(g.Name)
		if g.Removed {
			continue
		}
		if !jsoncheck.Valid(g.Body) {
			bad("", "is not valid JSON")
			continue
		}
		checkSource(g.Source, bad)
		checkVersionedBody(g.Kind, string(g.Body), bad)
	}
	return faults
}

// Merge gives the configuration with a call's items merged in, or the same configuration if
// the call is rejected or brings nothing newer.
func (d *Document) Merge(m Merge) (*Document, Result) {
	res := Result{Revision: d.Revision, Violations: m.Check()}
	if len(res.Violations) > 0 {
		return d, res
	}
	next := d.nextRevision()
	changed, orphaned := false, false
	for _, g := range m.Items {
		res.ReuseConflicts = append(res.ReuseConflicts, next.reuseConflicts(g)...)
		if next.mergeItem(g) {
			changed = true
			orphaned = orphaned || g.Kind == "service" && g.Removed
		}
		v, _ := next.version(g.Kind, g.Name)
		res.Items = append(res.Items, ItemVersion{Kind: g.Kind, Name: g.Name, Version: v})
	}
	// A route of the call is judged even where it is overtaken: what names a
	// service that isn't there is wrong whatever came later.
	for _, g := range m.Items {
		if g.Kind == "route" && !g.Removed {
			res.Violations = append(res.Violations, next.unknownServices(g.Name, g.Body)...)
		}
	}
	// The others stand by services that they had, unless some of those went.
	if orphaned {
		for _, n := range sortedNames(next.Routes) {
			for _, f := range next.unknownServices(n, next.Routes[n].Body) {
				if !slices.Contains(res.Violations, f) {
					res.Violations = append(res.Violations, f)
				}
			}
		}
	}
	if !res.Accepted() {
		return d, Result{Revision: d.Revision, Violations: res.Violations, ReuseConflicts: res.ReuseConflicts}
	}
	if !changed {
		return d, res
	}
	res.Revision = next.Revision
	return next, res
}

// nextRevision gives the next revision's configuration, with maps of its own.
func (d *Document) nextRevision() *Document {
	return &Document{
		Revision: d.Revision + 1, Services: maps.Clone(d.Services), Routes: maps.Clone(d.Routes), Zones: maps.Clone(d.Zones),
		Limits: maps.Clone(d.Limits), Tombstones: maps.Clone(d.Tombstones), RecentResults: d.RecentResults, RejectedResults: d.RejectedResults, History: d.History,
	}
}

// version gives the version that holds for a name, set or removed.
func (d *Document) version(kind string, name ids.Name) (ids.Revision, bool) {
	if it, ok := d.Items(kind)[name]; ok {
		return it.Version, true
	}
	v, ok := d.Tombstones[kind+"/"+string(name)]
	return v.Version, ok
}

// mergeItem takes one item if its version is the highest for its name.
func (d *Document) mergeItem(g VersionedItem) bool {
	if v, ok := d.version(g.Kind, g.Name); ok && g.Version <= v {
		return false
	}
	key := g.Kind + "/" + string(g.Name)
	d.recordVersion(g.Kind, g.Name)
	if g.Removed {
		delete(d.Items(g.Kind), g.Name)
		d.addTombstone(key, Tombstone{Version: g.Version, EverMerged: true})
		return true
	}
	delete(d.Tombstones, key)
	d.Items(g.Kind)[g.Name] = Item{Version: g.Version, Body: pretty.Ugly(g.Body), Source: g.Source, ChangedAt: d.Revision, Merged: true, EverMerged: true}
	return true
}

// addTombstone notes how an item was removed.
func (d *Document) addTombstone(key string, t Tombstone) {
	if d.Tombstones == nil {
		d.Tombstones = map[string]Tombstone{}
	}
	t.ChangedAt = d.Revision
	d.Tombstones[key] = t
}

// unknownServices finds services that a route names and that aren't there.
func (d *Document) unknownServices(n ids.Name, body []byte) []Violation {
	var r Route
	if err := json.Unmarshal(body, &r); err != nil {
		return []Violation{{"route/" + string(n), "", err.Error()}}
	}
	var faults []Violation
	names := []ids.Name{r.Service}
	if len(r.Split) > 0 {
		names = names[:0]
		for _, s := range r.Split {
			names = append(names, s.Service)
		}
	}
	for _, s := range names {
		if _, ok := d.Services[s]; !ok {
			faults = append(faults, Violation{"route/" + string(n), "service", fmt.Sprintf("there is no service %q", s)})
		}
	}
	return faults
}

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

// mostGiven bounds the items of one call.
const mostGiven = 200000

// Check finds what a merging's own words show to be wrong.
func (m Merge) Check() []Violation {
	var faults []Violation
	item := "items"
	bad := func(path, why string) { faults = append(faults, Violation{item, path, why}) }
	if len(m.Items) > mostGiven {
		bad("", fmt.Sprintf("must be %d at most", mostGiven))
		return faults
	}
	for i, g := range m.Items {
		item = fmt.Sprintf("items.%d", i)
		if _, ok := fields[g.Kind]; !ok {
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
		checkGiven(g.Kind, string(g.Body), bad)
	}
	return faults
}

// Merge gives the configuration with a call's items merged in, or the same configuration if
// the call is rejected or brings nothing newer.
func (p *Document) Merge(m Merge) (*Document, Result) {
	res := Result{Revision: p.Revision, Violations: m.Check()}
	if len(res.Violations) > 0 {
		return p, res
	}
	next := p.copy()
	changed, orphaned := false, false
	for _, g := range m.Items {
		res.Conflicts = append(res.Conflicts, next.conflicts(g)...)
		if next.merge(g) {
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
		for _, n := range sorted(next.Routes) {
			for _, f := range next.unknownServices(n, next.Routes[n].Body) {
				if !slices.Contains(res.Violations, f) {
					res.Violations = append(res.Violations, f)
				}
			}
		}
	}
	if !res.Accepted() {
		return p, Result{Revision: p.Revision, Violations: res.Violations, Conflicts: res.Conflicts}
	}
	if !changed {
		return p, res
	}
	res.Revision = next.Revision
	return next, res
}

// copy gives the next revision's configuration, with maps of its own.
func (p *Document) copy() *Document {
	return &Document{
		Revision: p.Revision + 1, Services: maps.Clone(p.Services), Routes: maps.Clone(p.Routes), Zones: maps.Clone(p.Zones),
		Limits: maps.Clone(p.Limits), Removed: maps.Clone(p.Removed), Recent: p.Recent, Rejected: p.Rejected, History: p.History,
	}
}

// version gives the version that holds for a name, set or removed.
func (p *Document) version(kind string, name ids.Name) (ids.Revision, bool) {
	if it, ok := p.Items(kind)[name]; ok {
		return it.Version, true
	}
	v, ok := p.Removed[kind+"/"+string(name)]
	return v.Version, ok
}

// merge takes one item if its version is the highest for its name.
func (p *Document) merge(g VersionedItem) bool {
	if v, ok := p.version(g.Kind, g.Name); ok && g.Version <= v {
		return false
	}
	key := g.Kind + "/" + string(g.Name)
	p.rememberVersion(g.Kind, g.Name)
	if g.Removed {
		delete(p.Items(g.Kind), g.Name)
		p.bury(key, Tombstone{Version: g.Version, Given: true})
		return true
	}
	delete(p.Removed, key)
	p.Items(g.Kind)[g.Name] = Item{Version: g.Version, Body: pretty.Ugly(g.Body), Source: g.Source, At: p.Revision, Merged: true, Given: true}
	return true
}

// bury notes how an item was removed.
func (p *Document) bury(key string, t Tombstone) {
	if p.Removed == nil {
		p.Removed = map[string]Tombstone{}
	}
	t.At = p.Revision
	p.Removed[key] = t
}

// unknownServices finds services that a route names and that aren't there.
func (p *Document) unknownServices(n ids.Name, body []byte) []Violation {
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
		if _, ok := p.Services[s]; !ok {
			faults = append(faults, Violation{"route/" + string(n), "service", fmt.Sprintf("there is no service %q", s)})
		}
	}
	return faults
}

package configuration

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"dunlinwell/internal/base/ids"
)

// Key is the replicated register that holds the configuration.
const Key ids.RegisterKey = "policy"

// Kinds of items, as they stand in requests and in stored keys.
const (
	kindService = "service"
	kindRoute   = "route"
	kindZone    = "cell"
	kindLimits  = "limits"
)

var itemKinds = []string{kindService, kindRoute, kindZone, kindLimits}

// Item is one service, route, zone or set of limits as its author sent it, with its
// version. The version of an item that came by a Change is the revision that made
// it, so an item that is removed and made again never reuses a version.
type Item struct {
	Version ids.Revision    `json:"version"`
	Body    json.RawMessage `json:"body"`
	// Source is the item in its caller's own format, kept to be read back; empty if the
	// caller uses the format of Body.
	Source json.RawMessage `json:"source,omitempty"`
	// Merged reports that the present version came by a Merge. Such an item may
	// share its prefix with others.
	Merged bool `json:"merged,omitempty"`
	// ChangedAt is the revision of the document that last changed the item.
	ChangedAt ids.Revision `json:"at,omitempty"`
	// ChangeHash identifies the Change that made this version (see changeHash), and
	// PreviousVersion is the version it replaced. Both are empty after a Merge.
	ChangeHash      string       `json:"by,omitempty"`
	PreviousVersion ids.Revision `json:"prev,omitempty"`
	// EverMerged reports that some version of this name came by a Merge, so versions
	// may be ahead of revisions.
	EverMerged bool `json:"given,omitempty"`
}

// isMerged reports whether the present version came by a Merge. Documents written
// before Merged existed show it by a Source.
func (i Item) isMerged() bool { return i.Merged || i.Source != nil }

// Tombstone records the removal of an item.
type Tombstone struct {
	Version ids.Revision `json:"version"`
	// ChangedAt is the revision of the document that removed the item.
	ChangedAt ids.Revision `json:"at"`
	// ChangeHash, PreviousVersion and EverMerged are as in Item, for the change that
	// removed the item.
	ChangeHash      string       `json:"by,omitempty"`
	PreviousVersion ids.Revision `json:"prev,omitempty"`
	EverMerged      bool         `json:"given,omitempty"`
}

// Document is the whole configuration: all items by kind and name, and what is
// remembered to recognise requests that are sent again.
type Document struct {
	// Revision counts the operations that changed the document.
	Revision ids.Revision      `json:"revision"`
	Services map[ids.Name]Item `json:"services"`
	Routes   map[ids.Name]Item `json:"routes"`
	Zones    map[ids.Name]Item `json:"cells"`
	Limits   map[ids.Name]Item `json:"limits,omitempty"`
	// Tombstones holds removed items by itemKey: a copy of an older version that
	// arrives later must not restore the item.
	Tombstones map[string]Tombstone `json:"removed,omitempty"`
	// BaseRevision, if not 0, makes this a delta: it holds only what changed after
	// that revision.
	BaseRevision  ids.Revision `json:"base,omitempty"`
	RecentResults []Result     `json:"recent,omitempty"`
	// RejectedResults are kept because a change that was reported as rejected must
	// not be accepted when a copy of it arrives after the missing item was made.
	RejectedResults []Result `json:"declined,omitempty"`
	// History is what is remembered beyond these results; nil in documents that were
	// written before it existed.
	History *History `json:"history,omitempty"`
}

// Decode reads a document. Empty input is the empty document; the only errors are
// those of encoding/json.
func Decode(raw []byte) (*Document, error) {
	d := &Document{}
	if len(raw) > 0 {
		if err := json.Unmarshal(raw, d); err != nil {
			return nil, err
		}
	}
	for _, items := range []*map[ids.Name]Item{&d.Services, &d.Routes, &d.Zones, &d.Limits} {
		if *items == nil {
			*items = map[ids.Name]Item{}
		}
	}
	return d, nil
}

// Encode writes a document. With history it is the register's value; without, it is
// what daemons need that never apply changes themselves.
func (d *Document) Encode(withHistory bool) []byte {
	encoded := *d
	if !withHistory {
		encoded.RecentResults, encoded.RejectedResults, encoded.History = nil, nil, nil
	}
	return encoded.marshal()
}

// Describe summarises an encoded document for a log line: its revision, or "none".
func Describe(raw []byte) string {
	d, err := Decode(raw)
	if err != nil || len(raw) == 0 {
		return "none"
	}
	return fmt.Sprintf("revision %d", d.Revision)
}

// Items returns the items of a kind, or nil if there is no such kind.
func (d *Document) Items(kind string) map[ids.Name]Item {
	switch kind {
	case kindService:
		return d.Services
	case kindRoute:
		return d.Routes
	case kindZone:
		return d.Zones
	case kindLimits:
		return d.Limits
	}
	return nil
}

// itemKey names an item among all kinds, such as "route/orders".
func itemKey(kind string, name ids.Name) string { return kind + "/" + string(name) }

// sortedNames returns the names of items in order.
func sortedNames(items map[ids.Name]Item) []ids.Name { return slices.Sorted(maps.Keys(items)) }

// nextRevision returns a copy of the document with maps of its own, numbered as the
// next revision.
func (d *Document) nextRevision() *Document {
	return &Document{
		Revision:        d.Revision + 1,
		Services:        maps.Clone(d.Services),
		Routes:          maps.Clone(d.Routes),
		Zones:           maps.Clone(d.Zones),
		Limits:          maps.Clone(d.Limits),
		Tombstones:      maps.Clone(d.Tombstones),
		RecentResults:   d.RecentResults,
		RejectedResults: d.RejectedResults,
		History:         d.History,
	}
}

// version returns the version of an item or of its removal, and whether there is
// either.
func (d *Document) version(kind string, name ids.Name) (ids.Revision, bool) {
	if item, ok := d.Items(kind)[name]; ok {
		return item.Version, true
	}
	tombstone, ok := d.Tombstones[itemKey(kind, name)]
	return tombstone.Version, ok
}

// addTombstone records in place that an item is removed at the present revision.
func (d *Document) addTombstone(key string, t Tombstone) {
	if d.Tombstones == nil {
		d.Tombstones = map[string]Tombstone{}
	}
	t.ChangedAt = d.Revision
	d.Tombstones[key] = t
}

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

// Kinds of items, as written in requests and stored keys.
const (
	kindService = "service"
	kindRoute   = "route"
	kindZone    = "cell"
	kindLimits  = "limits"
)

var itemKinds = []string{kindService, kindRoute, kindZone, kindLimits}

// Item is one service, route, zone or set of limits as its author sent it, with its
// version. A Change sets the version to the document's revision, so an item that is
// removed and recreated never reuses a version.
type Item struct {
	Version ids.Revision    `json:"version"`
	Body    json.RawMessage `json:"body"`
	// Source is the item in its caller's own format, stored so that callers can read it
	// back; empty if the caller uses the format of Body.
	Source json.RawMessage `json:"source,omitempty"`
	// Merged reports whether a Merge wrote the current version. A merged route may have
	// the same prefix as another one.
	Merged bool `json:"merged,omitempty"`
	// ChangedAt is the revision of the document that last changed the item.
	ChangedAt ids.Revision `json:"at,omitempty"`
	// ChangeIDHash identifies the Change that wrote this version (see hashChangeID), and
	// PreviousVersion is the version that it replaced. Both are empty after a Merge.
	ChangeIDHash    string       `json:"by,omitempty"`
	PreviousVersion ids.Revision `json:"prev,omitempty"`
	// EverMerged reports whether a Merge wrote any version of the item, so that its
	// versions may be ahead of revisions.
	EverMerged bool `json:"given,omitempty"`
}

// isMerged reports whether a Merge wrote the current version. In documents written before
// Merged existed, such an item has a Source.
func (i Item) isMerged() bool { return i.Merged || i.Source != nil }

// Tombstone records the removal of an item.
type Tombstone struct {
	Version ids.Revision `json:"version"`
	// ChangedAt is the revision of the document that removed the item.
	ChangedAt ids.Revision `json:"at"`
	// ChangeIDHash, PreviousVersion and EverMerged have the same meaning as in Item, for the
	// change that removed the item.
	ChangeIDHash    string       `json:"by,omitempty"`
	PreviousVersion ids.Revision `json:"prev,omitempty"`
	EverMerged      bool         `json:"given,omitempty"`
}

// Document is the whole configuration: all items by kind and name, and the outcomes of
// earlier requests that are needed to detect duplicates.
type Document struct {
	// Revision counts the operations that changed the document.
	Revision ids.Revision      `json:"revision"`
	Services map[ids.Name]Item `json:"services"`
	Routes   map[ids.Name]Item `json:"routes"`
	Zones    map[ids.Name]Item `json:"cells"`
	Limits   map[ids.Name]Item `json:"limits,omitempty"`
	// Tombstones holds removed items by itemKey, so that a delayed request with an older
	// version doesn't restore the item.
	Tombstones map[string]Tombstone `json:"removed,omitempty"`
	// BaseRevision, if not 0, marks a delta that holds only the items changed after that
	// revision.
	BaseRevision  ids.Revision `json:"base,omitempty"`
	RecentResults []Result     `json:"recent,omitempty"`
	// RejectedResults are retained because a duplicate of a rejected change must not be
	// accepted, even if the item that was missing has been created since.
	RejectedResults []Result `json:"declined,omitempty"`
	// History holds the outcomes that are no longer in these results; nil in documents
	// that were written before it existed.
	History *History `json:"history,omitempty"`
}

// Decode decodes a document. Empty input is the empty document. All errors are from
// encoding/json.
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

// Encode encodes the document. With history the result is a value of the register;
// without history it is sufficient for daemons that don't apply changes.
func (d *Document) Encode(withHistory bool) []byte {
	encoded := *d
	if !withHistory {
		encoded.RecentResults, encoded.RejectedResults, encoded.History = nil, nil, nil
	}
	return encoded.marshal()
}

// Describe returns the revision of an encoded document for a log line, or "none".
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

// itemKey returns the key of an item among all kinds, such as "route/orders".
func itemKey(kind string, name ids.Name) string { return kind + "/" + string(name) }

// sortedNames returns the names of items in ascending order.
func sortedNames(items map[ids.Name]Item) []ids.Name { return slices.Sorted(maps.Keys(items)) }

// nextRevision returns a copy of the document with cloned maps and the next revision
// number.
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

// version returns the version of an item or of its tombstone, and whether either exists.
func (d *Document) version(kind string, name ids.Name) (ids.Revision, bool) {
	if item, ok := d.Items(kind)[name]; ok {
		return item.Version, true
	}
	tombstone, ok := d.Tombstones[itemKey(kind, name)]
	return tombstone.Version, ok
}

// addTombstone records in place that an item was removed at the current revision.
func (d *Document) addTombstone(key string, t Tombstone) {
	if d.Tombstones == nil {
		d.Tombstones = map[string]Tombstone{}
	}
	t.ChangedAt = d.Revision
	d.Tombstones[key] = t
}

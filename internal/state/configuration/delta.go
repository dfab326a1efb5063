package configuration

import (
	"encoding/json"
	"maps"
	"strings"

	"dunlinwell/internal/base/ids"
)

// A delta in this package is a Document with only the items changed since a revision
// (BaseRevision). It is unrelated to package base/delta, which computes binary differences
// between register values.

// ChangesSince returns an encoded delta of the items that were changed or removed after a
// revision. It contains no history.
func (d *Document) ChangesSince(base ids.Revision) []byte {
	delta := &Document{
		Revision:     d.Revision,
		BaseRevision: base,
		Services:     map[ids.Name]Item{},
		Routes:       map[ids.Name]Item{},
		Zones:        map[ids.Name]Item{},
		Limits:       map[ids.Name]Item{},
		Tombstones:   map[string]Tombstone{},
	}
	for _, kind := range itemKinds {
		for name, item := range d.Items(kind) {
			if item.ChangedAt > base {
				delta.Items(kind)[name] = item
			}
		}
	}
	for key, tombstone := range d.Tombstones {
		if tombstone.ChangedAt > base {
			delta.Tombstones[key] = tombstone
		}
	}
	raw, _ := json.Marshal(delta)
	return raw
}

// Advance applies an encoded document or delta and returns the resulting document. It
// returns d itself if the input is no newer, or is a delta whose base is later than d. The
// error is that of Decode.
func (d *Document) Advance(raw []byte) (*Document, error) {
	received, err := Decode(raw)
	switch {
	case err != nil || received.Revision <= d.Revision:
		return d, err
	case received.BaseRevision == 0:
		return received, nil
	case received.BaseRevision > d.Revision:
		return d, nil
	}
	return d.withDelta(received), nil
}

// withDelta returns a copy of the document with a delta applied.
func (d *Document) withDelta(delta *Document) *Document {
	next := d.nextRevision()
	next.Revision = delta.Revision
	next.RecentResults, next.RejectedResults, next.History = nil, nil, nil
	for _, kind := range itemKinds {
		maps.Copy(next.Items(kind), delta.Items(kind))
		for name := range delta.Items(kind) {
			delete(next.Tombstones, itemKey(kind, name))
		}
	}
	if next.Tombstones == nil && len(delta.Tombstones) > 0 {
		next.Tombstones = map[string]Tombstone{}
	}
	for key, tombstone := range delta.Tombstones {
		kind, name, _ := strings.Cut(key, "/")
		if items := next.Items(kind); items != nil {
			delete(items, ids.Name(name))
		}
		next.Tombstones[key] = tombstone
	}
	return next
}

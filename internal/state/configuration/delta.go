package configuration

import (
	"encoding/json"
	"maps"
	"strings"

	"dunlinwell/internal/base/ids"
)

var itemKinds = []string{"service", "route", "cell", "limits"}

// ChangesSince gives what changed after a revision, packed for those who only obey. A
// change then costs its own items and not the whole configuration.
func (d *Document) ChangesSince(base ids.Revision) []byte {
	delta := &Document{
		Revision: d.Revision, BaseRevision: base, Services: map[ids.Name]Item{}, Routes: map[ids.Name]Item{},
		Zones: map[ids.Name]Item{}, Limits: map[ids.Name]Item{}, Tombstones: map[string]Tombstone{},
	}
	for _, k := range itemKinds {
		for n, it := range d.Items(k) {
			if it.ChangedAt > base {
				delta.Items(k)[n] = it
			}
		}
	}
	for k, b := range d.Tombstones {
		if b.ChangedAt > base {
			delta.Tombstones[k] = b
		}
	}
	raw, _ := json.Marshal(delta)
	return raw
}

// Advance gives the configuration that a packed one or a difference leads to, or the
// same configuration if it is no newer, or builds on what isn't here.
func (d *Document) Advance(raw []byte) (*Document, error) {
	received, err := Decode(raw)
	if err != nil || received.Revision <= d.Revision {
		return d, err
	}
	if received.BaseRevision == 0 {
		return received, nil
	}
	if d.Revision < received.BaseRevision {
		return d, nil
	}
	next := d.nextRevision()
	next.Revision = received.Revision
	next.RecentResults, next.RejectedResults, next.History = nil, nil, nil
	for _, k := range itemKinds {
		maps.Copy(next.Items(k), received.Items(k))
		for n := range received.Items(k) {
			delete(next.Tombstones, k+"/"+string(n))
		}
	}
	for key, b := range received.Tombstones {
		kind, name, _ := strings.Cut(key, "/")
		if items := next.Items(kind); items != nil {
			delete(items, ids.Name(name))
		}
		if next.Tombstones == nil {
			next.Tombstones = map[string]Tombstone{}
		}
		next.Tombstones[key] = b
	}
	return next, nil
}

package configuration

import (
	"encoding/json"
	"maps"
	"strings"

	"dunlinwell/internal/base/ids"
)

var kindNames = []string{"service", "route", "cell", "limits"}

// ChangesSince gives what changed after a revision, packed for those who only obey. A
// change then costs its own items and not the whole configuration.
func (p *Document) ChangesSince(base ids.Revision) []byte {
	d := &Document{
		Revision: p.Revision, Base: base, Services: map[ids.Name]Item{}, Routes: map[ids.Name]Item{},
		Zones: map[ids.Name]Item{}, Limits: map[ids.Name]Item{}, Removed: map[string]Tombstone{},
	}
	for _, k := range kindNames {
		for n, it := range p.Items(k) {
			if it.At > base {
				d.Items(k)[n] = it
			}
		}
	}
	for k, b := range p.Removed {
		if b.At > base {
			d.Removed[k] = b
		}
	}
	raw, _ := json.Marshal(d)
	return raw
}

// Advance gives the configuration that a packed one or a difference leads to, or the
// same configuration if it is no newer, or builds on what isn't here.
func (p *Document) Advance(raw []byte) (*Document, error) {
	d, err := Decode(raw)
	if err != nil || d.Revision <= p.Revision {
		return p, err
	}
	if d.Base == 0 {
		return d, nil
	}
	if p.Revision < d.Base {
		return p, nil
	}
	next := p.copy()
	next.Revision = d.Revision
	next.Recent, next.Rejected, next.History = nil, nil, nil
	for _, k := range kindNames {
		maps.Copy(next.Items(k), d.Items(k))
		for n := range d.Items(k) {
			delete(next.Removed, k+"/"+string(n))
		}
	}
	for key, b := range d.Removed {
		kind, name, _ := strings.Cut(key, "/")
		if items := next.Items(kind); items != nil {
			delete(items, ids.Name(name))
		}
		if next.Removed == nil {
			next.Removed = map[string]Tombstone{}
		}
		next.Removed[key] = b
	}
	return next, nil
}

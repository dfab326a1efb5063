package configuration

import (
	"encoding/json"

	"github.com/tidwall/gjson"
	"github.com/tidwall/pretty"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
)

// OpOrderZone shuts or opens a zone by an order that has no id.
const OpOrderZone consensus.Op = 3

// ZoneOrder asks that a zone's targets get nothing more, or that they get work
// again. Its copies can't be told from a later order of the same words, so one
// takes effect only on the version that the registry knew when it came in: a
// copy that is overtaken on its way does nothing.
type ZoneOrder struct {
	Zone         ids.Name     `json:"cell"`
	Region       ids.Name     `json:"region"`
	Evacuate     bool         `json:"shut"`
	KnownVersion ids.Revision `json:"known"`
}

// ZoneVersion gives the version that an order for a zone is to name: that of the
// zone, or of its removal.
func (d *Document) ZoneVersion(zone ids.Name) ids.Revision {
	v, _ := d.version("cell", zone)
	return v
}

// OrderZone gives the configuration after an order, or the same configuration if the zone is as
// it asks already, or if the order is stale.
func (d *Document) OrderZone(o ZoneOrder) (*Document, Result) {
	have, exists := d.Zones[o.Zone]
	touched := ItemVersion{Kind: "cell", Name: o.Zone, Version: have.Version}
	res := Result{Revision: d.Revision, Items: []ItemVersion{touched}}
	if exists && gjson.GetBytes(have.Body, "shut").Bool() == o.Evacuate {
		return d, res
	}
	if now := d.ZoneVersion(o.Zone); now != o.KnownVersion {
		touched.Version = now
		return d, Result{Revision: d.Revision, VersionConflicts: []VersionConflict{{touched, o.KnownVersion}}}
	}
	body, err := o.zoneBody(have, exists)
	if err != nil {
		return d, Result{Revision: d.Revision, Violations: []Violation{{"cell/" + string(o.Zone), "", err.Error()}}}
	}
	next := d.nextRevision()
	res.Revision, res.Items[0].Version = next.Revision, max(next.Revision, o.KnownVersion+1)
	delete(next.Tombstones, "cell/"+string(o.Zone))
	next.Zones[o.Zone] = Item{
		Version: res.Items[0].Version, Body: pretty.Ugly(body), ChangedAt: next.Revision,
		Merged: have.isMerged(), EverMerged: have.EverMerged || d.Tombstones["cell/"+string(o.Zone)].EverMerged,
	}
	return next, res
}

// zoneBody gives the zone as the order leaves it; what else was said of it stays.
func (o ZoneOrder) zoneBody(have Item, exists bool) ([]byte, error) {
	if exists {
		set, err := json.Marshal(map[string]bool{"shut": o.Evacuate})
		return overlayFields(have.Body, set), err
	}
	return json.Marshal(map[string]any{"region": o.Region, "shut": o.Evacuate})
}

func orderZoneStep(p *Document, arg []byte) (*Document, Result, bool) {
	var o ZoneOrder
	if json.Unmarshal(arg, &o) != nil {
		return p, Result{}, false
	}
	next, res := p.OrderZone(o)
	return next, res, true
}

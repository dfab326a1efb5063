package configuration

import (
	"encoding/json"

	"github.com/tidwall/gjson"
	"github.com/tidwall/pretty"

	"dunlinwell/internal/base/ids"
)

// ZoneOrder evacuates a zone, so that its targets get no more requests, or ends the
// evacuation. It has no id, so a copy can't be told from a later order of the same
// content. Therefore it takes effect only on the version that the registry knew when
// the order came in: a copy that is overtaken by a later order changes nothing.
type ZoneOrder struct {
	Zone     ids.Name `json:"cell"`
	Region   ids.Name `json:"region"`
	Evacuate bool     `json:"shut"`
	// KnownVersion is the ZoneVersion of the registry that received the order.
	KnownVersion ids.Revision `json:"known"`
}

// zoneEvacuation is the field of a zone's body that an order sets.
type zoneEvacuation struct {
	Evacuated bool `json:"shut"`
}

// evacuatedZone is the body of a zone that an order makes.
type evacuatedZone struct {
	Region ids.Name `json:"region"`
	zoneEvacuation
}

// ZoneVersion returns the version that an order for a zone has to name: that of the
// zone or of its removal, 0 if there is neither.
func (d *Document) ZoneVersion(zone ids.Name) ids.Revision {
	version, _ := d.version(kindZone, zone)
	return version
}

// OrderZone returns the document after an order. It returns the same document if the
// zone is already as ordered, or if the order is overtaken (Result.VersionConflicts).
func (d *Document) OrderZone(order ZoneOrder) (*Document, Result) {
	present, exists := d.Zones[order.Zone]
	item := ItemVersion{Kind: kindZone, Name: order.Zone, Version: present.Version}
	res := Result{Revision: d.Revision, Items: []ItemVersion{item}}
	if exists && gjson.GetBytes(present.Body, "shut").Bool() == order.Evacuate {
		return d, res
	}
	if version := d.ZoneVersion(order.Zone); version != order.KnownVersion {
		item.Version = version
		return d, Result{Revision: d.Revision, VersionConflicts: []VersionConflict{{item, order.KnownVersion}}}
	}
	key := itemKey(kindZone, order.Zone)
	body, err := order.zoneBody(present, exists)
	if err != nil {
		return d, Result{Revision: d.Revision, Violations: []Violation{{key, "", err.Error()}}}
	}
	next := d.nextRevision()
	res.Revision, res.Items[0].Version = next.Revision, max(next.Revision, order.KnownVersion+1)
	delete(next.Tombstones, key)
	next.Zones[order.Zone] = Item{
		Version:    res.Items[0].Version,
		Body:       pretty.Ugly(body),
		ChangedAt:  next.Revision,
		Merged:     present.isMerged(),
		EverMerged: present.EverMerged || d.Tombstones[key].EverMerged,
	}
	return next, res
}

// zoneBody returns the zone's body after the order. Other fields stay as they are.
func (o ZoneOrder) zoneBody(present Item, exists bool) ([]byte, error) {
	evacuation := zoneEvacuation{Evacuated: o.Evacuate}
	if exists {
		changed, err := json.Marshal(evacuation)
		return overlayFields(present.Body, changed), err
	}
	return json.Marshal(evacuatedZone{o.Region, evacuation})
}

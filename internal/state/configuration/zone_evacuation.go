package configuration

import (
	"encoding/json"

	"github.com/tidwall/gjson"
	"github.com/tidwall/pretty"

	"dunlinwell/internal/base/ids"
)

// ZoneEvacuationRequest starts or ends the evacuation of a zone. It has no ID by which a
// duplicate could be detected. Therefore it takes effect only if the zone still has the
// version that the registry knew when it received the request, so that a delayed duplicate
// doesn't revert a later request.
type ZoneEvacuationRequest struct {
	Zone     ids.Name `json:"cell"`
	Region   ids.Name `json:"region"`
	Evacuate bool     `json:"shut"`
	// ExpectedVersion is the result of ZoneVersion in the registry that received the request.
	ExpectedVersion ids.Revision `json:"known"`
}

// evacuationField is the field of a zone's body that a ZoneEvacuationRequest sets.
type evacuationField struct {
	Evacuated bool `json:"shut"`
}

// newZoneBody is the body of a zone that is created by a ZoneEvacuationRequest.
type newZoneBody struct {
	Region ids.Name `json:"region"`
	evacuationField
}

// ZoneVersion returns the version of a zone or of its tombstone, or 0 if neither exists.
func (d *Document) ZoneVersion(zone ids.Name) ids.Revision {
	version, _ := d.version(kindZone, zone)
	return version
}

// SetZoneEvacuation returns the document after a request. It returns d itself if the zone is
// already in the requested state, or if the zone's version has changed
// (Result.VersionConflicts).
func (d *Document) SetZoneEvacuation(request ZoneEvacuationRequest) (*Document, Result) {
	current, exists := d.Zones[request.Zone]
	item := ItemVersion{Kind: kindZone, Name: request.Zone, Version: current.Version}
	res := Result{Revision: d.Revision, Items: []ItemVersion{item}}
	if exists && gjson.GetBytes(current.Body, "shut").Bool() == request.Evacuate {
		return d, res
	}
	if version := d.ZoneVersion(request.Zone); version != request.ExpectedVersion {
		item.Version = version
		return d, Result{Revision: d.Revision, VersionConflicts: []VersionConflict{{item, request.ExpectedVersion}}}
	}
	key := itemKey(kindZone, request.Zone)
	body, err := request.zoneBody(current, exists)
	if err != nil {
		return d, Result{Revision: d.Revision, Violations: []Violation{{key, "", err.Error()}}}
	}
	next := d.nextRevision()
	res.Revision, res.Items[0].Version = next.Revision, max(next.Revision, request.ExpectedVersion+1)
	delete(next.Tombstones, key)
	next.Zones[request.Zone] = Item{
		Version:    res.Items[0].Version,
		Body:       pretty.Ugly(body),
		ChangedAt:  next.Revision,
		Merged:     current.isMerged(),
		EverMerged: current.EverMerged || d.Tombstones[key].EverMerged,
	}
	return next, res
}

// zoneBody returns the zone's body after the request. Other fields are unchanged.
func (r ZoneEvacuationRequest) zoneBody(current Item, exists bool) ([]byte, error) {
	evacuation := evacuationField{Evacuated: r.Evacuate}
	if exists {
		changed, err := json.Marshal(evacuation)
		return overlayFields(current.Body, changed), err
	}
	return json.Marshal(newZoneBody{r.Region, evacuation})
}

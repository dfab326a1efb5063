// Package catalogue is the configuration: services, routes and zones. It is one
// register, because a change that names several items must be whole or
// nothing and a route may not outlive its service; versions are each item's.
package configuration

import (
	"encoding/json"
	"fmt"

	"dunlinwell/internal/base/ids"
)

// Key is the configuration's register.
const Key ids.RegisterKey = "policy"

// Item is one thing an operator made, as it was sent, and its version. The
// version is the revision that last changed it, so one made anew after its
// removal never has an old version again.
type Item struct {
	Version ids.Revision    `json:"version"`
	Body    json.RawMessage `json:"body"`
	// Source is the item in its caller's own form, where that isn't ours; it is
	// kept as it was sent, to be read back.
	Source json.RawMessage `json:"source,omitempty"`
	// Merged: it is its caller's business, though it may have kept no source.
	Merged bool `json:"merged,omitempty"`
	// ChangedAt is the configuration's revision that last changed the item.
	ChangedAt ids.Revision `json:"at,omitempty"`
	// ChangeHash marks the change that made this version, and Prev is the version that it
	// followed; both are empty where the version came by merging.
	ChangeHash      string       `json:"by,omitempty"`
	PreviousVersion ids.Revision `json:"prev,omitempty"`
	// Given: a version of this name was given from outside, once.
	EverMerged bool `json:"given,omitempty"`
}

// Buried is what is known of an item that was removed.
type Tombstone struct {
	Version   ids.Revision `json:"version"`
	ChangedAt ids.Revision `json:"at"`
	// By, Prev and Given are as in an Item, for the change that removed it.
	ChangeHash      string       `json:"by,omitempty"`
	PreviousVersion ids.Revision `json:"prev,omitempty"`
	EverMerged      bool         `json:"given,omitempty"`
}

// isMerged tells whether an item came by merging.
func (it Item) isMerged() bool { return it.Merged || it.Source != nil }

// Document is all items, and the results of recent changes by change id.
type Document struct {
	Revision ids.Revision      `json:"revision"`
	Services map[ids.Name]Item `json:"services"`
	Routes   map[ids.Name]Item `json:"routes"`
	Zones    map[ids.Name]Item `json:"cells"`
	Limits   map[ids.Name]Item `json:"limits,omitempty"`
	// Tombstones holds, by kind/name, the version under which an item was removed:
	// an older copy that arrives later must not bring it back.
	Tombstones map[string]Tombstone `json:"removed,omitempty"`
	// Base, if set, tells that only what changed since that revision is here.
	BaseRevision  ids.Revision `json:"base,omitempty"`
	RecentResults []Result     `json:"recent,omitempty"`
	// RejectedResults are kept as well: a late copy of a change whose caller was told
	// that it is rejected must not be accepted once the item it lacked is there.
	RejectedResults []Result `json:"declined,omitempty"`
	// History is what is remembered beyond the results above.
	History *History `json:"history,omitempty"`
}

// Service is a pool of targets that announce themselves.
type Service struct {
	Name ids.Name `json:"-"`
	Tier int      `json:"tier"`
	// DefaultCapacity is how many requests at once a target bears that doesn't say.
	DefaultCapacity int `json:"capacity"`
	// SlowStartMillis is how long a target back from a restart takes to bear all.
	SlowStartMillis int `json:"warm_ms"`
	// RetryBudget is the fleet's small allowance of retries beyond one in five.
	RetryBudget int `json:"allowance"`
	// SlowStartRate is how many requests a second a cold target bears from the whole
	// fleet; 0 where only places bound it.
	SlowStartRate float64 `json:"warm_rate"`
	// Connections is how many connections a target takes from all callers; 0 for any.
	Connections int `json:"circuits"`
}

// Zone is a zone: its region, its set points in ms of CPU a second, and
// whether it is emptied.
type Zone struct {
	Name       ids.Name `json:"-"`
	Region     string   `json:"region"`
	TargetLoad float64  `json:"target"`
	// Unnamed: no operator named a target level.
	LoadDefaulted  bool    `json:"-"`
	AcceptableLoad float64 `json:"acceptable"`
	MaximumLoad    float64 `json:"maximum"`
	Drained        bool    `json:"emptied"`
	// Shut: nothing more is sent to the zone's targets, while its proxies go on
	// serving from the targets of other zones.
	Evacuated bool                     `json:"shut"`
	Distances map[ids.Name]json.Number `json:"distances"`
}

// Decode reads a configuration; nil bytes are an empty one.
func Decode(raw []byte) (*Document, error) {
	p := &Document{}
	if len(raw) > 0 {
		if err := json.Unmarshal(raw, p); err != nil {
			return nil, err
		}
	}
	for _, m := range []*map[ids.Name]Item{&p.Services, &p.Routes, &p.Zones, &p.Limits} {
		if *m == nil {
			*m = map[ids.Name]Item{}
		}
	}
	return p, nil
}

// Encode writes a configuration; without the recent results for those who only obey.
func (d *Document) Encode(recent bool) []byte {
	c := *d
	if !recent {
		c.RecentResults, c.RejectedResults, c.History = nil, nil, nil
	}
	return c.marshal()
}

// Items gives the items of a kind; nil for a kind that isn't one.
func (d *Document) Items(kind string) map[ids.Name]Item {
	switch kind {
	case "service":
		return d.Services
	case "route":
		return d.Routes
	case "cell":
		return d.Zones
	case "limits":
		return d.Limits
	}
	return nil
}

// Describe says in a few words what a packed configuration is.
func Describe(raw []byte) string {
	p, err := Decode(raw)
	if err != nil || len(raw) == 0 {
		return "none"
	}
	return fmt.Sprintf("revision %d", p.Revision)
}

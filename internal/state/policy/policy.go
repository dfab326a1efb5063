// Package catalogue is the policy: services, routes and cells. It is one
// register, because a change that names several items must be whole or
// nothing and a route may not outlive its service; versions are each item's.
package policy

import (
	"encoding/json"
	"fmt"

	"dunlinwell/internal/base/ids"
)

// Key is the policy's register.
const Key ids.Key = "policy"

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
	// At is the policy's revision that last changed the item.
	At ids.Revision `json:"at,omitempty"`
	// By marks the change that made this version, and Prev is the version that it
	// followed; both are empty where the version came by merging.
	By   string       `json:"by,omitempty"`
	Prev ids.Revision `json:"prev,omitempty"`
	// Given: a version of this name was given from outside, once.
	Given bool `json:"given,omitempty"`
}

// Buried is what is known of an item that was removed.
type Tombstone struct {
	Version ids.Revision `json:"version"`
	At      ids.Revision `json:"at"`
	// By, Prev and Given are as in an Item, for the change that removed it.
	By    string       `json:"by,omitempty"`
	Prev  ids.Revision `json:"prev,omitempty"`
	Given bool         `json:"given,omitempty"`
}

// merged tells whether an item came by merging.
func (it Item) merged() bool { return it.Merged || it.Source != nil }

// Policy is all items, and the results of recent changes by change id.
type Policy struct {
	Revision ids.Revision      `json:"revision"`
	Services map[ids.Name]Item `json:"services"`
	Routes   map[ids.Name]Item `json:"routes"`
	Cells    map[ids.Name]Item `json:"cells"`
	Limits   map[ids.Name]Item `json:"limits,omitempty"`
	// Removed holds, by kind/name, the version under which an item was removed:
	// an older copy that arrives later must not bring it back.
	Removed map[string]Tombstone `json:"removed,omitempty"`
	// Base, if set, tells that only what changed since that revision is here.
	Base   ids.Revision `json:"base,omitempty"`
	Recent []Result     `json:"recent,omitempty"`
	// Declined are kept as well: a late copy of a change whose caller was told
	// that it is declined must not be accepted once the item it lacked is there.
	Declined []Result `json:"declined,omitempty"`
	// History is what is remembered beyond the results above.
	History *History `json:"history,omitempty"`
}

// Service is a pool of targets that announce themselves.
type Service struct {
	Name ids.Name `json:"-"`
	Tier int      `json:"tier"`
	// Capacity is how many requests at once a target bears that doesn't say.
	Capacity int `json:"capacity"`
	// Warm is how long a target back from a restart takes to bear all.
	Warm int `json:"warm_ms"`
	// Allowance is the fleet's small allowance of retries beyond one in five.
	Allowance int `json:"allowance"`
	// WarmRate is how many requests a second a cold target bears from the whole
	// fleet; 0 where only places bound it.
	WarmRate float64 `json:"warm_rate"`
	// Circuits is how many connections a target takes from all callers; 0 for any.
	Circuits int `json:"circuits"`
}

// Cell is a zone: its region, its set points in ms of CPU a second, and
// whether it is emptied.
type Cell struct {
	Name   ids.Name `json:"-"`
	Region string   `json:"region"`
	Target float64  `json:"target"`
	// Unnamed: no operator named a target level.
	Unnamed    bool    `json:"-"`
	Acceptable float64 `json:"acceptable"`
	Maximum    float64 `json:"maximum"`
	Emptied    bool    `json:"emptied"`
	// Shut: nothing more is sent to the cell's targets, while its proxies go on
	// serving from the targets of other cells.
	Shut      bool                     `json:"shut"`
	Distances map[ids.Name]json.Number `json:"distances"`
}

// Open reads a policy; nil bytes are an empty one.
func Open(raw []byte) (*Policy, error) {
	p := &Policy{}
	if len(raw) > 0 {
		if err := json.Unmarshal(raw, p); err != nil {
			return nil, err
		}
	}
	for _, m := range []*map[ids.Name]Item{&p.Services, &p.Routes, &p.Cells, &p.Limits} {
		if *m == nil {
			*m = map[ids.Name]Item{}
		}
	}
	return p, nil
}

// Pack writes a policy; without the recent results for those who only obey.
func (p *Policy) Pack(recent bool) []byte {
	c := *p
	if !recent {
		c.Recent, c.Declined, c.History = nil, nil, nil
	}
	return c.marshal()
}

// Of gives the items of a kind; nil for a kind that isn't one.
func (p *Policy) Of(kind string) map[ids.Name]Item {
	switch kind {
	case "service":
		return p.Services
	case "route":
		return p.Routes
	case "cell":
		return p.Cells
	case "limits":
		return p.Limits
	}
	return nil
}

// Describe says in a few words what a packed policy is.
func Describe(raw []byte) string {
	p, err := Open(raw)
	if err != nil || len(raw) == 0 {
		return "none"
	}
	return fmt.Sprintf("revision %d", p.Revision)
}

package checker

import (
	"bytes"
	"encoding/json"
	"strings"
)

// Item identifies one item of the configuration, such as route/orders.
type Item struct{ Kind, Name string }

// String returns the item as kind/name.
func (i Item) String() string { return i.Kind + "/" + i.Name }

// ItemChange is the part of a change that concerns one item: replace it, set some of its fields,
// or remove it.
type ItemChange struct {
	Put    json.RawMessage `json:"put"`
	Set    json.RawMessage `json:"set"`
	Remove bool            `json:"remove"`
}

// VersionedItem is the version and the body of an item, as a read returned them.
type VersionedItem struct {
	Version uint64          `json:"version"`
	Body    json.RawMessage `json:"body"`
}

// Configuration is a complete configuration, as a read returned it.
type Configuration struct {
	Revision uint64
	Items    map[Item]VersionedItem
}

// ConfigurationRead checks a configuration that reader returned. It must not be older than floor,
// the revision known when the read began; it must contain each change completely or not at all; and
// each item's body must match the change that wrote it.
func (c *Checker) ConfigurationRead(reader string, read Configuration, floor uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history.reads++
	if read.Revision < floor {
		c.addViolation("%s returned revision %d after %d was known", reader, read.Revision, floor)
	}
	c.history.highestRevision = max(c.history.highestRevision, read.Revision)
	for _, change := range c.history.changes {
		if change.Revision == 0 || change.Revision > read.Revision {
			continue
		}
		// An accepted change is visible in each of its items unless a later change replaced it.
		for item, expected := range change.Items {
			found, ok := read.Items[item]
			switch laterChange := c.history.changedLater(item, change.Revision, read.Revision); {
			case ok && found.Version > change.Revision, !ok && laterChange:
			case !ok && !expected.Remove, ok && expected.Remove, ok && found.Version < change.Revision:
				c.addViolation("%s: %s of change %s (revision %d) reads back as version %d", reader, item, change.ID, change.Revision, found.Version)
			case ok && !expected.matchesBody(found.Body):
				c.addViolation("%s: %s of change %s reads back as %s", reader, item, change.ID, found.Body)
			}
		}
	}
	for item, found := range read.Items {
		c.checkOrigin(reader, item, found)
	}
}

// checkOrigin records a violation for an item that no accepted change can have written.
func (c *Checker) checkOrigin(reader string, item Item, found VersionedItem) {
	touched := false
	for _, change := range c.history.changes {
		expected, ok := change.Items[item]
		if !ok {
			continue
		}
		touched = true
		if change.Revision == found.Version || change.Revision == 0 && !change.rejected && expected.matchesBody(found.Body) {
			return
		}
	}
	if touched {
		c.addViolation("%s holds %s at version %d, which no accepted change wrote", reader, item, found.Version)
	}
}

// matchesBody reports whether a body is the result of the change. It ignores white space in JSON.
func (e ItemChange) matchesBody(body json.RawMessage) bool {
	switch {
	case e.Remove:
		return false
	case e.Set == nil:
		var a, b bytes.Buffer
		return json.Compact(&a, e.Put) == nil && json.Compact(&b, body) == nil && a.String() == b.String()
	}
	var set, actual map[string]json.RawMessage
	if json.Unmarshal(e.Set, &set) != nil || json.Unmarshal(body, &actual) != nil {
		return false
	}
	for k, v := range set {
		if strings.TrimSpace(string(actual[k])) != strings.TrimSpace(string(v)) {
			return false
		}
	}
	return true
}

// ParseConfiguration parses the JSON of GET /v1/policy.
func ParseConfiguration(raw []byte) (Configuration, error) {
	var in struct {
		Revision uint64                   `json:"revision"`
		Services map[string]VersionedItem `json:"services"`
		Routes   map[string]VersionedItem `json:"routes"`
		Zones    map[string]VersionedItem `json:"cells"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return Configuration{}, err
	}
	configuration := Configuration{Revision: in.Revision, Items: map[Item]VersionedItem{}}
	for kind, items := range map[string]map[string]VersionedItem{"service": in.Services, "route": in.Routes, "cell": in.Zones} {
		for name, body := range items {
			configuration.Items[Item{kind, name}] = body
		}
	}
	return configuration, nil
}

// parseChange parses the JSON of a change request.
func parseChange(raw []byte) (Change, error) {
	var in struct {
		ID      string `json:"id"`
		Changes []struct {
			Kind string `json:"kind"`
			Name string `json:"name"`
			ItemChange
		} `json:"changes"`
	}
	change := Change{Items: map[Item]ItemChange{}}
	err := json.Unmarshal(raw, &in)
	change.ID = in.ID
	for _, part := range in.Changes {
		change.Items[Item{part.Kind, part.Name}] = part.ItemChange
	}
	return change, err
}

package checker

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"
)

// Item names one thing of the configuration, such as route/orders.
type Item struct{ Kind, Name string }

// String gives the item as kind/name.
func (i Item) String() string { return i.Kind + "/" + i.Name }

// ExpectedItem is what a change asks for an item: put whole, set some fields, remove.
type ExpectedItem struct {
	Put    json.RawMessage `json:"put"`
	Set    json.RawMessage `json:"set"`
	Remove bool            `json:"remove"`
}

// Change is one that a stand-in operator sent, and what it was told of it.
type Change struct {
	ID    string
	Items map[Item]ExpectedItem
	// SentAt is when it was first sent, Told when its acceptance was known.
	SentAt, AnsweredAt time.Time
	Revision           uint64
	floor              uint64
	rejected           bool
}

// Body is an item as it is read back.
type Body struct {
	Version uint64          `json:"version"`
	Body    json.RawMessage `json:"body"`
}

// Configuration is a whole configuration as it is read back.
type Configuration struct {
	Revision uint64
	Items    map[Item]Body
}

// Ledger are what operators sent and were told. Nothing in them comes from the
// daemons but their answers.
type Ledger struct {
	list []*Change
	by   map[string]*Change
	// known is the highest revision that anybody was told of.
	known uint64
	reads int
}

// ChangeSent notes a change before it is sent for the first time.
func (t *Checker) ChangeSent(raw []byte, at time.Time) string {
	c, err := ReadChange(raw)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		return ""
	}
	if t.ledger.by == nil {
		t.ledger.by = map[string]*Change{}
	}
	c.SentAt, c.floor = at, t.ledger.known
	t.ledger.by[c.ID] = &c
	t.ledger.list = append(t.ledger.list, &c)
	return c.ID
}

// ChangeRejected notes that a change was rejected: no part of it may ever show.
func (t *Checker) ChangeRejected(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.ledger.by[id]; c != nil {
		c.rejected = true
	}
}

// ChangeAccepted notes that a change was accepted as a revision.
func (t *Checker) ChangeAccepted(id string, revision uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.ledger.by[id]
	if c == nil || c.Revision != 0 {
		return
	}
	for _, o := range t.ledger.list {
		if o.Revision == revision {
			t.wrongly("revision %d was given to %s and to %s", revision, o.ID, id)
		}
	}
	if revision <= c.floor {
		t.wrongly("%s got revision %d after %d was known", id, revision, c.floor)
	}
	c.AnsweredAt, c.Revision = at, revision
	t.ledger.known = max(t.ledger.known, revision)
}

// KnownRevision is the highest revision known so far: no later read may be older.
func (t *Checker) KnownRevision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.known
}

// OpenChanges counts changes of which it isn't known what came of them.
func (t *Checker) OpenChanges() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, c := range t.ledger.list {
		if c.Revision == 0 && !c.rejected {
			n++
		}
	}
	return n
}

// Changes counts the accepted ones.
func (t *Checker) Changes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, c := range t.ledger.list {
		if c.Revision != 0 {
			n++
		}
	}
	return n
}

// ConfigurationRead judges a configuration that was read: not older than was known when the read
// began, each change in it whole or not at all, and each item's body right.
func (t *Checker) ConfigurationRead(who string, p Configuration, floor uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.reads++
	if p.Revision < floor {
		t.wrongly("%s gave revision %d after %d was known", who, p.Revision, floor)
	}
	t.ledger.known = max(t.ledger.known, p.Revision)
	for _, c := range t.ledger.list {
		if c.Revision == 0 || c.Revision > p.Revision {
			continue
		}
		// An accepted change shows in each of its items, unless a later one does.
		for it, want := range c.Items {
			have, ok := p.Items[it]
			switch later := t.ledger.after(it, c.Revision, p.Revision); {
			case ok && have.Version > c.Revision, !ok && later:
			case !ok && !want.Remove, ok && want.Remove, ok && have.Version < c.Revision:
				t.wrongly("%s: %s of change %s (revision %d) reads back as version %d", who, it, c.ID, c.Revision, have.Version)
			case ok && !want.matchesBody(have.Body):
				t.wrongly("%s: %s of change %s reads back as %s", who, it, c.ID, have.Body)
			}
		}
	}
	for it, have := range p.Items {
		t.origin(who, it, have)
	}
}

// after tells whether a later change, or one that may have been accepted,
// touches an item up to a revision.
func (b *Ledger) after(it Item, revision, upTo uint64) bool {
	for _, c := range b.list {
		if _, ok := c.Items[it]; ok && !c.rejected && (c.Revision == 0 || c.Revision > revision && c.Revision <= upTo) {
			return true
		}
	}
	return false
}

// origin finds items that no accepted change can have made.
func (t *Checker) origin(who string, it Item, have Body) {
	mine := false
	for _, c := range t.ledger.list {
		want, ok := c.Items[it]
		if !ok {
			continue
		}
		mine = true
		if c.Revision == have.Version || c.Revision == 0 && !c.rejected && want.matchesBody(have.Body) {
			return
		}
	}
	if mine {
		t.wrongly("%s holds %s at version %d, which no accepted change gave it", who, it, have.Version)
	}
}

// matchesBody tells whether a body is as the change wanted it.
func (w ExpectedItem) matchesBody(body json.RawMessage) bool {
	switch {
	case w.Remove:
		return false
	case w.Set == nil:
		var a, b bytes.Buffer
		return json.Compact(&a, w.Put) == nil && json.Compact(&b, body) == nil && a.String() == b.String()
	}
	var set, have map[string]json.RawMessage
	if json.Unmarshal(w.Set, &set) != nil || json.Unmarshal(body, &have) != nil {
		return false
	}
	for k, v := range set {
		if strings.TrimSpace(string(have[k])) != strings.TrimSpace(string(v)) {
			return false
		}
	}
	return true
}

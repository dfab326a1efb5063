package checker

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"
)

// Item names one thing of the policy, such as route/orders.
type Item struct{ Kind, Name string }

// String gives the item as kind/name.
func (i Item) String() string { return i.Kind + "/" + i.Name }

// Want is what a change asks for an item: put whole, set some fields, remove.
type Want struct {
	Put, Set json.RawMessage
	Remove   bool
}

// Change is one that a stand-in operator sent, and what it was told of it.
type Change struct {
	ID    string
	Items map[Item]Want
	// Asked is when it was first sent, Told when its acceptance was known.
	Asked, Told time.Time
	Revision    uint64
	floor       uint64
	declined    bool
}

// Body is an item as it is read back.
type Body struct {
	Version uint64
	Body    json.RawMessage
}

// Policy is a whole policy as it is read back.
type Policy struct {
	Revision uint64
	Items    map[Item]Body
}

// ReadPolicy reads what the page of the policy says.
func ReadPolicy(raw []byte) (Policy, error) {
	var in struct {
		Revision                uint64
		Services, Routes, Cells map[string]Body
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return Policy{}, err
	}
	p := Policy{Revision: in.Revision, Items: map[Item]Body{}}
	for kind, list := range map[string]map[string]Body{"service": in.Services, "route": in.Routes, "cell": in.Cells} {
		for n, b := range list {
			p.Items[Item{kind, n}] = b
		}
	}
	return p, nil
}

// ReadChange reads a change's own words.
func ReadChange(raw []byte) (Change, error) {
	var in struct {
		ID      string
		Changes []struct {
			Kind, Name string
			Want
		}
	}
	c := Change{Items: map[Item]Want{}}
	err := json.Unmarshal(raw, &in)
	c.ID = in.ID
	for _, p := range in.Changes {
		c.Items[Item{p.Kind, p.Name}] = p.Want
	}
	return c, err
}

// Books are what operators sent and were told. Nothing in them comes from the
// daemons but their answers.
type Books struct {
	list []*Change
	by   map[string]*Change
	// known is the highest revision that anybody was told of.
	known uint64
	reads int
}

// Ask notes a change before it is sent for the first time.
func (t *Truth) Ask(raw []byte, at time.Time) string {
	c, err := ReadChange(raw)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		return ""
	}
	if t.books.by == nil {
		t.books.by = map[string]*Change{}
	}
	c.Asked, c.floor = at, t.books.known
	t.books.by[c.ID] = &c
	t.books.list = append(t.books.list, &c)
	return c.ID
}

// Decline notes that a change was declined: no part of it may ever show.
func (t *Truth) Decline(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.books.by[id]; c != nil {
		c.declined = true
	}
}

// Accept notes that a change was accepted as a revision.
func (t *Truth) Accept(id string, revision uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.books.by[id]
	if c == nil || c.Revision != 0 {
		return
	}
	for _, o := range t.books.list {
		if o.Revision == revision {
			t.wrongly("revision %d was given to %s and to %s", revision, o.ID, id)
		}
	}
	if revision <= c.floor {
		t.wrongly("%s got revision %d after %d was known", id, revision, c.floor)
	}
	c.Told, c.Revision = at, revision
	t.books.known = max(t.books.known, revision)
}

// Known is the highest revision known so far: no later read may be older.
func (t *Truth) Known() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.books.known
}

// Open counts changes of which it isn't known what came of them.
func (t *Truth) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, c := range t.books.list {
		if c.Revision == 0 && !c.declined {
			n++
		}
	}
	return n
}

// Changes counts the accepted ones.
func (t *Truth) Changes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, c := range t.books.list {
		if c.Revision != 0 {
			n++
		}
	}
	return n
}

// Read judges a policy that was read: not older than was known when the read
// began, each change in it whole or not at all, and each item's body right.
func (t *Truth) Read(who string, p Policy, floor uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.books.reads++
	if p.Revision < floor {
		t.wrongly("%s gave revision %d after %d was known", who, p.Revision, floor)
	}
	t.books.known = max(t.books.known, p.Revision)
	for _, c := range t.books.list {
		if c.Revision == 0 || c.Revision > p.Revision {
			continue
		}
		// An accepted change shows in each of its items, unless a later one does.
		for it, want := range c.Items {
			have, ok := p.Items[it]
			switch later := t.books.after(it, c.Revision, p.Revision); {
			case ok && have.Version > c.Revision, !ok && later:
			case !ok && !want.Remove, ok && want.Remove, ok && have.Version < c.Revision:
				t.wrongly("%s: %s of change %s (revision %d) reads back as version %d", who, it, c.ID, c.Revision, have.Version)
			case ok && !want.shows(have.Body):
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
func (b *Books) after(it Item, revision, upTo uint64) bool {
	for _, c := range b.list {
		if _, ok := c.Items[it]; ok && !c.declined && (c.Revision == 0 || c.Revision > revision && c.Revision <= upTo) {
			return true
		}
	}
	return false
}

// origin finds items that no accepted change can have made.
func (t *Truth) origin(who string, it Item, have Body) {
	mine := false
	for _, c := range t.books.list {
		want, ok := c.Items[it]
		if !ok {
			continue
		}
		mine = true
		if c.Revision == have.Version || c.Revision == 0 && !c.declined && want.shows(have.Body) {
			return
		}
	}
	if mine {
		t.wrongly("%s holds %s at version %d, which no accepted change gave it", who, it, have.Version)
	}
}

// shows tells whether a body is as the change wanted it.
func (w Want) shows(body json.RawMessage) bool {
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

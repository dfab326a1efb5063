package checker

import "time"

// Change is a configuration change that a simulated operator sent, and its outcome.
type Change struct {
	ID    string
	Items map[Item]ItemChange
	// SentAt is when the change was first sent, AnsweredAt when its acceptance became known.
	SentAt, AnsweredAt time.Time
	// Revision is the revision that the change was accepted as; zero while unknown.
	Revision uint64
	// revisionFloor is the highest revision known when the change was sent. Its own revision must
	// be higher.
	revisionFloor uint64
	rejected      bool
}

// ChangeHistory holds the configuration changes that operators sent, with their outcomes.
type ChangeHistory struct {
	changes []*Change
	byID    map[string]*Change
	// highestRevision is the highest revision in any response so far.
	highestRevision uint64
	reads           int
}

// ChangeSent records a change before it is first sent, and returns its id; empty if the change
// can't be parsed.
func (c *Checker) ChangeSent(raw []byte, at time.Time) string {
	change, err := parseChange(raw)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		return ""
	}
	if c.history.byID == nil {
		c.history.byID = map[string]*Change{}
	}
	change.SentAt, change.revisionFloor = at, c.history.highestRevision
	c.history.byID[change.ID] = &change
	c.history.changes = append(c.history.changes, &change)
	return change.ID
}

// ChangeRejected records that a change was rejected. No read may return any part of it.
func (c *Checker) ChangeRejected(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if change := c.history.byID[id]; change != nil {
		change.rejected = true
	}
}

// ChangeAccepted records that a change was accepted as a revision. The revision must be unique and
// higher than all revisions known when the change was sent.
func (c *Checker) ChangeAccepted(id string, revision uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change := c.history.byID[id]
	if change == nil || change.Revision != 0 {
		return
	}
	for _, other := range c.history.changes {
		if other.Revision == revision {
			c.addViolation("revision %d was given to %s and to %s", revision, other.ID, id)
		}
	}
	if revision <= change.revisionFloor {
		c.addViolation("%s got revision %d after %d was known", id, revision, change.revisionFloor)
	}
	change.AnsweredAt, change.Revision = at, revision
	c.history.highestRevision = max(c.history.highestRevision, revision)
}

// KnownRevision returns the highest revision known so far. A read that begins now must not return
// an older one.
func (c *Checker) KnownRevision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.history.highestRevision
}

// PendingChanges returns the number of changes whose outcome is unknown.
func (c *Checker) PendingChanges() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, change := range c.history.changes {
		if change.Revision == 0 && !change.rejected {
			n++
		}
	}
	return n
}

// AcceptedChanges returns the number of accepted changes.
func (c *Checker) AcceptedChanges() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, change := range c.history.changes {
		if change.Revision != 0 {
			n++
		}
	}
	return n
}

// changedLater reports whether an item is modified by a change with a revision in (revision, upTo],
// or by one whose outcome is unknown.
func (l *ChangeHistory) changedLater(item Item, revision, upTo uint64) bool {
	for _, change := range l.changes {
		if _, ok := change.Items[item]; ok && !change.rejected && (change.Revision == 0 || change.Revision > revision && change.Revision <= upTo) {
			return true
		}
	}
	return false
}

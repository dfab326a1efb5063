package checker

import "time"

// Change is a configuration change that a stand-in operator sent, and the answer to it.
type Change struct {
	ID    string
	Items map[Item]ExpectedItem
	// SentAt is when it was first sent, AnsweredAt when its acceptance was known.
	SentAt, AnsweredAt time.Time
	// Revision is the one that it was accepted as; zero while that is unknown.
	Revision uint64
	// revisionFloor is the highest revision known when it was sent: the change
	// may only get a higher one.
	revisionFloor uint64
	rejected      bool
}

// Ledger holds the changes that operators sent and the answers they got.
type Ledger struct {
	changes []*Change
	byID    map[string]*Change
	// highestRevision is the highest revision that any answer has named.
	highestRevision uint64
	reads           int
}

// ChangeSent records a change before it is sent for the first time, and returns its id; empty if
// the change can't be read.
func (c *Checker) ChangeSent(raw []byte, at time.Time) string {
	change, err := parseChange(raw)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		return ""
	}
	if c.ledger.byID == nil {
		c.ledger.byID = map[string]*Change{}
	}
	change.SentAt, change.revisionFloor = at, c.ledger.highestRevision
	c.ledger.byID[change.ID] = &change
	c.ledger.changes = append(c.ledger.changes, &change)
	return change.ID
}

// ChangeRejected records that a change was rejected: no read may ever show a part of it.
func (c *Checker) ChangeRejected(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if change := c.ledger.byID[id]; change != nil {
		change.rejected = true
	}
}

// ChangeAccepted records that a change was accepted as a revision, which no other change has and
// which is above every one known when it was sent.
func (c *Checker) ChangeAccepted(id string, revision uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change := c.ledger.byID[id]
	if change == nil || change.Revision != 0 {
		return
	}
	for _, other := range c.ledger.changes {
		if other.Revision == revision {
			c.addViolation("revision %d was given to %s and to %s", revision, other.ID, id)
		}
	}
	if revision <= change.revisionFloor {
		c.addViolation("%s got revision %d after %d was known", id, revision, change.revisionFloor)
	}
	change.AnsweredAt, change.Revision = at, revision
	c.ledger.highestRevision = max(c.ledger.highestRevision, revision)
}

// KnownRevision returns the highest revision known so far. A read that begins now may not give
// an older one.
func (c *Checker) KnownRevision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.highestRevision
}

// OpenChanges counts the changes whose outcome is not known.
func (c *Checker) OpenChanges() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, change := range c.ledger.changes {
		if change.Revision == 0 && !change.rejected {
			n++
		}
	}
	return n
}

// Changes counts the accepted changes.
func (c *Checker) Changes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, change := range c.ledger.changes {
		if change.Revision != 0 {
			n++
		}
	}
	return n
}

// changedLater reports whether a change after revision and up to upTo, or one whose outcome is
// unknown, touches an item.
func (l *Ledger) changedLater(item Item, revision, upTo uint64) bool {
	for _, change := range l.changes {
		if _, ok := change.Items[item]; ok && !change.rejected && (change.Revision == 0 || change.Revision > revision && change.Revision <= upTo) {
			return true
		}
	}
	return false
}

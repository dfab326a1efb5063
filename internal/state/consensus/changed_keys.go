package consensus

import (
	"strings"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// changedKeys lists the registers that this run changed, in order, so that a learner with
// a full copy can fetch only what changed since. It is kept in memory only and holds keys
// without values, so it can't be replayed like a Raft log.
type changedKeys struct {
	// runID identifies this run of this store. If it is 0, no list is kept.
	runID uint64
	// droppedCount is the number of changes dropped from the front of the list.
	droppedCount uint64
	keys         []ids.RegisterKey
}

// maxChangedKeys bounds the list's memory to a few megabytes. A learner that is further
// behind copies everything again.
const maxChangedKeys = 1 << 15

// SetRunID sets the ID of this run and starts the list of changed registers for learners.
// Run IDs of a store must be unique.
func (a *Acceptor) SetRunID(runID uint64) { a.changedKeys.runID = runID }

// add records a change to a register. Keys of other records are ignored.
func (c *changedKeys) add(key ids.RegisterKey) {
	if c.runID == 0 || !strings.HasPrefix(string(key), registerPrefix) {
		return
	}
	if len(c.keys) == maxChangedKeys {
		half := maxChangedKeys / 2
		c.keys = append([]ids.RegisterKey{}, c.keys[half:]...)
		c.droppedCount += uint64(half)
	}
	c.keys = append(c.keys, key[len(registerPrefix):])
}

// total returns the number of changes in this run, including dropped ones.
func (c *changedKeys) total() uint64 { return c.droppedCount + uint64(len(c.keys)) }

// covers reports whether the list still holds every change of the given run from position
// since on.
func (c *changedKeys) covers(runID, since uint64) bool {
	return runID != 0 && runID == c.runID && since >= c.droppedCount && since <= c.total()
}

// sendChangedRecords responds with the registers that changed after m.SinceChange, each
// once.
func (a *Acceptor) sendChangedRecords(from ids.Address, m PageRequest) {
	page := PageResponse{
		Store: a.storeID, VoterSetNumber: m.VoterSetNumber, PageNumber: m.PageNumber,
		RunID: a.changedKeys.runID, ChangeCount: m.SinceChange, Delta: true,
	}
	included, size := map[ids.RegisterKey]bool{}, 0
	for _, key := range a.changedKeys.keys[m.SinceChange-a.changedKeys.droppedCount:] {
		full := len(page.Records) == maxPageRecords || size > maxPageBytes
		if !included[key] && full {
			a.AfterSync(event.Send{To: from, Message: page})
			return
		}
		page.ChangeCount++
		if !included[key] {
			included[key] = true
			state := a.registerState(key)
			page.Records = append(page.Records, PageRecord{key, state.Accepted, state.Value})
			size += len(state.Value)
		}
	}
	page.Last = true
	a.AfterSync(event.Send{To: from, Message: page})
}

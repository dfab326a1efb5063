package consensus

import (
	"strings"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// changedKeys lists the registers that this run changed, in order, so that a learner that
// copied everything once can be sent only what changed since. It is kept in memory alone,
// and has keys and no values: it is no log in the sense of Raft or of a database.
type changedKeys struct {
	// runID identifies this run of this store; without it (0) no list is kept.
	runID uint64
	// droppedCount is how many changes were dropped from the front of the list.
	droppedCount uint64
	keys         []ids.RegisterKey
}

// maxChangedKeys bounds the list's memory, at 32768 keys to a few megabytes. A learner that
// is further behind copies everything again.
const maxChangedKeys = 1 << 15

// SetRunID names this run for the changes that learners ask for; no two runs of a store
// may have the same.
func (a *Acceptor) SetRunID(runID uint64) { a.changedKeys.runID = runID }

// add notes a change to a record; records that are no registers are left out.
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

// total returns how many changes were added in this run.
func (c *changedKeys) total() uint64 { return c.droppedCount + uint64(len(c.keys)) }

// covers reports whether the list has all changes since a total of the given run.
func (c *changedKeys) covers(runID, since uint64) bool {
	return runID != 0 && runID == c.runID && since >= c.droppedCount && since <= c.total()
}

// sendChangedRecords answers with the registers that changed since, each once.
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

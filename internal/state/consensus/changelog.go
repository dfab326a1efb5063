package consensus

import (
	"strings"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// changeLog lists the registers that this run changed of late, in order, so
// that whoever copied everything before can be given the rest alone.
type changeLog struct {
	// runID names this run of this store; 0 keeps no list.
	runID uint64
	// droppedCount is how many changes were dropped off the front.
	droppedCount uint64
	keys         []ids.RegisterKey
}

const (
	maxLoggedChanges = 1 << 15
	maxPageRecords   = 200
	maxPageBytes     = 1 << 18
)

// SetRunID names this run; no two runs of a store may have the same.
func (a *Acceptor) SetRunID(epoch uint64) { a.changes.runID = epoch }

func (c *changeLog) add(key ids.RegisterKey) {
	if c.runID == 0 || !strings.HasPrefix(string(key), registerPrefix) {
		return
	}
	if len(c.keys) == maxLoggedChanges {
		half := maxLoggedChanges / 2
		c.keys, c.droppedCount = append([]ids.RegisterKey{}, c.keys[half:]...), c.droppedCount+uint64(half)
	}
	c.keys = append(c.keys, key[len(registerPrefix):])
}

func (c *changeLog) total() uint64 { return c.droppedCount + uint64(len(c.keys)) }

// covers tells whether all changes since a count in this run are listed.
func (c *changeLog) covers(runID, since uint64) bool {
	return runID != 0 && runID == c.runID && since >= c.droppedCount && since <= c.total()
}

// sendChangedRecords answers with the records that changed since, each once.
func (a *Acceptor) sendChangedRecords(from ids.Address, m PageRequest) {
	l := PageResponse{Store: a.storeID, VoterSetNumber: m.VoterSetNumber, PageNumber: m.PageNumber, RunID: a.changes.runID, ChangeCount: m.SinceChange, Delta: true}
	seen, size := map[ids.RegisterKey]bool{}, 0
	for _, key := range a.changes.keys[m.SinceChange-a.changes.droppedCount:] {
		if !seen[key] && (len(l.Records) == maxPageRecords || size > maxPageBytes) {
			a.AfterSync(event.Send{To: from, Msg: l})
			return
		}
		l.ChangeCount++
		if !seen[key] {
			seen[key] = true
			s := a.registerState(key)
			l.Records = append(l.Records, PageRecord{key, s.Accepted, s.Value})
			size += len(s.Value)
		}
	}
	l.Last = true
	a.AfterSync(event.Send{To: from, Msg: l})
}

package store

import (
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// diskStallTimeout is how long a sync may take before the disk counts as stalled. A store
// with a stalled disk reports itself as not ready, so that proposers don't wait for its
// vote.
const diskStallTimeout = time.Second

// diskMonitor detects syncs that take too long.
type diskMonitor struct {
	// pending holds the batches not synced yet, oldest first.
	pending []pendingBatch
	// stalled is whether the oldest pending batch was overdue at the last tick.
	stalled bool
}

// pendingBatch is a batch that was passed to the disk and is not synced yet.
type pendingBatch struct {
	number      uint64
	requestedAt ids.Time
}

// addPending adds the batches in the commands of a step to the pending ones.
func (d *diskMonitor) addPending(now ids.Time, commands []event.Command) {
	for _, c := range commands {
		if sync, ok := c.(event.Sync); ok {
			d.pending = append(d.pending, pendingBatch{number: sync.Batch, requestedAt: now})
		}
	}
}

// removeSynced removes all pending batches up to the given one.
func (d *diskMonitor) removeSynced(batch uint64) {
	for len(d.pending) > 0 && d.pending[0].number <= batch {
		d.pending = d.pending[1:]
	}
}

// isOverdue reports whether the oldest pending batch has waited longer than
// diskStallTimeout.
func (d *diskMonitor) isOverdue(now ids.Time) bool {
	return len(d.pending) > 0 && now.Sub(d.pending[0].requestedAt) > diskStallTimeout
}

// updateDiskStalled updates the stalled state, and logs when a stall begins or ends.
func (s *Store) updateDiskStalled(now ids.Time) {
	stalled := s.disk.isOverdue(now)
	switch {
	case stalled && !s.disk.stalled:
		s.Log(event.LevelWarn, logDiskStalled)
	case !stalled && s.disk.stalled:
		s.Log(event.LevelWarn, logDiskRecovered)
	}
	s.disk.stalled = stalled
}

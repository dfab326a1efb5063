package store

import (
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// diskStallTimeout is how long a sync may take before the disk counts as stalled.
// A store with a stalled disk says that it isn't ready, so that proposers don't
// wait for its vote.
const diskStallTimeout = time.Second

// diskMonitor watches how long the disk takes to sync.
type diskMonitor struct {
	// pending are the batches not synced yet, the oldest first.
	pending []pendingBatch
	// stalled is whether the oldest of them was overdue at the last tick.
	stalled bool
}

// pendingBatch is a batch that was given to the disk and is not yet synced.
type pendingBatch struct {
	number      uint64
	requestedAt ids.Time
}

// requested notes the batches among the commands of a step.
func (d *diskMonitor) requested(now ids.Time, commands []event.Command) {
	for _, c := range commands {
		if sync, ok := c.(event.Sync); ok {
			d.pending = append(d.pending, pendingBatch{number: sync.Batch, requestedAt: now})
		}
	}
}

// synced drops all batches up to one that the disk has synced.
func (d *diskMonitor) synced(batch uint64) {
	for len(d.pending) > 0 && d.pending[0].number <= batch {
		d.pending = d.pending[1:]
	}
}

// isOverdue reports whether the disk owes a sync for too long.
func (d *diskMonitor) isOverdue(now ids.Time) bool {
	return len(d.pending) > 0 && now.Sub(d.pending[0].requestedAt) > diskStallTimeout
}

// updateDiskStalled brings the stall up to date, and logs where one begins or ends.
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

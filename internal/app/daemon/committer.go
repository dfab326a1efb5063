package daemon

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/state/idempotency"
	"dunlinwell/internal/state/storage"
	"dunlinwell/internal/transport/process"
)

const (
	// pruneInterval is the interval at which expired idempotency records are deleted.
	pruneInterval = 10 * time.Second
	// maxBatchSize is the maximum number of Sync commands in one group commit, and of
	// records that one pruning pass deletes. It limits how long later writes wait.
	maxBatchSize = 512
	// commitQueueLength is the maximum number of queued Sync commands. While the queue is
	// full, the state machine is blocked.
	commitQueueLength = 1 << 16
)

// committer executes a store's Sync commands with group commit: it writes the records of
// all queued commands with one sync of the disk, and then executes their After commands.
type committer struct {
	database *storage.Database
	queue    chan event.Sync
	execute  func(event.Command)
	onSynced func(event.Synced)
	log      *process.Log
	// syncs, records and bytes count the writes for the metrics.
	syncs, records, bytes atomic.Uint64
}

// Serve runs until the context is done. A failed sync ends the process: the kernel may have
// dropped the dirty pages, and a retried sync could succeed without writing them.
func (c *committer) Serve(ctx context.Context) error {
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-prune.C:
			if _, err := c.database.Prune(idempotency.Retention, maxBatchSize); err != nil && ctx.Err() == nil {
				c.fatal(err)
			}
		case s := <-c.queue:
			c.commit(ctx, c.collectBatch(s))
		}
	}
}

// collectBatch returns the first command and the queued ones, up to maxBatchSize.
func (c *committer) collectBatch(first event.Sync) []event.Sync {
	batch := []event.Sync{first}
	for len(batch) < maxBatchSize {
		select {
		case s := <-c.queue:
			batch = append(batch, s)
		default:
			return batch
		}
	}
	return batch
}

// commit writes a batch, executes its After commands and reports the batch as synced.
func (c *committer) commit(ctx context.Context, batch []event.Sync) {
	var records []event.Record
	for _, s := range batch {
		records = append(records, s.Records...)
	}
	if len(records) > 0 && !c.write(ctx, records) {
		return
	}
	for _, s := range batch {
		for _, command := range s.After {
			c.execute(command)
		}
	}
	c.onSynced(event.Synced{Batch: batch[len(batch)-1].Batch})
}

// write writes records and syncs the disk. It returns false if the process is shutting down
// and has closed its database; then the After commands must not be executed.
func (c *committer) write(ctx context.Context, records []event.Record) bool {
	if err := c.database.Write(records); err != nil {
		if ctx.Err() != nil {
			return false
		}
		c.fatal(err)
	}
	c.syncs.Add(1)
	c.records.Add(uint64(len(records)))
	for _, r := range records {
		c.bytes.Add(uint64(len(r.Value)))
	}
	return true
}

// fatal logs a disk error and ends the process.
func (c *committer) fatal(err error) {
	c.log.Event(event.LevelError, logDiskFailed, "error", err.Error())
	os.Exit(exitFailure)
}

// metrics returns the metrics of the disk.
func (c *committer) metrics() []Metric {
	return []Metric{
		{Name: "disk_syncs_total", Value: float64(c.syncs.Load()), IsCounter: true},
		{Name: "disk_records_total", Value: float64(c.records.Load()), IsCounter: true},
		{Name: "disk_bytes_total", Value: float64(c.bytes.Load()), IsCounter: true},
		{Name: "disk_inbox_length", Value: float64(len(c.queue))},
	}
}

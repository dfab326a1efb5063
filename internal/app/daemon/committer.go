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
	// pruneInterval is how often expired idempotency records are deleted: often enough
	// that one pass is short, seldom enough to cost no syncs of note.
	pruneInterval = 10 * time.Second
	// maxBatchSize bounds how many Sync commands share one sync of the disk, and how many
	// records one pass deletes, so that neither holds up the others for long.
	maxBatchSize = 512
	// commitQueueLength is how many Sync commands may wait for the disk. It is large, as
	// the machine's owner stands still while the queue is full.
	commitQueueLength = 1 << 16
)

// committer executes a store's Sync commands: it writes the records of all that wait
// in one sync of the disk (group commit), and only then executes their After commands.
type committer struct {
	database *storage.Database
	queue    chan event.Sync
	execute  func(event.Command)
	onSynced func(event.Synced)
	log      *process.Log
	// syncs, records and bytes count the writes, for the metrics.
	syncs, records, bytes atomic.Uint64
}

// Serve runs until the context ends. A failed sync ends the whole process: whether the
// kernel kept the pages isn't known, and a second sync could succeed without them.
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

// collectBatch adds what waits in the queue to a first command.
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

// commit writes a batch, executes its After commands and reports it as synced.
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

// write writes records and syncs the disk. It reports false if the process is ending
// and has closed its database; nothing may be executed then.
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

// fatal ends the process for an error of the disk.
func (c *committer) fatal(err error) {
	c.log.Event(event.LevelError, logDiskFailed, "error", err.Error())
	os.Exit(exitFailure)
}

// metrics gives what the disk has done.
func (c *committer) metrics() []Metric {
	return []Metric{
		{Name: "disk_syncs_total", Value: float64(c.syncs.Load()), IsCounter: true},
		{Name: "disk_records_total", Value: float64(c.records.Load()), IsCounter: true},
		{Name: "disk_bytes_total", Value: float64(c.bytes.Load()), IsCounter: true},
		{Name: "disk_inbox_length", Value: float64(len(c.queue))},
	}
}

package storage

import (
	"context"
	"time"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/event"
)

// pruneQuery deletes idempotency records, whose keys begin with "item/mark/", that
// were written before an uptime, up to a limit.
const pruneQuery = "DELETE FROM records WHERE key IN (SELECT key FROM records WHERE key > 'item/mark/' AND key < 'item/mark0' AND born < ? LIMIT ?)"

// uptimeMillis is how long this database has been in use over all its runs, in
// milliseconds. Idempotency records age by it and not by the wall clock, which may
// jump and so delete them too early.
func (d *Database) uptimeMillis() int64 {
	return d.earlierUptimeMillis + (d.clock() - d.openedAt).Milliseconds()
}

// Prune saves the uptime, and deletes up to limit idempotency records that were
// written longer ago than the retention, in uptime. It returns how many.
func (d *Database) Prune(retention time.Duration, limit int) (int64, error) {
	nowMillis := d.uptimeMillis()
	if err := d.Write([]event.Record{numberRecord(uptimeKey, uint64(nowMillis))}); err != nil {
		return 0, err
	}
	result, err := d.writeConnection.ExecContext(context.Background(), pruneQuery, nowMillis-retention.Milliseconds(), limit)
	if err != nil {
		return 0, errs.Wrap(err, "prune", "disk")
	}
	return result.RowsAffected()
}

package storage

import (
	"context"
	"time"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/event"
)

// pruneQuery deletes idempotency records (keys with prefix "item/mark/") written before the given
// uptime, up to a limit.
const pruneQuery = "DELETE FROM records WHERE key IN (SELECT key FROM records WHERE key > 'item/mark/' AND key < 'item/mark0' AND born < ? LIMIT ?)"

// uptimeMillis returns the time that the database has been open over all runs, in milliseconds.
// The age of idempotency records is measured in it, since a jump of the wall clock could delete
// them too early.
func (d *Database) uptimeMillis() int64 {
	return d.earlierUptimeMillis + (d.clock() - d.openedAt).Milliseconds()
}

// Prune saves the uptime, and deletes up to limit idempotency records that are older than the
// retention, measured in uptime. It returns the number of deleted records.
func (d *Database) Prune(retention time.Duration, limit int) (int64, error) {
	nowMillis := d.uptimeMillis()
	if err := d.Write([]event.Record{numberRecord(uptimeKey, uint64(nowMillis))}); err != nil {
		return 0, err
	}
	result, err := d.writeConnection.ExecContext(context.Background(), pruneQuery, nowMillis-retention.Milliseconds(), limit)
	if err != nil {
		return 0, errs.Wrap(err, "prune records", "")
	}
	return result.RowsAffected()
}

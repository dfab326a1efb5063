package storage

import (
	"context"
	"encoding/binary"
	"fmt"
	"os"
	"time"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/event"
)

// uptimeMillis is how long this folder has been in use, in milliseconds of
// measured running time: marks age by it, as wall clocks jump.
func (d *Database) uptimeMillis() int64 {
	return d.earlierUptimeMillis + (d.clock() - d.openedAt).Milliseconds()
}

// Prune drops marks older than a span of running time, a small batch a call.
func (d *Database) Prune(retention time.Duration, limit int) (int64, error) {
	nowMillis := d.uptimeMillis()
	if err := d.Write([]event.Record{{Key: "meta/ran", Value: binary.BigEndian.AppendUint64(nil, uint64(nowMillis))}}); err != nil {
		return 0, err
	}
	result, err := d.writeConnection.ExecContext(context.Background(), "DELETE FROM records WHERE key IN (SELECT key FROM records WHERE key > 'item/mark/' AND key < 'item/mark0' AND born < ? LIMIT ?)", nowMillis-retention.Milliseconds(), limit)
	if err != nil {
		return 0, errs.Wrap(err, "prune", "disk")
	}
	return result.RowsAffected()
}

// NewerFormatError is a database written by a later version.
type NewerFormatError struct{ Found int }

// Error names both formats; the database was not touched.
func (e *NewerFormatError) Error() string {
	return fmt.Sprintf("open database: its format %d is newer than %d; it was not touched", e.Found, Format)
}

func syncDirectory(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return errs.Wrap(err, "open data folder", dir)
	}
	defer d.Close()
	return errs.Wrap(d.Sync(), "sync data folder", dir)
}

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

// ranNow is how long this folder has been in use, in milliseconds of
// measured running time: marks age by it, as wall clocks jump.
func (s *Database) ranNow() int64 { return s.ran + (s.clock() - s.opened).Milliseconds() }

// Prune drops marks older than a span of running time, a small batch a call.
func (s *Database) Prune(keep time.Duration, most int) (int64, error) {
	ran := s.ranNow()
	if err := s.Write([]event.Record{{Key: "meta/ran", Value: binary.BigEndian.AppendUint64(nil, uint64(ran))}}); err != nil {
		return 0, err
	}
	res, err := s.writer.ExecContext(context.Background(), "DELETE FROM records WHERE key IN (SELECT key FROM records WHERE key > 'item/mark/' AND key < 'item/mark0' AND born < ? LIMIT ?)", ran-keep.Milliseconds(), most)
	if err != nil {
		return 0, errs.Wrap(err, "prune", "disk")
	}
	return res.RowsAffected()
}

// NewerFormat is a database written by a later version.
type NewerFormat struct{ Has int }

// Error names both formats; the database was not touched.
func (e *NewerFormat) Error() string {
	return fmt.Sprintf("open database: its format %d is newer than %d; it was not touched", e.Has, Format)
}

func syncFolder(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return errs.Wrap(err, "open data folder", dir)
	}
	defer d.Close()
	return errs.Wrap(d.Sync(), "sync data folder", dir)
}

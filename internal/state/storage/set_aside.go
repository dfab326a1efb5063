package storage

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"dunlinwell/internal/base/errs"
)

// SetAside renames the database of a data directory, so that the next Open creates an empty one
// and the old one can be examined. It returns the new path, which contains the reason. The
// database must not be open.
func SetAside(dir, reason string) (string, error) {
	path := filepath.Join(dir, databaseFile)
	setAsidePath := fmt.Sprintf("%s.%s-%d", path, reason, time.Now().UnixNano())
	for _, suffix := range []string{"", "-wal", "-shm"} {
		if err := os.Rename(path+suffix, setAsidePath+suffix); err != nil && !os.IsNotExist(err) {
			return "", errs.Wrap(err, "set database aside", dir)
		}
	}
	return setAsidePath, nil
}

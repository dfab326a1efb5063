package storage

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"dunlinwell/internal/errs"
)

const databaseFile = "stockroom.db"

// SetAside renames a folder's database, so that the next Open begins blank and
// whoever wants to can still look at the old one. It gives the new name.
func SetAside(dir, why string) (string, error) {
	path := filepath.Join(dir, databaseFile)
	kept := fmt.Sprintf("%s.%s-%d", path, why, time.Now().UnixNano())
	for _, end := range []string{"", "-wal", "-shm"} {
		if err := os.Rename(path+end, kept+end); err != nil && !os.IsNotExist(err) {
			return "", errs.Wrap(err, "set database aside", dir)
		}
	}
	return kept, nil
}

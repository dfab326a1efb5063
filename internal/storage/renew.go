package storage

import (
	"os"
	"path/filepath"

	"dunlinwell/internal/errs"
)

// Renew sets the database aside, in place of one that was set aside so before,
// and opens a blank one.
func (s *Database) Renew() (*Database, error) {
	dir := filepath.Dir(s.lock.Name())
	if err := s.Close(); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, databaseName)
	for _, end := range []string{"", "-wal", "-shm"} {
		if err := os.Rename(path+end, path+".replaced"+end); err != nil && !os.IsNotExist(err) {
			return nil, errs.Wrap(err, "set replaced database aside", dir)
		}
	}
	return Open(dir)
}

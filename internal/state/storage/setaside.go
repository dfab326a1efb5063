package storage

import (
	"database/sql"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"dunlinwell/internal/base/errs"
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

// openAndCheck opens the database and has its records checked.
func (s *Database) openAndCheck(path string, check func(*Database) error) error {
	if err := s.open(path); err != nil || check == nil {
		return err
	}
	err := check(s)
	if err != nil {
		_ = s.closeDatabase()
	}
	return err
}

func (s *Database) closeDatabase() error {
	for _, x := range []*sql.Stmt{s.put, s.drop, s.load, s.page} {
		_ = x.Close()
	}
	_ = s.writer.Close()
	return s.db.Close()
}

// Close lets go of the folder.
func (s *Database) Close() error {
	err := s.closeDatabase()
	s.lock.Close()
	return errs.Wrap(err, "close", "disk")
}

package storage

import (
	"database/sql"
	"fmt"
	"os"
	"time"

	"dunlinwell/internal/errs"
)

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

// setAside moves a damaged database out of the way.
func (s *Database) setAside(path string) error {
	s.SetAside = fmt.Sprintf("%s.damaged-%d", path, time.Now().UnixNano())
	for _, end := range []string{"", "-wal", "-shm"} {
		if err := os.Rename(path+end, s.SetAside+end); err != nil && !os.IsNotExist(err) {
			return errs.Wrap(err, "set damaged database aside", path)
		}
	}
	return nil
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

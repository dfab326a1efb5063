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

// openFileAndCheck opens the database and has its records checked.
func (d *Database) openFileAndCheck(path string, check func(*Database) error) error {
	if err := d.openFile(path); err != nil || check == nil {
		return err
	}
	err := check(d)
	if err != nil {
		_ = d.closeDatabase()
	}
	return err
}

func (d *Database) closeDatabase() error {
	for _, x := range []*sql.Stmt{d.putStatement, d.deleteStatement, d.getStatement, d.scanStatement} {
		_ = x.Close()
	}
	_ = d.writeConnection.Close()
	return d.db.Close()
}

// Close lets go of the folder.
func (d *Database) Close() error {
	err := d.closeDatabase()
	d.lock.Close()
	return errs.Wrap(err, "close", "disk")
}

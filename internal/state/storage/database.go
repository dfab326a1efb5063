package storage

import (
	"database/sql"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"dunlinwell/internal/base/errs"
)

const (
	databaseFile = "stockroom.db"
	lockFile     = "lock"
)

// Database is one open data folder. Get and Scan may be called from any goroutine,
// Write and Prune only from the one that commits.
type Database struct {
	// StoreID is the id made with the database; a blank one gets a new id.
	StoreID uint64
	// RunNumber counts how often the database was opened, this time included.
	RunNumber uint64
	// SetAsidePath is where Open has put a damaged database; empty if there was none.
	SetAsidePath string
	// DamageCause is why that was done.
	DamageCause error
	// OnReadError is called with the error when the disk can't be read, and must end
	// the process. Without it, or if it returns, the caller panics.
	OnReadError func(error)

	lock          *os.File
	db            *sql.DB
	getStatement  *sql.Stmt
	scanStatement *sql.Stmt
	// writeConnection is the only connection that writes; the two statements after it
	// are prepared on it.
	writeConnection *sql.Conn
	putStatement    *sql.Stmt
	deleteStatement *sql.Stmt
	// earlierUptimeMillis is the time in use of all runs before this one, as last saved.
	earlierUptimeMillis int64
	// openedAt is the reading of clock when the database was opened.
	openedAt time.Duration
	// clock is a monotonic clock with any origin: wall clocks jump.
	clock func() time.Duration
}

var processStart = time.Now()

// Open opens a data folder for this process alone, and makes it if need be. A database
// that is shown to be damaged is set aside, and a blank one opened in its place. Any other
// failure is returned, ErrLocked and *NewerFormatError among them, and leaves the database as
// it is: a disk that is full, or busy, or short of memory has lost nothing.
func Open(dir string) (*Database, error) { return OpenChecked(dir, nil) }

// OpenChecked opens a data folder whose records must pass a check as well. A database
// that fails it is set aside like a damaged one.
func OpenChecked(dir string, check func(*Database) error) (*Database, error) {
	return openWithClock(dir, func() time.Duration { return time.Since(processStart) }, check)
}

func openWithClock(dir string, clock func() time.Duration, check func(*Database) error) (*Database, error) {
	lock, err := lockDirectory(dir)
	if err != nil {
		return nil, err
	}
	database := &Database{lock: lock, openedAt: clock(), clock: clock}
	if err := database.openOrReplace(dir, check); err != nil {
		database.unlock()
		return nil, err
	}
	return database, syncDirectory(dir)
}

// lockDirectory makes the folder if need be, and locks it for this process. The lock ends
// with the process, however that ends.
func lockDirectory(dir string) (*os.File, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errs.Wrap(err, "make data folder", dir)
	}
	lock, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, errs.Wrap(err, "open lock", dir)
	}
	err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		err = ErrLocked
	}
	if err != nil {
		_ = lock.Close() // nothing was written to it
		return nil, errs.Wrap(err, "lock data folder", dir)
	}
	return lock, nil
}

// unlock frees the folder for another process. The lock file is empty: closing it can
// lose nothing.
func (d *Database) unlock() { _ = d.lock.Close() }

// openOrReplace opens the folder's database. One that is damaged is kept under another
// name, and a blank one opened in its place.
func (d *Database) openOrReplace(dir string, check func(*Database) error) error {
	path := filepath.Join(dir, databaseFile)
	damage, err := d.openFileAndCheck(path, check)
	if damage == nil {
		return err
	}
	d.DamageCause = damage
	if d.SetAsidePath, err = SetAside(dir, "damaged"); err != nil {
		return err
	}
	return d.openFile(path)
}

// Close closes the database and unlocks the folder.
func (d *Database) Close() error {
	err := d.closeDatabase()
	d.unlock()
	return errs.Wrap(err, "close", "disk")
}

// closeDatabase closes the database and leaves the folder locked. Statements and the
// connection hold nothing that isn't synced; what matters is reported by the last.
func (d *Database) closeDatabase() error {
	for _, statement := range []*sql.Stmt{d.putStatement, d.deleteStatement, d.getStatement, d.scanStatement} {
		_ = statement.Close()
	}
	_ = d.writeConnection.Close()
	return d.db.Close()
}

// syncDirectory syncs the folder's own entries, so that a database that was just made
// or renamed is found after a loss of power.
func syncDirectory(dir string) error {
	directory, err := os.Open(dir)
	if err != nil {
		return errs.Wrap(err, "open data folder", dir)
	}
	err = directory.Sync()
	_ = directory.Close() // opened for reading only
	return errs.Wrap(err, "sync data folder", dir)
}

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

// Database is the open database of a data directory. Get and Scan are safe for concurrent use;
// Write and Prune must be called from a single goroutine.
type Database struct {
	// StoreID is the random ID created with the database.
	StoreID uint64
	// RunNumber is the number of times the database was opened, including this one.
	RunNumber uint64
	// SetAsidePath is the path to which Open renamed a damaged database, or empty.
	SetAsidePath string
	// DamageCause is the error that showed the damage, or nil.
	DamageCause error
	// OnReadError is called when a read fails, and must end the process. If it is nil or
	// returns, the read panics.
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
	// earlierUptimeMillis is the last saved total uptime of all previous runs.
	earlierUptimeMillis int64
	// openedAt is the reading of clock when the database was opened.
	openedAt time.Duration
	// clock is a monotonic clock with an arbitrary origin.
	clock func() time.Duration
}

var processStart = time.Now()

// Open locks a data directory and opens its database, and creates both if they don't exist. A
// damaged database is set aside and replaced by an empty one. Any other failure, such as
// ErrLocked, *NewerFormatError or a full disk, is returned and leaves the database unchanged.
func Open(dir string) (*Database, error) { return OpenChecked(dir, nil) }

// OpenChecked is like Open, but also sets the database aside if check returns an error.
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

// lockDirectory creates the directory if it doesn't exist, and locks it. The operating system
// releases the lock when the process ends.
func lockDirectory(dir string) (*os.File, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errs.Wrap(err, "create data directory", dir)
	}
	lock, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, errs.Wrap(err, "open lock file", dir)
	}
	err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		err = ErrLocked
	}
	if err != nil {
		_ = lock.Close() // nothing was written to it
		return nil, errs.Wrap(err, "lock data directory", dir)
	}
	return lock, nil
}

// unlock releases the lock on the directory. The lock file is empty, so an error on closing it
// loses no data.
func (d *Database) unlock() { _ = d.lock.Close() }

// openOrReplace opens the database of a directory. If it is damaged, openOrReplace sets it aside
// and opens an empty one.
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

// Close closes the database and unlocks the directory.
func (d *Database) Close() error {
	err := d.closeDatabase()
	d.unlock()
	return errs.Wrap(err, "close database", "")
}

// closeDatabase closes the database without unlocking the directory. Statements and the
// connection hold no unsynced data, so only the error of closing the database is returned.
func (d *Database) closeDatabase() error {
	for _, statement := range []*sql.Stmt{d.putStatement, d.deleteStatement, d.getStatement, d.scanStatement} {
		_ = statement.Close()
	}
	_ = d.writeConnection.Close()
	return d.db.Close()
}

// syncDirectory syncs the directory's entries, so that a database that was just created or
// renamed is found after a power failure.
func syncDirectory(dir string) error {
	directory, err := os.Open(dir)
	if err != nil {
		return errs.Wrap(err, "open data directory", dir)
	}
	err = directory.Sync()
	_ = directory.Close() // opened for reading only
	return errs.Wrap(err, "sync data directory", dir)
}

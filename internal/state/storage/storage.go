// Package storage is the disk: records in SQLite, safe once synced.
package storage

import (
	"context"
	"crypto/rand"
	"database/sql"
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	_ "github.com/mattn/go-sqlite3" // the driver

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// Format is the disk format written here; a newer one is left untouched. In 2 a
// register may have changes behind it, which a reader of 1 would not see.
const Format = 2

// Storage is one data folder.
type Database struct {
	db            *sql.DB
	lock          *os.File
	getStatement  *sql.Stmt
	scanStatement *sql.Stmt
	// pen is the one connection that writes, with its statements prepared.
	writeConnection *sql.Conn
	putStatement    *sql.Stmt
	deleteStatement *sql.Stmt
	// StoreID is the id made with the folder, Run how often it was opened.
	StoreID   uint64
	RunNumber uint64
	// SetAsidePath names a damaged database that was put out of the way.
	SetAsidePath string
	// DamageCause is why that was done.
	DamageCause error
	// Broken is told of a disk that can't be read, and must end the process.
	OnReadError         func(error)
	earlierUptimeMillis int64
	openedAt            time.Duration
	// clock is this machine's running time; wall clocks jump.
	clock func() time.Duration
}

var processStart = time.Now()

// Open takes a data folder for this process alone.
func Open(dir string) (*Database, error) { return OpenChecked(dir, nil) }

// OpenChecked opens a folder whose records must pass a check as well; one that
// doesn't is set aside like a damaged one.
func OpenChecked(dir string, check func(*Database) error) (*Database, error) {
	return openWithClock(dir, func() time.Duration { return time.Since(processStart) }, check)
}

func openWithClock(dir string, clock func() time.Duration, check func(*Database) error) (*Database, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errs.Wrap(err, "make data folder", dir)
	}
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, errs.Wrap(err, "open lock", dir)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, errs.New("lock data folder", dir, "another process holds it")
	}
	database := &Database{lock: lock, openedAt: clock(), clock: clock}
	path := filepath.Join(dir, databaseFile)
	err = database.openFileAndCheck(path, check)
	if _, newer := err.(*NewerFormatError); err != nil && !newer {
		// Damaged: kept for whoever wants to look, and begun anew as blank.
		database.DamageCause = err
		if database.SetAsidePath, err = SetAside(dir, "damaged"); err == nil {
			err = database.openFile(path)
		}
	}
	if err != nil {
		lock.Close()
		return nil, err
	}
	return database, syncDirectory(dir)
}

func (d *Database) openFile(path string) error {
	if file, err := os.Open(path); err == nil {
		// The format is read from the file's own header first, so that a
		// newer database isn't so much as opened for writing.
		header := make([]byte, 64)
		n, _ := file.Read(header)
		file.Close()
		if n == 64 && string(header[:15]) == "SQLite format 3" {
			if format := int(binary.BigEndian.Uint32(header[60:])); format > Format {
				return &NewerFormatError{format}
			}
		}
	}
	db, err := sql.Open("sqlite3", "file:"+path+"?_journal_mode=WAL&_synchronous=FULL&_busy_timeout=5000&_txlock=immediate")
	if err != nil {
		return errs.Wrap(err, "open database", path)
	}
	db.SetMaxOpenConns(4)
	d.db = db
	if err := d.prepareStatements(); err != nil {
		if d.writeConnection != nil {
			_ = d.writeConnection.Close()
		}
		db.Close()
		return errs.Wrap(err, "read database", path)
	}
	return nil
}

func (d *Database) prepareStatements() error {
	var check string
	if err := d.db.QueryRow("PRAGMA quick_check(1)").Scan(&check); err != nil {
		return err
	}
	if check != "ok" {
		return errs.New("check database", "", "%s", check)
	}
	if _, err := d.db.Exec(fmt.Sprintf(`CREATE TABLE IF NOT EXISTS records (key TEXT PRIMARY KEY, value BLOB NOT NULL, born INTEGER NOT NULL) WITHOUT ROWID; PRAGMA user_version=%d`, Format)); err != nil {
		return err
	}
	var err error
	if d.getStatement, err = d.db.Prepare("SELECT value FROM records WHERE key = ?"); err != nil {
		return err
	}
	if d.scanStatement, err = d.db.Prepare("SELECT key, value FROM records WHERE key > ? AND key < 'item0' ORDER BY key LIMIT ?"); err != nil {
		return err
	}
	ctx := context.Background()
	if d.writeConnection, err = d.db.Conn(ctx); err != nil {
		return err
	}
	if d.putStatement, err = d.writeConnection.PrepareContext(ctx, "INSERT INTO records (key, value, born) VALUES (?, ?, ?) ON CONFLICT (key) DO UPDATE SET value = excluded.value, born = excluded.born"); err != nil {
		return err
	}
	if d.deleteStatement, err = d.writeConnection.PrepareContext(ctx, "DELETE FROM records WHERE key = ?"); err != nil {
		return err
	}
	return d.recordOpening()
}

// recordOpening reads the store's own numbers and counts this opening.
func (d *Database) recordOpening() error {
	readNumber := func(key ids.RegisterKey) uint64 {
		raw, ok := d.Get(key)
		if !ok || len(raw) != 8 {
			return 0
		}
		return binary.BigEndian.Uint64(raw)
	}
	d.StoreID, d.RunNumber, d.earlierUptimeMillis = readNumber("meta/store"), readNumber("meta/run")+1, int64(readNumber("meta/ran"))
	for d.StoreID == 0 {
		var raw [8]byte
		if _, err := rand.Read(raw[3:]); err != nil {
			return err
		}
		d.StoreID = binary.BigEndian.Uint64(raw[:])
	}
	return d.Write([]event.Record{
		{Key: "meta/store", Value: binary.BigEndian.AppendUint64(nil, d.StoreID)},
		{Key: "meta/run", Value: binary.BigEndian.AppendUint64(nil, d.RunNumber)},
	})
}

// Keep writes records in one transaction and returns once they are synced.
// Only one thread may call it: the committer.
func (d *Database) Write(records []event.Record) error {
	ctx := context.Background()
	if _, err := d.writeConnection.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
		return errs.Wrap(err, "begin", "disk")
	}
	writtenAtMillis := d.uptimeMillis()
	for _, r := range records {
		var err error
		if r.Delete {
			_, err = d.deleteStatement.Exec(string(r.Key))
		} else {
			_, err = d.putStatement.Exec(string(r.Key), r.Value, writtenAtMillis)
		}
		if err != nil {
			_, _ = d.writeConnection.ExecContext(ctx, "ROLLBACK")
			return errs.Wrap(err, "write", "disk")
		}
	}
	_, err := d.writeConnection.ExecContext(ctx, "COMMIT")
	return errs.Wrap(err, "sync", "disk")
}

// Fetch finds a record.
func (d *Database) Get(key ids.RegisterKey) ([]byte, bool) {
	var raw []byte
	err := d.getStatement.QueryRow(string(key)).Scan(&raw)
	if err != nil && err != sql.ErrNoRows {
		d.readFailed(err)
	}
	return raw, err == nil
}

// broken ends the process: a disk that can't be read must not pass for an
// empty one, or this store would forget what it voted for.
func (d *Database) readFailed(err error) {
	if d.OnReadError != nil {
		d.OnReadError(errs.Wrap(err, "read", "disk"))
	}
	panic(errs.Wrap(err, "read", "disk"))
}

// After lists up to n records of items behind a key, in order.
func (d *Database) Scan(after ids.RegisterKey, limit int) []event.Record {
	rows, err := d.scanStatement.Query(string(after), limit)
	if err != nil {
		d.readFailed(err)
	}
	defer rows.Close()
	var out []event.Record
	for rows.Next() {
		var r event.Record
		if err := rows.Scan(&r.Key, &r.Value); err != nil {
			d.readFailed(err)
		}
		out = append(out, r)
	}
	if err := rows.Err(); err != nil {
		d.readFailed(err)
	}
	return out
}

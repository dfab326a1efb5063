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
	db   *sql.DB
	lock *os.File
	load *sql.Stmt
	page *sql.Stmt
	// pen is the one connection that writes, with its statements prepared.
	writer *sql.Conn
	put    *sql.Stmt
	drop   *sql.Stmt
	// Store is the id made with the folder, Run how often it was opened.
	Store uint64
	Run   uint64
	// SetAside names a damaged database that was put out of the way.
	SetAside string
	// Damage is why that was done.
	Damage error
	// Broken is told of a disk that can't be read, and must end the process.
	OnReadError func(error)
	ran         int64
	opened      time.Duration
	// clock is this machine's running time; wall clocks jump.
	clock func() time.Duration
}

var started = time.Now()

// Open takes a data folder for this process alone.
func Open(dir string) (*Database, error) { return OpenChecked(dir, nil) }

// OpenChecked opens a folder whose records must pass a check as well; one that
// doesn't is set aside like a damaged one.
func OpenChecked(dir string, check func(*Database) error) (*Database, error) {
	return open(dir, func() time.Duration { return time.Since(started) }, check)
}

func open(dir string, clock func() time.Duration, check func(*Database) error) (*Database, error) {
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
	s := &Database{lock: lock, opened: clock(), clock: clock}
	path := filepath.Join(dir, databaseFile)
	err = s.openAndCheck(path, check)
	if _, newer := err.(*NewerFormat); err != nil && !newer {
		// Damaged: kept for whoever wants to look, and begun anew as blank.
		s.Damage = err
		if s.SetAside, err = SetAside(dir, "damaged"); err == nil {
			err = s.open(path)
		}
	}
	if err != nil {
		lock.Close()
		return nil, err
	}
	return s, syncFolder(dir)
}

func (s *Database) open(path string) error {
	if raw, err := os.Open(path); err == nil {
		// The format is read from the file's own header first, so that a
		// newer database isn't so much as opened for writing.
		head := make([]byte, 64)
		n, _ := raw.Read(head)
		raw.Close()
		if n == 64 && string(head[:15]) == "SQLite format 3" {
			if has := int(binary.BigEndian.Uint32(head[60:])); has > Format {
				return &NewerFormat{has}
			}
		}
	}
	db, err := sql.Open("sqlite3", "file:"+path+"?_journal_mode=WAL&_synchronous=FULL&_busy_timeout=5000&_txlock=immediate")
	if err != nil {
		return errs.Wrap(err, "open database", path)
	}
	db.SetMaxOpenConns(4)
	s.db = db
	if err := s.prepare(); err != nil {
		if s.writer != nil {
			_ = s.writer.Close()
		}
		db.Close()
		return errs.Wrap(err, "read database", path)
	}
	return nil
}

func (s *Database) prepare() error {
	var check string
	if err := s.db.QueryRow("PRAGMA quick_check(1)").Scan(&check); err != nil {
		return err
	}
	if check != "ok" {
		return errs.New("check database", "", "%s", check)
	}
	if _, err := s.db.Exec(fmt.Sprintf(`CREATE TABLE IF NOT EXISTS records (key TEXT PRIMARY KEY, value BLOB NOT NULL, born INTEGER NOT NULL) WITHOUT ROWID; PRAGMA user_version=%d`, Format)); err != nil {
		return err
	}
	var err error
	if s.load, err = s.db.Prepare("SELECT value FROM records WHERE key = ?"); err != nil {
		return err
	}
	if s.page, err = s.db.Prepare("SELECT key, value FROM records WHERE key > ? AND key < 'item0' ORDER BY key LIMIT ?"); err != nil {
		return err
	}
	ctx := context.Background()
	if s.writer, err = s.db.Conn(ctx); err != nil {
		return err
	}
	if s.put, err = s.writer.PrepareContext(ctx, "INSERT INTO records (key, value, born) VALUES (?, ?, ?) ON CONFLICT (key) DO UPDATE SET value = excluded.value, born = excluded.born"); err != nil {
		return err
	}
	if s.drop, err = s.writer.PrepareContext(ctx, "DELETE FROM records WHERE key = ?"); err != nil {
		return err
	}
	return s.count()
}

// count reads the store's own numbers and counts this opening.
func (s *Database) count() error {
	number := func(key ids.RegisterKey) uint64 {
		raw, ok := s.Get(key)
		if !ok || len(raw) != 8 {
			return 0
		}
		return binary.BigEndian.Uint64(raw)
	}
	s.Store, s.Run, s.ran = number("meta/store"), number("meta/run")+1, int64(number("meta/ran"))
	for s.Store == 0 {
		var raw [8]byte
		if _, err := rand.Read(raw[3:]); err != nil {
			return err
		}
		s.Store = binary.BigEndian.Uint64(raw[:])
	}
	return s.Write([]event.Record{
		{Key: "meta/store", Value: binary.BigEndian.AppendUint64(nil, s.Store)},
		{Key: "meta/run", Value: binary.BigEndian.AppendUint64(nil, s.Run)},
	})
}

// Keep writes records in one transaction and returns once they are synced.
// Only one thread may call it: the committer.
func (s *Database) Write(list []event.Record) error {
	ctx := context.Background()
	if _, err := s.writer.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
		return errs.Wrap(err, "begin", "disk")
	}
	born := s.ranNow()
	for _, r := range list {
		var err error
		if r.Delete {
			_, err = s.drop.Exec(string(r.Key))
		} else {
			_, err = s.put.Exec(string(r.Key), r.Value, born)
		}
		if err != nil {
			_, _ = s.writer.ExecContext(ctx, "ROLLBACK")
			return errs.Wrap(err, "write", "disk")
		}
	}
	_, err := s.writer.ExecContext(ctx, "COMMIT")
	return errs.Wrap(err, "sync", "disk")
}

// Fetch finds a record.
func (s *Database) Get(key ids.RegisterKey) ([]byte, bool) {
	var raw []byte
	err := s.load.QueryRow(string(key)).Scan(&raw)
	if err != nil && err != sql.ErrNoRows {
		s.readFailed(err)
	}
	return raw, err == nil
}

// broken ends the process: a disk that can't be read must not pass for an
// empty one, or this store would forget what it voted for.
func (s *Database) readFailed(err error) {
	if s.OnReadError != nil {
		s.OnReadError(errs.Wrap(err, "read", "disk"))
	}
	panic(errs.Wrap(err, "read", "disk"))
}

// After lists up to n records of items behind a key, in order.
func (s *Database) Scan(key ids.RegisterKey, n int) []event.Record {
	rows, err := s.page.Query(string(key), n)
	if err != nil {
		s.readFailed(err)
	}
	defer rows.Close()
	var out []event.Record
	for rows.Next() {
		var r event.Record
		if err := rows.Scan(&r.Key, &r.Value); err != nil {
			s.readFailed(err)
		}
		out = append(out, r)
	}
	if err := rows.Err(); err != nil {
		s.readFailed(err)
	}
	return out
}

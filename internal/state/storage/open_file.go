package storage

import (
	"context"
	"database/sql"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"

	"dunlinwell/internal/base/errs"
)

// FormatVersion is the version of the disk format that this package writes. Since version 2,
// deltas may be recorded after a register's record, which a reader of version 1 would miss.
const FormatVersion = 2

const (
	// connectionOptions enables a write-ahead log, so that reads don't block on a write, and
	// syncs it at each commit. Immediate transactions take the write lock at the start, so
	// that they can't fail half way for lack of it; they wait up to 5 s for the lock.
	connectionOptions = "?_journal_mode=WAL&_synchronous=FULL&_busy_timeout=5000&_txlock=immediate"
	// maxConnections allows one connection for writes and three for reads.
	maxConnections = 4
	// createTable takes the format version as its parameter. The column born is the uptime in
	// milliseconds at which the record was written.
	createTable = `CREATE TABLE IF NOT EXISTS records (key TEXT PRIMARY KEY, value BLOB NOT NULL, born INTEGER NOT NULL) WITHOUT ROWID; PRAGMA user_version=%d`
)

// The fields that readFormat uses of a SQLite file's header (www.sqlite.org/fileformat.html).
const (
	headerMagic         = "SQLite format 3"
	headerVersionOffset = 60 // user_version, 4 bytes, big endian
	headerVersionEnd    = headerVersionOffset + 4
)

// openFileAndCheck opens the database and checks its records. It returns the error that shows
// that the database is damaged as damage, and any other error as err.
func (d *Database) openFileAndCheck(path string, check func(*Database) error) (damage, err error) {
	if err := d.openFile(path); err != nil {
		if isDamage(err) {
			return err, nil
		}
		return nil, err
	}
	if check == nil {
		return nil, nil
	}
	damage = check(d)
	if damage != nil {
		_ = d.closeDatabase() // the damage is the error to report
	}
	return damage, nil
}

// openFile opens the database, and creates it if it doesn't exist.
func (d *Database) openFile(path string) error {
	format, err := readFormat(path)
	if err != nil {
		return errs.Wrap(err, "read database header", path)
	}
	if format > FormatVersion {
		return &NewerFormatError{Found: format}
	}
	db, err := sql.Open("sqlite3", "file:"+path+connectionOptions)
	if err != nil {
		return errs.Wrap(err, "open database", path)
	}
	db.SetMaxOpenConns(maxConnections)
	d.db = db
	if err := d.prepare(); err != nil {
		// The error of prepare is the one to report.
		if d.writeConnection != nil {
			_ = d.writeConnection.Close()
		}
		_ = db.Close()
		return errs.Wrap(err, "read database", path)
	}
	return nil
}

// readFormat reads the format from the file header without SQLite, so that a database in a newer
// format is never opened for writing. It returns 0 if there is no file or no valid header.
func readFormat(path string) (int, error) {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	header := make([]byte, headerVersionEnd)
	_, err = io.ReadFull(file, header)
	_ = file.Close() // opened for reading only
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return 0, nil
	}
	if err != nil || string(header[:len(headerMagic)]) != headerMagic {
		return 0, err
	}
	return int(binary.BigEndian.Uint32(header[headerVersionOffset:])), nil
}

// prepare checks the file, creates the table if it doesn't exist, prepares the statements and
// updates the metadata.
func (d *Database) prepare() error {
	if err := d.checkIntegrity(); err != nil {
		return err
	}
	if _, err := d.db.Exec(fmt.Sprintf(createTable, FormatVersion)); err != nil {
		return err
	}
	if err := d.prepareStatements(); err != nil {
		return err
	}
	return d.recordOpening()
}

// checkIntegrity runs SQLite's integrity check on the whole file, up to the first fault.
func (d *Database) checkIntegrity() error {
	var report string
	if err := d.db.QueryRow("PRAGMA quick_check(1)").Scan(&report); err != nil {
		return err
	}
	if report == "ok" {
		return nil
	}
	if isUnreadablePage(report) {
		return errs.New("check database", "", "%w: %s", ErrUnreadablePage, report)
	}
	return errs.Wrap(&IntegrityError{Report: report}, "check database", "")
}

func (d *Database) prepareStatements() error {
	var err error
	if d.getStatement, err = d.db.Prepare(getQuery); err != nil {
		return err
	}
	if d.scanStatement, err = d.db.Prepare(scanQuery); err != nil {
		return err
	}
	ctx := context.Background()
	if d.writeConnection, err = d.db.Conn(ctx); err != nil {
		return err
	}
	if d.putStatement, err = d.writeConnection.PrepareContext(ctx, putQuery); err != nil {
		return err
	}
	d.deleteStatement, err = d.writeConnection.PrepareContext(ctx, deleteQuery)
	return err
}

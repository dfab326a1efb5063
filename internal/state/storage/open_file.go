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

// Format is the disk format written here; a newer one is left untouched. Since 2 a
// register's record may have changes recorded after it, which a reader of format 1
// would not see.
const Format = 2

const (
	// connectionOptions: a write-ahead log lets readers go on while a write is synced,
	// and FULL syncs it at each commit. An immediate transaction takes the write lock at
	// its start, so that it can't fail for want of it half way; the lock is waited for
	// up to 5 s.
	connectionOptions = "?_journal_mode=WAL&_synchronous=FULL&_busy_timeout=5000&_txlock=immediate"
	// maxConnections are the one that writes, and three for readers.
	maxConnections = 4
	// createTable has the version of the format as its parameter. The column born is the
	// uptime in milliseconds at which the record was written.
	createTable = `CREATE TABLE IF NOT EXISTS records (key TEXT PRIMARY KEY, value BLOB NOT NULL, born INTEGER NOT NULL) WITHOUT ROWID; PRAGMA user_version=%d`
)

// The fields of a SQLite file's header that are read here (www.sqlite.org/fileformat.html).
const (
	headerMagic         = "SQLite format 3"
	headerVersionOffset = 60 // user_version, 4 bytes, big endian
	headerVersionEnd    = headerVersionOffset + 4
)

// openFileAndCheck opens the database and has its records checked. It returns what shows that
// the database is damaged, or else why it can't be opened.
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
		_ = d.closeDatabase() // it is set aside for what the check has found
	}
	return damage, nil
}

// openFile opens the database, and makes it if it isn't there.
func (d *Database) openFile(path string) error {
	format, err := readFormat(path)
	if err != nil {
		return errs.Wrap(err, "read database's header", path)
	}
	if format > Format {
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

// readFormat reads the format from the file's own header, so that a newer database
// isn't so much as opened for writing; 0 if there is no such file or header.
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

// prepare checks the file, makes the table if need be, prepares the statements and
// counts this run.
func (d *Database) prepare() error {
	if err := d.checkIntegrity(); err != nil {
		return err
	}
	if _, err := d.db.Exec(fmt.Sprintf(createTable, Format)); err != nil {
		return err
	}
	if err := d.prepareStatements(); err != nil {
		return err
	}
	return d.recordOpening()
}

// checkIntegrity has SQLite check the whole file, up to the first fault.
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

package storage

import (
	"context"
	"database/sql"
	"errors"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

const (
	getQuery = "SELECT value FROM records WHERE key = ?"
	// scanQuery ends before "item0", the first key behind the registers' "item/...".
	scanQuery   = "SELECT key, value FROM records WHERE key > ? AND key < 'item0' ORDER BY key LIMIT ?"
	putQuery    = "INSERT INTO records (key, value, born) VALUES (?, ?, ?) ON CONFLICT (key) DO UPDATE SET value = excluded.value, born = excluded.born"
	deleteQuery = "DELETE FROM records WHERE key = ?"
)

// Write writes records in one transaction and returns once they are synced. After an
// error it isn't known what the disk has: the process should end.
func (d *Database) Write(records []event.Record) error {
	ctx := context.Background()
	if _, err := d.writeConnection.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
		return errs.Wrap(err, "begin", "disk")
	}
	if err := d.writeAll(records); err != nil {
		// The write's own error is the one to report.
		_, _ = d.writeConnection.ExecContext(ctx, "ROLLBACK")
		return errs.Wrap(err, "write", "disk")
	}
	_, err := d.writeConnection.ExecContext(ctx, "COMMIT")
	return errs.Wrap(err, "sync", "disk")
}

// writeAll puts or deletes each record, within a transaction.
func (d *Database) writeAll(records []event.Record) error {
	writtenAtMillis := d.uptimeMillis()
	for _, r := range records {
		var err error
		if r.Delete {
			_, err = d.deleteStatement.Exec(string(r.Key))
		} else {
			_, err = d.putStatement.Exec(string(r.Key), r.Value, writtenAtMillis)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Get returns the value of a record; false if there is none.
func (d *Database) Get(key ids.RegisterKey) ([]byte, bool) {
	var raw []byte
	err := d.getStatement.QueryRow(string(key)).Scan(&raw)
	if err != nil && !errors.Is(err, sql.ErrNoRows) {
		d.handleReadError(err)
	}
	return raw, err == nil
}

// Scan returns the records of registers and of changes to them ("diff/...", which sort
// before) after a key, in order of their keys, up to a limit.
func (d *Database) Scan(after ids.RegisterKey, limit int) []event.Record {
	rows, err := d.scanStatement.Query(string(after), limit)
	if err != nil {
		d.handleReadError(err)
	}
	defer func() { _ = rows.Close() }() // rows.Err tells of what went wrong
	var records []event.Record
	for rows.Next() {
		var r event.Record
		if err := rows.Scan(&r.Key, &r.Value); err != nil {
			d.handleReadError(err)
		}
		records = append(records, r)
	}
	if err := rows.Err(); err != nil {
		d.handleReadError(err)
	}
	return records
}

// handleReadError ends the process: a disk that can't be read must not pass for an empty
// one, or this store would forget what it voted for.
func (d *Database) handleReadError(err error) {
	err = errs.Wrap(err, "read", "disk")
	if d.OnReadError != nil {
		d.OnReadError(err)
	}
	panic(err)
}

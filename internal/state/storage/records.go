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
	// scanQuery ends before "item0", the first key after all keys with prefix "item/".
	scanQuery   = "SELECT key, value FROM records WHERE key > ? AND key < 'item0' ORDER BY key LIMIT ?"
	putQuery    = "INSERT INTO records (key, value, born) VALUES (?, ?, ?) ON CONFLICT (key) DO UPDATE SET value = excluded.value, born = excluded.born"
	deleteQuery = "DELETE FROM records WHERE key = ?"
)

// Write writes or deletes records in one transaction, and returns once it is synced. After an
// error the state of the disk is unknown, and the process should end.
func (d *Database) Write(records []event.Record) error {
	ctx := context.Background()
	if _, err := d.writeConnection.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
		return errs.Wrap(err, "begin transaction", "")
	}
	if err := d.writeAll(records); err != nil {
		// The error of the write is the one to report.
		_, _ = d.writeConnection.ExecContext(ctx, "ROLLBACK")
		return errs.Wrap(err, "write records", "")
	}
	_, err := d.writeConnection.ExecContext(ctx, "COMMIT")
	return errs.Wrap(err, "commit transaction", "")
}

// writeAll writes or deletes each record within the current transaction.
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

// Get returns the value of a record, and false if there is none.
func (d *Database) Get(key ids.RegisterKey) ([]byte, bool) {
	var raw []byte
	err := d.getStatement.QueryRow(string(key)).Scan(&raw)
	if err != nil && !errors.Is(err, sql.ErrNoRows) {
		d.handleReadError(err)
	}
	return raw, err == nil
}

// Scan returns up to limit records of registers and their deltas ("diff/...", which sort first)
// whose keys follow the given key, sorted by key.
func (d *Database) Scan(after ids.RegisterKey, limit int) []event.Record {
	rows, err := d.scanStatement.Query(string(after), limit)
	if err != nil {
		d.handleReadError(err)
	}
	defer func() { _ = rows.Close() }() // rows.Err reports any error
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

// handleReadError ends the process. An unreadable disk must not be mistaken for an empty one, or
// the store would forget its votes.
func (d *Database) handleReadError(err error) {
	err = errs.Wrap(err, "read records", "")
	if d.OnReadError != nil {
		d.OnReadError(err)
	}
	panic(err)
}

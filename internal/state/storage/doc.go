// Package storage keeps a store's records on disk, in a SQLite database of the data
// folder, and returns from a write only once it is synced.
//
// Invariants:
//
//   - A data folder belongs to one process at a time (lock file).
//   - What Write has returned for survives a crash of the process and a loss of power
//     (write-ahead log with synchronous=FULL).
//   - A database of a newer format isn't touched, and a damaged one is set aside and
//     replaced by a blank one with another store id: a disk that has lost its records
//     must never vote as the store that it was.
//   - A database is set aside only on evidence that its content is damaged (isDamage). One
//     that can't be opened for another reason stays as it is, and Open fails: the folder's
//     owner tries again, or ends and is started again.
//   - A disk that can't be read ends the process. It must not pass for an empty one,
//     or the store would forget what it voted for.
//
// The package knows keys and bytes only. It never interprets a record, but for the
// few of its own (the keys in metadata.go) and for the key ranges of registers and
// idempotency records.
//
// Its tests use real files in a temporary folder. A folder of the first format is
// kept in the tests of package store.
package storage

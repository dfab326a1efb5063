// Package storage keeps a store's records on disk, in a SQLite database in the data directory.
// Writes return only once they are synced.
//
// Invariants:
//
//   - One process at a time uses a data directory (lock file).
//   - After Write returns, its records survive a crash of the process and a power failure
//     (write-ahead log with synchronous=FULL).
//   - A database of a newer format isn't modified. A damaged database is set aside and
//     replaced by an empty one with a new store ID: a disk that has lost its records must
//     never vote under its previous identity.
//   - A database is set aside only on evidence that its content is damaged (isDamage). If it
//     can't be opened for another reason, it is left unchanged and Open fails, so that the
//     caller can retry or the process can be restarted.
//   - A read error ends the process. An unreadable disk must not be mistaken for an empty
//     one, or the store would forget its votes.
//
// The package handles keys and bytes only. It never interprets a record, except its own
// metadata (metadata.go) and the key ranges of registers and idempotency records.
//
// The tests use real files in a temporary directory. The tests of package store cover a data
// directory of the first format.
package storage

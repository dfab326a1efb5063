package storage

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/mattn/go-sqlite3"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/event"
)

// An intact database is kept if SQLite temporarily can't create a file next to it, as on a full
// disk.
func TestOpen_KeepsDatabaseAfterTransientFailure(t *testing.T) {
	for _, suffix := range []string{"-wal", "-journal"} {
		t.Run(suffix, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			database, err := Open(dir)
			is.NoErr(err)
			store := database.StoreID
			is.NoErr(database.Write([]event.Record{{Key: "item/a", Value: []byte("1")}}))
			is.NoErr(database.Close())

			// The directory prevents SQLite from creating a file of this name.
			obstacle := filepath.Join(dir, databaseFile+suffix)
			is.NoErr(os.Mkdir(obstacle, 0o755))
			if database, err := Open(dir); err == nil {
				t.Errorf("Open replaced the database: got store ID %d, want %d; set aside as %q because of %v", database.StoreID, store, database.SetAsidePath, database.DamageCause)
				is.NoErr(database.Close())
			}
			is.NoErr(os.RemoveAll(obstacle))

			database = openForTest(t, dir)
			is.Equal(database.StoreID, store)
			raw, ok := database.Get("item/a")
			is.True(ok && string(raw) == "1")
		})
	}
}

func TestIsDamage(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want bool
	}{
		{"corrupt", sqlite3.Error{Code: sqlite3.ErrCorrupt}, true},
		{"not a database", sqlite3.Error{Code: sqlite3.ErrNotADB}, true},
		{"failed check", &IntegrityError{Report: "Tree 2 page 3: btreeInitPage() returns error code 11"}, true},
		{"full", sqlite3.Error{Code: sqlite3.ErrFull}, false},
		{"I/O error", sqlite3.Error{Code: sqlite3.ErrIoErr}, false},
		{"can't open", sqlite3.Error{Code: sqlite3.ErrCantOpen}, false},
		{"busy", sqlite3.Error{Code: sqlite3.ErrBusy}, false},
		{"out of memory", sqlite3.Error{Code: sqlite3.ErrNomem}, false},
		{"read-only", sqlite3.Error{Code: sqlite3.ErrReadonly}, false},
		{"unreadable page", ErrUnreadablePage, false},
		{"too many files", syscall.EMFILE, false},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(isDamage(errs.Wrap(c.err, "open", "d")), c.want) })
	}
}

func TestIsUnreadablePage(t *testing.T) {
	for report, want := range map[string]bool{
		"unable to get the page. error code=10":   true,
		"unable to get the page. error code=7":    true,
		"unable to get the page. error code=266":  true, // IOERR_READ
		"unable to get the page. error code=11":   false,
		"unable to get the page. error code=779":  false, // CORRUPT_INDEX
		"row 3 missing from index records_autoin": false,
	} {
		t.Run(report, func(t *testing.T) { is.New(t).Equal(isUnreadablePage(report), want) })
	}
}

// Open returns ErrLocked only if another process holds the lock, not if the lock file can't be
// opened because its path is a directory.
func TestOpen_LockFileErrorIsNotErrLocked(t *testing.T) {
	is := is.New(t)
	dir := filepath.Join(t.TempDir(), "data")
	is.NoErr(os.MkdirAll(filepath.Join(dir, lockFile), 0o755))
	_, err := Open(dir)
	is.True(err != nil)
	is.True(!errors.Is(err, ErrLocked))
}

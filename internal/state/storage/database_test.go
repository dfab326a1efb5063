package storage

import (
	"database/sql"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// closeOnCleanup closes the database at the end of a test or benchmark.
func closeOnCleanup(t testing.TB, database *Database) {
	t.Helper()
	t.Cleanup(func() {
		if err := database.Close(); err != nil {
			t.Error(err)
		}
	})
}

// openForTest opens a data directory and closes it at the end of the test.
func openForTest(t testing.TB, dir string) *Database {
	t.Helper()
	database, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, database)
	return database
}

func TestDatabase_RecordsSurviveReopening(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	database, err := Open(dir)
	is.NoErr(err)
	is.NoErr(database.Write([]event.Record{{Key: "item/a", Value: []byte("1")}, {Key: "item/b", Value: []byte("2")}, {Key: "meta/x", Value: []byte("3")}}))
	// A second Open of the same directory fails.
	_, err = Open(dir)
	is.True(err != nil && strings.Contains(err.Error(), "locked by another process"))
	is.True(errors.Is(err, ErrLocked))
	store := database.StoreID
	is.NoErr(database.Close())
	database = openForTest(t, dir)
	is.Equal(database.StoreID, store)
	is.Equal(database.RunNumber, uint64(2))
	raw, ok := database.Get("item/a")
	is.True(ok && string(raw) == "1")
	records := database.Scan("item/", 10)
	is.Equal(len(records), 2) // only registers, sorted by key
	is.Equal(string(records[1].Value), "2")
	is.Equal(len(database.Scan("item/a", 10)), 1)
	// A new database gets another store ID.
	other := openForTest(t, t.TempDir())
	is.True(other.StoreID != store)
}

func TestOpen_LeavesNewerFormatUnchanged(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	path := filepath.Join(dir, "stockroom.db")
	db, err := sql.Open("sqlite3", path)
	is.NoErr(err)
	_, err = db.Exec("CREATE TABLE tomorrow (x); PRAGMA user_version=99")
	is.NoErr(err)
	is.NoErr(db.Close())
	before, err := os.ReadFile(path)
	is.NoErr(err)
	_, err = Open(dir)
	var newer *NewerFormatError
	is.True(errors.As(err, &newer))
	after, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(before, after)
}

// A damaged database is set aside and replaced by an empty one with another store ID.
func TestOpen_SetsDamagedDatabaseAside(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	database, err := Open(dir)
	is.NoErr(err)
	store := database.StoreID
	is.NoErr(database.Close())
	path := filepath.Join(dir, "stockroom.db")
	raw, err := os.ReadFile(path)
	is.NoErr(err)
	for i := 100; i < len(raw); i++ {
		raw[i] = 0xa5
	}
	is.NoErr(os.WriteFile(path, raw, 0o644))
	database = openForTest(t, dir)
	is.True(database.StoreID != store)
	kept, err := os.ReadFile(database.SetAsidePath)
	is.NoErr(err)
	is.Equal(kept, raw)
}

// SQLite's integrity check finds damage that leaves the file's header and schema intact.
func TestOpen_DamagedPageCausesIntegrityError(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	database, err := Open(dir)
	is.NoErr(err)
	var records []event.Record
	for i := range 2000 {
		records = append(records, event.Record{Key: ids.RegisterKey(fmt.Sprintf("item/%04d", i)), Value: make([]byte, 100)})
	}
	is.NoErr(database.Write(records))
	is.NoErr(database.Close())
	path := filepath.Join(dir, databaseFile)
	raw, err := os.ReadFile(path)
	is.NoErr(err)
	const pageSize = 4096
	copy(raw[10*pageSize:11*pageSize], make([]byte, pageSize))
	is.NoErr(os.WriteFile(path, raw, 0o644))
	database = openForTest(t, dir)
	var damage *IntegrityError
	is.True(errors.As(database.DamageCause, &damage))
	is.Equal(database.DamageCause.Error(), "read database (peer "+path+"): check database: "+damage.Report)
	_, ok := database.Get("item/0000")
	is.True(!ok)
}

func TestOpenChecked_SetsDatabaseAsideIfCheckFails(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	check := func(d *Database) error {
		if raw, ok := d.Get("item/policy"); ok && string(raw) == "damaged" {
			return errors.New("it is damaged")
		}
		return nil
	}
	database, err := OpenChecked(dir, check)
	is.NoErr(err)
	is.Equal(database.SetAsidePath, "")
	store := database.StoreID
	is.NoErr(database.Write([]event.Record{{Key: "item/policy", Value: []byte("damaged")}}))
	is.NoErr(database.Close())
	database, err = OpenChecked(dir, check)
	is.NoErr(err)
	closeOnCleanup(t, database)
	is.True(database.StoreID != store)
	is.Equal(database.DamageCause.Error(), "it is damaged")
	_, ok := database.Get("item/policy")
	is.True(!ok)
	_, err = os.Stat(database.SetAsidePath)
	is.NoErr(err)
}

// An unreadable disk must not be mistaken for an empty one.
func TestDatabase_ReportsReadErrorAndPanics(t *testing.T) {
	for name, read := range map[string]func(*Database){
		"get":  func(d *Database) { d.Get("item/a") },
		"scan": func(d *Database) { d.Scan("item/", 10) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			database, err := Open(t.TempDir())
			is.NoErr(err)
			is.NoErr(database.Close()) // from here on every read fails
			var reported error
			database.OnReadError = func(err error) { reported = err }
			defer func() {
				is.True(recover() != nil)
				is.True(reported != nil && strings.HasPrefix(reported.Error(), "read records: "))
			}()
			read(database)
		})
	}
}

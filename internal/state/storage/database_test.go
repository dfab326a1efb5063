package storage

import (
	"database/sql"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// closeAtEnd closes a database at the end of the test.
func closeAtEnd(t testing.TB, database *Database) {
	t.Helper()
	t.Cleanup(func() {
		if err := database.Close(); err != nil {
			t.Error(err)
		}
	})
}

func TestDatabase_RecordsSurviveReopening(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	s, err := Open(dir)
	is.NoErr(err)
	is.NoErr(s.Write([]event.Record{{Key: "item/a", Value: []byte("1")}, {Key: "item/b", Value: []byte("2")}, {Key: "meta/x", Value: []byte("3")}}))
	// Another process may not hold the same folder.
	_, err = Open(dir)
	is.True(err != nil && strings.Contains(err.Error(), "another process holds it"))
	is.True(errors.Is(err, ErrLocked))
	store := s.StoreID
	is.NoErr(s.Close())
	s, err = Open(dir)
	is.NoErr(err)
	closeAtEnd(t, s)
	is.Equal(s.StoreID, store)
	is.Equal(s.RunNumber, uint64(2))
	raw, ok := s.Get("item/a")
	is.True(ok && string(raw) == "1")
	records := s.Scan("item/", 10)
	is.Equal(len(records), 2) // registers alone, in order
	is.Equal(string(records[1].Value), "2")
	is.Equal(len(s.Scan("item/a", 10)), 1)
	// A blank folder gets another store id.
	other, err := Open(t.TempDir())
	is.NoErr(err)
	closeAtEnd(t, other)
	is.True(other.StoreID != store)
}

func TestOpen_NewerFormatIsNotTouched(t *testing.T) {
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

// A damaged database is set aside, and a blank one with another store id is opened.
func TestOpen_DamagedDatabaseIsSetAside(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	s, err := Open(dir)
	is.NoErr(err)
	store := s.StoreID
	is.NoErr(s.Close())
	path := filepath.Join(dir, "stockroom.db")
	raw, err := os.ReadFile(path)
	is.NoErr(err)
	for i := 100; i < len(raw); i++ {
		raw[i] = 0xa5
	}
	is.NoErr(os.WriteFile(path, raw, 0o644))
	s, err = Open(dir)
	is.NoErr(err)
	closeAtEnd(t, s)
	is.True(s.StoreID != store)
	kept, err := os.ReadFile(s.SetAsidePath)
	is.NoErr(err)
	is.Equal(kept, raw)
}

// Damage that leaves the file's header and schema intact is found by SQLite's own check.
func TestOpen_DamagedPageIsAnIntegrityError(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	s, err := Open(dir)
	is.NoErr(err)
	var records []event.Record
	for i := range 2000 {
		records = append(records, event.Record{Key: ids.RegisterKey(fmt.Sprintf("item/%04d", i)), Value: make([]byte, 100)})
	}
	is.NoErr(s.Write(records))
	is.NoErr(s.Close())
	path := filepath.Join(dir, databaseFile)
	raw, err := os.ReadFile(path)
	is.NoErr(err)
	const pageSize = 4096
	copy(raw[10*pageSize:11*pageSize], make([]byte, pageSize))
	is.NoErr(os.WriteFile(path, raw, 0o644))
	s, err = Open(dir)
	is.NoErr(err)
	closeAtEnd(t, s)
	var damage *IntegrityError
	is.True(errors.As(s.DamageCause, &damage))
	is.Equal(s.DamageCause.Error(), "read database (peer "+path+"): check database: "+damage.Report)
	_, ok := s.Get("item/0000")
	is.True(!ok)
}

// A database whose records fail the check is set aside as a damaged one is.
func TestOpenChecked_FailedCheckSetsDatabaseAside(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	check := func(d *Database) error {
		if raw, ok := d.Get("item/policy"); ok && string(raw) == "damaged" {
			return errors.New("it is damaged")
		}
		return nil
	}
	s, err := OpenChecked(dir, check)
	is.NoErr(err)
	is.Equal(s.SetAsidePath, "")
	store := s.StoreID
	is.NoErr(s.Write([]event.Record{{Key: "item/policy", Value: []byte("damaged")}}))
	is.NoErr(s.Close())
	s, err = OpenChecked(dir, check)
	is.NoErr(err)
	closeAtEnd(t, s)
	is.True(s.StoreID != store)
	is.Equal(s.DamageCause.Error(), "it is damaged")
	_, ok := s.Get("item/policy")
	is.True(!ok)
	_, err = os.Stat(s.SetAsidePath)
	is.NoErr(err)
}

// Idempotency records age by uptime, and are deleted in batches of the given limit.
func TestPrune_DeletesExpiredRecordsInBatches(t *testing.T) {
	is := is.New(t)
	s, err := Open(t.TempDir())
	is.NoErr(err)
	closeAtEnd(t, s)
	is.NoErr(s.Write([]event.Record{{Key: "item/mark/r/1", Value: []byte("x")}, {Key: "item/mark/r/2", Value: []byte("x")}, {Key: "item/policy", Value: []byte("x")}}))
	n, err := s.Prune(time.Hour, 10)
	is.NoErr(err)
	is.Equal(n, int64(0))
	s.earlierUptimeMillis += 2 * time.Hour.Milliseconds()
	n, err = s.Prune(time.Hour, 1)
	is.NoErr(err)
	is.Equal(n, int64(1))
	n, err = s.Prune(time.Hour, 10)
	is.NoErr(err)
	is.Equal(n, int64(1))
	_, ok := s.Get("item/policy")
	is.True(ok) // configuration never ages
}

// In thirty hours of uptime with restarts, records younger than the retention of a
// day are always there, and older ones are deleted.
func TestPrune_KeepsYoungRecordsOverRestarts(t *testing.T) {
	is := is.New(t)
	const retention, step = 24 * time.Hour, 10 * time.Minute
	dir, now := t.TempDir(), time.Duration(0)
	clock := func() time.Duration { return now }
	s, err := openWithClock(dir, clock, nil)
	is.NoErr(err)
	key := func(i int) ids.RegisterKey { return ids.RegisterKey(fmt.Sprintf("item/mark/r/%03d", i)) }
	pruned := 0
	for i := range 180 {
		is.NoErr(s.Write([]event.Record{{Key: key(i), Value: []byte("claimed")}}))
		is.NoErr(s.Write([]event.Record{{Key: key(i), Value: []byte("over")}}))
		now += step
		n, err := s.Prune(retention, 512)
		is.NoErr(err)
		pruned += int(n)
		if i%17 == 0 {
			// Another run, whose clock has another origin.
			is.NoErr(s.Close())
			now = time.Duration(i%3) * 1000 * time.Hour
			s, err = openWithClock(dir, clock, nil)
			is.NoErr(err)
		}
		for k := range i + 1 {
			if _, ok := s.Get(key(k)); !ok && time.Duration(i+1-k)*step < retention {
				t.Fatalf("record %d is gone after %s", k, time.Duration(i+1-k)*step)
			}
		}
	}
	is.True(pruned > 30) // the records of the first hours
	is.NoErr(s.Close())
}

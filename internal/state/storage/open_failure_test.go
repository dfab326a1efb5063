package storage

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
)

// TestOpen_FailureThatPassesKeepsDatabase has the disk refuse a new file while a sound database
// is opened, as a full disk does. Nothing shows that its records are damaged, so they are still
// there when the disk is well again.
func TestOpen_FailureThatPassesKeepsDatabase(t *testing.T) {
	for _, suffix := range []string{"-wal", "-journal"} {
		t.Run(suffix, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			database, err := Open(dir)
			is.NoErr(err)
			store := database.StoreID
			is.NoErr(database.Write([]event.Record{{Key: "item/a", Value: []byte("1")}}))
			is.NoErr(database.Close())

			// SQLite can't make its own file of this name.
			obstacle := filepath.Join(dir, databaseFile+suffix)
			is.NoErr(os.Mkdir(obstacle, 0o755))
			if database, err := Open(dir); err == nil {
				t.Errorf("a database was opened: store %d, not %d; the old one was set aside as %q for %v", database.StoreID, store, database.SetAsidePath, database.DamageCause)
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

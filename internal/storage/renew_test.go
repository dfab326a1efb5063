package storage

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/event"
)

// A database that was set aside for a blank one leaves nothing behind in it, not
// even its store's id; one copy of it is kept.
func TestRenew(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	old, err := Open(dir)
	is.NoErr(err)
	for range 2 {
		is.NoErr(old.Write([]event.Record{{Key: "item/a", Value: []byte("1")}}))
		fresh, err := old.Renew()
		is.NoErr(err)
		_, have := fresh.Get("item/a")
		is.True(!have)
		is.True(fresh.Store != old.Store)
		old = fresh
	}
	is.NoErr(old.Close())
	kept, err := filepath.Glob(filepath.Join(dir, "*.replaced"))
	is.NoErr(err)
	is.Equal(len(kept), 1)
	_, err = os.Stat(filepath.Join(dir, databaseName))
	is.NoErr(err)
}

package store

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/storage"
)

// openFirstFormatDirectory opens a copy of a data directory in format 1, written by commit c308b67.
// It holds a voter set of three stores, and revision 5 of a configuration in which the
// services svc1 and svc3 were created and svc2 was removed.
func openFirstFormatDirectory(t *testing.T) *storage.Database {
	t.Helper()
	is := is.New(t)
	raw, err := os.ReadFile(filepath.Join("testdata", "first-format", "stockroom.db"))
	is.NoErr(err)
	directory := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(directory, "stockroom.db"), raw, 0o600))
	database, err := storage.Open(directory)
	is.NoErr(err)
	t.Cleanup(func() {
		if err := database.Close(); err != nil {
			t.Error(err)
		}
	})
	return database
}

// A store that starts on a data directory of the first format must keep its ID, the voter set
// and the configuration.
func TestNew_ReadsDataDirectoryOfFirstFormat(t *testing.T) {
	is := is.New(t)
	database := openFirstFormatDirectory(t)
	is.Equal(database.SetAsidePath, "")
	self := membership.Member{ID: "store-1", Address: "127.0.0.1:1"}
	s := New(Options{
		Options: membership.Options{Self: self}, StoreID: database.StoreID, RunNumber: database.RunNumber,
		Random: rand.New(rand.NewPCG(1, 1)), Storage: database, Replicas: 3,
	})
	is.Equal(len(s.VoterSet().Voters), 3)
	is.True(s.VoterSet().HasVoter(database.StoreID))
	p, err := configuration.Decode(s.LocalValue(configuration.Key))
	is.NoErr(err)
	is.Equal(p.Revision, ids.Revision(5))
	view := p.View()
	_, first := view.Services["svc1"]
	_, removed := view.Services["svc2"]
	is.True(first)
	is.True(!removed)
}

package compat

import (
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/store"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/storage"
)

// writeFolder is the path of a data folder to write. The committed folder was written by commit
// 1724ad4 and must not be rewritten: a later format gets a folder of its own.
var writeFolder = flag.String("write-folder", "", "write a data folder with the current code to this path, which must not exist")

const (
	committedFolder = "testdata/folder-1724ad4"
	databaseName    = "stockroom.db"
	contentName     = "content.txt"
)

// readFolder returns the contents of a data folder, as a store reads them.
func readFolder(t *testing.T, disk *storage.Database) map[string]string {
	t.Helper()
	is := is.New(t)
	is.NoErr(consensus.CheckDisk(disk))
	s := store.New(store.Options{
		Options:  membership.Options{Self: membership.Member{ID: "store-1", Address: "127.0.0.1:1"}},
		Replicas: 3, StoreID: disk.StoreID, RunNumber: disk.RunNumber, Storage: disk,
	})
	set := s.VoterSet()
	got := map[string]string{
		"store":    fmt.Sprintf("%x", disk.StoreID),
		"standing": fmt.Sprint(uint8(s.DiskState())),
		"voters":   fmt.Sprintf("number %d loss %d", set.Number, set.LossCount),
		"policy":   string(s.LocalValue(configuration.Key)),
	}
	for i, v := range set.Voters {
		got[fmt.Sprintf("voter %d", i)] = fmt.Sprintf("%x at %s", v.ID, v.Address)
	}
	for _, o := range sampleRegisterOperations(t) {
		got["value "+string(o.key)] = hex.EncodeToString(s.LocalValue(o.key))
	}
	for after := ids.RegisterKey(""); ; {
		list := disk.Scan(after, 1)
		if len(list) == 0 {
			break
		}
		after = list[0].Key
		got["record "+string(after)] = hex.EncodeToString(list[0].Value)
	}
	for _, key := range []ids.RegisterKey{"meta/store", "meta/roster", "meta/standing", "meta/founding", "meta/roll"} {
		raw, ok := disk.Get(key)
		is.True(ok)
		got["record "+string(key)] = hex.EncodeToString(raw)
	}
	return got
}

// TestWriteFolder writes a data folder with the current code: that of a store bootstrapped with two
// others, after all sample operations. With -write-folder it keeps the folder.
func TestWriteFolder(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	if *writeFolder != "" {
		is.NoErr(os.Mkdir(*writeFolder, 0o750))
		folder = *writeFolder
	}
	c := newCluster(t, folder)
	c.run(t, func() bool { return c.stores[storeAddresses[0]].MayVote() })
	for _, o := range append(sampleConfigurationOperations(), sampleRegisterOperations(t)...) {
		c.execute(t, o)
	}
	c.close(t)
	disk, err := storage.Open(folder)
	is.NoErr(err)
	got := readFolder(t, disk)
	is.NoErr(disk.Close())
	is.True(got["record diff/policy/00000000"] != "")
	if *writeFolder != "" {
		is.NoErr(os.Remove(filepath.Join(folder, "lock")))
		writeGolden(t, filepath.Join(folder, contentName), got)
	}
}

// TestStore_ReadsFolderOf1724ad4 checks that a store reads everything in the data folder that commit
// 1724ad4 wrote.
func TestStore_ReadsFolderOf1724ad4(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile(filepath.Join(committedFolder, databaseName))
	is.NoErr(err)
	folder := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(folder, databaseName), raw, 0o600))
	disk, err := storage.Open(folder)
	is.NoErr(err)
	defer func() { is.NoErr(disk.Close()) }()
	is.Equal(disk.SetAsidePath, "")
	got := readFolder(t, disk)
	want := readGolden(t, filepath.Join(committedFolder, contentName))
	is.Equal(len(got), len(want))
	for name, text := range want {
		if got[name] != text {
			t.Errorf("%s:\n got %s\nwant %s", name, got[name], text)
		}
	}
	p, err := configuration.Decode([]byte(got["policy"]))
	is.NoErr(err)
	is.Equal(p.Revision, ids.Revision(8))
	is.Equal(string(p.Services["ledger"].Body), `{"tier":8,"capacity":40}`)
	is.Equal(len(p.RejectedResults), 1)
}

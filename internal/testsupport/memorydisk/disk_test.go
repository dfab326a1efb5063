package memorydisk

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/storage"
)

// TestDisk_MatchesStorage checks that a Disk returns the same records as package storage after the
// same writes.
func TestDisk_MatchesStorage(t *testing.T) {
	is := is.New(t)
	real, err := storage.Open(t.TempDir())
	is.NoErr(err)
	defer func() { is.NoErr(real.Close()) }()
	inMemory := Disk{}
	for _, records := range [][]event.Record{
		{{Key: "item/a", Value: []byte("1")}, {Key: "item/b", Value: []byte("2")}, {Key: "diff/a/1", Value: []byte("3")}},
		{{Key: "item/a", Value: []byte("4")}, {Key: "item/b", Delete: true}, {Key: "roster/x", Value: []byte("5")}},
		{{Key: "item/mark/r/1", Value: []byte("6")}, {Key: "none", Delete: true}},
	} {
		is.NoErr(real.Write(records))
		inMemory.Write(records)
		for _, key := range []ids.RegisterKey{"item/a", "item/b", "diff/a/1", "roster/x", "none"} {
			value, ok := inMemory.Get(key)
			realValue, realOK := real.Get(key)
			is.Equal(string(value), string(realValue))
			is.Equal(ok, realOK)
		}
		for _, after := range []ids.RegisterKey{"", "diff/", "item/", "item/a", "item/z"} {
			for _, limit := range []int{1, 10} {
				is.Equal(fmt.Sprint(inMemory.Scan(after, limit)), fmt.Sprint(real.Scan(after, limit)))
			}
		}
	}
}

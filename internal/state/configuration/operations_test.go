package configuration

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

// The change function returns the same bytes if nothing changes, and no response if the
// request can't be decoded.
func TestOpMerge_LeavesValueUnchangedUnlessNewer(t *testing.T) {
	is := is.New(t)
	arg, _ := json.Marshal(mergeOf(versionedService("wader", 5)))
	first, response := runOpMerge(Key, nil, arg)
	var res Result
	is.NoErr(json.Unmarshal(response, &res))
	is.True(res.Accepted())
	second, response := runOpMerge(Key, first, arg)
	is.Equal(string(second), string(first))
	is.NoErr(json.Unmarshal(response, &res))
	is.True(res.Accepted())
	same, response := runOpMerge(Key, first, []byte(`{`))
	is.Equal(string(same), string(first))
	is.Equal(response, nil)
	invalid, _ := json.Marshal(mergeOf(versionedRoute("mud", "nobody", 1)))
	same, response = runOpMerge(Key, first, invalid)
	is.Equal(string(same), string(first))
	res = Result{}
	is.NoErr(json.Unmarshal(response, &res))
	is.Equal(len(res.Violations), 1)
}

// A change function with a cached document returns the same result as one without.
func TestOps_CacheDoesNotChangeResults(t *testing.T) {
	is := is.New(t)
	ops := Ops()
	var value []byte
	for i := range 40 {
		items := []VersionedItem{versionedService("wader", 1), versionedRoute(fmt.Sprint("r", i%7), "wader", ids.Revision(i))}
		if i%5 == 4 {
			items[1].Removed, items[1].Body = true, nil
		}
		if i%11 == 10 {
			items[1] = versionedRoute("r1", "nobody", 99)
		}
		arg, _ := json.Marshal(mergeOf(items...))
		wantValue, wantResponse := runOpMerge(Key, value, arg)
		for range 2 {
			newValue, response := ops[OpMerge](Key, value, arg)
			is.Equal(string(newValue), string(wantValue))
			is.Equal(string(response), string(wantResponse))
		}
		value = wantValue
		if i%9 == 8 {
			// Another proposer changes the value in between.
			other, _ := json.Marshal(mergeOf(versionedService(fmt.Sprint("s", i), 1)))
			value, _ = runOpMerge(Key, value, other)
		}
	}
}

package configuration

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// Two encodings of the same JSON value are the same content; different values aren't.
func TestMerge_ComparesCanonicalJSON(t *testing.T) {
	is := is.New(t)
	withSource := func(source string) VersionedItem {
		item := versionedService("wader", 3)
		item.Source = json.RawMessage(source)
		return item
	}
	d, _ := emptyDocument(t).Merge(mergeOf(withSource(`{"a":"\u00e4<","n":4.0,"list":[1,2],"big":9007199254740993}`)))
	d = reencoded(t, d)
	next, res := d.Merge(mergeOf(withSource(`{ "list":[1, 2], "big":9007199254740993, "n":4, "a":"ä\u003c" }`)))
	is.True(res.Accepted())
	is.True(next == d)
	for _, other := range []string{
		`{"a":"ä<","n":4,"list":[2,1],"big":9007199254740993}`,
		`{"a":"ä<","n":4,"list":[1,2],"big":9007199254740992}`,
		`{"a":"ä<","n":"4","list":[1,2],"big":9007199254740993}`,
		`{"a":"ä<","n":4,"list":[1,2]}`,
	} {
		_, res = d.Merge(mergeOf(withSource(other)))
		is.Equal(len(res.ReuseConflicts), 1)
	}
}

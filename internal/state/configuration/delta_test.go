package configuration

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

// A difference leads from any earlier revision to just the same configuration, however
// often it comes, and never back.
func TestAdvance_DeltaFromAnyRevisionGivesSameDocument(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 1))
		all := []*Document{emptyDocument(t)}
		for n := range 40 {
			p, name := all[len(all)-1], fmt.Sprint("s", random.IntN(6))
			var q *Document
			switch random.IntN(4) {
			case 0:
				q, _ = p.Merge(mergeOf(versionedService(name, ids.Revision(random.IntN(60)))))
			case 1:
				q, _ = p.Merge(mergeOf(versionedRemoval("service", name, ids.Revision(random.IntN(60)))))
			case 2:
				q, _ = applyChange(t, p, fmt.Sprint("c", n), fmt.Sprintf(`{"kind":"service","name":%q,"put":{"tier":%d}}`, name, random.IntN(9)))
			case 3:
				q, _ = applyChange(t, p, fmt.Sprint("c", n), fmt.Sprintf(`{"kind":"service","name":%q,"remove":true}`, name))
			}
			if q.Revision > p.Revision {
				all = append(all, q)
			}
		}
		last := all[len(all)-1]
		for _, from := range all {
			have, err := Decode(from.Encode(false))
			is.NoErr(err)
			base := all[random.IntN(len(all))]
			got, err := have.Advance(last.ChangesSince(base.Revision))
			is.NoErr(err)
			if from.Revision < base.Revision {
				is.True(got == have) // it builds on what isn't here
				continue
			}
			if from.Revision < last.Revision {
				is.Equal(string(got.Encode(false)), string(last.Encode(false)))
				is.Equal(got.View(), last.View())
			}
			again, err := got.Advance(last.ChangesSince(base.Revision))
			is.NoErr(err)
			is.True(again == got)
			older, err := got.Advance(all[0].Encode(false))
			is.NoErr(err)
			is.True(older == got)
		}
	}
	_, err := emptyDocument(t).Advance([]byte("{"))
	is.True(err != nil)
}

// The register's change function gives the very bytes back where nothing
// changed, and does nothing with words that it can't read.
func TestOpMerge_LeavesValueUnchangedUnlessNewer(t *testing.T) {
	is := is.New(t)
	raw, _ := json.Marshal(mergeOf(versionedService("wader", 5)))
	first, out := mergeOp(Key, nil, raw)
	var r Result
	is.NoErr(json.Unmarshal(out, &r))
	is.True(r.Accepted())
	second, out := mergeOp(Key, first, raw)
	is.Equal(string(second), string(first))
	is.NoErr(json.Unmarshal(out, &r))
	is.True(r.Accepted())
	same, out := mergeOp(Key, first, []byte(`{`))
	is.Equal(string(same), string(first))
	is.Equal(out, nil)
	bad, _ := json.Marshal(mergeOf(versionedRoute("mud", "nobody", 1)))
	same, out = mergeOp(Key, first, bad)
	is.Equal(string(same), string(first))
	r = Result{}
	is.NoErr(json.Unmarshal(out, &r))
	is.Equal(len(r.Violations), 1)
}

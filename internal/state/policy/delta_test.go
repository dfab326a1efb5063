package policy

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

// A difference leads from any earlier revision to just the same policy, however
// often it comes, and never back.
func TestDifferencesLeadToTheSamePolicy(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(30) {
		dice := rand.New(rand.NewPCG(seed, 1))
		all := []*Policy{empty(t)}
		for n := range 40 {
			p, name := all[len(all)-1], fmt.Sprint("s", dice.IntN(6))
			var q *Policy
			switch dice.IntN(4) {
			case 0:
				q, _ = p.Merge(merging(givenService(name, ids.Revision(dice.IntN(60)))))
			case 1:
				q, _ = p.Merge(merging(gone("service", name, ids.Revision(dice.IntN(60)))))
			case 2:
				q, _ = change(t, p, fmt.Sprint("c", n), fmt.Sprintf(`{"kind":"service","name":%q,"put":{"tier":%d}}`, name, dice.IntN(9)))
			case 3:
				q, _ = change(t, p, fmt.Sprint("c", n), fmt.Sprintf(`{"kind":"service","name":%q,"remove":true}`, name))
			}
			if q.Revision > p.Revision {
				all = append(all, q)
			}
		}
		last := all[len(all)-1]
		for _, from := range all {
			have, err := Open(from.Pack(false))
			is.NoErr(err)
			base := all[dice.IntN(len(all))]
			got, err := have.Advance(last.Since(base.Revision))
			is.NoErr(err)
			if from.Revision < base.Revision {
				is.True(got == have) // it builds on what isn't here
				continue
			}
			if from.Revision < last.Revision {
				is.Equal(string(got.Pack(false)), string(last.Pack(false)))
				is.Equal(got.View(), last.View())
			}
			again, err := got.Advance(last.Since(base.Revision))
			is.NoErr(err)
			is.True(again == got)
			older, err := got.Advance(all[0].Pack(false))
			is.NoErr(err)
			is.True(older == got)
		}
	}
	_, err := empty(t).Advance([]byte("{"))
	is.True(err != nil)
}

// The register's change function gives the very bytes back where nothing
// changed, and does nothing with words that it can't read.
func TestTheRegistersMerge(t *testing.T) {
	is := is.New(t)
	raw, _ := json.Marshal(merging(givenService("wader", 5)))
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
	bad, _ := json.Marshal(merging(givenRoute("mud", "nobody", 1)))
	same, out = mergeOp(Key, first, bad)
	is.Equal(string(same), string(first))
	r = Result{}
	is.NoErr(json.Unmarshal(out, &r))
	is.Equal(len(r.Faults), 1)
}

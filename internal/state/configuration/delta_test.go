package configuration

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

// randomHistory returns the successive documents after random operations.
func randomHistory(t *testing.T, random *rand.Rand) []*Document {
	t.Helper()
	documents := []*Document{emptyDocument(t)}
	for n := range 40 {
		d, name := documents[len(documents)-1], fmt.Sprint("s", random.IntN(6))
		var next *Document
		switch random.IntN(4) {
		case 0:
			next, _ = d.Merge(mergeOf(versionedService(name, ids.Revision(random.IntN(60)))))
		case 1:
			next, _ = d.Merge(mergeOf(versionedRemoval("service", name, ids.Revision(random.IntN(60)))))
		case 2:
			next, _ = applyChange(t, d, fmt.Sprint("c", n), fmt.Sprintf(`{"kind":"service","name":%q,"put":{"tier":%d}}`, name, random.IntN(9)))
		case 3:
			next, _ = applyChange(t, d, fmt.Sprint("c", n), fmt.Sprintf(`{"kind":"service","name":%q,"remove":true}`, name))
		}
		if next.Revision > d.Revision {
			documents = append(documents, next)
		}
	}
	return documents
}

// A delta produces the same document from its base and from any later revision. Applying it
// again, or applying an older document, changes nothing.
func TestAdvance_DeltaFromAnyRevisionProducesSameDocument(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 1))
		documents := randomHistory(t, random)
		last := documents[len(documents)-1]
		for _, from := range documents {
			received, err := Decode(from.Encode(false))
			is.NoErr(err)
			base := documents[random.IntN(len(documents))]
			advanced, err := received.Advance(last.ChangesSince(base.Revision))
			is.NoErr(err)
			if from.Revision < base.Revision {
				is.True(advanced == received) // the delta's base is later than this document
				continue
			}
			if from.Revision < last.Revision {
				is.Equal(string(advanced.Encode(false)), string(last.Encode(false)))
				is.Equal(advanced.View(), last.View())
			}
			again, err := advanced.Advance(last.ChangesSince(base.Revision))
			is.NoErr(err)
			is.True(again == advanced)
			older, err := advanced.Advance(documents[0].Encode(false))
			is.NoErr(err)
			is.True(older == advanced)
		}
	}
	_, err := emptyDocument(t).Advance([]byte("{"))
	is.True(err != nil)
}

package election

import (
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// mustAcquire applies an acquisition to a register's value and returns the next value. It
// fails the test if the result for the candidate differs from it.
func mustAcquire(t *testing.T, old []byte, candidate Term) []byte {
	t.Helper()
	arg, err := wire.Encode(candidate)
	if err != nil {
		t.Fatal(err)
	}
	next, result := acquire("", old, arg)
	if string(next) != string(result) {
		t.Fatal("the result differs from the stored value")
	}
	return next
}

func epochOf(raw []byte) ids.Epoch {
	term, _ := DecodeTerm(raw)
	return term.Epoch
}

// Each acquisition raises the epoch, and a duplicate does not. A register that was lost starts
// above the epoch that the candidate has seen; otherwise receivers would reject the new term.
func TestAcquire_EpochsOnlyRise(t *testing.T) {
	is := is.New(t)
	first := mustAcquire(t, nil, Term{Holder: "f1", RunID: 1})
	is.Equal(epochOf(first), ids.Epoch(1))
	is.Equal(epochOf(mustAcquire(t, first, Term{Holder: "f1", RunID: 1})), ids.Epoch(1))
	second := mustAcquire(t, first, Term{Holder: "f1", RunID: 2}) // another run
	is.Equal(epochOf(second), ids.Epoch(2))
	is.Equal(epochOf(mustAcquire(t, second, Term{Holder: "f2", RunID: 9})), ids.Epoch(3))
	is.Equal(epochOf(mustAcquire(t, nil, Term{Holder: "f2", RunID: 9, Epoch: 7})), ids.Epoch(8))
}

// A run that acquires the role again must get a new epoch, above any that it has seen.
// Otherwise messages of its earlier term would be accepted, or all its messages rejected.
func TestAcquire_SameRunGetsNewEpoch(t *testing.T) {
	is := is.New(t)
	first := mustAcquire(t, nil, Term{Holder: "f1", RunID: 1})
	reacquired := mustAcquire(t, first, Term{Holder: "f1", RunID: 1, Epoch: 1})
	is.Equal(epochOf(reacquired), ids.Epoch(2))
	duplicate := mustAcquire(t, reacquired, Term{Holder: "f1", RunID: 1, Epoch: 1})
	is.Equal(epochOf(duplicate), ids.Epoch(2))
	sawHigher := mustAcquire(t, reacquired, Term{Holder: "f1", RunID: 1, Epoch: 5})
	is.Equal(epochOf(sawHigher), ids.Epoch(6))
}

package election

import (
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// mustAcquire applies an acquisition to a register's value and returns the next value,
// which must be the result for the candidate as well.
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

// Each acquisition raises the epoch, and a copy of it does not. A register that was lost
// continues above what its candidate remembers, or everybody would reject it.
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

// A run that gave the role up acquires it again under a new epoch. It used to get the same
// one, so that its plans from before were taken for those from after; and a run that had
// met a higher epoch went on under its old one, which all others rejected.
func TestAcquire_SameRunGetsNewEpoch(t *testing.T) {
	is := is.New(t)
	first := mustAcquire(t, nil, Term{Holder: "f1", RunID: 1})
	again := mustAcquire(t, first, Term{Holder: "f1", RunID: 1, Epoch: 1})
	is.Equal(epochOf(again), ids.Epoch(2))
	duplicate := mustAcquire(t, again, Term{Holder: "f1", RunID: 1, Epoch: 1})
	is.Equal(epochOf(duplicate), ids.Epoch(2))
	metHigher := mustAcquire(t, again, Term{Holder: "f1", RunID: 1, Epoch: 5})
	is.Equal(epochOf(metHigher), ids.Epoch(6))
}

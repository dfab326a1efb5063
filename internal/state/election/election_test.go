package election

import (
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

func taken(t *testing.T, old []byte, h Term) []byte {
	t.Helper()
	arg, err := wire.Encode(h)
	if err != nil {
		t.Fatal(err)
	}
	next, out := acquire("", old, arg)
	if string(next) != string(out) {
		t.Fatal("told something else than was kept")
	}
	return next
}

func epoch(raw []byte) ids.Epoch { h, _ := DecodeTerm(raw); return h.Epoch }

// Each taking raises the epoch, and asking again does not. A register that was
// lost goes on above what its taker remembers, or everybody would reject it.
func TestEpochsOnlyRise(t *testing.T) {
	is := is.New(t)
	a := taken(t, nil, Term{Holder: "f1", RunID: 1})
	is.Equal(epoch(a), ids.Epoch(1))
	is.Equal(epoch(taken(t, a, Term{Holder: "f1", RunID: 1})), ids.Epoch(1))
	b := taken(t, a, Term{Holder: "f1", RunID: 2}) // another run
	is.Equal(epoch(b), ids.Epoch(2))
	is.Equal(epoch(taken(t, b, Term{Holder: "f2", RunID: 9})), ids.Epoch(3))
	is.Equal(epoch(taken(t, nil, Term{Holder: "f2", RunID: 9, Epoch: 7})), ids.Epoch(8))
}

// A run that gave the duty up takes it again under a new epoch. It used to get
// the same one, so that nothing told its plans of before from those of after; and
// one that had heard of a higher epoch went on under its old one, which all the
// others rejected.
func TestARunThatTakesTheDutyAgainHasANewEpoch(t *testing.T) {
	is := is.New(t)
	first := taken(t, nil, Term{Holder: "f1", RunID: 1})
	again := taken(t, first, Term{Holder: "f1", RunID: 1, Epoch: 1})
	is.Equal(epoch(again), ids.Epoch(2))
	is.Equal(epoch(taken(t, again, Term{Holder: "f1", RunID: 1, Epoch: 1})), ids.Epoch(2)) // a copy of that asking
	is.Equal(epoch(taken(t, again, Term{Holder: "f1", RunID: 1, Epoch: 5})), ids.Epoch(6)) // another was heard of
}

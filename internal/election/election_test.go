package election

import (
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/ids"
	"dunlinwell/internal/wire"
)

func taken(t *testing.T, old []byte, h Term) []byte {
	t.Helper()
	arg, err := wire.Encode(h)
	if err != nil {
		t.Fatal(err)
	}
	next, out := take("", old, arg)
	if string(next) != string(out) {
		t.Fatal("told something else than was kept")
	}
	return next
}

func epoch(raw []byte) ids.Epoch { h, _ := Open(raw); return h.Epoch }

// Each taking raises the epoch, and asking again does not. A register that was
// lost goes on above what its taker remembers, or everybody would decline it.
func TestEpochsOnlyRise(t *testing.T) {
	is := is.New(t)
	a := taken(t, nil, Term{Holder: "f1", Start: 1})
	is.Equal(epoch(a), ids.Epoch(1))
	is.Equal(epoch(taken(t, a, Term{Holder: "f1", Start: 1})), ids.Epoch(1))
	b := taken(t, a, Term{Holder: "f1", Start: 2}) // another run
	is.Equal(epoch(b), ids.Epoch(2))
	is.Equal(epoch(taken(t, b, Term{Holder: "f2", Start: 9})), ids.Epoch(3))
	is.Equal(epoch(taken(t, nil, Term{Holder: "f2", Start: 9, Epoch: 7})), ids.Epoch(8))
}

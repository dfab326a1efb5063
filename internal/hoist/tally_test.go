package hoist

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/parcel"
	"dunlinwell/internal/ticket"
)

type note struct{ Text string }

var _ = parcel.Register(65001, note{})

// What one post counts as sent, the other counts as received, byte for byte.
func TestTallyOfBothEndsAgrees(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	got := make(chan any, 8)
	a, b := &Post{Address: "127.0.0.1:0", Tally: &Tally{}, Log: NewLog("error", "a")}, &Post{Address: "127.0.0.1:0", Tally: &Tally{}, Log: NewLog("error", "b")}
	for _, p := range []*Post{a, b} {
		l, err := p.Listen()
		is.NoErr(err)
		p.Address = ticket.Address(l.Addr().String())
		p.Deliver = func(_ ticket.Address, msg any) { got <- msg }
		go func() { _ = p.Serve(ctx, l) }()
	}
	raw, err := parcel.Pack(note{"hello"})
	is.NoErr(err)
	// A post sends nothing before it serves.
	for heard := false; !heard; {
		a.Send(b.Address, note{"hello"})
		select {
		case m := <-got:
			is.Equal(m, note{"hello"})
			heard = true
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			t.Fatal("nothing arrived")
		}
	}
	var sent, received Flow
	for ctx.Err() == nil && (sent.Messages == 0 || sent != received) {
		sent, received = find(a.Tally, Sent), find(b.Tally, Received)
	}
	is.Equal(sent, received)
	is.Equal(sent.Bytes, sent.Messages*uint64(len(raw)))
}

func find(t *Tally, w Way) Flow {
	for _, f := range t.Flows() {
		if f.Way == w && f.Kind == "hoist.note" {
			f.Way = ""
			return f
		}
	}
	return Flow{}
}

func TestNilTallyCountsNothing(t *testing.T) {
	var none *Tally
	none.count(Sent, 1, 10)
}

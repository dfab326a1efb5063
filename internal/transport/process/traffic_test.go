package process

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

type textMessage struct{ Text string }

var _ = wire.Register(65001, textMessage{})

// What one post counts as sent, the other counts as received, byte for byte.
func TestTrafficStats_SenderAndReceiverAgree(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	got := make(chan any, 8)
	a, b := &Transport{Address: "127.0.0.1:0", Stats: &TrafficStats{}, Log: NewLog("error", "a")}, &Transport{Address: "127.0.0.1:0", Stats: &TrafficStats{}, Log: NewLog("error", "b")}
	for _, p := range []*Transport{a, b} {
		l, err := p.Listen()
		is.NoErr(err)
		p.Address = ids.Address(l.Addr().String())
		p.Deliver = func(_ ids.Address, msg any) { got <- msg }
		go func() { _ = p.Serve(ctx, l) }()
	}
	raw, err := wire.Encode(textMessage{"hello"})
	is.NoErr(err)
	// A post sends nothing before it serves.
	for heard := false; !heard; {
		a.Send(b.Address, textMessage{"hello"})
		select {
		case m := <-got:
			is.Equal(m, textMessage{"hello"})
			heard = true
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			t.Fatal("nothing arrived")
		}
	}
	var sent, received Traffic
	for ctx.Err() == nil && (sent.Messages == 0 || sent != received) {
		sent, received = findTraffic(a.Stats, Sent), findTraffic(b.Stats, Received)
	}
	is.Equal(sent, received)
	is.Equal(sent.Bytes, sent.Messages*uint64(len(raw)))
}

func findTraffic(t *TrafficStats, w Direction) Traffic {
	for _, f := range t.Snapshot() {
		if f.Direction == w && f.Kind == "hoist.note" {
			f.Direction = ""
			return f
		}
	}
	return Traffic{}
}

func TestTrafficStats_NilCountsNothing(t *testing.T) {
	var none *TrafficStats
	none.count(Sent, 1, 10)
}

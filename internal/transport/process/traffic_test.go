package process

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// The sender's count of sent messages and bytes must equal the receiver's count.
func TestTrafficStats_SenderAndReceiverAgree(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	delivered := make(chan any, 8)
	sender := &Transport{Stats: &TrafficStats{}, Log: NewLog("error", "a")}
	receiver := &Transport{Stats: &TrafficStats{}, Log: NewLog("error", "b"), Deliver: func(_ ids.Address, msg any) { delivered <- msg }}
	serve(t, sender)
	serve(t, receiver)
	// Messages are dropped until the sender's Serve has started.
	for arrived := false; !arrived; {
		sender.Send(receiver.Address, textMessage{"hello"})
		select {
		case m := <-delivered:
			is.Equal(m, textMessage{"hello"})
			arrived = true
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			t.Fatal("no message arrived")
		}
	}
	var sent, received Traffic
	for ctx.Err() == nil && (sent.Messages == 0 || sent != received) {
		sent, received = textTraffic(sender.Stats, Sent), textTraffic(receiver.Stats, Received)
	}
	is.True(sent.Messages > 0)
	is.Equal(sent, received)
	is.Equal(sent.Bytes, sent.Messages*uint64(len(encodeFrame(t, textMessage{"hello"}))))
}

// textTraffic returns the counts of textMessage in a direction, with Direction cleared.
func textTraffic(stats *TrafficStats, direction Direction) Traffic {
	for _, traffic := range stats.Snapshot() {
		if traffic.Direction == direction && traffic.Kind == wire.KindOfMessage(textMessage{}).Name() {
			traffic.Direction = ""
			return traffic
		}
	}
	return Traffic{}
}

func TestTrafficStats_NilCountsNothing(_ *testing.T) {
	var none *TrafficStats
	none.count(Sent, 1, 10)
}

// Only bytes sent since the last call must be returned, the largest kinds first.
func TestSentSince(t *testing.T) {
	is := is.New(t)
	logged := map[string]uint64{"a": 10}
	counts := []Traffic{
		{Direction: Sent, Kind: "a", Bytes: 15},
		{Direction: Sent, Kind: "b", Bytes: 7},
		{Direction: Sent, Kind: "c", Bytes: 7},
		{Direction: Sent, Kind: "d", Bytes: 1},
		{Direction: Sent, Kind: "e", Bytes: 2},
		{Direction: Sent, Kind: "f", Bytes: 3},
		{Direction: Received, Kind: "b", Bytes: 100},
	}
	total, largest := sentSince(logged, counts)
	is.Equal(total, uint64(25))
	is.Equal(largest, []string{"b:7", "c:7", "a:5", "f:3", "e:2"})
	total, largest = sentSince(logged, counts[:1])
	is.Equal(total, uint64(0))
	is.Equal(largest, []string{"a:0"})
}

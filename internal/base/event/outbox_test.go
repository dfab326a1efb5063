package event

import (
	"testing"

	"github.com/matryer/is"
)

func TestOutbox_DrainReturnsCommandsInOrderOnce(t *testing.T) {
	is := is.New(t)
	var o Outbox
	o.Send("10.0.0.1:1", "message")
	o.Log(LevelWarn, "lease_expired", "key", "value")
	o.Discard("10.0.0.2:1", Malformed, "message")
	o.Emit(Sync{Batch: 1})
	is.Equal(o.Drain(), []Command{
		Send{To: "10.0.0.1:1", Message: "message"},
		LogEntry{Level: LevelWarn, Event: "lease_expired", Fields: []string{"key", "value"}},
		Discarded{From: "10.0.0.2:1", Reason: Malformed, Message: "message"},
		Sync{Batch: 1},
	})
	is.Equal(len(o.Drain()), 0)
}

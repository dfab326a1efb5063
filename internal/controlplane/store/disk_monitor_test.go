package store

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
)

// loggedEvents returns the events of the log entries in a step's commands.
func loggedEvents(commands []event.Command) []event.LogEvent {
	var events []event.LogEvent
	for _, c := range commands {
		if entry, ok := c.(event.LogEntry); ok {
			events = append(events, entry.Event)
		}
	}
	return events
}

func TestDiskMonitor_StallBeginsAfterTimeout(t *testing.T) {
	is := is.New(t)
	var d diskMonitor
	d.addPending(testTime, []event.Command{event.Sync{Batch: 1}, event.Send{}, event.Sync{Batch: 2}})
	is.True(!d.isOverdue(testTime.Add(diskStallTimeout)))
	is.True(d.isOverdue(testTime.Add(diskStallTimeout + 1)))
	d.removeSynced(1)
	is.True(d.isOverdue(testTime.Add(diskStallTimeout + 1))) // the second batch is still pending
	d.removeSynced(2)
	is.True(!d.isOverdue(testTime.Add(time.Hour)))
}

// A voter with a stalled disk logs the stall once, ignores proposals and rejects requests. It
// logs the recovery once all batches are synced.
func TestStep_StalledDiskRejectsRequests(t *testing.T) {
	is := is.New(t)
	s, _ := newVoter()
	prepare := consensus.Prepare{Key: "policy", Ballot: ids.Ballot{Counter: 1 << 41, Proposer: 2 << 24}, VoterSetNumber: 4, Round: 7}
	batch := uint64(0)
	for _, c := range s.Step(testTime, event.Received{From: "10.0.0.2:1", Message: prepare}) {
		if sync, ok := c.(event.Sync); ok {
			batch = sync.Batch
		}
	}
	is.True(batch > 0)

	later := testTime.Add(2 * diskStallTimeout)
	is.Equal(loggedEvents(s.Step(later, event.Tick{})), []event.LogEvent{logDiskStalled})
	is.Equal(len(loggedEvents(s.Step(later, event.Tick{}))), 0)
	prepare.Round++
	is.Equal(len(s.Step(later, event.Received{From: "10.0.0.2:1", Message: prepare})), 0)
	request := consensus.Request{ID: 9, Key: "policy", TimeoutMillis: 1000}
	is.Equal(s.Step(later, event.Received{From: clientAddress, Message: request}), []event.Command{
		event.Send{To: clientAddress, Message: consensus.Response{ID: 9, Outcome: consensus.Rejected}},
	})

	s.Step(later, event.Synced{Batch: batch + 1000})
	is.Equal(loggedEvents(s.Step(later, event.Tick{})), []event.LogEvent{logDiskRecovered})
}

package event

import "dunlinwell/internal/base/ids"

// Event is an input of a state machine: a Tick, Received, Synced, or an event type of the
// state machine's package.
type Event = any

// Command is an output of a state machine: a Send, Sync, LogEntry, Discarded, or a command
// type of the state machine's package.
type Command = any

// StateMachine is a deterministic state machine.
type StateMachine interface {
	// Step applies an event and returns the commands to execute, in order. The time must
	// not decrease between calls.
	Step(now ids.Time, ev Event) []Command
}

// Tick is the event of the event loop's periodic timer.
type Tick struct{}

// Received is the event of a message received from a peer.
type Received struct {
	From    ids.Address
	Message any
}

// Synced is the event of a completed Sync: the batch and all earlier ones are on disk.
type Synced struct{ Batch uint64 }

package event

import "dunlinwell/internal/base/ids"

// Event is an input of a machine: a Tick, a Received message, a Synced batch or a
// call type of the machine's own package.
type Event = any

// Command is an output of a machine: a Send, a Sync, a LogEntry, a Discarded or a
// command type of the machine's own package.
type Command = any

// Machine is a pure state machine.
type Machine interface {
	// Step applies one event at a time that never goes back, and gives the commands
	// to execute, in their order.
	Step(now ids.Time, ev Event) []Command
}

// Tick is the event of the owner's periodic timer.
type Tick struct{}

// Received is the event of a message that arrived from a peer.
type Received struct {
	From    ids.Address
	Message any
}

// Synced is the event of a completed Sync: this batch and all earlier ones are on
// disk.
type Synced struct{ Batch uint64 }

// Package works is how every process of ours works: events come to an owner,
// a pure machine answers each with commands, and the owner carries them out.
package event

import "dunlinwell/internal/base/ids"

// Event is anything that happens to a machine.
type Event = any

// Command is anything that a machine wants done.
type Command = any

// Machine is pure: clock, random, disk and net are handed in, so the simulator
// runs the very code that the daemons run.
type Machine interface {
	Step(now ids.Time, ev Event) []Command
}

// ClockEvent comes every Beat.
type Tick struct{}

// Heard is a message that came from a peer.
type Received struct {
	From ids.Address
	Msg  any
}

// Send asks for a message to be carried to a peer. It may be lost.
type Send struct {
	To  ids.Address
	Msg any
}

// Record is one thing to be kept on disk.
type Record struct {
	Key   ids.RegisterKey
	Value []byte
	// Drop asks for the record to be taken off the disk.
	Delete bool
}

// Settle asks for records to be synced, and only then for the rest to be done.
// An empty list still waits its turn behind what was asked before it.
type Sync struct {
	Batch   uint64
	Records []Record
	After   []Command
}

// Settled tells that the disk has done all up to this turn.
type Synced struct{ Batch uint64 }

// Level is the severity of a log entry.
type Level string

// The levels of a log entry. An error wants somebody to look; a warning says that
// something failed and is dealt with; the rest is for reading afterwards.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// LogEvent names what a log entry is about, in snake case, such as lease_expired.
// Each package lists its own as constants; docs/operators.md says what to do
// about each.
type LogEvent string

// LogEntry asks for a line in the log: its event and key=value pairs, the keys and
// values alternating in Fields.
type LogEntry struct {
	Level  Level
	Event  LogEvent
	Fields []string
}

// Out gathers commands within a step; machines embed it.
type Outbox struct{ commands []Command }

// Do adds a command.
func (o *Outbox) Emit(c Command) { o.commands = append(o.commands, c) }

// Tell adds a Send.
func (o *Outbox) Send(to ids.Address, msg any) { o.Emit(Send{To: to, Msg: msg}) }

// Log adds a LogEntry.
func (o *Outbox) Log(level Level, name LogEvent, fields ...string) {
	o.Emit(LogEntry{Level: level, Event: name, Fields: fields})
}

// Take hands the commands over and starts afresh.
func (o *Outbox) Drain() []Command {
	c := o.commands
	o.commands = nil
	return c
}

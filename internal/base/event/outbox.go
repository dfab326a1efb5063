package event

import "dunlinwell/internal/base/ids"

// Outbox collects the commands of one step. State machines embed it.
type Outbox struct{ commands []Command }

// Emit adds a command.
func (o *Outbox) Emit(c Command) { o.commands = append(o.commands, c) }

// Send adds a Send.
func (o *Outbox) Send(to ids.Address, msg any) { o.Emit(Send{To: to, Message: msg}) }

// Log adds a LogEntry. The fields are alternating keys and values.
func (o *Outbox) Log(level Level, name LogEvent, fields ...string) {
	o.Emit(LogEntry{Level: level, Event: name, Fields: fields})
}

// Discard adds a Discarded.
func (o *Outbox) Discard(from ids.Address, reason Reason, msg any) {
	o.Emit(Discarded{From: from, Reason: reason, Message: msg})
}

// Drain returns the collected commands and empties the outbox.
func (o *Outbox) Drain() []Command {
	commands := o.commands
	o.commands = nil
	return commands
}

// Package event defines the interface between the deterministic state machines and the
// event loops that run them. An event loop (process.EventLoop, or the simulator) passes
// events to a state machine, which returns commands for the event loop to execute.
//
// Invariants: a state machine does no I/O, starts no goroutines and reads neither a clock
// nor a global source of randomness, so the same events always produce the same commands.
// The simulator therefore runs the same code as the daemons. Events and commands are plain
// values; this package never interprets those of other packages.
//
// The state machines are tested in their own packages (controlplane, state, dataplane) and
// in testsupport/simulator.
package event

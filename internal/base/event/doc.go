// Package event is the interface between the pure state machines and the processes
// that drive them. An owner (transport/process, or the simulator) hands events to a
// Machine; the machine answers each with commands, and the owner executes them.
//
// Invariants: a machine does no I/O, starts no goroutine and reads no clock or
// random source of its own, so the same events give the same commands. That is why
// the simulator runs the very code that the daemons run. Events and commands are
// plain values: this package never interprets those of other packages.
//
// The tests stand with the machines (controlplane, state, dataplane) and in
// testsupport/simulator.
package event

// Package process runs the pure state machines in real processes. It has an Owner
// that steps a machine, a Transport that sends and receives the machines' messages
// over TCP, the process's clock, and the log.
//
// Invariants:
//   - one goroutine, the owner's, steps a machine; everything else reaches it through
//     the owner's queue.
//   - a message may be lost, with its connection or in a full queue, but is delivered
//     whole, at most once, and in order along one connection. The machines repeat
//     what must arrive.
//   - input that is malformed, or from a peer that isn't who it says it is, is counted
//     and discarded; it never reaches a machine or ends the process.
//
// The package knows no message but Hello and interprets none. Its tests use real
// connections, or synctest's clock where time is what is tested.
package process

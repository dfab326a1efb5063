// Package process runs the deterministic state machines in daemons. It provides the
// EventLoop that runs a state machine, the Transport that sends and receives its messages
// over TCP, the process's monotonic clock and the log.
//
// Invariants:
//   - A state machine is called by a single goroutine. All other goroutines send it events
//     through a queue.
//   - A message may be lost with its connection or because a queue is full. It is delivered
//     completely, at most once, and in order within a connection. The state machines resend
//     messages where needed.
//   - Input that is malformed, or from a peer at another address than it claims, is counted
//     and discarded. It never reaches a state machine and never terminates the process.
//
// Hello is the only message that the package defines or interprets. The tests use real
// connections, or the fake clock of synctest where they depend on time.
package process

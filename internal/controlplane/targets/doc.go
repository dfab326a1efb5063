// Package targets keeps the table of targets (the service instances that proxies
// send requests to). Each registry and each proxy holds a copy.
//
// The table is soft state: targets announce themselves by heartbeats, entries
// expire when the heartbeats stop, and nothing is stored on disk. Copies merge
// entry by entry and find out by digests whether and where they differ
// (anti-entropy).
//
// Invariants:
//   - An entry is only replaced by one of a higher incarnation, or of a higher
//     sequence number within the same incarnation, or by the declaration that the
//     target is gone (Target.Newer). Merging is therefore independent of the order
//     in which updates arrive.
//   - A target that was declared gone stays gone until it sends a later heartbeat.
//   - Of the targets that share an address, at most the newest incarnation to arrive
//     is usable.
//
// The package does no input or output, reads no clock and starts no goroutine: time
// is handed in by the owner, which also sends what Merge and Tick return. A Table
// isn't safe for concurrent use.
//
// Unit tests are beside the code; the behaviour of whole fleets is tested in
// internal/testsupport/simulator.
package targets

// Package targets maintains the table of targets (the service instances that proxies send requests
// to). Each registry and each proxy has a copy.
//
// The table is soft state: targets announce themselves by heartbeats, entries expire when the
// heartbeats stop, and nothing is stored on disk. Copies are merged entry by entry, and compared
// by digests to find out whether and where they differ (anti-entropy).
//
// Invariants:
//   - An entry is only replaced by one with a higher incarnation, by one with a higher sequence
//     number in the same incarnation, or by a declaration that the target is dead (Target.Newer).
//     Merging is therefore independent of the order in which updates arrive.
//   - A target that was declared dead remains dead until it sends a later heartbeat.
//   - Of the targets that share an address, at most the newest incarnation to arrive is usable.
//
// The package does no I/O, reads no clock and starts no goroutines: the owner passes in the current
// time and sends what Merge and Tick return. A Table isn't safe for concurrent use.
//
// Unit tests are in this directory; whole fleets are tested in internal/testsupport/simulator.
package targets

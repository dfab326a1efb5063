// Package directory answers clients' lookups: the zone that a fresh connection should go
// to, and the addresses of some of its proxies.
//
// A Snapshot holds all that an answer depends on. A zone that takes requests serves its
// own clients, except for the fractions that the spill plan moves elsewhere; the lookups
// of a zone that is drained or has no proxy are shared among the others by free capacity,
// the nearest first.
//
// # Invariants
//
//   - All addresses of an answer are of one zone, which isn't drained and has at least
//     one live, ready proxy with current configuration.
//   - A move to a zone that can't take it is ignored at once, before the next plan.
//
// # What it never does
//
// It does no I/O, keeps no state and doesn't move connections that exist: only new lookups
// are answered by it. The time to live of an answer is package registry's.
//
// # Tests
//
// The tests beside the code draw many lookups and compare the shares; package registry
// tests the answers over HTTP, and the simulator whole fleets.
package directory

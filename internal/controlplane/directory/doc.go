// Package directory resolves clients' lookups to the zone that a new connection should go to,
// and the addresses of some of its proxies.
//
// A Snapshot holds the input of a lookup. An available zone serves its own clients, except for
// the fractions that the spill plan moves to other zones. Lookups from a zone that is drained
// or has no proxy are distributed over the other zones by free capacity, nearest first.
//
// # Invariants
//
//   - All addresses of an answer are of one zone, which isn't drained and has at least
//     one live, ready proxy with current configuration.
//   - A move to an unavailable zone is ignored immediately, without waiting for the next plan.
//
// # What it never does
//
// It does no I/O, keeps no state and doesn't move established connections: it only affects new
// lookups. Package registry sets the time to live of an answer.
//
// # Tests
//
// The tests in this package sample many lookups and check the fraction sent to each zone.
// Package registry tests the answers over HTTP, and the simulator tests whole fleets.
package directory

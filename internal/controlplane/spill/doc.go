// Package spill plans spill-over between zones: the fraction of each route's new connections
// that an overloaded zone moves to other zones. The algorithm follows Cloudflare's Traffic
// Manager, whose published examples are among the tests.
//
// Every few seconds, each proxy sends a Report of its CPU time by route. Reports stores them,
// builds each Zone from the reports of its proxies, and keeps the samples of load and latency
// from which LearnMaximum estimates a zone's maximum load. Plan computes the next moves from
// all zones and the previous moves. Registries distribute the moves as a Table and apply them
// when they answer lookups (package directory).
//
// All CPU times are in milliseconds per second: 1000 is one fully used core.
//
// # Invariants
//
//   - One plan covers all zones and tracks their free capacity in one place, so that several
//     overloaded zones can't overload the same destination together.
//   - The least urgent routes are moved first and recalled last. Among the moved routes, the
//     most urgent get the nearest free capacity.
//   - A zone receives connections of other zones only while none of its own are moved away,
//     its reports are current, and it is below its acceptable level.
//   - The fractions of a route that leave a zone add up to at most 1.
//   - Plans are deterministic: floating-point sums are computed in sorted order.
//
// # What it never does
//
// It doesn't move established connections, decide about single requests, send messages or
// read the clock. Package registry elects the planner, distributes the table, and accounts
// for moves that reports don't show yet.
//
// # Tests
//
// The tests in this package check the published examples and single steps of a plan; the
// simulator's spill scenarios check whole fleets.
package spill

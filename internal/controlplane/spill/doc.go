// Package spill plans spill-over between zones: what fraction of the fresh connections of
// each route an overloaded zone hands to other zones, after Cloudflare's Traffic Manager
// (whose published examples are tests here).
//
// Proxies send a Report of their CPU time by route every few seconds. Reports keeps them,
// builds a Zone from those of its proxies, and holds samples of load and latency from which
// LearnMaximum fits the load that a zone can take. From all zones and the last moves, Plan
// makes the next moves, which registries distribute as a Table and answer lookups by
// (package directory).
//
// All CPU times are in milliseconds per second: 1000 is one core in full use.
//
// # Invariants
//
//   - One plan covers all zones and keeps one account of free capacity, so that several
//     overloaded zones can't overfill one destination together.
//   - Routes of the lowest rank leave first and come home last; the most urgent get the
//     nearest room.
//   - A zone takes others' connections only while none of its own are away, it reports,
//     and it is below its acceptable level.
//   - The fractions of a route that leave a zone are 1 together at most.
//   - Equal inputs give equal moves: sums of floating-point numbers run in sorted order.
//
// # What it never does
//
// It moves no connection that exists, decides nothing for single requests, sends nothing
// and reads no clock. Election of the planner, distribution, and the accounting of moves
// that reports can't show yet are package registry's.
//
// # Tests
//
// The tests beside the code check the published examples and single steps of a plan; the
// simulator's spill scenarios check whole fleets.
package spill

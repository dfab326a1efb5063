// Package election assigns a singleton role, such as the planner's, to one daemon at a time.
// Each role is a replicated register (package consensus) that holds its Term: the holder
// (elsewhere called the leader) and an epoch, which is the fencing token.
//
// Invariants:
//
//   - The epoch rises with every acquisition that takes effect. Receivers reject messages
//     with a lower epoch than the highest they have seen, so a former leader that doesn't
//     know of its successor does no harm.
//   - A repeated acquisition, such as a retry after a lost response, changes nothing.
//
// The package never decides which daemon should acquire a role, and it has no leases: a
// role is taken over only by a higher epoch. The daemons choose the first live candidate in
// an agreed order; if two daemons disagree, the epoch fences one of them off. The planner's
// is the only role so far, with the registries as candidates in order of their ids
// (controlplane/registry, planner_election.go).
//
// The tests of the change function are in election_test.go, and those of whole clusters in
// package simulator.
package election

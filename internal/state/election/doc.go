// Package election gives a singleton role, such as that of the planner, to one daemon at a
// time. Each role is a replicated register (package consensus) that holds its Term: the
// holder, which elsewhere is called the leader, and an epoch, which is the fencing token.
//
// Invariants:
//
//   - The epoch rises with every acquisition that takes effect. Receivers reject
//     messages of a lower epoch than the highest they have met, so a former leader
//     does no harm even if it doesn't know that it was succeeded.
//   - A repeated acquisition, as a lost answer causes, changes nothing.
//
// The package never decides who should acquire a role, and there are no leases in it: a
// role is taken over by a higher epoch alone. The daemons choose the first live candidate
// in an order that they agree on; two that disagree are kept apart by the epoch. The one
// role so far is the planner's, for which registries stand in order of their ids
// (controlplane/registry, planner_election.go).
//
// The tests of the change function are in election_test.go; those of whole clusters are in
// package simulator.
package election

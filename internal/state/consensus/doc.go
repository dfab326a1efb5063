// Package consensus implements replicated compare-and-set registers with CASPaxos
// (D. Rystsov, "CASPaxos: Replicated State Machines without logs"). Each register is an
// independent Paxos instance without a log or a leader: a proposer prepares a ballot at a
// quorum of acceptors, applies a change function to the value accepted under the highest
// ballot, and asks the acceptors to accept the result.
//
// The components are deterministic state machines that receive events and emit commands
// (package event). They never access a clock, a socket or a disk directly:
//
//   - Acceptor promises ballots, accepts values and persists the registers.
//   - Proposer runs Paxos rounds for the requests that clients submit to its store.
//   - Client sends requests to the stores on behalf of the other daemons.
//   - VoterSet is the cluster membership. It is stored in a register itself, which the
//     change functions of VoterSetOps modify.
//   - Copier tracks how a learner, a store that started with an empty disk, copies the
//     registers. Copying starts before the store joins the voter set and continues while it
//     is listed in VoterSet.Learners; it votes only once its copy is complete.
//   - BootstrapRecord decides which initial voter sets a blank store may take part in.
//
// Invariants:
//
//   - A ballot identifies at most one value of one register. NewProposer therefore
//     requires a proposer ID that no other run has used (Lamport, Paxos Made Simple:
//     proposers choose their numbers from disjoint sets).
//   - An acceptor sends a promise or a vote only after the corresponding state is on
//     disk, and never accepts a ballot below one that it promised.
//   - Two quorums of one voter set intersect. While a voter set is joint, a quorum
//     needs a majority of both sides (Raft's joint consensus, thesis section 4.3).
//   - A store votes under the highest voter set that it knows, and only once its disk
//     holds everything that was chosen before it became a voter (DiskState).
//   - A request ends as Succeeded, Rejected or Indeterminate. Rejected guarantees that it
//     has no effect; an uncertain outcome is always Indeterminate.
//
// The package never decides which stores become voters or when to replace one; package
// store does. It doesn't interpret register values other than the voter set, but handles
// idempotency keys ("mark/...") differently: their first value needs no prepare phase, and
// they are neither cached nor sent or stored as deltas.
//
// model_search_test.go (losses, repairs, restarts) and bootstrap_model_test.go (initial
// voter sets) check the safety of replacement and bootstrap by exhaustive search over the
// production code. lossy_network_test.go and restart_network_test.go run random schedules
// with message loss, duplication, delay and restarts.
package consensus

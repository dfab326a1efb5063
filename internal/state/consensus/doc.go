// Package consensus implements replicated compare-and-set registers in the manner of
// CASPaxos (D. Rystsov, "CASPaxos: Replicated State Machines without logs"). Each
// register is a Paxos instance of its own, with neither a log nor a leader: a proposer
// prepares a ballot at a quorum of acceptors, applies a change function to the accepted
// value of the highest ballot, and has the result accepted by a quorum.
//
// The parts are pure state machines that are driven by events and answer with commands
// (package event); nothing here touches a clock, a socket or a disk:
//
//   - Acceptor promises, accepts and keeps the registers on disk.
//   - Proposer runs the rounds of the requests that clients submit to its store.
//   - Client sends requests to the stores on behalf of the other daemons.
//   - VoterSet is the cluster membership. It is a register itself, changed by the
//     change functions of VoterSetOps.
//   - Copier copies the registers to a learner, a store whose disk began blank. It
//     copies before it belongs to the voter set and while it does (VoterSet.Learners), and
//     votes only once its copy is complete.
//   - BootstrapRecord decides which first voter sets a blank store may take part in.
//
// Invariants:
//
//   - A ballot stands for one value of one register for ever. NewProposer therefore
//     requires a proposer id that no other run has used (Lamport, Paxos Made Simple:
//     proposers choose their numbers from disjoint sets).
//   - An acceptor sends a promise or a vote only after the state behind it is on
//     disk, and never votes below a ballot that it promised (the acceptor's rule of
//     Paxos and CASPaxos).
//   - Two quorums of one voter set intersect. While a voter set is joint, a quorum
//     needs a majority of both sides (Raft's joint consensus, thesis section 4.3).
//   - A store votes under the highest voter set that it knows, and only once its disk
//     holds all that was agreed before it became a voter (DiskState).
//   - A request ends as Succeeded, Rejected or Indeterminate, and the three are never
//     mixed: Rejected means that it surely has no effect.
//
// The package never decides who should be a voter or when to replace one; that is the
// job of package store. It never interprets the values of registers other than the
// voter set, except that idempotency keys ("mark/...") take a shorter path: their first
// value needs no prepare phase, and they have no cache and no deltas.
//
// The safety of replacement and bootstrap is checked by exhaustive search over the real
// code: model_search_test.go (losses, repairs, restarts) and bootstrap_model_test.go
// (first voter sets). lossy_network_test.go and restart_network_test.go run random
// schedules with loss, duplication, delay and restarts.
package consensus

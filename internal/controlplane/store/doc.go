// Package store is the state machine of one durable store. A store is an acceptor and
// proposer of the replicated registers (package consensus) and a member of the cluster
// (package membership), and manages its own place in the voter set.
//
// The voter set is managed in these files:
//
//   - bootstrap.go, bootstrap_promise.go: forming the initial voter set of a new cluster
//   - learner.go: copying the registers before a store may vote
//   - replacement.go: replacing lost voters, and retiring a replaced store
//   - departure.go: a planned stop, with the vote handed over to a standby
//   - recovery.go, total_loss_recovery.go: recovery by an operator after a majority of
//     the disks, or all of them, was lost
//
// A store that joins a cluster passes through the stages below. It proposes each step
// itself, except that a leaving voter proposes its own successor.
//
//  1. It is blank: it knows no voter set (Hello.Blank). It learns of one in answer to its
//     hellos, or takes part in a bootstrap if there is no cluster yet.
//  2. It copies the registers of the voters. Once it has copied a quorum of them it is a
//     standby (Hello.HasCopied).
//  3. It is added to the voter set when a voter is lost, leaves, or is missing. It is a
//     learner (VoterSet.Learners) until its copy is complete under this voter set.
//  4. Its disk is marked complete (consensus.Complete), and it votes.
//  5. Another store replaces it (consensus.Replaced). It serves pages to its successor
//     while they may be needed, and then retires: its data directory is set aside, and it
//     starts again at stage 1.
//
// Records on disk, by key: "item/" and "diff/" with a register's key (consensus,
// stored_register.go), "meta/roster" and "meta/standing" (consensus: voter set, state of
// the disk), "meta/founding" (bootstrap.go), "meta/roll" (member_cache.go), and
// "meta/store", "meta/run" and "meta/ran" (package storage).
//
// Invariants:
//
//   - A store votes only if its own disk records that it holds everything chosen before
//     it became a voter (consensus.DiskState). No message and no voter set grants that
//     right.
//   - Blank stores form a voter set without an operator only if every seed was started
//     with permission to bootstrap, all of them promised the same proposal on disk, and
//     none has seen evidence of an existing cluster.
//   - Commands that depend on a record, answers to peers above all, are released only
//     after the record is synced (event.Sync).
//   - A message that can't come from its claimed sender is discarded before any of it is
//     used (message_check.go).
//
// The state machine is deterministic: it never reads a clock, opens a socket or writes a file.
// Time, random numbers and storage are passed in, and Step returns the commands to
// execute. It never recovers from lost disks without an operator's request.
//
// The tests are in this package; cluster_test.go runs several stores on an in-memory
// network. The simulator (internal/testsupport/simulator) runs the same state machine in
// whole clusters with faults, and replays recorded traces of it.
package store

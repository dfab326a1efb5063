// Package store is the state machine of one durable store: an acceptor and a
// proposer of the replicated registers (package consensus), a member of the
// membership list (package membership), and the manager of its own place in the
// voter set.
//
// Each concern of the voter set has a file: bootstrap (the first voter set of a
// new fleet), learner (the copy that a store needs before it may vote), replacement
// of voters that are lost, departure (a planned stop, with the vote handed over), and
// recovery by an operator after a majority of the disks, or all of them, was lost.
//
// A store that comes to a cluster passes through these stages. It asks for each step
// itself, by its own proposer; only a voter that leaves offers it its place.
//
//  1. It knows no voter set (Hello.Blank). Hellos bring one; without any cluster, a
//     bootstrap makes one.
//  2. It copies what the voters hold. Once a quorum of them is copied it is a standby
//     (Hello.HasCopied).
//  3. A voter is lost, leaves, or is missing, and the voter set takes the store in. Until
//     its copy is complete under this voter set it is a learner (VoterSet.Learners).
//  4. Its disk says that it is complete (consensus.Complete): it votes.
//  5. Another store takes its place (consensus.Replaced). It serves pages to its
//     successor while that may need them, and then retires: its data folder is set
//     aside, and it begins anew at 1.
//
// Records on the disk, by key: "item/" and "diff/" with a register's key (consensus,
// stored_register.go), "meta/roster" and "meta/standing" (consensus: voter set, state of
// the disk), "meta/founding" (bootstrap.go), "meta/roll" (member_cache.go), and
// "meta/store", "meta/run" and "meta/ran" (package storage).
//
// Invariants:
//
//   - A store votes only if its own disk says that it holds everything agreed
//     before it became a voter (consensus.DiskState). Neither a message nor a voter
//     set gives it that right.
//   - Blank stores form a voter set by themselves only if every seed was started
//     with permission to bootstrap, all of them promised the same proposal on their
//     disks, and none has seen a sign of an existing cluster.
//   - Whatever follows from a record, an answer to a peer above all, is released
//     only after the disk has synced it (event.Sync).
//   - A message whose sender can't be the one it claims to be is discarded before
//     any of it is used (message_check.go).
//
// The machine is pure: it never reads a clock, opens a socket or writes a file.
// Time, random numbers and storage are passed in, and Step returns what is to be
// done. It never recovers from lost disks without an operator's request.
//
// Tests stand beside the code; cluster_test.go runs several stores on an in-memory
// network. The simulator (internal/testsupport/simulator) runs the same machine in
// whole fleets with faults, and replays recorded traces of it.
package store

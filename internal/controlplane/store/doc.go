// Package store is the state machine of one durable store: an acceptor and a
// proposer of the replicated registers (package consensus), a member of the
// membership list (package membership), and the manager of its own place in the
// voter set.
//
// Each concern of the voter set has a file: bootstrap (the first voter set of a
// new fleet), learner (catch-up of a store without a vote), replacement of voters
// that are lost, departure (a planned stop, with the vote handed over), and
// recovery by an operator after a majority of the disks, or all of them, was lost.
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
//     any of it is used (validation.go).
//
// The machine is pure: it never reads a clock, opens a socket or writes a file.
// Time, random numbers and storage are passed in, and Step returns what is to be
// done. It never recovers from lost disks without an operator's request.
//
// Tests stand beside the code; cluster_test.go runs several stores on an in-memory
// network. The simulator (internal/testsupport/simulator) runs the same machine in
// whole fleets with faults, and replays recorded traces of it.
package store

// Package membership keeps the membership list of the deployment's daemons (proxies,
// registries and stores) and detects their failures, in the manner of SWIM and of
// hashicorp/memberlist.
//
// All live members are ordered on a ring by a hash of their ids. Each sends heartbeats
// to the few members that follow it, its watchers. A watcher that hears nothing probes
// the member, and then reports its suspicion to all registries. A registry probes the
// suspected member itself, and declares it dead when enough of its watchers suspect it
// (two of three; List.requiredVotes) and it doesn't answer the registry either. Copies of
// the list merge member by member; heartbeats carry a digest of the list by which copies
// that differ are found and reconciled.
//
// These votes have nothing to do with those of the stores (package consensus). They are
// about one member's death, and may be wrong: that costs time, as the member refutes it.
//
// Invariants:
//   - Between two states of a member the one with the higher incarnation wins; within an
//     incarnation death wins over life, and then the higher sequence number
//     (Member.supersedes). Merging is therefore independent of the order of messages.
//   - Only the member itself raises its incarnation, and thereby refutes its death.
//   - Only registries declare members dead, with a number of suspicions that doesn't
//     shrink when watchers are themselves suspected, and only while
//     List.MayDeclareDead permits it.
//   - A process that was paused suspects nobody for its own silence.
//
// The package does no input or output, reads no clock and starts no goroutine: commands
// go to the owner's event.Outbox, and time is handed in. A List isn't safe for
// concurrent use, except for SelfMember and Members.
//
// failure_detector_test.go runs fleets of a hundred members in virtual time under lost
// messages, full links, starved processes and partitions; whole deployments are tested
// in internal/testsupport/simulator.
package membership

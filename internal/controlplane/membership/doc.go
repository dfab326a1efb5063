// Package membership maintains the membership list of the cluster's daemons (proxies, registries
// and stores) and detects their failures. The protocol is similar to SWIM and
// hashicorp/memberlist.
//
// Live members are ordered on a ring by a hash of their IDs. Each member sends heartbeats to its
// watchers, the few members that follow it on the ring. A watcher that receives no heartbeats
// probes the member, and if that fails reports its suspicion to all registries. A registry also
// probes a suspected member, and declares it dead when enough of its watchers suspect it (two of
// three; see List.requiredVotes) and it doesn't answer the registry either. Copies of the list
// are merged member by member; heartbeats carry a digest of the list, so that copies that differ
// are detected and reconciled (anti-entropy).
//
// The votes are unrelated to those of the stores (package consensus). A wrong declaration of
// death only causes a delay, because the member refutes it.
//
// Invariants:
//   - Of two states of a member the one with the higher incarnation wins; within an incarnation
//     dead wins over alive, and then the higher sequence number wins (Member.supersedes).
//     Merging is therefore independent of the order of messages.
//   - Only the member itself raises its incarnation, and thereby refutes its death.
//   - Only registries declare members dead, and only while List.MayDeclareDead permits it. The
//     number of votes required doesn't shrink when watchers are themselves suspected.
//   - A process that was paused doesn't suspect other members because of its own pause.
//
// The package does no I/O, reads no clock and starts no goroutines: commands go to the owner's
// event.Outbox, and the current time is passed in. A List isn't safe for concurrent use, except
// for SelfMember and Members.
//
// failure_detector_test.go runs fleets of about a hundred members in virtual time with message
// loss, congested links, starved processes and partitions; whole clusters are tested in
// internal/testsupport/simulator.
package membership

// Package registry is the registry daemon as one deterministic state machine:
// Registry.Step takes an event and gives the commands that the daemon carries out.
//
// A registry receives target heartbeats, takes part in failure detection, answers
// the directory ("which proxies serve this route?"), pushes configuration and
// targets to the proxies, reads and changes the configuration at the stores, and,
// while it is the elected planner, plans the spill-over between zones.
//
// Invariants:
//
//   - A registry confirms, rejects or hands out anything only under the control
//     lease (lease.go): a majority of stores has confirmed the configuration
//     within Options.ControlLease, by this process's monotonic clock.
//   - An answer of 503 means that the call surely has no effect; one that may have
//     taken effect is answered 504.
//   - The configuration in use never goes back to an earlier revision.
//   - A spill table is adopted only under the highest leadership epoch seen
//     (planner_election.go), so that of two planners the later one wins.
//   - Messages that give orders or acknowledge something count only if they come
//     from the address of the daemon that may send them (sender_check.go).
//
// The package does no input or output, starts no goroutine and reads no clock:
// time, randomness and messages are handed in. It keeps nothing on disk; a
// restarted registry learns everything from the stores, peers and targets.
//
// Tests: the package's own drive one registry against a simulated majority
// (package registrytest). Whole clusters run in testsupport/simulator, whose
// recorded traces also pin every command of this machine.
package registry

// Package registry implements the registry daemon as a deterministic state machine:
// Registry.Step takes an event and returns the commands that the daemon executes.
//
// A registry receives target heartbeats, takes part in failure detection, answers
// directory lookups ("which proxies serve this route?"), pushes configuration and
// targets to the proxies, reads and changes the configuration in the stores, and,
// while it is the elected planner, plans the spill-over between zones.
//
// Invariants:
//
//   - A registry confirms a change, rejects one or serves data only under the control
//     lease (lease.go): a majority of stores has confirmed the configuration
//     within Options.ControlLease, by this process's monotonic clock.
//   - Status 503 means that the call has had and will have no effect; a call that may
//     have taken effect is answered with 504.
//   - The configuration in use never goes back to an earlier revision.
//   - A spill table is adopted only under the highest leadership epoch seen
//     (planner_election.go), so that the most recently elected planner wins.
//   - Commands and acknowledgements are accepted only from the address of the daemon
//     that may send them (sender_check.go).
//
// The package performs no I/O, starts no goroutines and reads no clock: time,
// randomness and messages are passed in. It stores nothing on disk; a restarted
// registry recovers its state from the stores, peers and targets.
//
// The package's own tests drive one registry against a simulated majority (package
// registrytest). Whole clusters run in testsupport/simulator, whose recorded traces
// also check every command that this state machine emits.
package registry

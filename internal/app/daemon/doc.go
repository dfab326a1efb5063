// Package daemon runs the registry and the store as processes: it connects each state
// machine to its transport, disk and HTTP endpoints, and handles startup and shutdown. It
// also contains what all daemons share: the supervisor, health and metrics endpoints,
// signals and exit codes.
//
// Invariants:
//   - both ports are open before any service of a daemon starts, so that the process exits
//     at once if a port is in use.
//   - the commands that a store's state machine attaches to a Sync are executed only after
//     the records are on disk; a failed sync ends the process (committer).
//   - after SIGTERM, a daemon keeps serving until its state machine allows it to stop, for
//     a limited time.
//
// The package makes no decisions for a state machine and keeps no state across restarts.
// The proxy's process is in dataplane/proxy. The tests here run three stores and a registry
// over real connections and disks; faults are tested in testsupport/simulator and
// testsupport/testbed.
package daemon

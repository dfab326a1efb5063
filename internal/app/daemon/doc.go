// Package daemon runs the registry and the store as processes: it gives each state
// machine its transport, its disk and its HTTP pages, and starts and stops them. It
// also holds what every daemon's process needs: the supervisor, health and metrics
// pages, signals and exit codes.
//
// Invariants:
//   - both ports are open before anything of a daemon runs, so that a port that is
//     taken ends the process at once.
//   - what a store's machine wants sent after a Sync leaves only once the records are
//     on disk; a failed sync ends the process (committer).
//   - after SIGTERM a daemon answers until its machine may stop, for a bounded time.
//
// The package takes no decision of a machine and keeps no state over restarts. The
// proxy's process is in dataplane/proxy. The tests here run three stores and a registry
// over real connections and disks; faults are tested in testsupport/simulator and
// testsupport/testbed.
package daemon

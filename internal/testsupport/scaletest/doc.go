// Package scaletest measures what the control plane costs on fleets that are
// too large for one process per daemon.
//
// A run of one Size starts real registries and stores as processes, and hollow
// proxies many to a process: each hollow proxy is the real control state machine
// with real sockets and frames, but without a data plane, so it serves no
// requests. Stand-in targets send heartbeats. The run goes through fixed phases
// (load the configuration, steady state, changes, loss of a registry, restart of
// all proxies), measures CPU, memory and traffic of each role in each phase, and
// fits the costs over several sizes to extrapolate them to DesignSize.
//
// Invariants:
//   - A size whose estimated needs exceed the machine is rejected before
//     anything starts (Options.Check), and a fleet that outgrows half of the
//     machine's memory is ended.
//   - A phase that saturated the machine, or in which proxies suspected live
//     peers, is reported but is left out of the fits.
//   - Every process started ends with the run.
//
// The package never sends client requests and never judges correctness: that is
// the job of packages testbed and simulator. The JSON keys of Report are read by
// the tools that compare releases and don't change.
//
// Tests: fit_test.go (fits, slopes, usage), size_test.go (sizes, configuration,
// requirements) and scaletest_test.go (a small fleet through every phase).
package scaletest

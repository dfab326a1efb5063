// Package scaletest measures the cost of the control plane for fleets that are too large to run
// one process per daemon.
//
// A run of one Size starts real registries and stores as processes, and groups of simulated
// proxies that share a process. Each simulated proxy is the real control state machine with real
// sockets and frames, but without a data plane, so it serves no requests. Simulated targets send
// heartbeats. The run goes through fixed phases (load the configuration, steady state, changes,
// restart of a registry, restart of all proxies) and measures the CPU time, memory and traffic of
// each role in each phase. The costs are fitted over several sizes and extrapolated to DesignSize.
//
// Invariants:
//   - A size whose estimated requirements exceed the machine is rejected before any process is
//     started (Options.Check). A fleet that uses more than half of the machine's memory is
//     stopped.
//   - A phase that saturated the machine, or in which proxies suspected live peers, is reported
//     but excluded from the fits.
//   - Every process that a run starts is killed when the run ends.
//
// The package never sends client requests and never checks correctness, which is the job of
// packages testbed and simulator. Release comparison tools read the JSON keys of Report, so the
// keys don't change.
//
// Tests: fit_test.go, slopes_test.go and usage_test.go (costs and fits), size_test.go,
// configuration_test.go and requirements_test.go (sizes and what is derived from them),
// result_test.go (percentiles), and scaletest_test.go (a small fleet through every phase).
package scaletest
